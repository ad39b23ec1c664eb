//! Registers under random schedules of crashes, wiped disks and lost, delayed and reordered messages. Acknowledged
//! changes are never lost, and committed values form one chain, if at most one of three or two of five members lose
//! their disks at a time.

use super::acceptor::Acceptor;
use super::proposer::{Action, Proposer, Request, Scope};
use crate::storage::format::{Record, State};
use fleet_core::wire::{Accept, Ballot, BallotReport, Member, Membership, Prepare, Register, Vote};
use std::net::Ipv4Addr;

const KEY: &str = "k";

fn ip(i: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, i as u8 + 1)
}

fn membership(node_count: usize) -> Membership {
    let members =
        (0..node_count).map(|i| Member { ip: ip(i).to_string(), ..Default::default() }).collect();
    Membership { epoch: 1, members }
}

struct Disk {
    state: State,
}

impl Disk {
    fn apply(&mut self, record: &Record) {
        self.state.apply(record);
    }
}

#[derive(Clone)]
enum Message {
    Request(Request),
    Vote(Vote),
}

/// A message in transit. It is lost if the receiver restarts.
struct Envelope {
    from: usize,
    from_incarnation: u64,
    to: usize,
    to_incarnation: u64,
    /// The proposer's attempt in the upper 32 bits, and its round number in the lower ones.
    attempt_and_round: u64,
    message: Message,
}

struct Node {
    incarnation: u64,
    up: bool,
    disk: Disk,
    acceptor: Acceptor,
    proposer: Option<Proposer>,
    /// Rises with every proposer of this incarnation, so that votes for an earlier one are ignored.
    attempt: u64,
    /// The change that the current round adds.
    pending_change: Option<u64>,
}

impl Node {
    fn bootstrapped(i: usize, node_count: usize) -> Node {
        let mut disk = Disk { state: State::default() };
        let mut acceptor = Acceptor::new(ip(i), State::default());
        disk.apply(&acceptor.bootstrap(&membership(node_count)).unwrap());
        Node {
            incarnation: 1,
            up: true,
            disk,
            acceptor,
            proposer: None,
            attempt: 0,
            pending_change: None,
        }
    }

    fn vote(&mut self, request: &Request) -> Vote {
        let step = match request {
            Request::Prepare(p) => self.acceptor.prepare(p),
            Request::Accept(a) => self.acceptor.accept(a),
        };
        self.disk.apply(&step.record);
        step.answer
    }

    fn restart(&mut self, i: usize) {
        self.incarnation += 1;
        self.up = true;
        self.proposer = None;
        self.pending_change = None;
        self.acceptor = Acceptor::new(ip(i), self.disk.state.clone());
    }
}

/// Completes a report of ballots with the values, which a recovering member fetches key by key.
pub fn with_fetched_values(mut answer: BallotReport, holder: &Acceptor) -> BallotReport {
    for register in &mut answer.registers {
        register.value = holder.register(&register.key).unwrap().value.clone();
    }
    answer
}

fn encode_changes(changes: &[u64]) -> bytes::Bytes {
    changes.iter().flat_map(|change| change.to_be_bytes()).collect::<Vec<u8>>().into()
}

fn decode_changes(bytes: &[u8]) -> Vec<u64> {
    bytes.chunks(8).map(|chunk| u64::from_be_bytes(chunk.try_into().unwrap())).collect()
}

struct Simulation {
    nodes: Vec<Node>,
    in_transit: Vec<Envelope>,
    acknowledged: Vec<u64>,
    /// Every committed value, as the list of its changes.
    chains: Vec<Vec<u64>>,
    next_change: u64,
    node_count: usize,
    /// Whether each recovery starts a new recovery epoch. The protocol requires it; a test shows what fails without it.
    raises_recovery_epoch: bool,
}

impl Simulation {
    fn new(node_count: usize, raises_recovery_epoch: bool) -> Simulation {
        let nodes = (0..node_count).map(|i| Node::bootstrapped(i, node_count)).collect();
        Simulation {
            nodes,
            in_transit: vec![],
            acknowledged: vec![],
            chains: vec![],
            next_change: 1,
            node_count,
            raises_recovery_epoch,
        }
    }

    fn broadcast(&mut self, i: usize) {
        for to in (0..self.node_count).filter(|to| *to != i) {
            let node = &self.nodes[i];
            let Some(proposer) = &node.proposer else { return };
            let envelope = Envelope {
                from: i,
                from_incarnation: node.incarnation,
                to,
                to_incarnation: self.nodes[to].incarnation,
                attempt_and_round: node.attempt << 32 | proposer.round_number(),
                message: Message::Request(proposer.request_for(to as u64)),
            };
            self.in_transit.push(envelope);
        }
    }

    fn start(&mut self, i: usize) {
        let (voters, node) = (self.node_count, &mut self.nodes[i]);
        if !node.up || !node.acceptor.votes() {
            return;
        }
        let scope =
            Scope { membership_epoch: 1, recovery_epoch: node.acceptor.recovery_epoch(), voters };
        let highest_epoch = node.acceptor.highest_epoch(KEY);
        let (proposer, action) = Proposer::prepare(i as u64, KEY, scope, highest_epoch);
        node.attempt += 1;
        node.proposer = Some(proposer);
        node.pending_change = None;
        self.execute(i, action);
    }

    /// Executes the actions of a node's proposer. An owner always proposes one more change.
    fn execute(&mut self, i: usize, first: Action) {
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
                    proposer.on_vote(proposer.round_number(), i as u64, Some(&vote))
                }
                Action::Chosen => {
                    let Some(proposer) = &mut node.proposer else { return };
                    let mut chain = decode_changes(proposer.value());
                    self.chains.push(chain.clone());
                    self.acknowledged.extend(node.pending_change.take());
                    chain.push(self.next_change);
                    node.pending_change = Some(self.next_change);
                    self.next_change += 1;
                    proposer.propose(encode_changes(&chain))
                }
            };
        }
    }

    fn deliver(&mut self, index: usize) {
        if self.in_transit.is_empty() {
            return;
        }
        let envelope = self.in_transit.swap_remove(index % self.in_transit.len());
        let node = &mut self.nodes[envelope.to];
        if !node.up || node.incarnation != envelope.to_incarnation {
            return;
        }
        match &envelope.message {
            Message::Request(request) => {
                let vote = node.vote(request);
                self.in_transit.push(Envelope {
                    from: envelope.to,
                    from_incarnation: node.incarnation,
                    to: envelope.from,
                    to_incarnation: envelope.from_incarnation,
                    attempt_and_round: envelope.attempt_and_round,
                    message: Message::Vote(vote),
                });
            }
            Message::Vote(vote) => self.count_vote(&envelope, vote),
        }
    }

    fn count_vote(&mut self, envelope: &Envelope, vote: &Vote) {
        let to = &mut self.nodes[envelope.to];
        let attempt = envelope.attempt_and_round >> 32;
        let Some(proposer) = to.proposer.as_mut().filter(|_| attempt == to.attempt) else { return };
        let action = proposer.on_vote(
            envelope.attempt_and_round & 0xffff_ffff,
            envelope.from as u64,
            Some(vote),
        );
        self.execute(envelope.to, action);
    }

    fn recover(&mut self, i: usize) {
        if !self.nodes[i].up || self.nodes[i].acceptor.votes() {
            return;
        }
        if self.nodes[i].acceptor.membership().epoch == 0 {
            let record = self.nodes[i].acceptor.adopt(&membership(self.node_count)).unwrap();
            self.nodes[i].disk.apply(&record);
        }
        let others: Vec<usize> =
            (0..self.node_count).filter(|other| *other != i && self.nodes[*other].up).collect();
        let initial_reports: Vec<BallotReport> = others
            .iter()
            .map(|other| self.nodes[*other].acceptor.read_ballots(false).answer)
            .collect();
        if initial_reports.iter().filter(|report| report.votes).count() <= self.node_count / 2 {
            return;
        }
        let latest = initial_reports.iter().map(|report| report.recovery_epoch).max().unwrap_or(0);
        let recovery_epoch = if self.raises_recovery_epoch { latest + 1 } else { 0 };
        let (skipped, quorum) = (self.skipped_node(others.len()), self.node_count / 2 + 1);
        let mut reports: Vec<BallotReport> = Vec::new();
        for other in others {
            let node = &mut self.nodes[other];
            if node.acceptor.votes() && reports.len() < quorum && Some(other) != skipped {
                let step = node.acceptor.begin_state_transfer(recovery_epoch);
                node.disk.apply(&step.record);
                reports.push(with_fetched_values(step.answer, &node.acceptor));
            }
        }
        if let Some(record) = self.nodes[i].acceptor.recover(recovery_epoch, &reports) {
            self.nodes[i].disk.apply(&record);
        }
    }

    /// A node that a recovering member doesn't read from, so that the majority it reads from varies.
    fn skipped_node(&self, other_count: usize) -> Option<usize> {
        (other_count > self.node_count / 2 + 1).then_some(self.in_transit.len() % self.node_count)
    }

    /// Wipes the disk of a node, unless that would leave less than a majority of members with intact state.
    fn wipe(&mut self, i: usize) {
        let has_lost_state = |node: usize| !self.nodes[node].disk.state.voting;
        if (0..self.node_count).filter(|node| *node != i && has_lost_state(*node)).count()
            >= (self.node_count - 1) / 2
        {
            return;
        }
        self.nodes[i].disk.state = State::default();
        self.nodes[i].restart(i);
    }

    fn step(&mut self, event: u8, choice: usize) {
        let i = choice % self.node_count;
        match event {
            0 => self.start(i),
            1..=8 => self.deliver(choice),
            9 => self.nodes[i].up = false,
            10 if !self.nodes[i].up => self.nodes[i].restart(i),
            11 => self.wipe(i),
            12 if !self.in_transit.is_empty() => {
                let index = choice % self.in_transit.len();
                self.in_transit.swap_remove(index);
            }
            _ => self.recover(i),
        }
    }

    /// Checks that committed values are prefixes of each other, and that the longest contains all acknowledged changes.
    fn check(&self) -> Result<(), String> {
        let mut chains = self.chains.clone();
        chains.sort_by_key(Vec::len);
        for pair in chains.windows(2) {
            if !pair[1].starts_with(&pair[0]) {
                return Err(format!("{:?} and {:?} were both committed", pair[0], pair[1]));
            }
        }
        let longest = chains.last().cloned().unwrap_or_default();
        match self.acknowledged.iter().find(|change| !longest.contains(change)) {
            Some(lost) => Err(format!("{lost} was acknowledged but is not in {longest:?}")),
            None => Ok(()),
        }
    }
}

fn run(
    node_count: usize,
    steps: &[(u8, usize)],
    raises_recovery_epoch: bool,
) -> Result<(), String> {
    let mut simulation = Simulation::new(node_count, raises_recovery_epoch);
    for (event, choice) in steps {
        simulation.step(*event, *choice);
        simulation.check()?;
    }
    Ok(())
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 3000, failure_persistence: None, ..Default::default() })]
    #[test]
    fn acknowledged_changes_survive_faults(
        steps in proptest::collection::vec((0u8..14, 0usize..997), 20..400)
    ) {
        for node_count in [3, 5] {
            run(node_count, &steps, true).map_err(proptest::test_runner::TestCaseError::fail)?;
        }
    }
}

/// A vote that a member gave before its disk was wiped must not count together with votes given after it recovered from
/// members that did not know of the change. Without a new recovery epoch it does, and the change is acknowledged
/// although a majority doesn't hold it.
#[test]
fn vote_given_before_a_wipe_does_not_count_in_a_later_recovery_epoch() {
    let outcome = |raises_recovery_epoch: bool| {
        let mut simulation = Simulation::new(5, raises_recovery_epoch);
        simulation.start(3);
        while simulation.acknowledged.is_empty() {
            let index =
                simulation.in_transit.iter().position(|envelope| envelope.to == 3).unwrap_or(0);
            simulation.deliver(index);
        }
        let before = simulation.acknowledged.len();
        let last_request_to = |simulation: &Simulation, to: usize| {
            simulation
                .in_transit
                .iter()
                .rposition(|envelope| envelope.from == 3 && envelope.to == to)
        };
        let first = last_request_to(&simulation, 0).unwrap();
        simulation.deliver(first);
        let stale_vote = simulation
            .in_transit
            .iter()
            .position(|envelope| envelope.from == 0 && envelope.to == 3)
            .map(|index| simulation.in_transit.swap_remove(index));
        simulation.wipe(0);
        simulation.nodes[3].up = false;
        simulation.recover(0);
        simulation.nodes[3].up = true;
        let second = last_request_to(&simulation, 1).unwrap();
        simulation.deliver(second);
        simulation.in_transit.extend(stale_vote);
        while let Some(index) = simulation
            .in_transit
            .iter()
            .position(|envelope| envelope.to == 3 && (envelope.from < 2))
        {
            simulation.deliver(index);
        }
        (simulation.nodes[0].acceptor.votes(), simulation.acknowledged.len() > before)
    };
    assert_eq!(outcome(false), (true, true), "the vote counts without a new recovery epoch");
    assert_eq!(outcome(true), (true, false));
}

#[test]
fn committed_changes_survive_one_wiped_disk() {
    let mut simulation = Simulation::new(3, true);
    simulation.start(0);
    for _ in 0..60 {
        simulation.deliver(0);
    }
    assert!(simulation.acknowledged.len() > 3);
    let before = simulation.acknowledged.clone();
    simulation.in_transit.clear();
    simulation.wipe(1);
    assert!(!simulation.nodes[1].acceptor.votes());
    simulation.recover(1);
    assert!(simulation.nodes[1].acceptor.votes());
    simulation.nodes[0].up = false;
    simulation.start(2);
    for _ in 0..40 {
        simulation.deliver(0);
    }
    simulation.check().unwrap();
    let longest = simulation.chains.iter().max_by_key(|chain| chain.len()).unwrap();
    assert!(before.iter().all(|change| longest.contains(change)));
    assert!(simulation.acknowledged.len() > before.len());
}

#[test]
fn empty_disk_gives_no_vote_before_recovery_from_a_majority() {
    let mut acceptor = Acceptor::new(ip(0), State::default());
    acceptor.adopt(&membership(3)).unwrap();
    let ballot = Ballot { n: 1, node: 2, seq: 0 };
    let request = Prepare {
        key: KEY.into(),
        membership: 1,
        ballot,
        recovery_epoch: 4,
        proposer_accepted: Ballot::default(),
    };
    assert!(!acceptor.prepare(&request).answer.granted);
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
    let later_membership = Membership { epoch: 2, ..membership(3) };
    assert!(acceptor.recover(4, &[report(1)]).is_none());
    let other_report = BallotReport { membership: Some(later_membership), ..report(7) };
    assert!(acceptor.recover(4, &[report(1), other_report]).is_none(), "of another membership");
    assert!(
        acceptor.recover(4, &[report(1), BallotReport { votes: false, ..report(7) }]).is_none()
    );
    assert!(
        acceptor
            .recover(4, &[report(1), BallotReport { recovery_epoch: 3, ..report(7) }])
            .is_none()
    );
    assert!(acceptor.recover(4, &[report(1), report(5)]).is_some());
    assert!(
        !acceptor
            .prepare(&Prepare {
                ballot: Ballot { n: 9, ..ballot },
                recovery_epoch: 3,
                ..request.clone()
            })
            .answer
            .granted
    );
    let request_at = |n| Prepare { ballot: Ballot { n, node: 3, seq: 0 }, ..request.clone() };
    assert!(
        !acceptor.prepare(&request_at(4)).answer.granted,
        "the promise recovered from a report holds"
    );
    assert!(acceptor.prepare(&request_at(6)).answer.granted);
}

#[test]
fn requests_of_other_memberships_are_rejected() {
    let mut node = Node::bootstrapped(0, 3);
    let request = |membership, n| Prepare {
        key: KEY.into(),
        membership,
        ballot: Ballot { n, node: 2, seq: 0 },
        recovery_epoch: 0,
        proposer_accepted: Ballot::default(),
    };
    assert!(!node.acceptor.prepare(&request(2, 1)).answer.granted);
    assert!(node.acceptor.prepare(&request(1, 1)).answer.granted);
    let mut next = membership(3);
    next.epoch = 2;
    node.acceptor.adopt(&next).unwrap();
    let rejection = node.acceptor.prepare(&request(1, 2)).answer;
    assert!(!rejection.granted);
    assert_eq!(rejection.membership.unwrap().epoch, 2);
    assert!(node.acceptor.adopt(&membership(3)).is_none());
}

/// A corrupt ballot with a huge epoch must not leave its key without higher ballots.
#[test]
fn implausibly_high_ballots_are_rejected_without_side_effects() {
    let mut node = Node::bootstrapped(0, 3);
    let request = |n| Prepare {
        key: KEY.into(),
        membership: 1,
        ballot: Ballot { n, node: 2, seq: 0 },
        recovery_epoch: 0,
        proposer_accepted: Ballot::default(),
    };
    for implausible in [u64::MAX, fleet_core::constants::MAX_EPOCH_ADVANCE + 1] {
        assert!(!node.acceptor.prepare(&request(implausible)).answer.granted);
        let accept = Accept {
            key: KEY.into(),
            membership: 1,
            ballot: Ballot { n: implausible, node: 2, seq: 1 },
            value: encode_changes(&[7]),
            recovery_epoch: 0,
            same_value_as: None,
        };
        assert!(!node.acceptor.accept(&accept).answer.granted);
    }
    assert!(node.acceptor.register(KEY).is_none());
    assert!(node.acceptor.prepare(&request(1)).answer.granted);
}
