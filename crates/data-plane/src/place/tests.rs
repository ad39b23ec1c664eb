//! Tests of `place`.

use super::*;
use std::time::Duration;

#[test]
fn isolated_tenants_have_a_isolation_of_their_own() {
    let t = |isolated| Tenant { name: "#1".into(), priority: 0, isolated };
    assert_eq!(isolation(Some(&t(false)), 1), "#1");
    assert_eq!(isolation(Some(&t(true)), 1), "t/#1");
    assert_ne!(isolation(None, 1), isolation(None, 2));
}

#[test]
fn old_weights_end_well_before_the_bound() {
    let t = Instant::now();
    let bound = Duration::from_secs(8);
    let named = Some(Named { version: 3, since: t });
    assert!(version_allowed(2, named, t + Duration::from_secs(6), bound));
    assert!(!version_allowed(2, named, t + Duration::from_secs(7), bound));
    assert!(version_allowed(3, named, t + Duration::from_secs(60), bound));
    assert!(version_allowed(1, None, t, bound));
}
