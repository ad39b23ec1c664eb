//! Tests of `report`.

use super::*;

#[test]
fn warnings_count_only_when_strict() {
    let f = |weight| Finding { weight, code: "c", place: "p".into(), text: "t".into() };
    assert_eq!(exit(&[], true), CLEAN);
    assert_eq!(exit(&[f(Weight::Warning)], false), CLEAN);
    assert_eq!(exit(&[f(Weight::Warning)], true), FOUND);
    assert_eq!(exit(&[f(Weight::Error)], false), FOUND);
    assert_eq!(text(&[f(Weight::Error)]), "error: p [c]: t\n");
    let printed = json(&[f(Weight::Warning)]);
    let read: serde_json::Value = serde_json::from_str(&printed).unwrap();
    let want = serde_json::json!({"weight": "warning", "code": "c", "place": "p", "text": "t"});
    assert_eq!(read["findings"], serde_json::json!([want]));
}
