use super::*;

const VALID: &str = "nodeName=n1\nip=10.0.0.1\nzone=z\nportRange=100,110\nseeds=10.0.0.1:80,10.0.0.2:80\nnew.field=7\nzones.z=r\nbounds.leaseMs=1500\nbounds.catchUpS=6\n";

#[test]
fn known_fields_are_parsed_and_unknown_fields_ignored() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.node_name, "n1");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.bounds.lease, Duration::from_millis(1500));
    assert_eq!(settings.bounds.catch_up, Duration::from_secs(6));
    assert_eq!(settings.zones, vec![("z".to_owned(), "r".to_owned())]);
    assert!(!settings.bootstrap);
}

#[test]
fn errors_report_field_and_line() {
    let invalid = VALID.replace("ip=10.0.0.1", "ip=ten");
    let error = Settings::parse(&invalid).unwrap_err();
    assert_eq!(error.to_string(), "line 2: ip: `ten` is not an IPv4 address");
    let error = Settings::parse(&VALID.replace("nodeName=n1\n", "")).unwrap_err();
    assert_eq!(error, SettingsError::Missing { field: "nodeName" });
    let error = Settings::parse(&VALID.replace("100,110", "110,100")).unwrap_err();
    assert!(matches!(error, SettingsError::Malformed { line: 4, .. }));
    let error = Settings::parse("nodeName\n").unwrap_err();
    assert_eq!(error, SettingsError::NotKeyValue { line: 1 });
}
