//! The order, width and steps of a roll-out, on a clock of the test's own.

use control_plane::duties::rollout::plan::{Action, Old, Plan, Step, Width};
use fleet_core::constants;
use std::time::Duration;
use tokio::time::Instant;

const LONG: Duration = Duration::from_secs(60);

fn old(id: usize, interactive: f64, waits: u32) -> Old {
    let zone = ["a", "b"][id % 2].to_owned();
    Old { id: format!("e{id:03}"), zone, interactive, waits, runs: waits + 1 }
}

/// `people` engines that serve people who wait, then batch-like ones.
fn fleet(people: usize, batch: usize, waits: u32) -> Vec<Old> {
    (0..people)
        .map(|i| old(i, 0.9, waits))
        .chain((people..people + batch).map(|i| old(i, 0.0, 0)))
        .collect()
}

fn turned(actions: &[Action]) -> Vec<&str> {
    let turn = |a: &'_ Action| matches!(a, Action::Turn(_));
    actions
        .iter()
        .filter(|a| turn(a))
        .map(|a| match a {
            Action::Turn(id) | Action::Fade(id) => id.as_str(),
        })
        .collect()
}

#[test]
fn engines_of_people_who_wait_are_ready_before_any_batch_like_one() {
    let (mut plan, mut now) = (Plan::default(), Instant::now());
    let mut left = fleet(6, 14, 0);
    let mut order: Vec<String> = Vec::new();
    while !left.is_empty() {
        let out = plan.next(now, 20, &left, LONG);
        now += constants::TURN_FIRST;
        for id in turned(&out) {
            order.push(id.to_owned());
            plan.ended(id, now, Some(Duration::from_millis(400)));
            left.retain(|o| o.id != id);
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
    let out = plan.next(t, 2, &all, LONG);
    assert!(turned(&out).is_empty() && out.len() == 1, "{out:?}");
    assert_eq!(plan.step("e000"), Some(Step::Fading(t)));
    assert!(plan.next(t + constants::ROLL_TICK, 2, &all, LONG).is_empty());
    all[0].waits = 0;
    let out = plan.next(t + constants::ROLL_TICK * 2, 2, &all, LONG);
    assert_eq!(turned(&out), ["e000"]);
    plan.ended("e000", t + constants::TURN_FIRST, Some(Duration::from_millis(400)));
    let left = [all[1].clone()];
    let t = t + constants::TURN_FIRST;
    assert_eq!(plan.next(t, 2, &left, LONG), [Action::Fade("e001".into())]);
    assert_eq!(turned(&plan.next(t + constants::FADE_LIMIT, 2, &left, LONG)), ["e001"]);
}

#[test]
fn no_more_turn_together_than_traffic_can_spare_unless_the_bound_is_near() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(0, 100, 0);
    let out = plan.next(t, 100, &all, LONG);
    assert_eq!(turned(&out).len(), (100.0 * constants::ROLL_START) as usize);
    assert!(plan.next(t, 100, &all, LONG).is_empty(), "these turn already");
    let late = plan.next(t, 100, &all, constants::TURN_FIRST * 2);
    assert_eq!(turned(&late).len() + out.len(), (100.0 * constants::ROLL_SHARE_LATE) as usize);
}

#[test]
fn batch_like_ones_do_not_wait_when_time_is_short() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(10, 10, 5);
    assert!(turned(&plan.next(t, 20, &all, LONG)).is_empty());
    let out = plan.next(t, 20, &all, constants::TURN_FIRST * 3);
    assert!(turned(&out).iter().all(|id| *id >= "e010") && !turned(&out).is_empty());
}

#[test]
fn width_grows_with_quick_loads_and_falls_once_with_slow_ones() {
    let (mut w, t) = (Width::new(100), Instant::now());
    let ms = Duration::from_millis;
    let first = w.now();
    for _ in 0..10 {
        w.loaded(t, ms(400));
    }
    assert_eq!(w.now(), first + 10);
    for _ in 0..5 {
        w.loaded(t, ms(1200));
    }
    assert_eq!(
        w.now(),
        ((first + 10) as f64 * constants::WIDTH_CUT) as usize,
        "one cut for one wave"
    );
    w.loaded(t + constants::WIDTH_CUT_PAUSE, ms(1200));
    assert!(w.now() < first + 10 - 5);
    for i in 0..50 {
        w.loaded(t + constants::WIDTH_CUT_PAUSE * (i + 2), ms(5000));
    }
    assert_eq!(w.now(), 1);
}

#[test]
fn a_failed_turn_is_begun_again_and_teaches_nothing() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(0, 1, 0);
    assert_eq!(turned(&plan.next(t, 1, &all, LONG)), ["e000"]);
    let width = plan.width();
    plan.ended("e000", t + LONG, None);
    assert_eq!(plan.width(), width);
    assert_eq!(turned(&plan.next(t + LONG, 1, &all, LONG)), ["e000"]);
}

#[test]
fn a_new_holder_takes_up_what_faded_under_the_former_one() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(1, 0, 0);
    plan.adopt("e000", t);
    assert_eq!(plan.next(t, 1, &all, LONG), [Action::Turn("e000".into())]);
    plan.adopt("e000", t);
    assert_eq!(plan.step("e000"), Some(Step::Turning(t)), "a turn is not taken back");
}

#[test]
fn an_engine_that_is_gone_midway_holds_nothing_up() {
    let (mut plan, t) = (Plan::default(), Instant::now());
    let all = fleet(2, 0, 4);
    plan.next(t, 2, &all, LONG);
    let out = plan.next(t, 2, &all[1..], LONG);
    assert_eq!(out, [Action::Fade("e001".into())], "its place is free");
    assert_eq!(plan.step("e000"), None);
}
