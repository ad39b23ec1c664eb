//! The order, width and steps of a roll-out, on a clock of the test's own.

use control_plane::rollout::concurrency::Concurrency;
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
        interactive_runs,
        runs: interactive_runs + 1,
        remaining: LONG,
        goal: LONG,
    }
}

/// The same engines, which should be done in so much time.
fn with_goal(engines: &[OutdatedEngine], goal: Duration) -> Vec<OutdatedEngine> {
    engines.iter().map(|engine| OutdatedEngine { goal, ..engine.clone() }).collect()
}

/// The same engines with so much time left.
fn with_remaining(engines: &[OutdatedEngine], remaining: Duration) -> Vec<OutdatedEngine> {
    engines.iter().map(|engine| OutdatedEngine { remaining, ..engine.clone() }).collect()
}

/// `people` engines that serve people who wait, then batch-like ones.
fn fleet(people: usize, batch: usize, interactive_runs: u32) -> Vec<OutdatedEngine> {
    (0..people)
        .map(|i| outdated(i, 0.9, interactive_runs))
        .chain((people..people + batch).map(|i| outdated(i, 0.0, 0)))
        .collect()
}

fn updated(actions: &[Action]) -> Vec<&str> {
    let is_update = |a: &'_ Action| matches!(a, Action::Update(_));
    actions
        .iter()
        .filter(|a| is_update(a))
        .map(|a| match a {
            Action::Update(id) | Action::DrainStreams(id) => id.as_str(),
        })
        .collect()
}

#[test]
fn engines_of_people_who_wait_are_ready_before_any_batch_like_one() {
    let (mut plan, mut now) = (Plan::default(), Instant::now());
    let mut remaining = fleet(6, 14, 0);
    let mut order: Vec<String> = Vec::new();
    while !remaining.is_empty() {
        let out = plan.next(now, 20, &remaining);
        now += constants::UPDATE_INITIAL_ESTIMATE;
        for id in updated(&out) {
            order.push(id.to_owned());
            plan.ended(id, now, Some(Duration::from_millis(400)));
            remaining.retain(|o| o.id != id);
        }
        assert!(order.len() < 30);
    }
    let last = order.iter().rposition(|id| id.as_str() < "e006").unwrap();
    assert_eq!(last, 5, "{order:?}");
    assert_eq!(order.len(), 20, "each once");
}

#[test]
fn an_engine_with_streams_fades_first_and_turns_when_they_end_or_time_is_up() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let mut all = fleet(2, 0, 3);
    let out = plan.next(t, 2, &all);
    assert!(updated(&out).is_empty() && out.len() == 1, "{out:?}");
    assert_eq!(plan.step("e000"), Some(Step::DrainingStreams(t)));
    assert!(plan.next(t + constants::ROLLOUT_INTERVAL, 2, &all).is_empty());
    all[0].interactive_runs = 0;
    let out = plan.next(t + constants::ROLLOUT_INTERVAL * 2, 2, &all);
    assert_eq!(updated(&out), ["e000"]);
    plan.ended("e000", t + constants::UPDATE_INITIAL_ESTIMATE, Some(Duration::from_millis(400)));
    let remaining = [all[1].clone()];
    let t = t + constants::UPDATE_INITIAL_ESTIMATE;
    assert_eq!(plan.next(t, 2, &remaining), [Action::DrainStreams("e001".into())]);
    assert_eq!(updated(&plan.next(t + constants::STREAM_DRAIN_TIMEOUT, 2, &remaining)), ["e001"]);
}

#[test]
fn no_more_turn_together_than_traffic_can_spare_unless_the_bound_is_near() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(0, 100, 0);
    let out = plan.next(t, 100, &all);
    assert_eq!(updated(&out).len(), (100.0 * constants::ROLLOUT_INITIAL_SHARE) as usize);
    assert!(plan.next(t, 100, &all).is_empty(), "these turn already");
    let late = plan.next(t, 100, &with_remaining(&all, constants::UPDATE_INITIAL_ESTIMATE * 2));
    assert_eq!(
        updated(&late).len() + out.len(),
        (100.0 * constants::ROLLOUT_MAX_SHARE_LATE) as usize
    );
}

#[test]
fn batch_like_ones_do_not_wait_when_time_is_short() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(10, 10, 5);
    assert!(updated(&plan.next(t, 20, &all)).is_empty());
    let out = plan.next(t, 20, &with_remaining(&all, constants::UPDATE_INITIAL_ESTIMATE * 3));
    assert!(updated(&out).iter().all(|id| *id >= "e010") && !updated(&out).is_empty());
}

#[test]
fn width_grows_with_quick_loads_and_falls_once_with_slow_ones() {
    let (mut w, t) = (Concurrency::new(100), Instant::now());
    let ms = Duration::from_millis;
    let first = w.limit();
    for _ in 0..10 {
        w.record_load(t, ms(400));
    }
    assert_eq!(w.limit(), first + 10);
    for _ in 0..5 {
        w.record_load(t, ms(1200));
    }
    assert_eq!(
        w.limit(),
        ((first + 10) as f64 * constants::CONCURRENCY_DECREASE) as usize,
        "one cut for one wave"
    );
    w.record_load(t + constants::CONCURRENCY_DECREASE_INTERVAL, ms(1200));
    assert!(w.limit() < first + 10 - 5);
    for i in 0..50 {
        w.record_load(t + constants::CONCURRENCY_DECREASE_INTERVAL * (i + 2), ms(5000));
    }
    assert_eq!(w.limit(), 1);
}

#[test]
fn a_failed_turn_is_begun_again_and_teaches_nothing() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(0, 1, 0);
    assert_eq!(updated(&plan.next(t, 1, &all)), ["e000"]);
    let concurrency = plan.concurrency();
    plan.ended("e000", t + LONG, None);
    assert_eq!(plan.concurrency(), concurrency);
    assert_eq!(updated(&plan.next(t + LONG, 1, &all)), ["e000"]);
}

#[test]
fn a_new_holder_takes_up_what_faded_under_the_former_one() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(1, 0, 0);
    plan.adopt("e000", t);
    assert_eq!(plan.next(t, 1, &all), [Action::Update("e000".into())]);
    plan.adopt("e000", t);
    assert_eq!(plan.step("e000"), Some(Step::Updating(t)), "a turn is not taken back");
}

#[test]
fn an_engine_that_is_gone_midway_holds_nothing_up() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(2, 0, 4);
    plan.next(t, 2, &all);
    let out = plan.next(t, 2, &all[1..]);
    assert_eq!(out, [Action::DrainStreams("e001".into())], "its place is free");
    assert_eq!(plan.step("e000"), None);
}

#[test]
fn the_oldest_weights_go_first_however_busy_their_engines_are() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let mut all = fleet(0, 10, 0);
    for engine in &mut all[7..] {
        engine.runs = 40;
        engine.remaining = Duration::from_secs(3);
    }
    let mut order: Vec<String> = Vec::new();
    while order.len() < 10 {
        let begun = plan.next(t, 10, &all);
        for id in updated(&begun) {
            order.push(id.to_owned());
            plan.ended(id, t, Some(Duration::from_millis(400)));
            all.retain(|engine| engine.id != id);
        }
        assert!(!begun.is_empty(), "{order:?}");
    }
    let mut first: Vec<&str> = order[..3].iter().map(String::as_str).collect();
    first.sort_unstable();
    assert_eq!(first, ["e007", "e008", "e009"], "{order:?}");
}

#[test]
fn interactive_engines_with_the_oldest_weights_are_drained_first() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let mut all = fleet(3, 0, 2);
    all[2].interactive_runs = 40;
    all[2].remaining = Duration::from_secs(3);
    assert_eq!(plan.next(t, 3, &all).first(), Some(&Action::DrainStreams("e002".into())));
}

#[test]
fn few_engines_with_little_time_widen_the_roll_out_as_far_as_they_need() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let mut all = fleet(0, 20, 0);
    for engine in &mut all[..8] {
        engine.remaining = constants::UPDATE_INITIAL_ESTIMATE;
    }
    assert_eq!(updated(&plan.next(t, 20, &all)).len(), 8, "each is ready in time");
}

#[test]
fn a_goal_widens_the_roll_out_only_as_far_as_traffic_can_spare() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = with_goal(&fleet(0, 100, 0), constants::UPDATE_INITIAL_ESTIMATE * 4);
    assert_eq!(updated(&plan.next(t, 100, &all)).len(), 25, "all within four updates");
    let (mut plan, passed) = (Plan::default(), with_goal(&all, Duration::ZERO));
    let most = (100.0 * constants::ROLLOUT_MAX_SHARE) as usize;
    assert_eq!(
        updated(&plan.next(t, 100, &passed)).len(),
        most,
        "a goal that has passed is no bound"
    );
}

#[test]
fn slow_loads_narrow_a_roll_out_whose_goal_has_passed() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = with_remaining(&with_goal(&fleet(0, 100, 0), Duration::ZERO), LONG * 1000);
    let begun = plan.next(t, 100, &all);
    let ms = Duration::from_millis;
    for (number, id) in updated(&begun).into_iter().enumerate() {
        let load = if number == 0 { ms(400) } else { ms(4000) };
        let ended = t + constants::CONCURRENCY_DECREASE_INTERVAL * (number as u32 + 1);
        plan.ended(id, ended, Some(load));
    }
    assert!(updated(&plan.next(t + LONG, 100, &all)).len() <= 2 * plan.concurrency());
    assert!(plan.concurrency() < 5, "{}", plan.concurrency());
}

#[test]
fn batch_like_ones_do_not_wait_for_the_interactive_ones_where_the_goal_is_near() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = with_goal(&fleet(10, 10, 5), constants::UPDATE_INITIAL_ESTIMATE * 3);
    let out = plan.next(t, 20, &all);
    assert!(updated(&out).iter().all(|id| *id >= "e010") && !updated(&out).is_empty());
}
