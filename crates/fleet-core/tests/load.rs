//! Aggregation of engine loads over routers and controllers.

use fleet_core::constants;
use fleet_core::load::{ByEngine, Load, LoadTable, ReportSchedule, key_of, pack, unpack};
use tokio::time::Instant;

fn load(unread: u64, runs: u32) -> Load {
    Load { unread, runs, interactive: runs / 2 }
}

fn single_engine(id: &str, engine_load: Load) -> ByEngine {
    std::iter::once((key_of(id), engine_load)).collect()
}

#[test]
fn packed_loads_round_tokens_up() {
    let report = pack(&single_engine("e", load(65, 4)));
    let unpacked: ByEngine = unpack(&report).collect();
    assert_eq!(unpacked[&key_of("e")], Load { unread: 128, runs: 4, interactive: 2 });
    assert!(pack(&single_engine("e", Load::default())).keys.is_empty());
}

#[test]
fn entries_beyond_the_shortest_list_are_ignored() {
    let mut report = pack(&single_engine("e", load(64, 1)));
    report.keys.push(7);
    report.runs.clear();
    assert_eq!(unpack(&report).count(), 0);
}

#[test]
fn reports_are_summed_until_they_expire() {
    let start = Instant::now();
    let mut table = LoadTable::default();
    table.record(1, start, pack(&single_engine("e", load(64, 1))));
    table.record(2, start, pack(&single_engine("e", load(64, 9))));
    table.record(
        2,
        start + constants::LOAD_REPORT_REFRESH_INTERVAL,
        pack(&single_engine("e", load(64, 2))),
    );
    assert_eq!(table.sum(start + constants::LOAD_REPORT_REFRESH_INTERVAL)[&key_of("e")].runs, 3);
    assert_eq!(table.sum(start + constants::LOAD_REPORT_TIMEOUT)[&key_of("e")].runs, 2);
    assert_eq!(table.reporters().collect::<Vec<_>>(), [2]);
    assert!(table.sum(start + constants::LOAD_REPORT_TIMEOUT * 2).is_empty());
}

#[test]
fn unchanged_loads_are_sent_only_at_the_refresh_interval() {
    let start = Instant::now();
    let mut schedule = ReportSchedule::default();
    let (first, changed) =
        (pack(&single_engine("e", load(64, 1))), pack(&single_engine("e", load(64, 2))));
    assert!(schedule.is_due(start, &first));
    assert!(!schedule.is_due(start + constants::LOAD_REPORT_INTERVAL, &first));
    assert!(schedule.is_due(start + constants::LOAD_REPORT_INTERVAL, &changed));
    assert!(schedule.is_due(
        start + constants::LOAD_REPORT_INTERVAL + constants::LOAD_REPORT_REFRESH_INTERVAL,
        &changed
    ));
}
