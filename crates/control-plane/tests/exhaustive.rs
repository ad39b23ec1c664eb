//! Breadth-first search over all schedules of a register at small bounds, with the acceptor and the proposer
//! that the program runs. Any message may be delayed for ever, which stands for its loss as well.
//!
//! In every reachable state: chosen values form one chain, and it holds every acknowledged change.

use control_plane::consensus::acceptor::Acceptor;
use control_plane::consensus::proposer::{Action, Proposer, Request, Scope};
use control_plane::storage::format::State;
use fleet_core::wire::{BallotReport, Member, Membership, Vote};
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::Ipv4Addr;

const KEY: &str = "k";
const FOUNDERS: usize = 3;

fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

fn id(machine: usize) -> u64 {
    u64::from(u32::from(ip(machine)))
}

fn membership(epoch: u64, machines: &[(usize, u64)]) -> Membership {
    let member = |(machine, joined): &(usize, u64)| Member {
        ip: ip(*machine).to_string(),
        joined_epoch: *joined,
        ..Default::default()
    };
    Membership { epoch, members: machines.iter().map(member).collect() }
}

fn initial_membership() -> Membership {
    membership(1, &[(0, 1), (1, 1), (2, 1)])
}

/// Machine 3 in place of machine 2.
fn moved() -> Membership {
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
    /// incarnation of the receiver: a restart loses what is on its way to it
    incarnation: u8,
    /// which of the proposer's attempts this belongs to
    attempt: u8,
    step: u64,
    content: Content,
}

#[derive(Debug, Clone)]
struct Recovery {
    machine: usize,
    recovery_epoch: u64,
    queried: BTreeSet<usize>,
    got: Vec<BallotReport>,
}

/// What may still happen.
#[derive(Debug, Clone)]
struct Budget {
    wipes: u8,
    move_open: bool,
    starts: [u8; 2],
}

#[derive(Debug, Clone)]
struct World {
    acceptors: Vec<Acceptor>,
    incarnations: Vec<u8>,
    proposers: Vec<Option<Proposer>>,
    attempts: Vec<u8>,
    messages: Vec<Message>,
    recovery: Option<Recovery>,
    decided: Membership,
    chosen: BTreeSet<Vec<u8>>,
    acknowledged: BTreeSet<u8>,
    budget: Budget,
}

impl World {
    fn new(budget: Budget) -> World {
        let machines = FOUNDERS + usize::from(budget.move_open);
        let mut acceptors: Vec<Acceptor> =
            (0..machines).map(|m| Acceptor::new(ip(m), State::default())).collect();
        for acceptor in acceptors.iter_mut().take(FOUNDERS) {
            acceptor.bootstrap(&initial_membership());
        }
        World {
            acceptors,
            incarnations: vec![0; machines],
            proposers: vec![None; machines],
            attempts: vec![0; machines],
            messages: Vec::new(),
            recovery: None,
            decided: initial_membership(),
            chosen: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            budget,
        }
    }

    fn voters(&self, machine: usize) -> Vec<usize> {
        let members = &self.acceptors[machine].membership().members;
        (0..self.acceptors.len())
            .filter(|m| members.iter().any(|x| x.addr() == Some(ip(*m))))
            .collect()
    }

    fn vote(&mut self, machine: usize, request: &Request) -> Vote {
        match request {
            Request::Prepare(p) => self.acceptors[machine].prepare(p).answer,
            Request::Accept(a) => self.acceptors[machine].accept(a).answer,
        }
    }

    fn start(&mut self, machine: usize) {
        let acceptor = &self.acceptors[machine];
        let scope = Scope {
            membership: acceptor.membership().epoch,
            recovery_epoch: acceptor.recovery_epoch(),
            voters: acceptor.membership().members.len(),
        };
        let above = acceptor.highest(KEY);
        let (proposer, first) = Proposer::prepare(id(machine), KEY, scope, above);
        self.proposers[machine] = Some(proposer);
        self.attempts[machine] += 1;
        self.act(machine, first);
    }

    fn act(&mut self, machine: usize, first: Action) {
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
                    proposer.on_vote(proposer.step(), id(machine), Some(&vote))
                }
                Action::Chosen => {
                    let Some(next) = self.chose(machine) else { return };
                    next
                }
            };
        }
    }

    /// A completed value gets the machine's own change appended; a chosen change is acknowledged.
    fn chose(&mut self, machine: usize) -> Option<Action> {
        let proposer = self.proposers[machine].as_mut()?;
        let chain = proposer.value().to_vec();
        let own = machine as u8 + 1;
        self.chosen.insert(chain.clone());
        if chain.contains(&own) {
            self.acknowledged.insert(own);
            return None;
        }
        let mut longer = chain;
        longer.push(own);
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
                step: proposer.step(),
                content: Content::Request(proposer.request_for(id(voter))),
            };
            self.messages.push(message);
        }
    }

    fn deliver(&mut self, at: usize) {
        let message = self.messages.remove(at);
        match &message.content {
            Content::Request(request) => {
                if self.incarnations[message.voter] != message.incarnation {
                    return;
                }
                let vote = self.vote(message.voter, request);
                if !vote.ok {
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
                let action = proposer.on_vote(message.step, id(message.voter), Some(vote));
                self.act(message.proposer, action);
            }
        }
    }

    fn wipe(&mut self, machine: usize) {
        self.budget.wipes -= 1;
        self.incarnations[machine] += 1;
        self.proposers[machine] = None;
        self.acceptors[machine] = Acceptor::new(ip(machine), State::default());
        self.acceptors[machine].adopt(&self.decided.clone());
    }

    /// The first look of a machine that doesn't vote: the latest recovery epoch of a quorum.
    fn begin_recovery(&mut self, machine: usize) {
        let quorum = self.acceptors[machine].membership().members.len() / 2 + 1;
        let epoch = self.acceptors[machine].membership().epoch;
        let seen: Vec<u64> = self
            .voters(machine)
            .into_iter()
            .filter(|m| *m != machine)
            .map(|m| &self.acceptors[m])
            .filter(|a| a.votes() && a.membership().epoch == epoch)
            .map(Acceptor::recovery_epoch)
            .collect();
        if seen.len() < quorum {
            return;
        }
        let recovery_epoch = seen.iter().max().unwrap_or(&0) + 1;
        let (queried, got) = (BTreeSet::new(), Vec::new());
        self.recovery = Some(Recovery { machine, recovery_epoch, queried, got });
    }

    fn begin_state_transfer(&mut self, from: usize) {
        let Some(mut recovery) = self.recovery.take() else { return };
        recovery.queried.insert(from);
        let mut answer = self.acceptors[from].begin_state_transfer(recovery.recovery_epoch).answer;
        for register in &mut answer.registers {
            let register_there = self.acceptors[from].register(&register.key);
            register.value = register_there
                .map(|register_there| register_there.value.clone())
                .unwrap_or_default();
        }
        recovery.got.push(answer);
        let done = self.acceptors[recovery.machine]
            .recover(recovery.recovery_epoch, &recovery.got)
            .is_some();
        self.recovery = (!done).then_some(recovery);
    }

    /// Drops messages that nothing can come of any more. A refusal is like an answer that never comes.
    fn prune(&mut self) {
        let mut messages = std::mem::take(&mut self.messages);
        messages.retain(|m| match &m.content {
            Content::Request(request) => {
                let fits = self.incarnations[m.voter] == m.incarnation;
                let mut voter = self.acceptors[m.voter].clone();
                fits && match request {
                    Request::Prepare(p) => voter.prepare(p).answer.ok && self.awaits(m),
                    Request::Accept(a) => voter.accept(a).answer.ok,
                }
            }
            Content::Vote(_) => self.awaits(m),
        });
        self.messages = messages;
    }

    /// Whether the proposer of a message still counts votes of that round.
    fn awaits(&self, message: &Message) -> bool {
        let proposer = self.proposers[message.proposer].as_ref();
        let same_attempt = self.attempts[message.proposer] == message.attempt;
        same_attempt && proposer.is_some_and(|p| p.step() == message.step && !p.is_owner())
    }

    /// All states that one event leads to.
    fn successors(&self) -> Vec<World> {
        let mut out = Vec::new();
        let mut push = |event: &dyn Fn(&mut World)| {
            let mut next = self.clone();
            event(&mut next);
            next.prune();
            out.push(next);
        };
        for at in 0..self.messages.len() {
            push(&|w| w.deliver(at));
        }
        for machine in 0..self.budget.starts.len() {
            if self.budget.starts[machine] > 0 && self.acceptors[machine].votes() {
                push(&|w| {
                    w.budget.starts[machine] -= 1;
                    w.start(machine);
                });
            }
        }
        if self.budget.wipes > 0 {
            for machine in 0..FOUNDERS {
                push(&|w| w.wipe(machine));
            }
        }
        if self.budget.move_open {
            push(&|w| {
                w.budget.move_open = false;
                w.decided = moved();
            });
        }
        for machine in 0..self.acceptors.len() {
            let acceptor = &self.acceptors[machine];
            if acceptor.membership().epoch < self.decided.epoch {
                push(&|w| {
                    let decided = w.decided.clone();
                    w.acceptors[machine].adopt(&decided);
                });
            }
            if self.recovery.is_none() && acceptor.is_member() && !acceptor.votes() {
                push(&|w| w.begin_recovery(machine));
            }
            let gives = |r: &Recovery| r.machine != machine && !r.queried.contains(&machine);
            if self.recovery.as_ref().is_some_and(gives) && acceptor.votes() {
                push(&|w| w.begin_state_transfer(machine));
            }
        }
        out
    }

    fn check(&self) -> Result<(), String> {
        let mut chains: Vec<&Vec<u8>> = self.chosen.iter().collect();
        chains.sort_by_key(|c| c.len());
        for pair in chains.windows(2) {
            if !pair[1].starts_with(pair[0]) {
                return Err(format!("two histories: {:?} and {:?}", pair[0], pair[1]));
            }
        }
        let longest = chains.last().map(|c| c.to_vec()).unwrap_or_default();
        match self.acknowledged.iter().find(|a| !longest.contains(a)) {
            Some(lost) => Err(format!("{lost} was acknowledged and is not in {longest:?}")),
            None => Ok(()),
        }
    }

    /// The same for states that differ only in the order of messages.
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

/// Visits every state within the budget; how many there were, or what is broken in one of them.
fn search(budget: Budget) -> Result<usize, String> {
    let first = World::new(budget);
    let mut seen = HashSet::from([first.fingerprint()]);
    let mut open = VecDeque::from([first]);
    while let Some(world) = open.pop_front() {
        for next in world.successors() {
            next.check()?;
            if seen.insert(next.fingerprint()) {
                open.push_back(next);
            }
        }
    }
    println!("states visited: {}", seen.len());
    Ok(seen.len())
}

const QUIET: Budget = Budget { wipes: 0, move_open: false, starts: [1, 1] };

#[test]
fn two_proposals() {
    assert!(search(QUIET).unwrap() > 1_000);
}

#[test]
fn three_proposals() {
    assert!(search(Budget { starts: [2, 1], ..QUIET }).unwrap() > 1_000);
}

#[test]
fn two_proposals_and_a_lost_disk() {
    assert!(search(Budget { wipes: 1, ..QUIET }).unwrap() > 1_000);
}

#[test]
fn a_proposal_and_a_move() {
    assert!(search(Budget { move_open: true, starts: [1, 0], ..QUIET }).unwrap() > 500);
}

#[test]
fn a_proposal_a_move_and_a_lost_disk() {
    let budget = Budget { wipes: 1, move_open: true, starts: [1, 0] };
    assert!(search(budget).unwrap() > 500);
}

/// Some 200,000 states: `cargo test --release -p control-plane --test exhaustive -- --ignored`.
#[test]
#[ignore = "takes a minute without optimisation; scripts/check runs it in a release build"]
fn two_proposals_and_a_move() {
    assert!(search(Budget { move_open: true, ..QUIET }).unwrap() > 1_000);
}
