use super::*;

const BOUND: Duration = Duration::from_secs(8);

fn announced_targets(start: Instant, versions: &[(u64, u64)]) -> Arc<TargetVersions> {
    let mut targets = TargetVersions::default();
    for (version, ms) in versions {
        targets.record(*version, start + Duration::from_millis(*ms));
    }
    Arc::new(targets)
}

#[test]
fn outdated_weights_are_refused_well_before_the_bound() {
    let start = Instant::now();
    let bound = VersionBound::new(announced_targets(start, &[(3, 0)]), None, BOUND);
    let no_wait = Duration::ZERO;
    assert!(bound.allows(2, no_wait, start + Duration::from_secs(6)));
    assert!(!bound.allows(2, no_wait, start + Duration::from_secs(7)));
    assert!(bound.allows(3, no_wait, start + Duration::from_secs(60)));
    let no_target = VersionBound::new(Arc::default(), None, BOUND);
    assert!(no_target.allows(1, no_wait, start));
    assert_eq!(no_target.end_of(1), None);
}

#[test]
fn a_request_that_would_wait_past_the_bound_is_not_dispatched() {
    let start = Instant::now();
    let bound = VersionBound::new(announced_targets(start, &[(3, 0)]), None, BOUND);
    let now = start + Duration::from_secs(5);
    assert!(bound.allows(2, Duration::from_millis(1000), now));
    assert!(!bound.allows(2, Duration::from_millis(2000), now));
    assert!(bound.allows(3, Duration::from_secs(60), now), "the newest weights have no bound");
}

#[test]
fn each_bound_counts_from_the_next_version_and_at_the_earliest_from_a_controller_loss() {
    let start = Instant::now();
    let targets = announced_targets(start, &[(2, 0), (3, 4400)]);
    let bound = VersionBound::new(targets.clone(), None, BOUND);
    assert_eq!(bound.end_of(1), Some(start + BOUND));
    assert_eq!(bound.end_of(2), Some(start + Duration::from_millis(4400) + BOUND));
    assert_eq!(bound.cutoff_of(1), Some(start + BOUND - constants::VERSION_CUTOFF_MARGIN));
    let controller_lost_at = start + Duration::from_secs(2);
    let bound = VersionBound::new(targets, Some(controller_lost_at), BOUND);
    assert_eq!(bound.end_of(1), Some(controller_lost_at + BOUND));
    assert_eq!(bound.end_of(2), Some(start + Duration::from_millis(4400) + BOUND));
}
