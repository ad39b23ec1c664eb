//! The status of engines in a rollout, as shown to operators.

use control_plane::rollout::plan::Step;
use control_plane::rollout::status::{State, stall_reason, state_of};
use fleet_core::constants;
use fleet_core::wire::{Engine, WeightsVersion};
use std::time::Duration;
use tokio::time::Instant;

fn engine(version: u64, update_seq: u64, drain_seq: u64) -> Engine {
    let weights = vec![WeightsVersion { model: "m".into(), version }];
    Engine { id: "e".into(), weights, update_seq, drain_seq, ..Default::default() }
}

#[test]
fn state_follows_from_weights_and_sequence_numbers() {
    let cases = [
        (engine(2, 0, 0), State::Ready),
        (engine(2, 1, 1), State::Ready),
        (engine(1, 1, 1), State::Updating),
        (engine(1, 2, 1), State::DrainingStreams),
        (engine(1, 2, 2), State::Waiting),
        (Engine { heartbeat_missed: true, ..engine(2, 0, 0) }, State::HeartbeatMissed),
    ];
    for (engine, expected) in cases {
        assert_eq!(state_of(&engine, "m", 2), expected, "{engine:?}");
    }
}

#[test]
fn stuck_reports_only_problems() {
    let started_at = Instant::now();
    let updating = |ms| Some((Step::Updating(started_at), started_at + Duration::from_millis(ms)));
    assert_eq!(
        stall_reason(State::Updating, updating(100), Some("late")),
        None,
        "the update is being retried"
    );
    let slow = stall_reason(
        State::Updating,
        updating(constants::UPDATE_STUCK_THRESHOLD.as_millis() as u64 + 1),
        None,
    );
    assert_eq!(slow.as_deref(), Some("turns since 4001 ms"));
    let failed = stall_reason(State::Waiting, None, Some("a higher fence was seen"));
    assert_eq!(failed.as_deref(), Some("last turn failed: a higher fence was seen"));
    assert_eq!(stall_reason(State::Waiting, None, None), None);
    assert_eq!(stall_reason(State::Ready, None, Some("late")), None);
    assert!(stall_reason(State::HeartbeatMissed, None, None).is_some());
}
