//! Tests of `lease`.

use super::*;
use crate::consensus::state_machine::{Decision, decide};
use fleet_core::wire::{ChangeKind, ChangeResponse, Outcome, RaiseFencingToken};

const L: Duration = Duration::from_secs(3);
const ORDERS: LeasePolicy = LeasePolicy { lease: L, commands_engines: true };
const OTHER: LeasePolicy = LeasePolicy { lease: L, commands_engines: false };

fn lease(incarnation: u64, number: u64) -> LeaseRequest {
    let node = format!("n{incarnation}");
    LeaseRequest { lease_name: "d".into(), incarnation, number, node, ..Default::default() }
}

/// Of a holder that has acted.
fn release(incarnation: u64, number: u64) -> LeaseRequest {
    LeaseRequest { release: true, ms: L.as_millis() as u64, ..lease(incarnation, number) }
}

/// Candidates that fail must not keep each other out: with a rest for each of them, several could go on for ever.
#[test]
fn an_attempt_that_never_acted_is_taken_back_at_once() {
    let t = Instant::now();
    let mut g = Grantor::new(None);
    assert!(g.answer(&lease(1, 1), t, ORDERS));
    assert!(g.answer(&LeaseRequest { ms: 0, ..release(1, 2) }, t, ORDERS));
    assert!(g.answer(&lease(2, 1), t, ORDERS));
}

#[test]
fn one_incarnation_at_a_time_and_none_after_a_restart() {
    let t = Instant::now();
    let mut g = Grantor::new(Some(t + L));
    assert!(!g.answer(&lease(1, 1), t, ORDERS));
    let other_lease = LeaseRequest { lease_name: "e".into(), ..lease(1, 1) };
    assert!(g.answer(&other_lease, t, OTHER), "no orders are given under it");
    assert!(g.answer(&lease(1, 2), t + L, ORDERS));
    assert!(!g.answer(&lease(2, 1), t + L, ORDERS));
    assert!(g.answer(&lease(1, 3), t + L * 3 / 2, ORDERS));
    assert!(!g.answer(&lease(2, 2), t + L * 2, ORDERS));
    assert!(g.answer(&lease(2, 3), t + L * 5 / 2, ORDERS));
    assert!(g.answer(&release(2, 4), t + L * 5 / 2, ORDERS));
    let cool_down = ORDERS.margin();
    assert!(!g.answer(&lease(3, 1), t + L * 5 / 2, ORDERS), "orders may be on their way");
    assert!(g.answer(&lease(3, 2), t + L * 5 / 2 + cool_down, ORDERS));
    let again = LeaseRequest { incarnation: 9, ..lease(3, 1) };
    assert!(
        g.answer(&again, t + L * 5 / 2 + cool_down, ORDERS),
        "the holder's own node, restarted"
    );
    assert!(!g.answer(&lease(2, 5), t + L * 5 / 2 + cool_down, ORDERS));
}

#[test]
fn a_late_leave_takes_no_later_grant() {
    let t = Instant::now();
    let mut g = Grantor::new(None);
    assert!(g.answer(&lease(1, 1), t, OTHER));
    assert!(g.answer(&lease(1, 3), t, OTHER), "the second try overtakes the leave of the first");
    assert!(!g.answer(&release(1, 2), t, OTHER));
    assert!(!g.answer(&lease(2, 1), t, OTHER));
}

#[test]
fn a_former_incarnation_takes_nothing_from_the_next_one() {
    let t = Instant::now();
    let mut g = Grantor::new(None);
    let second = |l| LeaseRequest { node: "n1".into(), ..l };
    assert!(g.answer(&second(lease(2, 1)), t, OTHER));
    assert!(g.answer(&lease(1, 7), t, OTHER), "late, of the same node");
    assert!(g.answer(&release(1, 8), t, OTHER));
    assert!(!g.answer(&lease(3, 1), t, OTHER));
}

/// {A,B,C} moves to {B,C,D} while A holds: neither C with D nor B with D may grant it to another.
#[test]
fn a_newcomer_grants_nothing_while_a_lease_of_former_members_may_run() {
    let t = Instant::now();
    let mut g = Grantor::new(None);
    let index_owner = LeaseRequest { lease_name: "e".into(), ..lease(2, 1) };
    assert!(g.answer(&index_owner, t, OTHER));
    g.close_until(t + L);
    g.close_until(t + L / 2);
    assert!(!g.answer(&lease(2, 2), t + L * 3 / 4, ORDERS));
    assert!(g.answer(&lease(2, 3), t + L, ORDERS));
}

#[test]
fn a_pause_ends_the_mandate_before_any_order() {
    let t = Instant::now();
    let mut h = LeaseHolder::new(1);
    h.acquired(t, t, 5, true, ORDERS);
    let until = t + ORDERS.usable();
    assert_eq!(h.fenced_lease(t), Some(FencedLease { fencing_token: 5, until }));
    assert_eq!(h.fenced_lease(until), None);
    h.renewed(t + L / 2, until, ORDERS);
    assert_eq!(h.step(until, ORDERS), Step::Expired, "an answer after the end is none");
}

#[test]
fn a_new_holder_acts_a_lease_after_the_former_one_and_once_that_is_on_record() {
    let t = Instant::now();
    let mut h = LeaseHolder::new(1);
    let id = h.raise();
    h.acquired(t, t, 6, false, ORDERS);
    let from = t + ORDERS.usable();
    assert_eq!(h.step(t, ORDERS), Step::Idle(Some(from)));
    h.renewed(t + L * 2 / 3, t + L * 2 / 3, ORDERS);
    assert_eq!(h.step(from, ORDERS), Step::Record(id));
    assert_eq!(h.fenced_lease(from), None);
    h.recorded(id);
    assert_eq!(h.fenced_lease(from).map(|m| m.fencing_token), Some(6));
    assert_ne!(h.raise(), id, "the next raise is another one");
}

/// On a busy machine answers come late, though the holder goes on asking: two tries may fail, and the third
/// still comes well before the end.
#[test]
fn the_shortest_lease_outlasts_two_failed_renewals() {
    let t = Instant::now();
    for policy in
        [LeasePolicy { lease: constants::INDEX_LEASE_DURATION, commands_engines: false }, ORDERS]
    {
        let mut h = LeaseHolder::new(1);
        h.acquired(t, t, 1, true, policy);
        let mut now = t;
        let mut failed = 0;
        while failed < 2 {
            assert_ne!(h.step(now, policy), Step::Expired);
            if h.step(now, policy) == Step::Renew {
                now += constants::LEASE_RENEWAL_TIMEOUT + constants::LEASE_RENEWAL_INTERVAL;
                failed += 1;
            } else {
                now += constants::LEASE_CHECK_INTERVAL;
            }
        }
        assert_eq!(h.step(now, policy), Step::Renew);
        let answered = now + constants::LEASE_RENEWAL_TIMEOUT / 2;
        h.renewed(now, answered, policy);
        assert_eq!(h.fenced_lease(answered).map(|m| m.until), Some(now + policy.usable()));
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
    requested_at: Instant,
    number: u64,
    have: usize,
    goal: Goal,
}

#[derive(Debug, Clone)]
enum Message {
    Acquire(usize, LeaseRequest),
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
    requested_at: Instant,
    granted: Instant,
}

impl Raising {
    fn change(&self) -> ChangeKind {
        let (id, acts) = (self.id, self.acts);
        let holder = format!("n{}", self.who);
        ChangeKind::Raise(RaiseFencingToken { lease_name: "d".into(), holder, id, acts })
    }
}

struct SimNode {
    grantor: Grantor,
    holder: LeaseHolder,
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
    commands_engines: Vec<(Instant, usize, u64)>,
    restarts: u64,
}

impl World {
    fn new() -> World {
        let node = |i: u64| SimNode {
            grantor: Grantor::new(None),
            holder: LeaseHolder::new(i + 1),
            incarnation: i + 1,
            number: 0,
            pending: None,
        };
        World {
            now: Instant::now(),
            nodes: (0..3).map(node).collect(),
            wire: Vec::new(),
            register: bytes::Bytes::new(),
            commands_engines: Vec::new(),
            restarts: 3,
        }
    }

    /// `acted`: the sender may have given orders under the lease.
    fn send(&mut self, who: usize, release: bool, acted: bool) -> u64 {
        let n = &mut self.nodes[who];
        n.number += 1;
        let l = LeaseRequest {
            lease_name: "d".into(),
            incarnation: n.incarnation,
            node: format!("n{who}"),
            number: n.number,
            release,
            ms: if acted { L.as_millis() as u64 } else { 0 },
            ..Default::default()
        };
        let number = n.number;
        self.wire.extend((0..3).map(|to| Message::Acquire(to, l.clone())));
        number
    }

    fn begin(&mut self, who: usize, goal: Goal) {
        let number = self.send(who, false, true);
        let requested_at = self.now;
        self.nodes[who].pending = Some(Pending { requested_at, number, have: 0, goal });
    }

    fn tick(&mut self, who: usize) {
        let now = self.now;
        if let Some(p) = self.nodes[who].pending.clone() {
            if now - p.requested_at > Duration::from_millis(1300) {
                self.nodes[who].pending = None;
                if p.goal == Goal::Take {
                    self.send(who, true, false);
                }
            }
            return;
        }
        let node = &mut self.nodes[who];
        match node.holder.step(now, ORDERS) {
            Step::Acquire if node.grantor.is_free("d", &format!("n{who}"), now) => {
                self.begin(who, Goal::Take);
            }
            Step::Renew => self.begin(who, Goal::Renew),
            Step::Record(id) => self.raise(who, id, true, now),
            Step::Expired => {
                node.holder.drop_lease();
            }
            Step::Acquire | Step::Idle(_) => {}
        }
    }

    fn raise(&mut self, who: usize, id: RaiseId, acts: bool, requested_at: Instant) {
        let granted = self.now;
        self.wire.push(Message::Raise(Raising { who, id, acts, requested_at, granted }));
    }

    fn deliver(&mut self, m: Message) {
        match m {
            Message::Acquire(to, l) => {
                let g = &mut self.nodes[to].grantor;
                if g.answer(&l, self.now, ORDERS) && !l.release {
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
                self.raise(who, id, false, p.requested_at);
            }
            (2, Goal::Renew) => {
                node.holder.renewed(p.requested_at, now, ORDERS);
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
        let waits = pending.as_ref().is_some_and(|p| p.requested_at == r.requested_at);
        if waits && holder.raise() == r.id {
            *pending = None;
            let alone = c.holder == format!("n{}", r.who);
            holder.acquired(r.requested_at, r.granted, c.number, alone, ORDERS);
        }
    }

    fn restart(&mut self, who: usize) {
        self.restarts += 1;
        let incarnation = self.restarts;
        self.nodes[who] = SimNode {
            grantor: Grantor::new(Some(self.now + L)),
            holder: LeaseHolder::new(incarnation),
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
                let holds = self.nodes.iter().position(|n| n.holder.fenced_lease(now).is_some());
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
            let Some(m) = n.holder.fenced_lease(self.now) else { continue };
            for (at, other, fencing_token) in &self.commands_engines {
                if *other != who && self.now - *at < L {
                    return Err(format!("n{who} {:?} after n{other}", self.now - *at));
                }
                if *fencing_token > m.fencing_token
                    || (*fencing_token == m.fencing_token && *other != who)
                {
                    return Err(format!(
                        "n{who} under {} after n{other} under {fencing_token}",
                        m.fencing_token
                    ));
                }
            }
            self.commands_engines.push((self.now, who, m.fencing_token));
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
    Ok(w.commands_engines.len())
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
    let by = |n: usize| w.commands_engines.iter().filter(|o| o.1 == n).count();
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

#[test]
fn a_refusal_ends_the_lease_that_it_is_about_and_no_later_one() {
    let now = Instant::now();
    let mut holder = LeaseHolder::new(1);
    holder.acquired(now, now, 7, true, ORDERS);
    assert!(!holder.drop_refused(6), "of a lease that was held before");
    assert!(holder.fenced_lease(now).is_some());
    assert!(holder.drop_refused(7));
    assert_eq!(holder.fenced_lease(now), None);
    assert!(!holder.drop_refused(7), "there is none to drop");
}
