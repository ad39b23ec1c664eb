//! Joins the cluster, and changes its membership by one member at a time, through the membership register.

use super::MembershipManager;
use super::failure_domains::Tolerance;
use super::recovery;
use super::replacement::{self, Candidate, MemberStatus, MembershipPlanner};
use crate::consensus::state_machine;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::node::node_id_of;
use fleet_core::wire::{Body, JoinRequest, Member, Membership, ReadBallots};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The membership at the very first start, which consists of the seeds.
pub fn initial_membership(settings: &fleet_core::settings::Settings) -> Membership {
    let mut members: Vec<Member> = settings
        .seeds
        .iter()
        .map(|seed| Member {
            ip: seed.ip().to_string(),
            control: seed.to_string(),
            ..Default::default()
        })
        .collect();
    members.sort_by(|a, b| a.ip.cmp(&b.ip));
    members.dedup_by(|a, b| a.ip == b.ip);
    Membership { epoch: 1, members }
}

fn own_member(manager: &MembershipManager) -> Member {
    Member {
        name: manager.process.node.name.clone(),
        ip: manager.process.node.ip.to_string(),
        zone: manager.process.node.zone.clone(),
        control: manager
            .process
            .settings()
            .control_addr
            .map(|address| address.to_string())
            .unwrap_or_default(),
        joined_epoch: 0,
    }
}

/// While this node does not vote, recovers its state from the other members if it is a member, and otherwise asks to
/// become one.
pub async fn run_join(manager: Arc<MembershipManager>) {
    let mut logged_epoch = u64::MAX;
    let mut catch_up = recovery::CatchUp::default();
    loop {
        let (votes, is_member, epoch) = {
            manager.consensus.with_acceptor(|acceptor| {
                (acceptor.votes(), acceptor.is_member(), acceptor.membership().epoch)
            })
        };
        if votes {
            tokio::time::sleep(constants::ANTI_ENTROPY_INTERVAL).await;
            continue;
        }
        if is_member {
            recovery::recover(&manager, epoch, &mut catch_up).await;
        } else {
            if logged_epoch != epoch {
                logged_epoch = epoch;
                fleet_core::log_event!(manager.process.log, Event::Joining, "epoch" => epoch);
            }
            request_membership(&manager).await;
        }
        let is_observer = manager.consensus.is_disk_absent() && epoch > 0;
        tokio::time::sleep(if is_observer {
            constants::OBSERVER_POLL_INTERVAL
        } else {
            constants::JOIN_INTERVAL
        })
        .await;
        manager.consensus.relink();
    }
}

/// Asks all linked controllers to be admitted as a member, and adopts newer memberships from their answers. A node
/// without a writable disk could not vote, so it asks only as an observer, to learn the membership.
async fn request_membership(manager: &Arc<MembershipManager>) {
    let is_observer = manager.consensus.is_disk_absent() || manager.consensus.is_disk_broken();
    for (_, link) in manager.links.all() {
        let running_ms = manager.process.started.elapsed().as_millis() as u64;
        let request =
            Body::JoinRequest(JoinRequest { member: own_member(manager), is_observer, running_ms });
        if let Ok(Body::JoinResponse(response)) = link.call(request, constants::PHASE_TIMEOUT).await
            && let Some(membership) = response.membership
        {
            manager.consensus.adopt(&membership).await;
        }
    }
}

/// Tracks how long members have not been seen voting, since this node began to check.
#[derive(Default)]
struct VoteMonitor {
    last_voted: BTreeMap<String, Instant>,
}

impl VoteMonitor {
    fn record(&mut self, membership: &Membership, voters: &[u64]) {
        self.last_voted.retain(|ip, _| membership.members.iter().any(|member| member.ip == *ip));
        for member in &membership.members {
            let votes = member.id().is_some_and(|id| voters.contains(&id));
            let last_voted = self.last_voted.entry(member.ip.clone()).or_insert_with(Instant::now);
            if votes {
                *last_voted = Instant::now();
            }
        }
    }

    fn not_voting_for(&self, member: &Member) -> Duration {
        self.last_voted.get(&member.ip).map_or(Duration::ZERO, |last_voted| last_voted.elapsed())
    }
}

/// Proposes the next membership when a change is due. Any voter may propose; ballots decide between concurrent
/// proposals. To make these rare, each voter first waits for a delay that grows with the number of voters with lower
/// IDs.
pub async fn run_replacement(manager: Arc<MembershipManager>) {
    let mut vote_monitor = VoteMonitor::default();
    let mut last_check = Instant::now();
    loop {
        tokio::time::sleep(constants::ANTI_ENTROPY_INTERVAL).await;
        let membership = manager.consensus.membership();
        let candidates = manager.candidates.lock().waiting(&membership, Instant::now());
        if candidates.is_empty() || !manager.consensus.votes() {
            vote_monitor = VoteMonitor::default();
            continue;
        }
        let presumed_voters = recently_heard(&manager, &membership);
        let is_due =
            next_membership(&manager, &membership, &candidates, &presumed_voters, &vote_monitor)
                .is_some();
        if !is_due && last_check.elapsed() < constants::VOTE_CHECK_INTERVAL {
            continue;
        }
        last_check = Instant::now();
        let voters = query_voters(&manager, membership.epoch).await;
        vote_monitor.record(&membership, &voters);
        if next_membership(&manager, &membership, &candidates, &voters, &vote_monitor).is_none() {
            continue;
        }
        let rank = voters.iter().filter(|id| **id < manager.process.node.id()).count();
        tokio::time::sleep(constants::REPLACEMENT_RANK_DELAY * rank as u32).await;
        if manager.consensus.membership_epoch() != membership.epoch {
            continue;
        }
        if let Some(next) =
            next_membership(&manager, &membership, &candidates, &voters, &vote_monitor)
        {
            propose(&manager, &membership, &next).await;
        }
    }
}

/// Members from which something was received recently, and this node if it is a member; they are assumed to vote.
fn recently_heard(manager: &MembershipManager, membership: &Membership) -> Vec<u64> {
    let silent_for = |ip| manager.links.get(ip).and_then(|link| link.time_since_received());
    let is_recent =
        |ip| silent_for(ip).is_some_and(|silence| silence < constants::MEMBER_TIMEOUT_SAME_ZONE);
    let addresses = membership.members.iter().filter_map(Member::addr);
    let heard = addresses.filter(|ip| *ip == manager.process.node.ip || is_recent(*ip));
    heard.map(node_id_of).collect()
}

/// Members that currently vote in the membership of this epoch, including this node if it votes.
async fn query_voters(manager: &Arc<MembershipManager>, membership: u64) -> Vec<u64> {
    let request = Body::ReadBallots(ReadBallots { membership, values: false });
    let answers = recovery::query_all(manager, request).await;
    let others =
        answers.iter().filter(|(_, report)| report.votes_in(membership)).map(|(id, _)| *id);
    others.chain(manager.consensus.votes().then(|| manager.process.node.id())).collect()
}

fn next_membership(
    manager: &MembershipManager,
    membership: &Membership,
    candidates: &[Candidate],
    voters: &[u64],
    vote_monitor: &VoteMonitor,
) -> Option<Membership> {
    let settings = manager.process.settings();
    let tolerance = Tolerance {
        machines: settings.tolerated_machine_losses,
        zones: settings.tolerated_zone_losses,
        regions: settings.tolerated_region_losses,
        regions_of_zones: settings.zones.clone(),
    };
    let members: Vec<MemberStatus> = membership
        .members
        .iter()
        .map(|member| member_status(manager, member, voters, vote_monitor))
        .collect();
    let successor_wait = replacement::successor_wait(settings.bounds.catch_up);
    let planner = MembershipPlanner {
        membership,
        members: &members,
        candidates,
        tolerance: &tolerance,
        successor_wait,
    };
    planner.next()
}

fn member_status(
    manager: &MembershipManager,
    member: &Member,
    voters: &[u64],
    vote_monitor: &VoteMonitor,
) -> MemberStatus {
    let mut member = member.clone();
    let is_self = member.id() == Some(manager.process.node.id());
    if is_self {
        member.zone.clone_from(&manager.process.node.zone);
    } else if let Some(zone) = member.addr().and_then(|ip| manager.links.zone_of(ip)) {
        member.zone = zone;
    }
    let link = member.addr().and_then(|ip| manager.links.get(ip));
    let unreachable_for = link.and_then(|link| link.time_since_received());
    MemberStatus {
        unreachable_for: if is_self {
            Duration::ZERO
        } else {
            unreachable_for.unwrap_or_else(|| manager.process.started.elapsed())
        },
        was_reachable: is_self || unreachable_for.is_some(),
        votes: member.id().is_some_and(|id| voters.contains(&id)),
        not_voting_for: vote_monitor.not_voting_for(&member),
        member,
    }
}

async fn propose(manager: &Arc<MembershipManager>, membership: &Membership, next: &Membership) {
    let bytes: bytes::Bytes = next.encode_to_vec().into();
    let decide = |current: &[u8]| match Membership::decode(current) {
        Ok(current) if current.epoch > membership.epoch => {
            state_machine::Decision::Answer(state_machine::unknown_outcome())
        }
        _ => state_machine::Decision::Write(bytes.clone(), state_machine::unknown_outcome()),
    };
    let proposed = manager.consensus.propose_and_commit(state_machine::MEMBERSHIP, decide);
    let _ = tokio::time::timeout(constants::CHANGE_TIMEOUT * 2, proposed).await;
}
