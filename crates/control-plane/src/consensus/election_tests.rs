//! Tests of `election`: the timeout is tracked per key and extended by progress of the owner.

use super::*;

#[test]
fn owner_times_out_only_without_progress() {
    let start = Instant::now();
    let election_timeout = Duration::from_millis(300);
    let mut tracker = ProgressTracker::default();
    assert!(tracker.has_timed_out("a", start, election_timeout), "no owner yet");
    tracker.record_progress("a", start);
    assert!(!tracker.has_timed_out("a", start + election_timeout / 2, election_timeout));
    tracker.record_progress("a", start + election_timeout / 2);
    assert!(!tracker.has_timed_out("a", start + election_timeout, election_timeout));
    assert!(tracker.has_timed_out("a", start + election_timeout * 3 / 2, election_timeout));
    assert!(tracker.has_timed_out("b", start, election_timeout), "progress is tracked per key");
}
