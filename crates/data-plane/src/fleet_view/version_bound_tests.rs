//! Tests of `version_bound`.

use super::*;

const BOUND: Duration = Duration::from_secs(8);

fn named(start: Instant, versions: &[(u64, u64)]) -> Arc<TargetVersions> {
    let mut targets = TargetVersions::default();
    for (version, ms) in versions {
        targets.learn(*version, start + Duration::from_millis(*ms));
    }
    Arc::new(targets)
}

#[test]
fn old_weights_end_well_before_the_bound() {
    let start = Instant::now();
    let bound = VersionBound::new(named(start, &[(3, 0)]), None, BOUND);
    let none = Duration::ZERO;
    assert!(bound.allows(2, none, start + Duration::from_secs(6)));
    assert!(!bound.allows(2, none, start + Duration::from_secs(7)));
    assert!(bound.allows(3, none, start + Duration::from_secs(60)));
    let unnamed = VersionBound::new(Arc::default(), None, BOUND);
    assert!(unnamed.allows(1, none, start));
    assert_eq!(unnamed.end_of(1), None);
}

#[test]
fn a_request_that_would_wait_past_the_bound_is_not_sent() {
    let start = Instant::now();
    let bound = VersionBound::new(named(start, &[(3, 0)]), None, BOUND);
    let now = start + Duration::from_secs(5);
    assert!(bound.allows(2, Duration::from_millis(1000), now));
    assert!(!bound.allows(2, Duration::from_millis(2000), now));
    assert!(bound.allows(3, Duration::from_secs(60), now), "the newest weights have no bound");
}

#[test]
fn each_version_ends_by_the_first_above_it_and_a_disturbance_counts_for_all() {
    let start = Instant::now();
    let targets = named(start, &[(2, 0), (3, 4400)]);
    let bound = VersionBound::new(targets.clone(), None, BOUND);
    assert_eq!(bound.end_of(1), Some(start + BOUND));
    assert_eq!(bound.end_of(2), Some(start + Duration::from_millis(4400) + BOUND));
    assert_eq!(bound.cutoff_of(1), Some(start + BOUND - constants::VERSION_CUTOFF));
    let disturbed = start + Duration::from_secs(2);
    let bound = VersionBound::new(targets, Some(disturbed), BOUND);
    assert_eq!(bound.end_of(1), Some(disturbed + BOUND));
    assert_eq!(bound.end_of(2), Some(start + Duration::from_millis(4400) + BOUND));
}
