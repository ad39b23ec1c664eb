//! Aggregation of engine loads over routers and controllers.

use fleet_core::constants;
use fleet_core::load::{
    Load, LoadByEngine, LoadTable, ReportSchedule, decode_report, encode_report, engine_key,
};
use tokio::time::Instant;

fn load(pending_prefill_tokens: u64, in_flight: u32) -> Load {
    Load { pending_prefill_tokens, in_flight, interactive: in_flight / 2 }
}

fn single_engine(id: &str, engine_load: Load) -> LoadByEngine {
    std::iter::once((engine_key(id), engine_load)).collect()
}

#[test]
fn encoded_loads_round_tokens_up() {
    let report = encode_report(&single_engine("e", load(65, 4)));
    let decoded: LoadByEngine = decode_report(&report).collect();
    assert_eq!(
        decoded[&engine_key("e")],
        Load { pending_prefill_tokens: 128, in_flight: 4, interactive: 2 }
    );
    assert!(encode_report(&single_engine("e", Load::default())).keys.is_empty());
}

#[test]
fn entries_beyond_the_shortest_list_are_ignored() {
    let mut report = encode_report(&single_engine("e", load(64, 1)));
    report.keys.push(7);
    report.in_flight.clear();
    assert_eq!(decode_report(&report).count(), 0);
}

#[test]
fn reports_are_summed_until_they_expire() {
    let start = Instant::now();
    let mut table = LoadTable::default();
    table.record(1, start, encode_report(&single_engine("e", load(64, 1))));
    table.record(2, start, encode_report(&single_engine("e", load(64, 9))));
    table.record(
        2,
        start + constants::LOAD_REPORT_REFRESH_INTERVAL,
        encode_report(&single_engine("e", load(64, 2))),
    );
    assert_eq!(
        table.sum(start + constants::LOAD_REPORT_REFRESH_INTERVAL)[&engine_key("e")].in_flight,
        3
    );
    assert_eq!(table.sum(start + constants::LOAD_REPORT_TIMEOUT)[&engine_key("e")].in_flight, 2);
    assert_eq!(table.reporters().collect::<Vec<_>>(), [2]);
    assert!(table.sum(start + constants::LOAD_REPORT_TIMEOUT * 2).is_empty());
}

#[test]
fn unchanged_loads_are_sent_only_at_the_refresh_interval() {
    let start = Instant::now();
    let mut schedule = ReportSchedule::default();
    let (first, changed) = (
        encode_report(&single_engine("e", load(64, 1))),
        encode_report(&single_engine("e", load(64, 2))),
    );
    assert!(schedule.is_due(start, &first));
    assert!(!schedule.is_due(start + constants::LOAD_REPORT_INTERVAL, &first));
    assert!(schedule.is_due(start + constants::LOAD_REPORT_INTERVAL, &changed));
    assert!(schedule.is_due(
        start + constants::LOAD_REPORT_INTERVAL + constants::LOAD_REPORT_REFRESH_INTERVAL,
        &changed
    ));
}
