//! Tests of `lease`: holders never act at the same time, and a released or expired lease can be acquired.

use super::*;
use crate::consensus::state_machine::{Decision, decide};
use fleet_core::wire::{ChangeKind, ChangeResponse, Outcome, RaiseFencingToken};

const LEASE: Duration = Duration::from_secs(3);
const COMMANDING: LeasePolicy = LeasePolicy { lease: LEASE, commands_engines: true };
const NON_COMMANDING: LeasePolicy = LeasePolicy { lease: LEASE, commands_engines: false };

fn lease_request(incarnation: u64, sequence: u64) -> LeaseRequest {
    let node = format!("n{incarnation}");
    LeaseRequest { lease_name: "d".into(), incarnation, sequence, node, ..Default::default() }
}

/// A release by a holder that may have acted under the lease.
fn release(incarnation: u64, sequence: u64) -> LeaseRequest {
    LeaseRequest {
        release: true,
        duration_ms: LEASE.as_millis() as u64,
        ..lease_request(incarnation, sequence)
    }
}

/// Candidates whose attempts fail must not block each other. If each failed attempt blocked the lease for a while,
/// several candidates could keep each other from acquiring it indefinitely.
#[test]
fn withdrawn_request_frees_the_lease_immediately() {
    let start = Instant::now();
    let mut grantor = Grantor::new(None);
    assert!(grantor.handle_request(&lease_request(1, 1), start, COMMANDING));
    assert!(grantor.handle_request(
        &LeaseRequest { duration_ms: 0, ..release(1, 2) },
        start,
        COMMANDING
    ));
    assert!(grantor.handle_request(&lease_request(2, 1), start, COMMANDING));
}

#[test]
fn grants_to_one_incarnation_at_a_time_and_none_after_a_restart() {
    let start = Instant::now();
    let mut grantor = Grantor::new(Some(start + LEASE));
    assert!(!grantor.handle_request(&lease_request(1, 1), start, COMMANDING));
    let other_lease = LeaseRequest { lease_name: "e".into(), ..lease_request(1, 1) };
    assert!(
        grantor.handle_request(&other_lease, start, NON_COMMANDING),
        "its holder commands no engines"
    );
    assert!(grantor.handle_request(&lease_request(1, 2), start + LEASE, COMMANDING));
    assert!(!grantor.handle_request(&lease_request(2, 1), start + LEASE, COMMANDING));
    assert!(grantor.handle_request(&lease_request(1, 3), start + LEASE * 3 / 2, COMMANDING));
    assert!(!grantor.handle_request(&lease_request(2, 2), start + LEASE * 2, COMMANDING));
    assert!(grantor.handle_request(&lease_request(2, 3), start + LEASE * 5 / 2, COMMANDING));
    assert!(grantor.handle_request(&release(2, 4), start + LEASE * 5 / 2, COMMANDING));
    let in_flight_time = COMMANDING.margin();
    assert!(
        !grantor.handle_request(&lease_request(3, 1), start + LEASE * 5 / 2, COMMANDING),
        "commands may be in flight"
    );
    assert!(grantor.handle_request(
        &lease_request(3, 2),
        start + LEASE * 5 / 2 + in_flight_time,
        COMMANDING
    ));
    let again = LeaseRequest { incarnation: 9, ..lease_request(3, 1) };
    assert!(
        grantor.handle_request(&again, start + LEASE * 5 / 2 + in_flight_time, COMMANDING),
        "a new incarnation of the holder's node"
    );
    assert!(!grantor.handle_request(
        &lease_request(2, 5),
        start + LEASE * 5 / 2 + in_flight_time,
        COMMANDING
    ));
}

#[test]
fn late_release_does_not_end_a_later_grant() {
    let start = Instant::now();
    let mut grantor = Grantor::new(None);
    assert!(grantor.handle_request(&lease_request(1, 1), start, NON_COMMANDING));
    assert!(
        grantor.handle_request(&lease_request(1, 3), start, NON_COMMANDING),
        "the second request overtakes the release of the first"
    );
    assert!(!grantor.handle_request(&release(1, 2), start, NON_COMMANDING));
    assert!(!grantor.handle_request(&lease_request(2, 1), start, NON_COMMANDING));
}

#[test]
fn release_by_a_former_incarnation_does_not_end_the_grant_of_the_next() {
    let start = Instant::now();
    let mut grantor = Grantor::new(None);
    let from_n1 = |request| LeaseRequest { node: "n1".into(), ..request };
    assert!(grantor.handle_request(&from_n1(lease_request(2, 1)), start, NON_COMMANDING));
    assert!(
        grantor.handle_request(&lease_request(1, 7), start, NON_COMMANDING),
        "late, from the same node"
    );
    assert!(grantor.handle_request(&release(1, 8), start, NON_COMMANDING));
    assert!(!grantor.handle_request(&lease_request(3, 1), start, NON_COMMANDING));
}

/// The membership changes from {A,B,C} to {B,C,D} while A holds the lease: neither C and D nor B and D may grant it to
/// another node.
#[test]
fn new_voter_withholds_grants_while_grants_of_former_members_may_run() {
    let start = Instant::now();
    let mut grantor = Grantor::new(None);
    let index_owner = LeaseRequest { lease_name: "e".into(), ..lease_request(2, 1) };
    assert!(grantor.handle_request(&index_owner, start, NON_COMMANDING));
    grantor.block_until(start + LEASE);
    grantor.block_until(start + LEASE / 2);
    assert!(!grantor.handle_request(&lease_request(2, 2), start + LEASE * 3 / 4, COMMANDING));
    assert!(grantor.handle_request(&lease_request(2, 3), start + LEASE, COMMANDING));
}

#[test]
fn expired_lease_permits_no_action_after_a_pause() {
    let start = Instant::now();
    let mut holder = LeaseHolder::new(1);
    holder.acquired(start, start, 5, true, COMMANDING);
    let expires_at = start + COMMANDING.usable();
    assert_eq!(holder.fenced_lease(start), Some(FencedLease { fencing_token: 5, expires_at }));
    assert_eq!(holder.fenced_lease(expires_at), None);
    holder.renewed(start + LEASE / 2, expires_at, COMMANDING);
    assert_eq!(
        holder.next_step(expires_at, COMMANDING),
        LeaseStep::Expired,
        "an answer after the expiry is ignored"
    );
}

#[test]
fn new_holder_acts_only_after_the_former_lease_expired_and_its_takeover_is_recorded() {
    let start = Instant::now();
    let mut holder = LeaseHolder::new(1);
    let id = holder.next_raise_id();
    holder.acquired(start, start, 6, false, COMMANDING);
    let from = start + COMMANDING.usable();
    assert_eq!(holder.next_step(start, COMMANDING), LeaseStep::Idle(Some(from)));
    holder.renewed(start + LEASE * 2 / 3, start + LEASE * 2 / 3, COMMANDING);
    assert_eq!(holder.next_step(from, COMMANDING), LeaseStep::RecordTakeover(id));
    assert_eq!(holder.fenced_lease(from), None);
    holder.takeover_recorded(id);
    assert_eq!(holder.fenced_lease(from).map(|lease| lease.fencing_token), Some(6));
    assert_ne!(holder.next_raise_id(), id, "the next raise has a new ID");
}

/// On a busy machine, answers of voters may arrive after the timeout of a renewal. Two renewals may fail, and the third
/// one still has to complete before the lease expires.
#[test]
fn the_shortest_lease_outlasts_two_failed_renewals() {
    let start = Instant::now();
    for policy in [
        LeasePolicy { lease: constants::INDEX_LEASE_DURATION, commands_engines: false },
        COMMANDING,
    ] {
        let mut holder = LeaseHolder::new(1);
        holder.acquired(start, start, 1, true, policy);
        let mut now = start;
        let mut failed_renewals = 0;
        while failed_renewals < 2 {
            assert_ne!(holder.next_step(now, policy), LeaseStep::Expired);
            if holder.next_step(now, policy) == LeaseStep::Renew {
                now += constants::LEASE_RENEWAL_TIMEOUT + constants::LEASE_RENEWAL_INTERVAL;
                failed_renewals += 1;
            } else {
                now += constants::LEASE_CHECK_INTERVAL;
            }
        }
        assert_eq!(holder.next_step(now, policy), LeaseStep::Renew);
        let answered = now + constants::LEASE_RENEWAL_TIMEOUT / 2;
        holder.renewed(now, answered, policy);
        assert_eq!(
            holder.fenced_lease(answered).map(|lease| lease.expires_at),
            Some(now + policy.usable())
        );
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Purpose {
    Acquire,
    Renew,
}

/// A request for which a node is collecting grants.
#[derive(Debug, Clone)]
struct PendingRequest {
    requested_at: Instant,
    number: u64,
    grants: usize,
    purpose: Purpose,
}

#[derive(Debug, Clone)]
enum Message {
    Acquire(usize, LeaseRequest),
    Granted(usize, u64, u64),
    Raise(RaiseInFlight),
    Raised(RaiseInFlight, ChangeResponse),
}

/// A raise of the fencing token in flight, with the times at which the lease was requested and granted.
#[derive(Debug, Clone, Copy)]
struct RaiseInFlight {
    node: usize,
    id: RaiseId,
    records_takeover: bool,
    requested_at: Instant,
    granted_at: Instant,
}

impl RaiseInFlight {
    fn change(&self) -> ChangeKind {
        let (id, records_takeover) = (self.id, self.records_takeover);
        let holder = format!("n{}", self.node);
        ChangeKind::RaiseFencingToken(RaiseFencingToken {
            lease_name: "d".into(),
            holder,
            id,
            records_takeover,
        })
    }
}

struct SimNode {
    grantor: Grantor,
    holder: LeaseHolder,
    incarnation: u64,
    number: u64,
    pending: Option<PendingRequest>,
}

/// Three nodes that drive the state machines as `lease_holder` does, over a network that loses, delays and reorders
/// messages.
struct Cluster {
    now: Instant,
    nodes: Vec<SimNode>,
    network: Vec<Message>,
    register: bytes::Bytes,
    /// Time, sending node and fencing token of each command.
    commands: Vec<(Instant, usize, u64)>,
    last_incarnation: u64,
}

impl Cluster {
    fn new() -> Cluster {
        let node = |index: u64| SimNode {
            grantor: Grantor::new(None),
            holder: LeaseHolder::new(index + 1),
            incarnation: index + 1,
            number: 0,
            pending: None,
        };
        Cluster {
            now: Instant::now(),
            nodes: (0..3).map(node).collect(),
            network: Vec::new(),
            register: bytes::Bytes::new(),
            commands: Vec::new(),
            last_incarnation: 3,
        }
    }

    /// Sends a lease request to all nodes. `may_have_acted` tells whether the sender may have sent commands under the
    /// lease.
    fn send(&mut self, sender: usize, release: bool, may_have_acted: bool) -> u64 {
        let node = &mut self.nodes[sender];
        node.number += 1;
        let request = LeaseRequest {
            lease_name: "d".into(),
            incarnation: node.incarnation,
            node: format!("n{sender}"),
            sequence: node.number,
            release,
            duration_ms: if may_have_acted { LEASE.as_millis() as u64 } else { 0 },
            ..Default::default()
        };
        let number = node.number;
        self.network.extend((0..3).map(|to| Message::Acquire(to, request.clone())));
        number
    }

    fn begin_request(&mut self, node: usize, purpose: Purpose) {
        let number = self.send(node, false, true);
        let requested_at = self.now;
        self.nodes[node].pending =
            Some(PendingRequest { requested_at, number, grants: 0, purpose });
    }

    /// Lets a node perform its next action.
    fn tick(&mut self, index: usize) {
        let now = self.now;
        if let Some(pending) = self.nodes[index].pending.clone() {
            if now - pending.requested_at > Duration::from_millis(1300) {
                self.nodes[index].pending = None;
                if pending.purpose == Purpose::Acquire {
                    self.send(index, true, false);
                }
            }
            return;
        }
        let node = &mut self.nodes[index];
        match node.holder.next_step(now, COMMANDING) {
            LeaseStep::Acquire if node.grantor.is_free("d", &format!("n{index}"), now) => {
                self.begin_request(index, Purpose::Acquire);
            }
            LeaseStep::Renew => self.begin_request(index, Purpose::Renew),
            LeaseStep::RecordTakeover(id) => self.raise(index, id, true, now),
            LeaseStep::Expired => {
                node.holder.drop_lease();
            }
            LeaseStep::Acquire | LeaseStep::Idle(_) => {}
        }
    }

    fn raise(&mut self, node: usize, id: RaiseId, records_takeover: bool, requested_at: Instant) {
        let granted_at = self.now;
        self.network.push(Message::Raise(RaiseInFlight {
            node,
            id,
            records_takeover,
            requested_at,
            granted_at,
        }));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Acquire(to, request) => {
                let grantor = &mut self.nodes[to].grantor;
                if grantor.handle_request(&request, self.now, COMMANDING) && !request.release {
                    let sender = request.node[1..].parse().unwrap();
                    self.network.push(Message::Granted(
                        sender,
                        request.incarnation,
                        request.sequence,
                    ));
                }
            }
            Message::Granted(node, incarnation, number) => self.granted(node, incarnation, number),
            Message::Raise(raise) => {
                let answer = match decide(&raise.change(), &self.register) {
                    Decision::Answer(response) => response,
                    Decision::Write(value, response) => {
                        self.register = value;
                        response
                    }
                };
                self.network.push(Message::Raised(raise, answer));
            }
            Message::Raised(raise, response) => self.raised(raise, &response),
        }
    }

    fn granted(&mut self, index: usize, incarnation: u64, number: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let Some(pending) = &mut node.pending else { return };
        if node.incarnation != incarnation || pending.number != number {
            return;
        }
        pending.grants += 1;
        let pending = pending.clone();
        match (pending.grants, pending.purpose) {
            (2, Purpose::Acquire) => {
                let id = node.holder.next_raise_id();
                self.raise(index, id, false, pending.requested_at);
            }
            (2, Purpose::Renew) => {
                node.holder.renewed(pending.requested_at, now, COMMANDING);
                node.pending = None;
            }
            _ => {}
        }
    }

    fn raised(&mut self, raise: RaiseInFlight, response: &ChangeResponse) {
        let SimNode { holder, pending, .. } = &mut self.nodes[raise.node];
        if raise.records_takeover {
            match response.outcome() {
                Outcome::Committed => holder.takeover_recorded(raise.id),
                _ if holder.next_raise_id().attempt == raise.id.attempt + 1 => {
                    holder.drop_lease();
                }
                _ => {}
            }
            return;
        }
        let is_pending =
            pending.as_ref().is_some_and(|request| request.requested_at == raise.requested_at);
        if is_pending && holder.next_raise_id() == raise.id {
            *pending = None;
            let was_last_holder = response.holder == format!("n{}", raise.node);
            holder.acquired(
                raise.requested_at,
                raise.granted_at,
                response.number,
                was_last_holder,
                COMMANDING,
            );
        }
    }

    fn restart(&mut self, node: usize) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        self.nodes[node] = SimNode {
            grantor: Grantor::new(Some(self.now + LEASE)),
            holder: LeaseHolder::new(incarnation),
            incarnation,
            number: 0,
            pending: None,
        };
    }

    /// Performs the operation that a random number encodes.
    fn step(&mut self, operation: u8, arg: usize) {
        match operation {
            0..=3 => self.now += Duration::from_millis(arg as u64 % 120),
            4 => self.now += Duration::from_millis(arg as u64 * 4),
            5..=9 => self.tick(arg % 3),
            10 if arg.is_multiple_of(3) => {
                let now = self.now;
                let holder =
                    self.nodes.iter().position(|node| node.holder.fenced_lease(now).is_some());
                if let Some(index) = holder.filter(|index| self.nodes[*index].holder.drop_lease()) {
                    self.send(index, true, true);
                }
            }
            11 if arg.is_multiple_of(4) => self.restart(arg / 4 % 3),
            12 if !self.network.is_empty() => {
                let index = arg % self.network.len();
                self.network.swap_remove(index);
            }
            13 if !self.network.is_empty() => {
                // A raise may be decided twice, by an owner that answers late and by the requesting node itself.
                let message = self.network[arg % self.network.len()].clone();
                if matches!(message, Message::Raise(..)) {
                    self.deliver(message);
                }
            }
            14.. if !self.network.is_empty() => {
                let index = if arg.is_multiple_of(3) { arg / 3 % self.network.len() } else { 0 };
                let message = self.network.remove(index);
                self.deliver(message);
            }
            _ => {}
        }
    }

    /// Lets every node that may act send a command, and checks it against all earlier commands.
    fn act(&mut self) -> Result<(), String> {
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(lease) = node.holder.fenced_lease(self.now) else { continue };
            for (sent_at, sender, fencing_token) in &self.commands {
                if *sender != index && self.now - *sent_at < LEASE {
                    return Err(format!(
                        "n{index} acted {:?} after n{sender}",
                        self.now - *sent_at
                    ));
                }
                if *fencing_token > lease.fencing_token
                    || (*fencing_token == lease.fencing_token && *sender != index)
                {
                    return Err(format!(
                        "n{index} acted with token {} after n{sender} with token {fencing_token}",
                        lease.fencing_token
                    ));
                }
            }
            self.commands.push((self.now, index, lease.fencing_token));
        }
        Ok(())
    }
}

/// Runs a sequence of operations. Returns the number of commands sent, or the rule that was violated.
fn run(steps: &[(u8, usize)]) -> Result<usize, String> {
    let mut cluster = Cluster::new();
    for (operation, arg) in steps {
        cluster.step(*operation, *arg);
        cluster.act()?;
    }
    Ok(cluster.commands.len())
}

/// A single active node acquires the lease and acts; when it stops, the next node takes over.
#[test]
fn a_lease_is_acquired_and_taken_over() {
    let mut cluster = Cluster::new();
    for round in 0..2000 {
        if round < 1000 {
            cluster.tick(0);
        } else {
            cluster.tick(1);
        }
        while !cluster.network.is_empty() {
            let message = cluster.network.remove(0);
            cluster.deliver(message);
        }
        cluster.now += Duration::from_millis(20);
        cluster.act().unwrap();
    }
    let sent_by = |node: usize| cluster.commands.iter().filter(|command| command.1 == node).count();
    assert!(sent_by(0) > 900 && sent_by(1) > 500, "{} {}", sent_by(0), sent_by(1));
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 4000, failure_persistence: None, ..Default::default() })]

    /// Under pauses, restarts, lost and late messages, two nodes never act within one lease duration, and fencing
    /// tokens never decrease and are each used by one node.
    #[test]
    fn actions_of_different_holders_are_a_lease_duration_apart(steps in proptest::collection::vec((0u8..24, 0usize..997), 50..500)) {
        run(&steps).map_err(proptest::test_runner::TestCaseError::fail)?;
    }
}

#[test]
fn rejected_token_ends_its_own_lease_and_no_later_one() {
    let now = Instant::now();
    let mut holder = LeaseHolder::new(1);
    holder.acquired(now, now, 7, true, COMMANDING);
    assert!(!holder.drop_if_rejected(6), "the token of an earlier lease");
    assert!(holder.fenced_lease(now).is_some());
    assert!(holder.drop_if_rejected(7));
    assert_eq!(holder.fenced_lease(now), None);
    assert!(!holder.drop_if_rejected(7), "no lease is held any more");
}
