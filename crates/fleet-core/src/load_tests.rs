//! Tests of `load`: how often loads are reported, depending on the number of engines and on changes.

use super::*;
use std::time::Duration;
use tokio::time::Instant;

/// A report of this many engines; reports with different `in_flight` differ.
fn report(engines: usize, in_flight: u32) -> LoadReport {
    encode_report(
        &(0..engines as u32).map(|key| (key, Load { in_flight, ..Load::default() })).collect(),
    )
}

/// Number of reports sent within a second if the loads change all the time.
fn reports_per_second(engines: usize) -> usize {
    let (start, mut schedule) = (Instant::now(), ReportSchedule::default());
    let is_due = |tick: &u32| {
        let now = start + constants::LOAD_REPORT_INTERVAL * *tick;
        schedule.is_due(now, &report(engines, *tick))
    };
    (1..=10).filter(is_due).count()
}

#[test]
fn bytes_per_second_do_not_grow_with_engine_count() {
    let max_engine_entries =
        reports_per_second(constants::LOAD_REPORT_ENGINES) * constants::LOAD_REPORT_ENGINES;
    assert_eq!(reports_per_second(1), 10);
    assert_eq!(reports_per_second(constants::LOAD_REPORT_ENGINES), 10);
    for factor in [2, 5, 8] {
        let engines = constants::LOAD_REPORT_ENGINES * factor;
        assert!(reports_per_second(engines) * engines <= max_engine_entries + engines, "{factor}");
    }
}

#[test]
fn largest_report_does_not_expire_before_the_next() {
    let longest = report_interval(usize::MAX / 2);
    assert!(longest + Duration::from_millis(300) <= constants::LOAD_REPORT_TIMEOUT, "{longest:?}");
}

#[test]
fn unchanged_loads_are_reported_again_before_they_expire() {
    let (start, mut schedule) = (Instant::now(), ReportSchedule::default());
    assert!(schedule.is_due(start, &report(3, 1)));
    assert!(!schedule.is_due(start + constants::LOAD_REPORT_INTERVAL, &report(3, 1)));
    assert!(schedule.is_due(start + constants::LOAD_REPORT_REFRESH_INTERVAL, &report(3, 1)));
}
