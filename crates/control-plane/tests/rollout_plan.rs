//! The order, concurrency and steps of a rollout, at times set by the tests.

use control_plane::rollout::concurrency::ConcurrencyLimit;
use control_plane::rollout::plan::{Action, OutdatedEngine, Plan, Step};
use fleet_core::constants;
use std::time::Duration;
use tokio::time::Instant;

const LONG: Duration = Duration::from_secs(60);

fn outdated(id: usize, interactive_share: f64, interactive_runs: u32) -> OutdatedEngine {
    let zone = ["a", "b"][id % 2].to_owned();
    OutdatedEngine {
        id: format!("e{id:03}"),
        zone,
        interactive_share,
        interactive_in_flight: interactive_runs,
        in_flight: interactive_runs + 1,
        remaining: LONG,
        goal: LONG,
    }
}

/// The same engines, with this much time left to the goal.
fn with_goal(engines: &[OutdatedEngine], goal: Duration) -> Vec<OutdatedEngine> {
    engines.iter().map(|engine| OutdatedEngine { goal, ..engine.clone() }).collect()
}

/// The same engines, with this much time left to the deadline.
fn with_remaining(engines: &[OutdatedEngine], remaining: Duration) -> Vec<OutdatedEngine> {
    engines.iter().map(|engine| OutdatedEngine { remaining, ..engine.clone() }).collect()
}

/// `interactive` engines that serve interactive requests, then `batch` engines that serve batch requests.
fn fleet(interactive: usize, batch: usize, interactive_runs: u32) -> Vec<OutdatedEngine> {
    (0..interactive)
        .map(|i| outdated(i, 0.9, interactive_runs))
        .chain((interactive..interactive + batch).map(|i| outdated(i, 0.0, 0)))
        .collect()
}

fn updated(actions: &[Action]) -> Vec<&str> {
    let is_update = |action: &'_ Action| matches!(action, Action::Update(_));
    actions
        .iter()
        .filter(|action| is_update(action))
        .map(|action| match action {
            Action::Update(id) | Action::DrainStreams(id) => id.as_str(),
        })
        .collect()
}

#[test]
fn interactive_engines_are_updated_before_batch_engines() {
    let (mut plan, mut now) = (Plan::default(), Instant::now());
    let mut remaining = fleet(6, 14, 0);
    let mut order: Vec<String> = Vec::new();
    while !remaining.is_empty() {
        let actions = plan.next(now, 20, &remaining);
        now += constants::UPDATE_INITIAL_ESTIMATE;
        for id in updated(&actions) {
            order.push(id.to_owned());
            plan.record_update_end(id, now, Some(Duration::from_millis(400)));
            remaining.retain(|engine| engine.id != id);
        }
        assert!(order.len() < 30);
    }
    let last = order.iter().rposition(|id| id.as_str() < "e006").unwrap();
    assert_eq!(last, 5, "{order:?}");
    assert_eq!(order.len(), 20, "each engine is updated once");
}

#[test]
fn engine_with_streams_drains_them_and_is_updated_when_they_end_or_time_out() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let mut engines = fleet(2, 0, 3);
    let actions = plan.next(now, 2, &engines);
    assert!(updated(&actions).is_empty() && actions.len() == 1, "{actions:?}");
    assert_eq!(plan.step("e000"), Some(Step::DrainingStreams(now)));
    assert!(plan.next(now + constants::ROLLOUT_INTERVAL, 2, &engines).is_empty());
    engines[0].interactive_in_flight = 0;
    let actions = plan.next(now + constants::ROLLOUT_INTERVAL * 2, 2, &engines);
    assert_eq!(updated(&actions), ["e000"]);
    plan.record_update_end(
        "e000",
        now + constants::UPDATE_INITIAL_ESTIMATE,
        Some(Duration::from_millis(400)),
    );
    let remaining = [engines[1].clone()];
    let now = now + constants::UPDATE_INITIAL_ESTIMATE;
    assert_eq!(plan.next(now, 2, &remaining), [Action::DrainStreams("e001".into())]);
    assert_eq!(updated(&plan.next(now + constants::STREAM_DRAIN_TIMEOUT, 2, &remaining)), ["e001"]);
}

#[test]
fn concurrent_updates_are_limited_unless_the_deadline_is_near() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let engines = fleet(0, 100, 0);
    let actions = plan.next(now, 100, &engines);
    assert_eq!(updated(&actions).len(), (100.0 * constants::ROLLOUT_INITIAL_SHARE) as usize);
    assert!(plan.next(now, 100, &engines).is_empty(), "the first ones are still being updated");
    let late =
        plan.next(now, 100, &with_remaining(&engines, constants::UPDATE_INITIAL_ESTIMATE * 2));
    assert_eq!(
        updated(&late).len() + actions.len(),
        (100.0 * constants::ROLLOUT_MAX_SHARE_LATE) as usize
    );
}

#[test]
fn batch_engines_do_not_wait_for_interactive_ones_when_time_is_short() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let engines = fleet(10, 10, 5);
    assert!(updated(&plan.next(now, 20, &engines)).is_empty());
    let actions =
        plan.next(now, 20, &with_remaining(&engines, constants::UPDATE_INITIAL_ESTIMATE * 3));
    assert!(updated(&actions).iter().all(|id| *id >= "e010") && !updated(&actions).is_empty());
}

#[test]
fn concurrency_grows_with_fast_loads_and_decreases_once_per_wave_of_slow_ones() {
    let (mut concurrency, now) = (ConcurrencyLimit::new(100), Instant::now());
    let ms = Duration::from_millis;
    let initial = concurrency.limit();
    for _ in 0..10 {
        concurrency.record_load(now, ms(400));
    }
    assert_eq!(concurrency.limit(), initial + 10);
    for _ in 0..5 {
        concurrency.record_load(now, ms(1200));
    }
    assert_eq!(
        concurrency.limit(),
        ((initial + 10) as f64 * constants::CONCURRENCY_DECREASE) as usize,
        "one decrease per wave"
    );
    concurrency.record_load(now + constants::CONCURRENCY_DECREASE_INTERVAL, ms(1200));
    assert!(concurrency.limit() < initial + 10 - 5);
    for i in 0..50 {
        concurrency.record_load(now + constants::CONCURRENCY_DECREASE_INTERVAL * (i + 2), ms(5000));
    }
    assert_eq!(concurrency.limit(), 1);
}

#[test]
fn failed_update_is_retried_and_does_not_change_the_concurrency() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let engines = fleet(0, 1, 0);
    assert_eq!(updated(&plan.next(now, 1, &engines)), ["e000"]);
    let concurrency = plan.concurrency();
    plan.record_update_end("e000", now + LONG, None);
    assert_eq!(plan.concurrency(), concurrency);
    assert_eq!(updated(&plan.next(now + LONG, 1, &engines)), ["e000"]);
}

#[test]
fn new_holder_continues_draining_started_by_the_previous_one() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let engines = fleet(1, 0, 0);
    plan.adopt("e000", now);
    assert_eq!(plan.next(now, 1, &engines), [Action::Update("e000".into())]);
    plan.adopt("e000", now);
    assert_eq!(plan.step("e000"), Some(Step::Updating(now)), "adopting does not reset an update");
}

#[test]
fn removed_engine_does_not_block_the_roll_out() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let engines = fleet(2, 0, 4);
    plan.next(now, 2, &engines);
    let actions = plan.next(now, 2, &engines[1..]);
    assert_eq!(actions, [Action::DrainStreams("e001".into())], "its place in the roll-out is free");
    assert_eq!(plan.step("e000"), None);
}

#[test]
fn engines_with_the_least_time_left_are_updated_first_however_busy() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let mut engines = fleet(0, 10, 0);
    for engine in &mut engines[7..] {
        engine.in_flight = 40;
        engine.remaining = Duration::from_secs(3);
    }
    let mut order: Vec<String> = Vec::new();
    while order.len() < 10 {
        let begun = plan.next(now, 10, &engines);
        for id in updated(&begun) {
            order.push(id.to_owned());
            plan.record_update_end(id, now, Some(Duration::from_millis(400)));
            engines.retain(|engine| engine.id != id);
        }
        assert!(!begun.is_empty(), "{order:?}");
    }
    let mut first: Vec<&str> = order[..3].iter().map(String::as_str).collect();
    first.sort_unstable();
    assert_eq!(first, ["e007", "e008", "e009"], "{order:?}");
}

#[test]
fn interactive_engines_with_the_least_time_left_are_drained_first() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let mut engines = fleet(3, 0, 2);
    engines[2].interactive_in_flight = 40;
    engines[2].remaining = Duration::from_secs(3);
    assert_eq!(plan.next(now, 3, &engines).first(), Some(&Action::DrainStreams("e002".into())));
}

#[test]
fn few_engines_with_little_time_raise_the_concurrency_only_as_needed() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let mut engines = fleet(0, 20, 0);
    for engine in &mut engines[..8] {
        engine.remaining = constants::UPDATE_INITIAL_ESTIMATE;
    }
    assert_eq!(updated(&plan.next(now, 20, &engines)).len(), 8, "all of them are updated at once");
}

#[test]
fn goal_raises_the_concurrency_only_up_to_the_maximum_share() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let engines = with_goal(&fleet(0, 100, 0), constants::UPDATE_INITIAL_ESTIMATE * 4);
    assert_eq!(
        updated(&plan.next(now, 100, &engines)).len(),
        25,
        "all engines within four rounds of updates"
    );
    let (mut plan, passed) = (Plan::default(), with_goal(&engines, Duration::ZERO));
    let max_updates = (100.0 * constants::ROLLOUT_MAX_SHARE) as usize;
    assert_eq!(
        updated(&plan.next(now, 100, &passed)).len(),
        max_updates,
        "a goal in the past does not exceed the maximum share"
    );
}

#[test]
fn slow_loads_lower_the_concurrency_although_the_goal_has_passed() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let engines = with_remaining(&with_goal(&fleet(0, 100, 0), Duration::ZERO), LONG * 1000);
    let begun = plan.next(now, 100, &engines);
    let ms = Duration::from_millis;
    for (number, id) in updated(&begun).into_iter().enumerate() {
        let load = if number == 0 { ms(400) } else { ms(4000) };
        let ended = now + constants::CONCURRENCY_DECREASE_INTERVAL * (number as u32 + 1);
        plan.record_update_end(id, ended, Some(load));
    }
    assert!(updated(&plan.next(now + LONG, 100, &engines)).len() <= 2 * plan.concurrency());
    assert!(plan.concurrency() < 5, "{}", plan.concurrency());
}

#[test]
fn batch_engines_do_not_wait_for_interactive_ones_when_the_goal_is_near() {
    let (mut plan, now) = (Plan::default(), Instant::now());
    let engines = with_goal(&fleet(10, 10, 5), constants::UPDATE_INITIAL_ESTIMATE * 3);
    let actions = plan.next(now, 20, &engines);
    assert!(updated(&actions).iter().all(|id| *id >= "e010") && !updated(&actions).is_empty());
}
