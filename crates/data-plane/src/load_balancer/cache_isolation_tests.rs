use super::*;

fn table(tenants: serde_json::Value, generation: u64) -> RoutingTable {
    let configuration = serde_json::json!({
        "revision": 1,
        "routes": [{"host": "h.example", "pathPrefix": "/", "kind": "safe", "timeoutMs": 1000, "service": "s",
            "maxAttempts": 1}],
        "services": [{"name": "s", "maxConns": 1}],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 9000},
        "tenants": tenants,
    });
    RoutingTable::compile(configuration.to_string().as_bytes(), generation).unwrap()
}

fn tenant(name: &str, isolated: bool) -> serde_json::Value {
    serde_json::json!({"name": name, "apiKeys": [format!("key-{name}")], "isolated": isolated})
}

fn accepted(isolated: bool) -> Tenant {
    Tenant { name: "#1".into(), priority: 0, isolated }
}

#[test]
fn isolated_tenants_have_separate_salt_fields() {
    let shared = table(serde_json::json!([tenant("#1", false)]), 1);
    let isolated = table(serde_json::json!([tenant("#1", true)]), 2);
    let field = |tenant: Option<Tenant>, table: &RoutingTable| {
        CacheIsolation::new(tenant.as_ref(), table).salt_field()
    };
    assert_eq!(field(Some(accepted(false)), &shared), "#1");
    assert_eq!(field(Some(accepted(true)), &isolated), "t/#1");
    assert_eq!(field(None, &shared), "#1");
    assert_eq!(field(None, &isolated), "#2");
}

/// Guards against a request that uses cached parts of another tenant (rule WALL): it was accepted before its tenant was
/// isolated, and dispatched afterwards.
#[test]
fn configuration_in_force_decides_and_not_the_one_at_acceptance() {
    let isolated = table(serde_json::json!([tenant("#1", true)]), 2);
    let own = CacheIsolation::Tenant("#1".into());
    assert_eq!(CacheIsolation::new(Some(&accepted(false)), &isolated), own);
}

#[test]
fn tenant_that_was_isolated_or_is_removed_shares_nothing() {
    let shared = table(serde_json::json!([tenant("#1", false)]), 1);
    let removed = table(serde_json::json!([tenant("other", false)]), 1);
    let own = CacheIsolation::Tenant("#1".into());
    assert_eq!(CacheIsolation::new(Some(&accepted(true)), &shared), own);
    assert_eq!(CacheIsolation::new(Some(&accepted(false)), &removed), own);
}
