//! Membership changes under random schedules of lost messages, restarts with old disks, wiped disks, and members that
//! are removed and added again. Chosen values stay chosen across all memberships.

use super::acceptor::Acceptor;
use super::proposer::{Action, Proposer, Request, Scope};
use super::schedules::with_fetched_values;
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

fn initial_membership(size: usize) -> Membership {
    Membership { epoch: 1, members: (0..size).map(|i| member(i, 0)).collect() }
}

fn includes(membership: &Membership, i: usize) -> bool {
    membership.members.iter().any(|member| member.ip == ip(i).to_string())
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

/// One node's attempt to own a key. Each of its accept requests arrives individually, or never.
struct Attempt {
    owner: usize,
    incarnation: u64,
    key: &'static str,
    proposer: Proposer,
    /// Proposed once the node owns the key. For `CONFIG` it is appended to the chosen value.
    next_value: Option<bytes::Bytes>,
}

/// A request of an attempt in transit to a voter. It is lost if the voter restarts.
struct Envelope {
    attempt: usize,
    to: usize,
    incarnation: u64,
    round_number: u64,
    request: Request,
}

fn id(i: usize) -> u64 {
    i as u64 + 1
}

struct Simulation {
    machines: Vec<Machine>,
    attempts: Vec<Attempt>,
    in_transit: Vec<Envelope>,
    /// Every chosen configuration, as the sequence of its changes.
    chosen: Vec<bytes::Bytes>,
    /// Every chosen membership, and the initial one.
    memberships: Vec<Membership>,
    next_change: u8,
}

impl Simulation {
    fn new(initial_size: usize) -> Simulation {
        let mut machines: Vec<Machine> = (0..MACHINES)
            .map(|i| Machine {
                incarnation: 1,
                state: State::default(),
                acceptor: Acceptor::new(ip(i), State::default()),
            })
            .collect();
        for machine in machines.iter_mut().take(initial_size) {
            let record = machine.acceptor.bootstrap(&initial_membership(initial_size)).unwrap();
            machine.state.apply(&record);
        }
        Simulation {
            machines,
            attempts: vec![],
            in_transit: vec![],
            chosen: vec![],
            memberships: vec![initial_membership(initial_size)],
            next_change: 1,
        }
    }

    fn vote(&mut self, voter: usize, request: &Request) -> Vote {
        let machine = &mut self.machines[voter];
        let step = match request {
            Request::Prepare(prepare) => machine.acceptor.prepare(prepare),
            Request::Accept(accept) => machine.acceptor.accept(accept),
        };
        machine.state.apply(&step.record);
        step.answer
    }

    /// Prepares a key with the voters in `reached`, and starts the round that completes the highest accepted value.
    fn prepare(
        &mut self,
        owner: usize,
        key: &'static str,
        reached: &[usize],
        next_value: Option<bytes::Bytes>,
    ) {
        let acceptor = &self.machines[owner].acceptor;
        let membership = acceptor.membership().clone();
        let scope = Scope {
            membership_epoch: membership.epoch,
            recovery_epoch: acceptor.recovery_epoch(),
            voters: membership.members.len(),
        };
        let highest_epoch = acceptor.highest_epoch(key);
        let (mut proposer, first) = Proposer::prepare(id(owner), key, scope, highest_epoch);
        let Action::SendToSelf(request) = first else { return };
        let own_vote = self.vote(owner, &request);
        if proposer.on_vote(proposer.round_number(), id(owner), Some(&own_vote))
            != Action::Broadcast
        {
            return;
        }
        let voters = reached
            .iter()
            .copied()
            .filter(|voter| *voter != owner && includes(&membership, *voter));
        let requests: Vec<(usize, Request)> =
            voters.map(|voter| (voter, proposer.request_for(id(voter)))).collect();
        let votes: Vec<(usize, Vote)> =
            requests.iter().map(|(voter, request)| (*voter, self.vote(*voter, request))).collect();
        let round_number = proposer.round_number();
        let next = votes
            .iter()
            .map(|(voter, vote)| proposer.on_vote(round_number, id(*voter), Some(vote)))
            .find(|action| *action != Action::Wait);
        let incarnation = self.machines[owner].incarnation;
        self.attempts.push(Attempt { owner, incarnation, key, proposer, next_value });
        self.execute(self.attempts.len() - 1, next.unwrap_or(Action::Wait));
    }

    /// Executes the actions of an attempt's proposer.
    fn execute(&mut self, attempt: usize, first: Action) {
        let mut action = first;
        loop {
            let owner = self.attempts[attempt].owner;
            action = match action {
                Action::Wait | Action::Failed(_) => return,
                Action::Broadcast => return self.broadcast(attempt),
                Action::SendToSelf(request) => {
                    let vote = self.vote(owner, &request);
                    let proposer = &mut self.attempts[attempt].proposer;
                    proposer.on_vote(proposer.round_number(), id(owner), Some(&vote))
                }
                Action::Chosen => {
                    let Some(next) = self.on_chosen(attempt) else { return };
                    next
                }
            };
        }
    }

    fn broadcast(&mut self, attempt: usize) {
        let sender = &self.attempts[attempt];
        let scope = sender.proposer.scope();
        let Some(membership) = self.memberships.iter().find(|m| m.epoch == scope.membership_epoch)
        else {
            return;
        };
        for to in (0..MACHINES).filter(|to| *to != sender.owner && includes(membership, *to)) {
            self.in_transit.push(Envelope {
                attempt,
                to,
                incarnation: self.machines[to].incarnation,
                round_number: sender.proposer.round_number(),
                request: sender.proposer.request_for(id(to)),
            });
        }
    }

    fn deliver(&mut self, index: usize) {
        if self.in_transit.is_empty() {
            return;
        }
        let envelope = self.in_transit.swap_remove(index % self.in_transit.len());
        if self.machines[envelope.to].incarnation != envelope.incarnation {
            return;
        }
        let vote = self.vote(envelope.to, &envelope.request);
        let sender = &mut self.attempts[envelope.attempt];
        if self.machines[sender.owner].incarnation != sender.incarnation {
            return;
        }
        let action = sender.proposer.on_vote(envelope.round_number, id(envelope.to), Some(&vote));
        self.execute(envelope.attempt, action);
    }

    /// Records a chosen value. Starts the next round if the owner has another value to propose.
    fn on_chosen(&mut self, attempt: usize) -> Option<Action> {
        let winner = &mut self.attempts[attempt];
        let (owner, key, value) = (winner.owner, winner.key, winner.proposer.value().clone());
        let next_value = winner.next_value.take();
        if key == CONFIG {
            self.chosen.push(value.clone());
        } else if let Ok(chosen) = Membership::decode(value.clone())
            && chosen.epoch > 0
        {
            self.memberships.push(chosen.clone());
            self.machines[owner].adopt(&chosen);
        }
        let next = if key == CONFIG { [value, next_value?].concat().into() } else { next_value? };
        Some(self.attempts[attempt].proposer.propose(next))
    }

    fn change(&mut self, owner: usize, reached: &[usize]) {
        let value = vec![self.next_change].into();
        self.next_change = self.next_change.wrapping_add(1);
        self.prepare(owner, CONFIG, reached, Some(value));
    }

    /// Adds a member, or replaces one if `leaving` is a member.
    fn change_membership(
        &mut self,
        owner: usize,
        reached: &[usize],
        leaving: usize,
        joining: usize,
    ) {
        let current = self.machines[owner].acceptor.membership().clone();
        let is_addition = !includes(&current, leaving);
        if includes(&current, joining)
            || current.members.is_empty()
            || (is_addition && current.members.len() == 5)
        {
            return;
        }
        let mut next = Membership { epoch: current.epoch + 1, ..current.clone() };
        next.members.push(member(joining, next.epoch));
        next.members.retain(|m| m.ip != ip(leaving).to_string());
        self.prepare(owner, MEMBERSHIP, reached, Some(next.encode_to_vec().into()));
    }

    fn recover(&mut self, i: usize, reached: &[usize]) {
        let acceptor = &self.machines[i].acceptor;
        let membership = acceptor.membership().clone();
        if acceptor.votes() || !acceptor.is_member() {
            return;
        }
        let sources: Vec<usize> = reached
            .iter()
            .copied()
            .filter(|other| *other != i && includes(&membership, *other))
            .collect();
        let votes_in_membership = |source: &usize| {
            let acceptor = &self.machines[*source].acceptor;
            acceptor.votes() && acceptor.membership().epoch == membership.epoch
        };
        let sources: Vec<usize> = sources.into_iter().filter(votes_in_membership).collect();
        if sources.len() < quorum(&membership) {
            return;
        }
        let latest =
            sources.iter().map(|source| self.machines[*source].acceptor.recovery_epoch()).max();
        let recovery_epoch = latest.unwrap_or(0) + 1;
        let mut reports: Vec<BallotReport> = Vec::new();
        for source in sources {
            let step = self.machines[source].acceptor.begin_state_transfer(recovery_epoch);
            self.machines[source].state.apply(&step.record);
            reports.push(with_fetched_values(step.answer, &self.machines[source].acceptor));
        }
        if let Some(record) = self.machines[i].acceptor.recover(recovery_epoch, &reports) {
            self.machines[i].state.apply(&record);
        }
    }

    /// Wipes the disk of a machine, unless one of the last two memberships would lose its quorum.
    fn wipe(&mut self, i: usize) {
        let newest = self.memberships.iter().map(|m| m.epoch).max().unwrap_or(0);
        let keeps_quorum = |m: &Membership| {
            let votes = |other: usize| {
                other != i && self.machines[other].state.voting && includes(m, other)
            };
            (0..MACHINES).filter(|other| votes(*other)).count() >= quorum(m)
        };
        if self.memberships.iter().filter(|m| m.epoch + 1 >= newest).all(keeps_quorum) {
            self.machines[i].state = State::default();
            self.machines[i].restart(i);
        }
    }

    fn learn_membership(&mut self, i: usize, from: usize) {
        let membership = self.machines[from].acceptor.membership().clone();
        self.machines[i].adopt(&membership);
    }

    fn step(&mut self, event: u8, reached_mask: u8, choice: usize) {
        let reached: Vec<usize> = (0..MACHINES).filter(|i| reached_mask & (1 << i) != 0).collect();
        let all_machines: Vec<usize> = (0..MACHINES).collect();
        let (i, j) = (choice % MACHINES, choice / MACHINES % MACHINES);
        match event {
            0..=2 => self.change(i, &reached),
            3 => self.change_membership(i, &reached, choice / 36 % (MACHINES * 2), j),
            4..=7 => self.deliver(choice),
            8 => self.machines[i].restart(i),
            9 => self.wipe(i),
            10..=12 => self.learn_membership(i, j),
            13..=15 => self.recover(i, &all_machines),
            16..=17 => self.run_among(&reached, |simulation, voters| simulation.change(i, voters)),
            _ => self.run_among(&reached, |simulation, voters| {
                simulation.change_membership(i, voters, choice / 36 % (MACHINES * 2), j)
            }),
        }
    }

    fn check(&self) -> Result<(), String> {
        let mut chains: Vec<&bytes::Bytes> = self.chosen.iter().collect();
        chains.sort_by_key(|chain| chain.len());
        if let Some(pair) = chains.windows(2).find(|pair| !pair[1].starts_with(pair[0])) {
            return Err(format!("{:?} and {:?} were both chosen", pair[0], pair[1]));
        }
        let mut memberships: hashbrown::HashMap<u64, &Membership> = hashbrown::HashMap::new();
        for membership in &self.memberships {
            if *memberships.entry(membership.epoch).or_insert(membership) != membership {
                return Err(format!("two memberships of epoch {}", membership.epoch));
            }
        }
        self.check_single_quorum()
    }

    /// Checks that at most one chosen membership has a quorum of machines that may vote in it.
    fn check_single_quorum(&self) -> Result<(), String> {
        let has_quorum = |m: &&Membership| {
            let votes_in_it = |i: &usize| {
                let acceptor = &self.machines[*i].acceptor;
                acceptor.votes() && acceptor.membership().epoch == m.epoch
            };
            (0..MACHINES).filter(votes_in_it).count() >= quorum(m)
        };
        let with_quorum: HashSet<u64> =
            self.memberships.iter().filter(has_quorum).map(|m| m.epoch).collect();
        if with_quorum.len() > 1 {
            return Err(format!("memberships {with_quorum:?} have a quorum at the same time"));
        }
        Ok(())
    }

    /// Runs `action` among these machines and delivers all of its messages to them. Its messages to other machines stay
    /// in transit.
    fn run_among(&mut self, reached: &[usize], action: impl FnOnce(&mut Simulation, &[usize])) {
        let first_attempt = self.attempts.len();
        action(self, reached);
        let is_due = |envelope: &Envelope| {
            envelope.attempt >= first_attempt && reached.contains(&envelope.to)
        };
        while let Some(index) = self.in_transit.iter().position(is_due) {
            self.deliver(index);
        }
    }
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 1500, failure_persistence: None, ..Default::default() })]
    #[test]
    fn chosen_values_survive_membership_changes(
        steps in proptest::collection::vec((0u8..20, 0u8..64, 0usize..9973), 50..600),
        initial_size in 3usize..5,
    ) {
        let mut simulation = Simulation::new(initial_size);
        for (event, reached_mask, choice) in steps {
            simulation.step(event, reached_mask, choice);
            simulation.check().map_err(proptest::test_runner::TestCaseError::fail)?;
        }
    }
}

/// A is unreachable while the membership changes to {B,C,D}, commits a change, and changes to {A,C,D}. A never
/// learned of its removal, and must not vote with its old state.
#[test]
fn readded_member_that_missed_its_removal_recovers_before_it_votes() {
    let (a, b, c, d) = (0, 1, 2, 3);
    let mut simulation = Simulation::new(3);
    simulation
        .run_among(&[b, c], |simulation, voters| simulation.change_membership(b, voters, a, d));
    simulation.learn_membership(c, b);
    simulation.learn_membership(d, b);
    simulation.recover(d, &[b, c]);
    simulation.run_among(&[b, d], |simulation, voters| simulation.change(b, voters));
    let committed = simulation.chosen.len();
    simulation
        .run_among(&[c, d], |simulation, voters| simulation.change_membership(d, voters, b, a));
    let newest = simulation.memberships.last().unwrap();
    assert!(newest.epoch == 3 && includes(newest, a) && !includes(newest, b));
    simulation.machines[a].restart(a);
    simulation.learn_membership(c, d);
    simulation.learn_membership(a, d);
    assert!(!simulation.machines[a].acceptor.votes(), "A was no member at epoch 2");
    simulation.run_among(&[a, c], |simulation, voters| simulation.change(c, voters));
    assert_eq!(simulation.chosen.len(), committed, "no quorum without D, which holds the change");
    simulation.recover(a, &[c, d]);
    simulation.run_among(&[a, c], |simulation, voters| simulation.change(c, voters));
    assert!(simulation.chosen.len() > committed);
    simulation.check().unwrap();
}

/// The membership changes from {A,B,C} to {B,C,D} to {C,D,E}. A and B, a majority of the first one, then restart with
/// their old disks, and must not form a quorum of it.
#[test]
fn former_members_cannot_form_a_quorum_of_their_old_membership() {
    let (a, b, c, d, e) = (0, 1, 2, 3, 4);
    let mut simulation = Simulation::new(3);
    simulation
        .run_among(&[b, c], |simulation, voters| simulation.change_membership(c, voters, a, d));
    simulation.learn_membership(d, c);
    simulation.recover(d, &[b, c]);
    assert!(!simulation.machines[d].acceptor.votes(), "B still votes in the old membership");
    simulation.learn_membership(b, c);
    simulation.recover(d, &[b, c]);
    assert!(simulation.machines[d].acceptor.votes());
    simulation
        .run_among(&[c, d], |simulation, voters| simulation.change_membership(c, voters, b, e));
    assert_eq!(simulation.memberships.last().unwrap().epoch, 3);
    let before = simulation.chosen.len();
    for old in [a, b] {
        simulation.machines[old].restart(old);
    }
    assert_eq!(simulation.machines[a].acceptor.membership().epoch, 1);
    assert_eq!(simulation.machines[b].acceptor.membership().epoch, 2, "stored before D could vote");
    simulation.run_among(&[a, b], |simulation, voters| simulation.change(a, voters));
    simulation.run_among(&[a, b], |simulation, voters| simulation.change(b, voters));
    assert_eq!(simulation.chosen.len(), before);
    let may_grant = |i: usize, epoch| simulation.machines[i].acceptor.may_grant_lease(epoch);
    assert!(
        may_grant(a, 1) && !may_grant(b, 1),
        "no majority grants a lease in membership 1 either"
    );
    simulation.check().unwrap();
}

/// A learns of its removal and restarts. When it is added again, it must not vote with what its disk held before.
#[test]
fn member_that_learned_of_its_removal_discards_its_registers() {
    let (a, b, c, d) = (0, 1, 2, 3);
    let mut simulation = Simulation::new(3);
    simulation.run_among(&[a, b, c], |simulation, voters| simulation.change(a, voters));
    simulation
        .run_among(&[b, c], |simulation, voters| simulation.change_membership(b, voters, a, d));
    for learner in [a, c, d] {
        simulation.learn_membership(learner, b);
    }
    simulation.machines[a].restart(a);
    assert_eq!(simulation.machines[a].acceptor.registers().count(), 0);
    simulation.recover(d, &[b, c]);
    simulation
        .run_among(&[b, d], |simulation, voters| simulation.change_membership(b, voters, c, a));
    simulation.learn_membership(a, b);
    assert!(
        simulation.machines[a].acceptor.is_member() && !simulation.machines[a].acceptor.votes()
    );
}
