use super::*;

fn tenant(name: &str, key: &str, isolated: bool) -> configuration::Tenant {
    let tenant = serde_json::json!({"name": name, "apiKeys": [key], "isolated": isolated});
    serde_json::from_value(tenant).unwrap()
}

#[test]
fn tenants_are_found_by_key_and_all_of_a_name_by_name() {
    let configured = vec![
        tenant("b", "k1", false),
        tenant("c", "k2", false),
        tenant("a", "k3", false),
        tenant("b", "k4", true),
    ];
    let directory = TenantDirectory::new(configured);
    let by_key = |key| directory.by_key(key).map(|tenant| (tenant.name.as_str(), tenant.isolated));
    assert_eq!(by_key("k2"), Some(("c", false)));
    assert_eq!(by_key("k4"), Some(("b", true)));
    assert_eq!(by_key("k9"), None);
    let isolations = |name| -> Vec<bool> {
        directory.named(name).iter().map(|tenant| tenant.isolated).collect()
    };
    assert_eq!(isolations("a"), [false]);
    assert_eq!(isolations("b"), [false, true]);
    assert_eq!(isolations("bb"), [false; 0]);
}
