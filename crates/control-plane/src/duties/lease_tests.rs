//! Tests of `lease`.

use super::*;
use crate::control::values::{Decision, decide};
use fleet_core::wire::{ChangeKind, ChangeResponse, Outcome, RaiseFencingToken};

const L: Duration = Duration::from_secs(3);
const ORDERS: Terms = Terms { lease: L, orders: true };
const OTHER: Terms = Terms { lease: L, orders: false };

fn lease(incarnation: u64, number: u64) -> LeaseRequest {
    let node = format!("n{incarnation}");
    LeaseRequest { duty: "d".into(), incarnation, number, node, ..Default::default() }
}

/// Of a holder that has acted.
fn leave(incarnation: u64, number: u64) -> LeaseRequest {
    LeaseRequest { leave: true, ms: L.as_millis() as u64, ..lease(incarnation, number) }
}

/// Candidates that fail must not keep each other out: with a rest for each of them, several could go on for ever.
#[test]
fn an_attempt_that_never_acted_is_taken_back_at_once() {
    let t = Instant::now();
    let mut g = Grantor::new(None);
    assert!(g.answer(&lease(1, 1), t, ORDERS));
    assert!(g.answer(&LeaseRequest { ms: 0, ..leave(1, 2) }, t, ORDERS));
    assert!(g.answer(&lease(2, 1), t, ORDERS));
}

#[test]
fn one_incarnation_at_a_time_and_none_after_a_restart() {
    let t = Instant::now();
    let mut g = Grantor::new(Some(t + L));
    assert!(!g.answer(&lease(1, 1), t, ORDERS));
    let other_duty = LeaseRequest { duty: "e".into(), ..lease(1, 1) };
    assert!(g.answer(&other_duty, t, OTHER), "no orders are given under it");
    assert!(g.answer(&lease(1, 2), t + L, ORDERS));
    assert!(!g.answer(&lease(2, 1), t + L, ORDERS));
    assert!(g.answer(&lease(1, 3), t + L * 3 / 2, ORDERS));
    assert!(!g.answer(&lease(2, 2), t + L * 2, ORDERS));
    assert!(g.answer(&lease(2, 3), t + L * 5 / 2, ORDERS));
    assert!(g.answer(&leave(2, 4), t + L * 5 / 2, ORDERS));
    let rest = ORDERS.margin();
    assert!(!g.answer(&lease(3, 1), t + L * 5 / 2, ORDERS), "orders may be on their way");
    assert!(g.answer(&lease(3, 2), t + L * 5 / 2 + rest, ORDERS));
    let again = LeaseRequest { incarnation: 9, ..lease(3, 1) };
    assert!(g.answer(&again, t + L * 5 / 2 + rest, ORDERS), "the holder's own node, restarted");
    assert!(!g.answer(&lease(2, 5), t + L * 5 / 2 + rest, ORDERS));
}

#[test]
fn a_late_leave_takes_no_later_grant() {
    let t = Instant::now();
    let mut g = Grantor::new(None);
    assert!(g.answer(&lease(1, 1), t, OTHER));
    assert!(g.answer(&lease(1, 3), t, OTHER), "the second try overtakes the leave of the first");
    assert!(!g.answer(&leave(1, 2), t, OTHER));
    assert!(!g.answer(&lease(2, 1), t, OTHER));
}

#[test]
fn a_former_incarnation_takes_nothing_from_the_next_one() {
    let t = Instant::now();
    let mut g = Grantor::new(None);
    let second = |l| LeaseRequest { node: "n1".into(), ..l };
    assert!(g.answer(&second(lease(2, 1)), t, OTHER));
    assert!(g.answer(&lease(1, 7), t, OTHER), "late, of the same node");
    assert!(g.answer(&leave(1, 8), t, OTHER));
    assert!(!g.answer(&lease(3, 1), t, OTHER));
}

/// {A,B,C} moves to {B,C,D} while A holds: neither C with D nor B with D may grant it to another.
#[test]
fn a_newcomer_grants_nothing_while_a_lease_of_former_members_may_run() {
    let t = Instant::now();
    let mut g = Grantor::new(None);
    let keeper = LeaseRequest { duty: "e".into(), ..lease(2, 1) };
    assert!(g.answer(&keeper, t, OTHER));
    g.close_until(t + L);
    g.close_until(t + L / 2);
    assert!(!g.answer(&lease(2, 2), t + L * 3 / 4, ORDERS));
    assert!(g.answer(&lease(2, 3), t + L, ORDERS));
}

#[test]
fn a_pause_ends_the_mandate_before_any_order() {
    let t = Instant::now();
    let mut h = Holder::new(1);
    h.acquired(t, t, 5, true, ORDERS);
    let until = t + ORDERS.usable();
    assert_eq!(h.mandate(t), Some(Mandate { fence: 5, until }));
    assert_eq!(h.mandate(until), None);
    h.renewed(t + L / 2, until, ORDERS);
    assert_eq!(h.step(until, ORDERS), Step::Lapsed, "an answer after the end is none");
}

#[test]
fn a_new_holder_acts_a_lease_after_the_former_one_and_once_that_is_on_record() {
    let t = Instant::now();
    let mut h = Holder::new(1);
    let id = h.raise();
    h.acquired(t, t, 6, false, ORDERS);
    let from = t + ORDERS.usable();
    assert_eq!(h.step(t, ORDERS), Step::Rest(Some(from)));
    h.renewed(t + L * 2 / 3, t + L * 2 / 3, ORDERS);
    assert_eq!(h.step(from, ORDERS), Step::Record(id));
    assert_eq!(h.mandate(from), None);
    h.recorded(id);
    assert_eq!(h.mandate(from).map(|m| m.fence), Some(6));
    assert_ne!(h.raise(), id, "the next raise is another one");
}

/// On a busy machine answers come late, though the holder goes on asking: two tries may fail, and the third
/// still comes well before the end.
#[test]
fn the_shortest_lease_outlasts_two_failed_renewals() {
    let t = Instant::now();
    for terms in [Terms { lease: constants::KEEPER_LEASE, orders: false }, ORDERS] {
        let mut h = Holder::new(1);
        h.acquired(t, t, 1, true, terms);
        let mut now = t;
        let mut failed = 0;
        while failed < 2 {
            assert_ne!(h.step(now, terms), Step::Lapsed);
            if h.step(now, terms) == Step::Renew {
                now += constants::RENEW_LIMIT + constants::RENEW_TICK;
                failed += 1;
            } else {
                now += constants::DUTY_TICK;
            }
        }
        assert_eq!(h.step(now, terms), Step::Renew);
        let answered = now + constants::RENEW_LIMIT / 2;
        h.renewed(now, answered, terms);
        assert_eq!(h.mandate(answered).map(|m| m.until), Some(now + terms.usable()));
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Goal {
    Take,
    Renew,
}

/// What a node waits for.
#[derive(Debug, Clone)]
struct Pending {
    asked: Instant,
    number: u64,
    have: usize,
    goal: Goal,
}

#[derive(Debug, Clone)]
enum Message {
    Ask(usize, LeaseRequest),
    Granted(usize, u64, u64),
    Raise(Raising),
    Raised(Raising, ChangeResponse),
}

/// A raise on its way, with when its lease was asked for and granted.
#[derive(Debug, Clone, Copy)]
struct Raising {
    who: usize,
    id: RaiseId,
    acts: bool,
    asked: Instant,
    granted: Instant,
}

impl Raising {
    fn change(&self) -> ChangeKind {
        let (id, acts) = (self.id, self.acts);
        let holder = format!("n{}", self.who);
        ChangeKind::Raise(RaiseFencingToken { duty: "d".into(), holder, id, acts })
    }
}

struct SimNode {
    grantor: Grantor,
    holder: Holder,
    incarnation: u64,
    number: u64,
    pending: Option<Pending>,
}

/// Three nodes that drive the states as the program does, over a wire that loses, delays and reorders.
struct World {
    now: Instant,
    nodes: Vec<SimNode>,
    wire: Vec<Message>,
    register: bytes::Bytes,
    orders: Vec<(Instant, usize, u64)>,
    restarts: u64,
}

impl World {
    fn new() -> World {
        let node = |i: u64| SimNode {
            grantor: Grantor::new(None),
            holder: Holder::new(i + 1),
            incarnation: i + 1,
            number: 0,
            pending: None,
        };
        World {
            now: Instant::now(),
            nodes: (0..3).map(node).collect(),
            wire: Vec::new(),
            register: bytes::Bytes::new(),
            orders: Vec::new(),
            restarts: 3,
        }
    }

    /// `acted`: the sender may have given orders under the lease.
    fn send(&mut self, who: usize, leave: bool, acted: bool) -> u64 {
        let n = &mut self.nodes[who];
        n.number += 1;
        let l = LeaseRequest {
            duty: "d".into(),
            incarnation: n.incarnation,
            node: format!("n{who}"),
            number: n.number,
            leave,
            ms: if acted { L.as_millis() as u64 } else { 0 },
            ..Default::default()
        };
        let number = n.number;
        self.wire.extend((0..3).map(|to| Message::Ask(to, l.clone())));
        number
    }

    fn begin(&mut self, who: usize, goal: Goal) {
        let number = self.send(who, false, true);
        let asked = self.now;
        self.nodes[who].pending = Some(Pending { asked, number, have: 0, goal });
    }

    fn tick(&mut self, who: usize) {
        let now = self.now;
        if let Some(p) = self.nodes[who].pending.clone() {
            if now - p.asked > Duration::from_millis(1300) {
                self.nodes[who].pending = None;
                if p.goal == Goal::Take {
                    self.send(who, true, false);
                }
            }
            return;
        }
        let node = &mut self.nodes[who];
        match node.holder.step(now, ORDERS) {
            Step::Ask if node.grantor.is_free("d", &format!("n{who}"), now) => {
                self.begin(who, Goal::Take);
            }
            Step::Renew => self.begin(who, Goal::Renew),
            Step::Record(id) => self.raise(who, id, true, now),
            Step::Lapsed => {
                node.holder.drop_lease();
            }
            Step::Ask | Step::Rest(_) => {}
        }
    }

    fn raise(&mut self, who: usize, id: RaiseId, acts: bool, asked: Instant) {
        let granted = self.now;
        self.wire.push(Message::Raise(Raising { who, id, acts, asked, granted }));
    }

    fn deliver(&mut self, m: Message) {
        match m {
            Message::Ask(to, l) => {
                let g = &mut self.nodes[to].grantor;
                if g.answer(&l, self.now, ORDERS) && !l.leave {
                    let who = l.node[1..].parse().unwrap();
                    self.wire.push(Message::Granted(who, l.incarnation, l.number));
                }
            }
            Message::Granted(who, incarnation, number) => self.granted(who, incarnation, number),
            Message::Raise(r) => {
                let answer = match decide(&r.change(), &self.register) {
                    Decision::Answer(c) => c,
                    Decision::Write(value, c) => {
                        self.register = value;
                        c
                    }
                };
                self.wire.push(Message::Raised(r, answer));
            }
            Message::Raised(r, c) => self.raised(r, &c),
        }
    }

    fn granted(&mut self, who: usize, incarnation: u64, number: u64) {
        let now = self.now;
        let node = &mut self.nodes[who];
        let Some(p) = &mut node.pending else { return };
        if node.incarnation != incarnation || p.number != number {
            return;
        }
        p.have += 1;
        let p = p.clone();
        match (p.have, p.goal) {
            (2, Goal::Take) => {
                let id = node.holder.raise();
                self.raise(who, id, false, p.asked);
            }
            (2, Goal::Renew) => {
                node.holder.renewed(p.asked, now, ORDERS);
                node.pending = None;
            }
            _ => {}
        }
    }

    fn raised(&mut self, r: Raising, c: &ChangeResponse) {
        let SimNode { holder, pending, .. } = &mut self.nodes[r.who];
        if r.acts {
            match c.outcome() {
                Outcome::Done => holder.recorded(r.id),
                _ if holder.raise().attempt == r.id.attempt + 1 => {
                    holder.drop_lease();
                }
                _ => {}
            }
            return;
        }
        let waits = pending.as_ref().is_some_and(|p| p.asked == r.asked);
        if waits && holder.raise() == r.id {
            *pending = None;
            let alone = c.holder == format!("n{}", r.who);
            holder.acquired(r.asked, r.granted, c.number, alone, ORDERS);
        }
    }

    fn restart(&mut self, who: usize) {
        self.restarts += 1;
        let incarnation = self.restarts;
        self.nodes[who] = SimNode {
            grantor: Grantor::new(Some(self.now + L)),
            holder: Holder::new(incarnation),
            incarnation,
            number: 0,
            pending: None,
        };
    }

    fn step(&mut self, op: u8, arg: usize) {
        match op {
            0..=3 => self.now += Duration::from_millis(arg as u64 % 120),
            4 => self.now += Duration::from_millis(arg as u64 * 4),
            5..=9 => self.tick(arg % 3),
            10 if arg.is_multiple_of(3) => {
                let now = self.now;
                let holds = self.nodes.iter().position(|n| n.holder.mandate(now).is_some());
                if let Some(who) = holds.filter(|who| self.nodes[*who].holder.drop_lease()) {
                    self.send(who, true, true);
                }
            }
            11 if arg.is_multiple_of(4) => self.restart(arg / 4 % 3),
            12 if !self.wire.is_empty() => {
                let at = arg % self.wire.len();
                self.wire.swap_remove(at);
            }
            13 if !self.wire.is_empty() => {
                // decided twice, as by an owner that answers late and by the node itself
                let m = self.wire[arg % self.wire.len()].clone();
                if matches!(m, Message::Raise(..)) {
                    self.deliver(m);
                }
            }
            14.. if !self.wire.is_empty() => {
                let at = if arg.is_multiple_of(3) { arg / 3 % self.wire.len() } else { 0 };
                let m = self.wire.remove(at);
                self.deliver(m);
            }
            _ => {}
        }
    }

    /// Every node that may act does so.
    fn act(&mut self) -> Result<(), String> {
        for (who, n) in self.nodes.iter().enumerate() {
            let Some(m) = n.holder.mandate(self.now) else { continue };
            for (at, other, fence) in &self.orders {
                if *other != who && self.now - *at < L {
                    return Err(format!("n{who} {:?} after n{other}", self.now - *at));
                }
                if *fence > m.fence || (*fence == m.fence && *other != who) {
                    return Err(format!("n{who} under {} after n{other} under {fence}", m.fence));
                }
            }
            self.orders.push((self.now, who, m.fence));
        }
        Ok(())
    }
}

/// How many orders were given, or what was wrong.
fn run(steps: &[(u8, usize)]) -> Result<usize, String> {
    let mut w = World::new();
    for (op, arg) in steps {
        w.step(*op, *arg);
        w.act()?;
    }
    Ok(w.orders.len())
}

/// A node that is let alone gets to act, and so does the next one after it.
#[test]
fn duties_are_taken_and_taken_over() {
    let mut w = World::new();
    for i in 0..2000 {
        if i < 1000 {
            w.tick(0);
        } else {
            w.tick(1);
        }
        while !w.wire.is_empty() {
            let m = w.wire.remove(0);
            w.deliver(m);
        }
        w.now += Duration::from_millis(20);
        w.act().unwrap();
    }
    let by = |n: usize| w.orders.iter().filter(|o| o.1 == n).count();
    assert!(by(0) > 900 && by(1) > 500, "{} {}", by(0), by(1));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 4000, failure_persistence: None, ..Default::default() })]

    /// Whatever pauses, restarts, losses and late messages do, two nodes never act within one lease, and
    /// fences rise and are used by one node each.
    #[test]
    fn holders_keep_a_lease_apart(steps in proptest::collection::vec((0u8..24, 0usize..997), 50..500)) {
        run(&steps).map_err(proptest::test_runner::TestCaseError::fail)?;
    }
}
