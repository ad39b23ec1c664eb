use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn engine_is_outdated_since_the_first_version_that_it_lacks() {
    let start = Instant::now();
    let mut targets = TargetVersions::default();
    for (version, ms) in [(2, 0), (3, 4400), (4, 8800)] {
        assert!(targets.record(version, at(start, ms)));
    }
    assert_eq!(targets.outdated_since(1), Some(start));
    assert_eq!(targets.outdated_since(2), Some(at(start, 4400)));
    assert_eq!(targets.outdated_since(3), Some(at(start, 8800)));
    assert_eq!(targets.outdated_since(4), None);
    assert_eq!(targets.newest().map(|target| target.version), Some(4));
}

#[test]
fn earliest_reported_time_counts_and_later_reports_do_not_extend_it() {
    let start = Instant::now();
    let mut targets = TargetVersions::default();
    assert!(targets.record(2, at(start, 5000)));
    assert!(!targets.record(2, at(start, 9000)));
    assert!(targets.record(2, at(start, 1000)));
    assert_eq!(targets.outdated_since(1), Some(at(start, 1000)));
    assert!(!targets.record(0, start), "there is no version 0");
}

#[test]
fn version_learned_late_gets_the_time_of_a_higher_version() {
    let start = Instant::now();
    let mut targets = TargetVersions::default();
    targets.record(3, at(start, 1000));
    targets.record(2, at(start, 7000));
    assert_eq!(targets.outdated_since(1), Some(at(start, 1000)));
}

proptest! {
    /// Compares with a map of everything that was recorded: the bound is never later, and exact while all versions
    /// fit.
    #[test]
    fn bound_is_never_later_than_reported_times_imply(
        reported in prop::collection::vec((1u64..40, 0u64..10_000), 1..80),
        engine in 0u64..40,
    ) {
        let start = Instant::now();
        let mut targets = TargetVersions::default();
        let mut model: BTreeMap<u64, u64> = BTreeMap::new();
        for (version, ms) in reported {
            targets.record(version, at(start, ms));
            let known = model.entry(version).or_insert(ms);
            *known = ms.min(*known);
        }
        let expected = model.range(engine + 1..).map(|(_, ms)| *ms).min().map(|ms| at(start, ms));
        let found = targets.outdated_since(engine);
        prop_assert_eq!(found.is_some(), expected.is_some());
        prop_assert!(found <= expected);
        if model.len() <= constants::TARGET_VERSIONS_CAPACITY {
            prop_assert_eq!(found, expected);
        }
        prop_assert!(targets.all().len() <= constants::TARGET_VERSIONS_CAPACITY);
        prop_assert!(targets.all().is_sorted_by(|a, b| a.version < b.version && a.since <= b.since));
    }
}
