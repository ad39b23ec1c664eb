//! Tests of `candidates`.

use super::*;

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
