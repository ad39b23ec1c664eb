//! Registers under schedules of crashes, wiped disks, loss, delay and reordering:
//! a change that was acknowledged is never lost, and changes form one chain; with one loss
//! to be borne among three members, and with two among five.

use super::acceptor::Acceptor;
use super::proposer::{Action, Proposer, Request, Scope};
use crate::storage::format::{Record, State};
use fleet_core::wire::{Accept, Ballot, BallotReport, Member, Membership, Prepare, Register, Vote};
use std::net::Ipv4Addr;

const KEY: &str = "k";

fn ip(i: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i as u8 + 1)
}

fn membership(n: usize) -> Membership {
    let members = (0..n).map(|i| Member { ip: ip(i).to_string(), ..Default::default() }).collect();
    Membership { epoch: 1, members }
}

struct Disk {
    state: State,
}

impl Disk {
    fn keep(&mut self, r: &Record) {
        self.state.apply(r);
    }
}

#[derive(Clone)]
enum Message {
    Request(Request),
    Vote(Vote),
}

struct Wire {
    from: usize,
    incarnation: u64,
    to: usize,
    to_incarnation: u64,
    step: u64,
    message: Message,
}

struct Node {
    incarnation: u64,
    up: bool,
    disk: Disk,
    acceptor: Acceptor,
    proposer: Option<Proposer>,
    /// rises with every proposer of this incarnation, so that votes for a former one are dropped
    attempt: u64,
    /// the change that the round under way adds
    adds: Option<u64>,
}

impl Node {
    fn founded(i: usize, n: usize) -> Node {
        let mut disk = Disk { state: State::default() };
        let mut acceptor = Acceptor::new(ip(i), State::default());
        disk.keep(&acceptor.bootstrap(&membership(n)).unwrap());
        Node { incarnation: 1, up: true, disk, acceptor, proposer: None, attempt: 0, adds: None }
    }

    fn vote(&mut self, request: &Request) -> Vote {
        let step = match request {
            Request::Prepare(p) => self.acceptor.prepare(p),
            Request::Accept(a) => self.acceptor.accept(a),
        };
        self.disk.keep(&step.record);
        step.answer
    }

    fn restart(&mut self, i: usize) {
        self.incarnation += 1;
        self.up = true;
        self.proposer = None;
        self.adds = None;
        self.acceptor = Acceptor::new(ip(i), self.disk.state.clone());
    }
}

/// What a member that reads back fetches by key after the ballots.
pub fn with_values(mut answer: BallotReport, holder: &Acceptor) -> BallotReport {
    for register in &mut answer.registers {
        register.value = holder.register(&register.key).unwrap().value.clone();
    }
    answer
}

fn pack(v: &[u64]) -> bytes::Bytes {
    v.iter().flat_map(|x| x.to_be_bytes()).collect::<Vec<u8>>().into()
}

fn unpack(b: &[u8]) -> Vec<u64> {
    b.chunks(8).map(|c| u64::from_be_bytes(c.try_into().unwrap())).collect()
}

struct World {
    nodes: Vec<Node>,
    wires: Vec<Wire>,
    acknowledged: Vec<u64>,
    chains: Vec<Vec<u64>>,
    next: u64,
    n: usize,
    /// recovery_epochs are kept apart, as they have to be
    careful: bool,
}

impl World {
    fn new(n: usize, careful: bool) -> World {
        let nodes = (0..n).map(|i| Node::founded(i, n)).collect();
        World { nodes, wires: vec![], acknowledged: vec![], chains: vec![], next: 1, n, careful }
    }

    fn broadcast(&mut self, i: usize) {
        for to in (0..self.n).filter(|t| *t != i) {
            let node = &self.nodes[i];
            let Some(proposer) = &node.proposer else { return };
            let wire = Wire {
                from: i,
                incarnation: node.incarnation,
                to,
                to_incarnation: self.nodes[to].incarnation,
                step: node.attempt << 32 | proposer.step(),
                message: Message::Request(proposer.request_for(to as u64)),
            };
            self.wires.push(wire);
        }
    }

    fn start(&mut self, i: usize) {
        let (voters, n) = (self.n, &mut self.nodes[i]);
        if !n.up || !n.acceptor.votes() {
            return;
        }
        let scope = Scope { membership: 1, recovery_epoch: n.acceptor.recovery_epoch(), voters };
        let above = n.acceptor.highest(KEY);
        let (proposer, action) = Proposer::prepare(i as u64, KEY, scope, above);
        n.attempt += 1;
        n.proposer = Some(proposer);
        n.adds = None;
        self.act(i, action);
    }

    /// Carries out what the proposer of a node asks for; an owner goes on with a further change.
    fn act(&mut self, i: usize, first: Action) {
        let mut action = first;
        loop {
            let node = &mut self.nodes[i];
            action = match action {
                Action::Wait => return,
                Action::Broadcast => return self.broadcast(i),
                Action::Failed(_) => {
                    node.proposer = None;
                    return;
                }
                Action::SendToSelf(request) => {
                    let vote = node.vote(&request);
                    let Some(proposer) = &mut node.proposer else { return };
                    proposer.on_vote(proposer.step(), i as u64, Some(&vote))
                }
                Action::Chosen => {
                    let Some(proposer) = &mut node.proposer else { return };
                    let mut chain = unpack(proposer.value());
                    self.chains.push(chain.clone());
                    self.acknowledged.extend(node.adds.take());
                    chain.push(self.next);
                    node.adds = Some(self.next);
                    self.next += 1;
                    proposer.propose(pack(&chain))
                }
            };
        }
    }

    fn deliver(&mut self, at: usize) {
        if self.wires.is_empty() {
            return;
        }
        let w = self.wires.swap_remove(at % self.wires.len());
        let n = &mut self.nodes[w.to];
        if !n.up || n.incarnation != w.to_incarnation {
            return;
        }
        match &w.message {
            Message::Request(request) => {
                let vote = n.vote(request);
                self.wires.push(Wire {
                    from: w.to,
                    incarnation: n.incarnation,
                    to: w.from,
                    to_incarnation: w.incarnation,
                    step: w.step,
                    message: Message::Vote(vote),
                });
            }
            Message::Vote(vote) => self.count(&w, vote),
        }
    }

    fn count(&mut self, w: &Wire, vote: &Vote) {
        let n = &mut self.nodes[w.to];
        let attempt = w.step >> 32;
        let Some(proposer) = n.proposer.as_mut().filter(|_| attempt == n.attempt) else { return };
        let action = proposer.on_vote(w.step & 0xffff_ffff, w.from as u64, Some(vote));
        self.act(w.to, action);
    }

    fn recover(&mut self, i: usize) {
        if !self.nodes[i].up || self.nodes[i].acceptor.votes() {
            return;
        }
        if self.nodes[i].acceptor.membership().epoch == 0 {
            let r = self.nodes[i].acceptor.adopt(&membership(self.n)).unwrap();
            self.nodes[i].disk.keep(&r);
        }
        let others: Vec<usize> = (0..self.n).filter(|o| *o != i && self.nodes[*o].up).collect();
        let before: Vec<BallotReport> =
            others.iter().map(|o| self.nodes[*o].acceptor.read_ballots(false).answer).collect();
        if before.iter().filter(|p| p.votes).count() <= self.n / 2 {
            return;
        }
        let latest = before.iter().map(|p| p.recovery_epoch).max().unwrap_or(0);
        let recovery_epoch = if self.careful { latest + 1 } else { 0 };
        let (skipped, most) = (self.skip(others.len()), self.n / 2 + 1);
        let mut got: Vec<BallotReport> = Vec::new();
        for o in others {
            let n = &mut self.nodes[o];
            if n.acceptor.votes() && got.len() < most && Some(o) != skipped {
                let step = n.acceptor.begin_state_transfer(recovery_epoch);
                n.disk.keep(&step.record);
                got.push(with_values(step.answer, &n.acceptor));
            }
        }
        if let Some(r) = self.nodes[i].acceptor.recover(recovery_epoch, &got) {
            self.nodes[i].disk.keep(&r);
        }
    }

    /// Not always the same members are read from.
    fn skip(&self, others: usize) -> Option<usize> {
        (others > self.n / 2 + 1).then_some(self.wires.len() % self.n)
    }

    /// At most so many members at a time as may be lost have no disk that they have read back.
    fn wipe(&mut self, i: usize) {
        let lost = |o: usize| !self.nodes[o].disk.state.voting;
        if (0..self.n).filter(|o| *o != i && lost(*o)).count() >= (self.n - 1) / 2 {
            return;
        }
        self.nodes[i].disk.state = State::default();
        self.nodes[i].restart(i);
    }

    fn step(&mut self, what: u8, a: usize) {
        let i = a % self.n;
        match what {
            0 => self.start(i),
            1..=8 => self.deliver(a),
            9 => self.nodes[i].up = false,
            10 if !self.nodes[i].up => self.nodes[i].restart(i),
            11 => self.wipe(i),
            12 if !self.wires.is_empty() => {
                let at = a % self.wires.len();
                self.wires.swap_remove(at);
            }
            _ => self.recover(i),
        }
    }

    /// All committed values are prefixes of each other, and hold all that was acknowledged.
    fn check(&self) -> Result<(), String> {
        let mut chains = self.chains.clone();
        chains.sort_by_key(Vec::len);
        for w in chains.windows(2) {
            if !w[1].starts_with(&w[0]) {
                return Err(format!("{:?} then {:?}", w[0], w[1]));
            }
        }
        let longest = chains.last().cloned().unwrap_or_default();
        match self.acknowledged.iter().find(|x| !longest.contains(x)) {
            Some(x) => Err(format!("{x} was acknowledged, {longest:?} lacks it")),
            None => Ok(()),
        }
    }
}

fn run(n: usize, steps: &[(u8, usize)], careful: bool) -> Result<(), String> {
    let mut w = World::new(n, careful);
    for (what, a) in steps {
        w.step(*what, *a);
        w.check()?;
    }
    Ok(())
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 3000, failure_persistence: None, ..Default::default() })]
    #[test]
    fn acknowledged_changes_survive(
        steps in proptest::collection::vec((0u8..14, 0usize..997), 20..400)
    ) {
        for n in [3, 5] {
            run(n, &steps, true).map_err(proptest::test_runner::TestCaseError::fail)?;
        }
    }
}

/// A vote that a wiped member gave in its former incarnation must not count beside votes given after it
/// read its disk back from members that did not know of the change.
#[test]
fn former_vote_of_a_wiped_member_does_not_count_in_a_later_recovery_epoch() {
    let lost = |careful: bool| {
        let mut w = World::new(5, careful);
        w.start(3);
        while w.acknowledged.is_empty() {
            let at = w.wires.iter().position(|x| x.to == 3).unwrap_or(0);
            w.deliver(at);
        }
        let before = w.acknowledged.len();
        let to = |w: &World, to: usize| w.wires.iter().rposition(|x| x.from == 3 && x.to == to);
        let first = to(&w, 0).unwrap();
        w.deliver(first);
        let stale =
            w.wires.iter().position(|x| x.from == 0 && x.to == 3).map(|p| w.wires.swap_remove(p));
        w.wipe(0);
        w.nodes[3].up = false;
        w.recover(0);
        w.nodes[3].up = true;
        let second = to(&w, 1).unwrap();
        w.deliver(second);
        w.wires.extend(stale);
        while let Some(at) = w.wires.iter().position(|x| x.to == 3 && (x.from < 2)) {
            w.deliver(at);
        }
        (w.nodes[0].acceptor.votes(), w.acknowledged.len() > before)
    };
    assert_eq!(lost(false), (true, true), "counted where recovery_epochs are not kept apart");
    assert_eq!(lost(true), (true, false));
}

#[test]
fn quiet_schedule_commits_and_survives_a_wipe() {
    let mut w = World::new(3, true);
    w.start(0);
    for _ in 0..60 {
        w.deliver(0);
    }
    assert!(w.acknowledged.len() > 3);
    let before = w.acknowledged.clone();
    w.wires.clear();
    w.wipe(1);
    assert!(!w.nodes[1].acceptor.votes());
    w.recover(1);
    assert!(w.nodes[1].acceptor.votes());
    w.nodes[0].up = false;
    w.start(2);
    for _ in 0..40 {
        w.deliver(0);
    }
    w.check().unwrap();
    let longest = w.chains.iter().max_by_key(|c| c.len()).unwrap();
    assert!(before.iter().all(|x| longest.contains(x)));
    assert!(w.acknowledged.len() > before.len());
}

#[test]
fn empty_disk_does_not_vote_before_it_has_read_both_others() {
    let mut a = Acceptor::new(ip(0), State::default());
    a.adopt(&membership(3)).unwrap();
    let ballot = Ballot { n: 1, node: 2, seq: 0 };
    let p = Prepare {
        key: KEY.into(),
        membership: 1,
        ballot,
        recovery_epoch: 4,
        own_accepted: Ballot::default(),
    };
    assert!(!a.prepare(&p).answer.ok);
    let report = |n| BallotReport {
        votes: true,
        registers: vec![Register {
            key: KEY.into(),
            promised: Ballot { n, node: 2, seq: 0 },
            ..Default::default()
        }],
        membership: Some(membership(3)),
        recovery_epoch: 4,
    };
    let elsewhere = Membership { epoch: 2, ..membership(3) };
    assert!(a.recover(4, &[report(1)]).is_none());
    let moved = BallotReport { membership: Some(elsewhere), ..report(7) };
    assert!(a.recover(4, &[report(1), moved]).is_none(), "of another membership");
    assert!(a.recover(4, &[report(1), BallotReport { votes: false, ..report(7) }]).is_none());
    assert!(a.recover(4, &[report(1), BallotReport { recovery_epoch: 3, ..report(7) }]).is_none());
    assert!(a.recover(4, &[report(1), report(5)]).is_some());
    assert!(
        !a.prepare(&Prepare { ballot: Ballot { n: 9, ..ballot }, recovery_epoch: 3, ..p.clone() })
            .answer
            .ok
    );
    let at = |n| Prepare { ballot: Ballot { n, node: 3, seq: 0 }, ..p.clone() };
    assert!(!a.prepare(&at(4)).answer.ok, "a promise made before the wipe holds");
    assert!(a.prepare(&at(6)).answer.ok);
}

#[test]
fn other_membership_epochs_get_no_vote() {
    let mut n = Node::founded(0, 3);
    let p = |membership, n| Prepare {
        key: KEY.into(),
        membership,
        ballot: Ballot { n, node: 2, seq: 0 },
        recovery_epoch: 0,
        own_accepted: Ballot::default(),
    };
    assert!(!n.acceptor.prepare(&p(2, 1)).answer.ok);
    assert!(n.acceptor.prepare(&p(1, 1)).answer.ok);
    let mut next = membership(3);
    next.epoch = 2;
    n.acceptor.adopt(&next).unwrap();
    let late = n.acceptor.prepare(&p(1, 2)).answer;
    assert!(!late.ok);
    assert_eq!(late.membership.unwrap().epoch, 2);
    assert!(n.acceptor.adopt(&membership(3)).is_none());
}

/// A corrupt ballot must not leave its key without higher ones.
#[test]
fn ballots_of_the_future_are_refused_and_change_nothing() {
    let mut n = Node::founded(0, 3);
    let request = |n| Prepare {
        key: KEY.into(),
        membership: 1,
        ballot: Ballot { n, node: 2, seq: 0 },
        recovery_epoch: 0,
        own_accepted: Ballot::default(),
    };
    for future in [u64::MAX, fleet_core::constants::EPOCH_LEAD_MAX + 1] {
        assert!(!n.acceptor.prepare(&request(future)).answer.ok);
        let value = Accept {
            key: KEY.into(),
            membership: 1,
            ballot: Ballot { n: future, node: 2, seq: 1 },
            value: pack(&[7]),
            recovery_epoch: 0,
            same_as: None,
        };
        assert!(!n.acceptor.accept(&value).answer.ok);
    }
    assert!(n.acceptor.register(KEY).is_none());
    assert!(n.acceptor.prepare(&request(1)).answer.ok);
}
