//! Moves of the membership under schedules of lost messages, restarts with old disks, wiped disks and
//! members that are removed and come back: what was chosen stays, whatever membership chose it.

use super::acceptor::Acceptor;
use super::proposer::{Action, Proposer, Request, Scope};
use super::schedules::with_values;
use super::state_machine::{CONFIG, MEMBERSHIP};
use crate::storage::format::State;
use fleet_core::wire::{BallotReport, Member, Membership, Vote};
use hashbrown::HashSet;
use prost::Message;
use std::net::Ipv4Addr;

const MACHINES: usize = 6;

fn ip(i: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i as u8 + 1)
}

fn member(i: usize, joined_epoch: u64) -> Member {
    Member { ip: ip(i).to_string(), joined_epoch, ..Default::default() }
}

fn initial_membership(n: usize) -> Membership {
    Membership { epoch: 1, members: (0..n).map(|i| member(i, 0)).collect() }
}

fn holds(membership: &Membership, i: usize) -> bool {
    membership.members.iter().any(|m| m.ip == ip(i).to_string())
}

fn quorum(membership: &Membership) -> usize {
    membership.members.len() / 2 + 1
}

struct Machine {
    incarnation: u64,
    state: State,
    acceptor: Acceptor,
}

impl Machine {
    fn adopt(&mut self, membership: &Membership) {
        if let Some(record) = self.acceptor.adopt(membership) {
            self.state.apply(&record);
        }
    }

    fn restart(&mut self, i: usize) {
        self.incarnation += 1;
        self.acceptor = Acceptor::new(ip(i), self.state.clone());
    }
}

/// One owner at work; its accept messages arrive one at a time, or never.
struct Attempt {
    owner: usize,
    incarnation: u64,
    key: &'static str,
    proposer: Proposer,
    /// what the owner proposes once it owns the key
    then: Option<bytes::Bytes>,
}

/// A message of an attempt to a voter in its present incarnation.
struct Wire {
    attempt: usize,
    to: usize,
    incarnation: u64,
    step: u64,
    request: Request,
}

fn id(i: usize) -> u64 {
    i as u64 + 1
}

struct World {
    machines: Vec<Machine>,
    attempts: Vec<Attempt>,
    wires: Vec<Wire>,
    chosen: Vec<bytes::Bytes>,
    memberships: Vec<Membership>,
    next: u8,
}

impl World {
    fn new(n: usize) -> World {
        let mut machines: Vec<Machine> = (0..MACHINES)
            .map(|i| Machine {
                incarnation: 1,
                state: State::default(),
                acceptor: Acceptor::new(ip(i), State::default()),
            })
            .collect();
        for machine in machines.iter_mut().take(n) {
            let record = machine.acceptor.bootstrap(&initial_membership(n)).unwrap();
            machine.state.apply(&record);
        }
        World {
            machines,
            attempts: vec![],
            wires: vec![],
            chosen: vec![],
            memberships: vec![initial_membership(n)],
            next: 1,
        }
    }

    fn vote(&mut self, voter: usize, request: &Request) -> Vote {
        let machine = &mut self.machines[voter];
        let step = match request {
            Request::Prepare(p) => machine.acceptor.prepare(p),
            Request::Accept(a) => machine.acceptor.accept(a),
        };
        machine.state.apply(&step.record);
        step.answer
    }

    /// Prepares a key at all of `reached` and opens the round that accepts the highest value anew.
    fn prepare(
        &mut self,
        owner: usize,
        key: &'static str,
        reached: &[usize],
        then: Option<bytes::Bytes>,
    ) {
        let acceptor = &self.machines[owner].acceptor;
        let membership = acceptor.membership().clone();
        let scope = Scope {
            membership: membership.epoch,
            recovery_epoch: acceptor.recovery_epoch(),
            voters: membership.members.len(),
        };
        let above = acceptor.highest(key);
        let (mut proposer, first) = Proposer::prepare(id(owner), key, scope, above);
        let Action::SendToSelf(request) = first else { return };
        let own = self.vote(owner, &request);
        if proposer.on_vote(proposer.step(), id(owner), Some(&own)) != Action::Broadcast {
            return;
        }
        let voters = reached.iter().copied().filter(|v| *v != owner && holds(&membership, *v));
        let requests: Vec<(usize, Request)> =
            voters.map(|v| (v, proposer.request_for(id(v)))).collect();
        let votes: Vec<(usize, Vote)> =
            requests.iter().map(|(voter, request)| (*voter, self.vote(*voter, request))).collect();
        let step = proposer.step();
        let next = votes
            .iter()
            .map(|(voter, vote)| proposer.on_vote(step, id(*voter), Some(vote)))
            .find(|action| *action != Action::Wait);
        let incarnation = self.machines[owner].incarnation;
        self.attempts.push(Attempt { owner, incarnation, key, proposer, then });
        self.act(self.attempts.len() - 1, next.unwrap_or(Action::Wait));
    }

    /// Carries out what an attempt's proposer asks for.
    fn act(&mut self, attempt: usize, first: Action) {
        let mut action = first;
        loop {
            let owner = self.attempts[attempt].owner;
            action = match action {
                Action::Wait | Action::Failed(_) => return,
                Action::Broadcast => return self.broadcast(attempt),
                Action::SendToSelf(request) => {
                    let vote = self.vote(owner, &request);
                    let proposer = &mut self.attempts[attempt].proposer;
                    proposer.on_vote(proposer.step(), id(owner), Some(&vote))
                }
                Action::Chosen => {
                    let Some(next) = self.chose(attempt) else { return };
                    next
                }
            };
        }
    }

    fn broadcast(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let scope = a.proposer.scope();
        let Some(membership) = self.memberships.iter().find(|m| m.epoch == scope.membership) else {
            return;
        };
        for to in (0..MACHINES).filter(|to| *to != a.owner && holds(membership, *to)) {
            self.wires.push(Wire {
                attempt,
                to,
                incarnation: self.machines[to].incarnation,
                step: a.proposer.step(),
                request: a.proposer.request_for(id(to)),
            });
        }
    }

    fn deliver(&mut self, at: usize) {
        if self.wires.is_empty() {
            return;
        }
        let wire = self.wires.swap_remove(at % self.wires.len());
        if self.machines[wire.to].incarnation != wire.incarnation {
            return;
        }
        let vote = self.vote(wire.to, &wire.request);
        let a = &mut self.attempts[wire.attempt];
        if self.machines[a.owner].incarnation != a.incarnation {
            return;
        }
        let action = a.proposer.on_vote(wire.step, id(wire.to), Some(&vote));
        self.act(wire.attempt, action);
    }

    /// Notes what was chosen; the round that follows, if the owner has something to propose.
    fn chose(&mut self, attempt: usize) -> Option<Action> {
        let a = &mut self.attempts[attempt];
        let (owner, key, value) = (a.owner, a.key, a.proposer.value().clone());
        let then = a.then.take();
        if key == CONFIG {
            self.chosen.push(value.clone());
        } else if let Ok(chosen) = Membership::decode(value.clone())
            && chosen.epoch > 0
        {
            self.memberships.push(chosen.clone());
            self.machines[owner].adopt(&chosen);
        }
        let next = if key == CONFIG { [value, then?].concat().into() } else { then? };
        Some(self.attempts[attempt].proposer.propose(next))
    }

    fn change(&mut self, owner: usize, reached: &[usize]) {
        let value = vec![self.next].into();
        self.next = self.next.wrapping_add(1);
        self.prepare(owner, CONFIG, reached, Some(value));
    }

    /// One member more, or another in place of one.
    fn move_members(&mut self, owner: usize, reached: &[usize], out: usize, joiner: usize) {
        let now = self.machines[owner].acceptor.membership().clone();
        let grows = !holds(&now, out);
        if holds(&now, joiner) || now.members.is_empty() || (grows && now.members.len() == 5) {
            return;
        }
        let mut next = Membership { epoch: now.epoch + 1, ..now.clone() };
        next.members.push(member(joiner, next.epoch));
        next.members.retain(|m| m.ip != ip(out).to_string());
        self.prepare(owner, MEMBERSHIP, reached, Some(next.encode_to_vec().into()));
    }

    fn recover(&mut self, i: usize, reached: &[usize]) {
        let acceptor = &self.machines[i].acceptor;
        let membership = acceptor.membership().clone();
        if acceptor.votes() || !acceptor.is_member() {
            return;
        }
        let from: Vec<usize> =
            reached.iter().copied().filter(|o| *o != i && holds(&membership, *o)).collect();
        let in_force = |o: &usize| {
            let a = &self.machines[*o].acceptor;
            a.votes() && a.membership().epoch == membership.epoch
        };
        let from: Vec<usize> = from.into_iter().filter(in_force).collect();
        if from.len() < quorum(&membership) {
            return;
        }
        let latest = from.iter().map(|o| self.machines[*o].acceptor.recovery_epoch()).max();
        let recovery_epoch = latest.unwrap_or(0) + 1;
        let mut got: Vec<BallotReport> = Vec::new();
        for o in from {
            let step = self.machines[o].acceptor.begin_state_transfer(recovery_epoch);
            self.machines[o].state.apply(&step.record);
            got.push(with_values(step.answer, &self.machines[o].acceptor));
        }
        if let Some(record) = self.machines[i].acceptor.recover(recovery_epoch, &got) {
            self.machines[i].state.apply(&record);
        }
    }

    /// Not beyond what the last two memberships bear.
    fn wipe(&mut self, i: usize) {
        let newest = self.memberships.iter().map(|m| m.epoch).max().unwrap_or(0);
        let borne = |m: &Membership| {
            let votes = |o: usize| o != i && self.machines[o].state.voting && holds(m, o);
            (0..MACHINES).filter(|o| votes(*o)).count() >= quorum(m)
        };
        if self.memberships.iter().filter(|m| m.epoch + 1 >= newest).all(borne) {
            self.machines[i].state = State::default();
            self.machines[i].restart(i);
        }
    }

    fn receive_membership(&mut self, i: usize, from: usize) {
        let membership = self.machines[from].acceptor.membership().clone();
        self.machines[i].adopt(&membership);
    }

    fn step(&mut self, what: u8, mask: u8, a: usize) {
        let reached: Vec<usize> = (0..MACHINES).filter(|i| mask & (1 << i) != 0).collect();
        let everyone: Vec<usize> = (0..MACHINES).collect();
        let (i, j) = (a % MACHINES, a / MACHINES % MACHINES);
        match what {
            0..=2 => self.change(i, &reached),
            3 => self.move_members(i, &reached, a / 36 % (MACHINES * 2), j),
            4..=7 => self.deliver(a),
            8 => self.machines[i].restart(i),
            9 => self.wipe(i),
            10..=12 => self.receive_membership(i, j),
            13..=15 => self.recover(i, &everyone),
            16..=17 => self.all(&reached, |w, at| w.change(i, at)),
            _ => self.all(&reached, |w, at| w.move_members(i, at, a / 36 % (MACHINES * 2), j)),
        }
    }

    fn check(&self) -> Result<(), String> {
        let mut chains: Vec<&bytes::Bytes> = self.chosen.iter().collect();
        chains.sort_by_key(|c| c.len());
        if let Some(w) = chains.windows(2).find(|w| !w[1].starts_with(w[0])) {
            return Err(format!("{:?} and {:?} were both chosen", w[0], w[1]));
        }
        let mut memberships: hashbrown::HashMap<u64, &Membership> = hashbrown::HashMap::new();
        for membership in &self.memberships {
            if *memberships.entry(membership.epoch).or_insert(membership) != membership {
                return Err(format!("two memberships of epoch {}", membership.epoch));
            }
        }
        self.check_sealed()
    }

    /// No two memberships have a quorum that may vote, other than those that follow each other
    /// without the later one's having voted.
    fn check_sealed(&self) -> Result<(), String> {
        let forms = |m: &&Membership| {
            let may = |i: &usize| {
                let a = &self.machines[*i].acceptor;
                a.votes() && a.membership().epoch == m.epoch
            };
            (0..MACHINES).filter(may).count() >= quorum(m)
        };
        let formed: HashSet<u64> = self.memberships.iter().filter(forms).map(|m| m.epoch).collect();
        if formed.len() > 1 {
            return Err(format!("quorums of memberships {formed:?} can form at once"));
        }
        Ok(())
    }

    /// Among just these, with all of its messages delivered; those to others come late.
    fn all(&mut self, at: &[usize], act: impl FnOnce(&mut World, &[usize])) {
        let before = self.attempts.len();
        act(self, at);
        let due = |wire: &Wire| wire.attempt >= before && at.contains(&wire.to);
        while let Some(w) = self.wires.iter().position(due) {
            self.deliver(w);
        }
    }
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 1500, failure_persistence: None, ..Default::default() })]
    #[test]
    fn chosen_values_survive_moves(
        steps in proptest::collection::vec((0u8..20, 0u8..64, 0usize..9973), 50..600),
        founders in 3usize..5,
    ) {
        let mut w = World::new(founders);
        for (what, mask, a) in steps {
            w.step(what, mask, a);
            w.check().map_err(proptest::test_runner::TestCaseError::fail)?;
        }
    }
}

/// A is away while B and C move to {B,C,D}, commit, and move to {A,C,D}.
#[test]
fn a_member_taken_back_unheard_reads_everything_before_it_votes() {
    let (a, b, c, d) = (0, 1, 2, 3);
    let mut w = World::new(3);
    w.all(&[b, c], |w, at| w.move_members(b, at, a, d));
    w.receive_membership(c, b);
    w.receive_membership(d, b);
    w.recover(d, &[b, c]);
    w.all(&[b, d], |w, at| w.change(b, at));
    let committed = w.chosen.len();
    w.all(&[c, d], |w, at| w.move_members(d, at, b, a));
    let newest = w.memberships.last().unwrap();
    assert!(newest.epoch == 3 && holds(newest, a) && !holds(newest, b));
    w.machines[a].restart(a);
    w.receive_membership(c, d);
    w.receive_membership(a, d);
    assert!(!w.machines[a].acceptor.votes(), "it was no member at epoch 2");
    w.all(&[a, c], |w, at| w.change(c, at));
    assert_eq!(w.chosen.len(), committed, "no quorum without D, who holds the change");
    w.recover(a, &[c, d]);
    w.all(&[a, c], |w, at| w.change(c, at));
    assert!(w.chosen.len() > committed);
    w.check().unwrap();
}

/// {A,B,C} to {B,C,D} to {C,D,E}: A and B come back with what they had on their disks.
#[test]
fn members_of_an_old_membership_cannot_form_its_quorum_again() {
    let (a, b, c, d, e) = (0, 1, 2, 3, 4);
    let mut w = World::new(3);
    w.all(&[b, c], |w, at| w.move_members(c, at, a, d));
    w.receive_membership(d, c);
    w.recover(d, &[b, c]);
    assert!(!w.machines[d].acceptor.votes(), "B votes under the old membership still");
    w.receive_membership(b, c);
    w.recover(d, &[b, c]);
    assert!(w.machines[d].acceptor.votes());
    w.all(&[c, d], |w, at| w.move_members(c, at, b, e));
    assert_eq!(w.memberships.last().unwrap().epoch, 3);
    let before = w.chosen.len();
    for old in [a, b] {
        w.machines[old].restart(old);
    }
    assert_eq!(w.machines[a].acceptor.membership().epoch, 1);
    assert_eq!(w.machines[b].acceptor.membership().epoch, 2, "kept before D could vote");
    w.all(&[a, b], |w, at| w.change(a, at));
    w.all(&[a, b], |w, at| w.change(b, at));
    assert_eq!(w.chosen.len(), before);
    let grants = |i: usize, epoch| w.machines[i].acceptor.may_grant(epoch);
    assert!(grants(a, 1) && !grants(b, 1), "nor lease a duty to one of them");
    w.check().unwrap();
}

/// A hears of its removal, and restarts: its disk must not let it vote once it is taken back.
#[test]
fn a_member_that_heard_of_its_removal_comes_back_empty() {
    let (a, b, c, d) = (0, 1, 2, 3);
    let mut w = World::new(3);
    w.all(&[a, b, c], |w, at| w.change(a, at));
    w.all(&[b, c], |w, at| w.move_members(b, at, a, d));
    for hearer in [a, c, d] {
        w.receive_membership(hearer, b);
    }
    w.machines[a].restart(a);
    assert_eq!(w.machines[a].acceptor.registers().count(), 0);
    w.recover(d, &[b, c]);
    w.all(&[b, d], |w, at| w.move_members(b, at, c, a));
    w.receive_membership(a, b);
    assert!(w.machines[a].acceptor.is_member() && !w.machines[a].acceptor.votes());
}
