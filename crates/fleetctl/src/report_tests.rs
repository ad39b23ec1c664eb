//! Tests of `report`: the output formats and exit codes.

use super::*;

#[test]
fn warnings_count_only_when_strict() {
    let finding = |weight| Finding { weight, code: "c", place: "p".into(), text: "t".into() };
    assert_eq!(exit_code(&[], true), EXIT_CLEAN);
    assert_eq!(exit_code(&[finding(Severity::Warning)], false), EXIT_CLEAN);
    assert_eq!(exit_code(&[finding(Severity::Warning)], true), EXIT_FINDINGS);
    assert_eq!(exit_code(&[finding(Severity::Error)], false), EXIT_FINDINGS);
    assert_eq!(text(&[finding(Severity::Error)]), "error: p [c]: t\n");
    let printed = json(&[finding(Severity::Warning)]);
    let parsed: serde_json::Value = serde_json::from_str(&printed).unwrap();
    let expected = serde_json::json!({"weight": "warning", "code": "c", "place": "p", "text": "t"});
    assert_eq!(parsed["findings"], serde_json::json!([expected]));
}
