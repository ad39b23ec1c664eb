use super::*;

#[test]
fn isolated_tenants_have_separate_isolation_keys() {
    let tenant = |isolated| Tenant { name: "#1".into(), priority: 0, isolated };
    assert_eq!(isolation(Some(&tenant(false)), 1), "#1");
    assert_eq!(isolation(Some(&tenant(true)), 1), "t/#1");
    assert_ne!(isolation(None, 1), isolation(None, 2));
}
