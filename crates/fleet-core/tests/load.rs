//! Aggregation of engine loads over routers and controllers.

use fleet_core::constants;
use fleet_core::load::{ByEngine, Load, LoadTable, ReportSchedule, key_of, pack, unpack};
use tokio::time::Instant;

fn load(unread: u64, runs: u32) -> Load {
    Load { unread, runs, interactive: runs / 2 }
}

fn one(id: &str, l: Load) -> ByEngine {
    std::iter::once((key_of(id), l)).collect()
}

#[test]
fn packed_loads_keep_their_sums_rounded_up() {
    let l = pack(&one("e", load(65, 4)));
    let back: ByEngine = unpack(&l).collect();
    assert_eq!(back[&key_of("e")], Load { unread: 128, runs: 4, interactive: 2 });
    assert!(pack(&one("e", Load::default())).keys.is_empty());
}

#[test]
fn lists_of_unequal_length_are_read_as_far_as_all_reach() {
    let mut l = pack(&one("e", load(64, 1)));
    l.keys.push(7);
    l.runs.clear();
    assert_eq!(unpack(&l).count(), 0);
}

#[test]
fn tellers_add_up_until_they_fall_silent() {
    let t = Instant::now();
    let mut b = LoadTable::default();
    b.record(1, t, pack(&one("e", load(64, 1))));
    b.record(2, t, pack(&one("e", load(64, 9))));
    b.record(2, t + constants::LOAD_REPORT_REFRESH, pack(&one("e", load(64, 2))));
    assert_eq!(b.sum(t + constants::LOAD_REPORT_REFRESH)[&key_of("e")].runs, 3);
    assert_eq!(b.sum(t + constants::LOAD_REPORT_TIMEOUT)[&key_of("e")].runs, 2);
    assert_eq!(b.reporters().collect::<Vec<_>>(), [2]);
    assert!(b.sum(t + constants::LOAD_REPORT_TIMEOUT * 2).is_empty());
}

#[test]
fn nothing_goes_out_while_nothing_changes_but_now_and_then() {
    let t = Instant::now();
    let mut last = ReportSchedule::default();
    let (a, b) = (pack(&one("e", load(64, 1))), pack(&one("e", load(64, 2))));
    assert!(last.is_due(t, &a));
    assert!(!last.is_due(t + constants::LOAD_REPORT_INTERVAL, &a));
    assert!(last.is_due(t + constants::LOAD_REPORT_INTERVAL, &b));
    assert!(last.is_due(t + constants::LOAD_REPORT_INTERVAL + constants::LOAD_REPORT_REFRESH, &b));
}
