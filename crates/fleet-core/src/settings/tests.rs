//! Tests of `settings`.

use super::*;

const GOOD: &str = "nodeName=n1\nip=10.0.0.1\nzone=z\nportRange=100,110\nseeds=10.0.0.1:80,10.0.0.2:80\nnew.field=7\nzones.z=r\nbounds.leaseMs=1500\nbounds.catchUpS=6\n";

#[test]
fn reads_what_it_knows_and_ignores_the_rest() {
    let p = Settings::parse(GOOD).unwrap();
    assert_eq!(p.node_name, "n1");
    assert_eq!(p.seeds.len(), 2);
    assert_eq!(p.bounds.lease, Duration::from_millis(1500));
    assert_eq!(p.bounds.catch_up, Duration::from_secs(6));
    assert_eq!(p.zones, vec![("z".to_owned(), "r".to_owned())]);
    assert!(!p.bootstrap);
}

#[test]
fn names_field_and_line_of_what_is_wrong() {
    let bad = GOOD.replace("ip=10.0.0.1", "ip=ten");
    let e = Settings::parse(&bad).unwrap_err();
    assert_eq!(e.to_string(), "line 2: ip: `ten` is not an IPv4 address");
    let e = Settings::parse(&GOOD.replace("nodeName=n1\n", "")).unwrap_err();
    assert_eq!(e, SettingsError::Missing { field: "nodeName" });
    let e = Settings::parse(&GOOD.replace("100,110", "110,100")).unwrap_err();
    assert!(matches!(e, SettingsError::Malformed { line: 4, .. }));
    let e = Settings::parse("nodeName\n").unwrap_err();
    assert_eq!(e, SettingsError::NoPair { line: 1 });
}
