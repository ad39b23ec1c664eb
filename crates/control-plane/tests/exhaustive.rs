//! Exhaustive breadth-first search over all schedules of one register within small bounds, with the acceptor and the
//! proposer of the program. Any message may be delayed forever, which also covers its loss.
//!
//! Checks in every reachable state that chosen values form one chain, and that the chain contains every acknowledged
//! change.

use control_plane::consensus::acceptor::Acceptor;
use control_plane::consensus::proposer::{Action, Proposer, Request, Scope};
use control_plane::storage::format::State;
use fleet_core::wire::{BallotReport, Member, Membership, Vote};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;

const KEY: &str = "k";
const INITIAL_MEMBERS: usize = 3;

fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

fn id(machine: usize) -> u64 {
    u64::from(u32::from(ip(machine)))
}

/// A membership of these machines, each with the epoch in which it joined.
fn membership(epoch: u64, machines: &[(usize, u64)]) -> Membership {
    let member = |(machine, joined_epoch): &(usize, u64)| Member {
        ip: ip(*machine).to_string(),
        joined_epoch: *joined_epoch,
        ..Default::default()
    };
    Membership { epoch, members: machines.iter().map(member).collect() }
}

fn initial_membership() -> Membership {
    membership(1, &[(0, 1), (1, 1), (2, 1)])
}

/// The membership in which machine 3 replaces machine 2.
fn changed_membership() -> Membership {
    membership(2, &[(0, 1), (1, 1), (3, 2)])
}

#[derive(Debug, Clone, PartialEq)]
enum Content {
    Request(Request),
    Vote(Vote),
}

/// A message between the proposer of machine `proposer` and the acceptor of machine `voter`.
#[derive(Debug, Clone, PartialEq)]
struct Message {
    proposer: usize,
    voter: usize,
    /// Incarnation of the receiver: a restart loses the messages in transit to it.
    incarnation: u8,
    /// The attempt of the proposer that this message belongs to.
    attempt: u8,
    round_number: u64,
    content: Content,
}

#[derive(Debug, Clone)]
struct Recovery {
    machine: usize,
    recovery_epoch: u64,
    queried: BTreeSet<usize>,
    reports: Vec<BallotReport>,
}

/// Bounds of the search: the events that may still happen.
#[derive(Debug, Clone)]
struct Budget {
    wipes: u8,
    membership_change: bool,
    /// Proposals that each of the first machines may still start.
    proposals: [u8; 2],
}

#[derive(Debug, Clone)]
struct SystemState {
    acceptors: Vec<Acceptor>,
    incarnations: Vec<u8>,
    proposers: Vec<Option<Proposer>>,
    attempts: Vec<u8>,
    messages: Vec<Message>,
    recovery: Option<Recovery>,
    /// The latest chosen membership, which machines adopt at any time.
    chosen_membership: Membership,
    chosen: BTreeSet<Vec<u8>>,
    acknowledged: BTreeSet<u8>,
    budget: Budget,
}

impl SystemState {
    fn new(budget: Budget) -> SystemState {
        let machines = INITIAL_MEMBERS + usize::from(budget.membership_change);
        let mut acceptors: Vec<Acceptor> =
            (0..machines).map(|m| Acceptor::new(ip(m), State::default())).collect();
        for acceptor in acceptors.iter_mut().take(INITIAL_MEMBERS) {
            acceptor.bootstrap(&initial_membership());
        }
        SystemState {
            acceptors,
            incarnations: vec![0; machines],
            proposers: vec![None; machines],
            attempts: vec![0; machines],
            messages: Vec::new(),
            recovery: None,
            chosen_membership: initial_membership(),
            chosen: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            budget,
        }
    }

    fn voters(&self, machine: usize) -> Vec<usize> {
        let members = &self.acceptors[machine].membership().members;
        (0..self.acceptors.len())
            .filter(|m| members.iter().any(|member| member.addr() == Some(ip(*m))))
            .collect()
    }

    fn vote(&mut self, machine: usize, request: &Request) -> Vote {
        match request {
            Request::Prepare(prepare) => self.acceptors[machine].prepare(prepare).answer,
            Request::Accept(accept) => self.acceptors[machine].accept(accept).answer,
        }
    }

    fn start_proposal(&mut self, machine: usize) {
        let acceptor = &self.acceptors[machine];
        let scope = Scope {
            membership_epoch: acceptor.membership().epoch,
            recovery_epoch: acceptor.recovery_epoch(),
            voters: acceptor.membership().members.len(),
        };
        let highest_epoch = acceptor.highest_epoch(KEY);
        let (proposer, first) = Proposer::prepare(id(machine), KEY, scope, highest_epoch);
        self.proposers[machine] = Some(proposer);
        self.attempts[machine] += 1;
        self.execute(machine, first);
    }

    fn execute(&mut self, machine: usize, first: Action) {
        let mut action = first;
        loop {
            action = match action {
                Action::Wait => return,
                Action::Failed(_) => {
                    self.proposers[machine] = None;
                    return;
                }
                Action::Broadcast => return self.broadcast(machine),
                Action::SendToSelf(request) => {
                    let vote = self.vote(machine, &request);
                    let Some(proposer) = &mut self.proposers[machine] else { return };
                    proposer.on_vote(proposer.round_number(), id(machine), Some(&vote))
                }
                Action::Chosen => {
                    let Some(next) = self.on_chosen(machine) else { return };
                    next
                }
            };
        }
    }

    /// Records a chosen value. Acknowledges the machine's change if the value contains it, and proposes to append it
    /// otherwise.
    fn on_chosen(&mut self, machine: usize) -> Option<Action> {
        let proposer = self.proposers[machine].as_mut()?;
        let chain = proposer.value().to_vec();
        let change = machine as u8 + 1;
        self.chosen.insert(chain.clone());
        if chain.contains(&change) {
            self.acknowledged.insert(change);
            return None;
        }
        let mut longer = chain;
        longer.push(change);
        Some(proposer.propose(longer.into()))
    }

    fn broadcast(&mut self, machine: usize) {
        for voter in self.voters(machine) {
            let Some(proposer) = &self.proposers[machine] else { return };
            if voter == machine {
                continue;
            }
            let message = Message {
                proposer: machine,
                voter,
                incarnation: self.incarnations[voter],
                attempt: self.attempts[machine],
                round_number: proposer.round_number(),
                content: Content::Request(proposer.request_for(id(voter))),
            };
            self.messages.push(message);
        }
    }

    fn deliver(&mut self, index: usize) {
        let message = self.messages.remove(index);
        match &message.content {
            Content::Request(request) => {
                if self.incarnations[message.voter] != message.incarnation {
                    return;
                }
                let vote = self.vote(message.voter, request);
                if !vote.granted {
                    return;
                }
                let incarnation = self.incarnations[message.proposer];
                self.messages.push(Message {
                    incarnation,
                    content: Content::Vote(vote),
                    ..message
                });
            }
            Content::Vote(vote) => {
                if self.incarnations[message.proposer] != message.incarnation {
                    return;
                }
                if self.attempts[message.proposer] != message.attempt {
                    return;
                }
                let Some(proposer) = &mut self.proposers[message.proposer] else { return };
                let action = proposer.on_vote(message.round_number, id(message.voter), Some(vote));
                self.execute(message.proposer, action);
            }
        }
    }

    fn wipe(&mut self, machine: usize) {
        self.budget.wipes -= 1;
        self.incarnations[machine] += 1;
        self.proposers[machine] = None;
        self.acceptors[machine] = Acceptor::new(ip(machine), State::default());
        self.acceptors[machine].adopt(&self.chosen_membership.clone());
    }

    /// Starts the recovery of a machine that can't vote: it reads the latest recovery epoch of a quorum.
    fn begin_recovery(&mut self, machine: usize) {
        let quorum = self.acceptors[machine].membership().members.len() / 2 + 1;
        let epoch = self.acceptors[machine].membership().epoch;
        let recovery_epochs: Vec<u64> = self
            .voters(machine)
            .into_iter()
            .filter(|m| *m != machine)
            .map(|m| &self.acceptors[m])
            .filter(|acceptor| acceptor.votes() && acceptor.membership().epoch == epoch)
            .map(Acceptor::recovery_epoch)
            .collect();
        if recovery_epochs.len() < quorum {
            return;
        }
        let recovery_epoch = recovery_epochs.iter().max().unwrap_or(&0) + 1;
        let (queried, reports) = (BTreeSet::new(), Vec::new());
        self.recovery = Some(Recovery { machine, recovery_epoch, queried, reports });
    }

    fn begin_state_transfer(&mut self, from: usize) {
        let Some(mut recovery) = self.recovery.take() else { return };
        recovery.queried.insert(from);
        let mut answer = self.acceptors[from].begin_state_transfer(recovery.recovery_epoch).answer;
        for register in &mut answer.registers {
            let source_register = self.acceptors[from].register(&register.key);
            register.value = source_register
                .map(|source_register| source_register.value.clone())
                .unwrap_or_default();
        }
        recovery.reports.push(answer);
        let done = self.acceptors[recovery.machine]
            .recover(recovery.recovery_epoch, &recovery.reports)
            .is_some();
        self.recovery = (!done).then_some(recovery);
    }

    /// Drops messages that can have no effect any more. A refusal counts as an answer that never arrives.
    fn prune(&mut self) {
        let mut messages = std::mem::take(&mut self.messages);
        messages.retain(|m| match &m.content {
            Content::Request(request) => {
                let arrives = self.incarnations[m.voter] == m.incarnation;
                let mut voter = self.acceptors[m.voter].clone();
                arrives
                    && match request {
                        Request::Prepare(prepare) => {
                            voter.prepare(prepare).answer.granted && self.is_awaited(m)
                        }
                        Request::Accept(accept) => voter.accept(accept).answer.granted,
                    }
            }
            Content::Vote(_) => self.is_awaited(m),
        });
        self.messages = messages;
    }

    /// Whether the proposer of a message still counts votes of its round.
    fn is_awaited(&self, message: &Message) -> bool {
        let proposer = self.proposers[message.proposer].as_ref();
        let same_attempt = self.attempts[message.proposer] == message.attempt;
        same_attempt
            && proposer.is_some_and(|p| p.round_number() == message.round_number && !p.is_owner())
    }

    /// All states that a single event leads to.
    fn successors(&self) -> Vec<SystemState> {
        let mut successors = Vec::new();
        let mut push = |event: &dyn Fn(&mut SystemState)| {
            let mut next = self.clone();
            event(&mut next);
            next.prune();
            successors.push(next);
        };
        for index in 0..self.messages.len() {
            push(&|state| state.deliver(index));
        }
        for machine in 0..self.budget.proposals.len() {
            if self.budget.proposals[machine] > 0 && self.acceptors[machine].votes() {
                push(&|state| {
                    state.budget.proposals[machine] -= 1;
                    state.start_proposal(machine);
                });
            }
        }
        if self.budget.wipes > 0 {
            for machine in 0..INITIAL_MEMBERS {
                push(&|state| state.wipe(machine));
            }
        }
        if self.budget.membership_change {
            push(&|state| {
                state.budget.membership_change = false;
                state.chosen_membership = changed_membership();
            });
        }
        for machine in 0..self.acceptors.len() {
            let acceptor = &self.acceptors[machine];
            if acceptor.membership().epoch < self.chosen_membership.epoch {
                push(&|state| {
                    let membership = state.chosen_membership.clone();
                    state.acceptors[machine].adopt(&membership);
                });
            }
            if self.recovery.is_none() && acceptor.is_member() && !acceptor.votes() {
                push(&|state| state.begin_recovery(machine));
            }
            let can_report = |recovery: &Recovery| {
                recovery.machine != machine && !recovery.queried.contains(&machine)
            };
            if self.recovery.as_ref().is_some_and(can_report) && acceptor.votes() {
                push(&|state| state.begin_state_transfer(machine));
            }
        }
        successors
    }

    fn check(&self) -> Result<(), String> {
        let mut chains: Vec<&Vec<u8>> = self.chosen.iter().collect();
        chains.sort_by_key(|chain| chain.len());
        for pair in chains.windows(2) {
            if !pair[1].starts_with(pair[0]) {
                return Err(format!("{:?} and {:?} were both chosen", pair[0], pair[1]));
            }
        }
        let longest = chains.last().map(|chain| chain.to_vec()).unwrap_or_default();
        match self.acknowledged.iter().find(|change| !longest.contains(change)) {
            Some(lost) => Err(format!("{lost} was acknowledged but is not in {longest:?}")),
            None => Ok(()),
        }
    }

    /// Identifies the state, regardless of the order of messages.
    fn fingerprint(&self) -> (u64, u64) {
        let mut canonical = self.clone();
        canonical.messages.clear();
        let mut messages: Vec<String> = self.messages.iter().map(|m| format!("{m:?}")).collect();
        messages.sort();
        let text = format!("{canonical:?}{messages:?}");
        let hash = |salt: u8| {
            let mut hasher = DefaultHasher::new();
            salt.hash(&mut hasher);
            text.hash(&mut hasher);
            hasher.finish()
        };
        (hash(0), hash(1))
    }
}

/// Visits every state within the budget. Returns their number, or the first violation found.
fn search(budget: Budget) -> Result<usize, String> {
    let initial = SystemState::new(budget);
    let mut visited = HashSet::from([initial.fingerprint()]);
    let mut queue = VecDeque::from([initial]);
    while let Some(state) = queue.pop_front() {
        for next in state.successors() {
            next.check()?;
            if visited.insert(next.fingerprint()) {
                queue.push_back(next);
            }
        }
    }
    println!("states visited: {}", visited.len());
    Ok(visited.len())
}

const NO_FAULTS: Budget = Budget { wipes: 0, membership_change: false, proposals: [1, 1] };

#[test]
fn two_proposals() {
    assert!(search(NO_FAULTS).unwrap() > 1_000);
}

#[test]
fn three_proposals() {
    assert!(search(Budget { proposals: [2, 1], ..NO_FAULTS }).unwrap() > 1_000);
}

#[test]
fn two_proposals_and_a_wiped_disk() {
    assert!(search(Budget { wipes: 1, ..NO_FAULTS }).unwrap() > 1_000);
}

#[test]
fn one_proposal_and_a_membership_change() {
    assert!(
        search(Budget { membership_change: true, proposals: [1, 0], ..NO_FAULTS }).unwrap() > 500
    );
}

#[test]
fn one_proposal_a_membership_change_and_a_wiped_disk() {
    let budget = Budget { wipes: 1, membership_change: true, proposals: [1, 0] };
    assert!(search(budget).unwrap() > 500);
}

/// About 200,000 states: `cargo test --release -p control-plane --test exhaustive -- --ignored`.
#[test]
#[ignore = "takes a minute without optimisation; scripts/check runs it in a release build"]
fn two_proposals_and_a_membership_change() {
    assert!(search(Budget { membership_change: true, ..NO_FAULTS }).unwrap() > 1_000);
}
