//! Tests of `load`.

use super::*;
use std::time::Duration;
use tokio::time::Instant;

/// A report of this many engines; reports with different `runs` differ.
fn report(engines: usize, runs: u32) -> LoadReport {
    pack(&(0..engines as u32).map(|key| (key, Load { runs, ..Load::default() })).collect())
}

/// Number of reports sent within a second if the loads change all the time.
fn sent_in_a_second(engines: usize) -> usize {
    let (start, mut schedule) = (Instant::now(), ReportSchedule::default());
    let is_due = |tick: &u32| {
        let now = start + constants::LOAD_REPORT_INTERVAL * *tick;
        schedule.is_due(now, &report(engines, *tick))
    };
    (1..=10).filter(is_due).count()
}

#[test]
fn bytes_of_a_second_do_not_grow_with_the_engines() {
    let at_most = sent_in_a_second(constants::LOAD_REPORT_ENGINES) * constants::LOAD_REPORT_ENGINES;
    assert_eq!(sent_in_a_second(1), 10);
    assert_eq!(sent_in_a_second(constants::LOAD_REPORT_ENGINES), 10);
    for factor in [2, 5, 8] {
        let engines = constants::LOAD_REPORT_ENGINES * factor;
        assert!(sent_in_a_second(engines) * engines <= at_most + engines, "{factor}");
    }
}

#[test]
fn the_largest_report_still_counts_until_the_next() {
    let longest = report_interval(usize::MAX / 2);
    assert!(longest + Duration::from_millis(300) <= constants::LOAD_REPORT_TIMEOUT, "{longest:?}");
}

#[test]
fn loads_that_stay_are_reported_again_before_they_lapse() {
    let (start, mut schedule) = (Instant::now(), ReportSchedule::default());
    assert!(schedule.is_due(start, &report(3, 1)));
    assert!(!schedule.is_due(start + constants::LOAD_REPORT_INTERVAL, &report(3, 1)));
    assert!(schedule.is_due(start + constants::LOAD_REPORT_REFRESH, &report(3, 1)));
}
