//! Joining the controllers, and moving their membership: one at a time, by the membership's own key.

use super::MembershipManager;
use super::failure_domains::Tolerance;
use super::recovery;
use super::replacement::{self, Candidate, MemberStatus, Situation};
use crate::consensus::state_machine;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::node::id_of;
use fleet_core::wire::{Body, JoinRequest, Member, Membership, ReadBallots};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The membership of the first start: the seeds.
pub fn initial_membership(p: &fleet_core::settings::Settings) -> Membership {
    let mut members: Vec<Member> = p
        .seeds
        .iter()
        .map(|a| Member { ip: a.ip().to_string(), control: a.to_string(), ..Default::default() })
        .collect();
    members.sort_by(|a, b| a.ip.cmp(&b.ip));
    members.dedup_by(|a, b| a.ip == b.ip);
    Membership { epoch: 1, members }
}

fn own(manager: &MembershipManager) -> Member {
    Member {
        name: manager.process.node.name.clone(),
        ip: manager.process.node.ip.to_string(),
        zone: manager.process.node.zone.clone(),
        control: manager.process.settings().control.map(|a| a.to_string()).unwrap_or_default(),
        joined_epoch: 0,
    }
}

/// Until it votes, a manager asks to join, or reads all from the others if its disk is empty.
pub async fn run_join(manager: Arc<MembershipManager>) {
    let mut logged_epoch = u64::MAX;
    let mut catch_up = recovery::CatchUp::default();
    loop {
        let (votes, member, epoch) = {
            manager.consensus.with_acceptor(|acceptor| {
                (acceptor.votes(), acceptor.is_member(), acceptor.membership().epoch)
            })
        };
        if votes {
            tokio::time::sleep(constants::ANTI_ENTROPY_INTERVAL).await;
            continue;
        }
        if member {
            recovery::recover(&manager, epoch, &mut catch_up).await;
        } else {
            if logged_epoch != epoch {
                logged_epoch = epoch;
                fleet_core::log_event!(manager.process.log, Event::Joining, "epoch" => epoch);
            }
            request_membership(&manager).await;
        }
        let known = manager.consensus.is_disk_absent() && epoch > 0;
        tokio::time::sleep(if known {
            constants::OBSERVE_INTERVAL
        } else {
            constants::JOIN_INTERVAL
        })
        .await;
        manager.consensus.relink();
    }
}

/// A machine whose disk takes no writes could not vote: it only learns the membership.
async fn request_membership(manager: &Arc<MembershipManager>) {
    let observes = manager.consensus.is_disk_absent() || manager.consensus.is_disk_broken();
    for (_, link) in manager.links.all() {
        let running_ms = manager.process.started.elapsed().as_millis() as u64;
        let request = Body::JoinRequest(JoinRequest { member: own(manager), observes, running_ms });
        if let Ok(Body::JoinResponse(response)) = link.call(request, constants::PHASE_TIMEOUT).await
            && let Some(membership) = response.membership
        {
            manager.consensus.adopt(&membership).await;
        }
    }
}

/// How long members have not been seen to vote, as far as this member has looked.
#[derive(Default)]
struct VoteMonitor {
    last_voted: BTreeMap<String, Instant>,
}

impl VoteMonitor {
    fn record(&mut self, membership: &Membership, voters: &[u64]) {
        self.last_voted.retain(|ip, _| membership.members.iter().any(|m| m.ip == *ip));
        for member in &membership.members {
            let votes = member.id().is_some_and(|id| voters.contains(&id));
            let status = self.last_voted.entry(member.ip.clone()).or_insert_with(Instant::now);
            if votes {
                *status = Instant::now();
            }
        }
    }

    fn of(&self, member: &Member) -> Duration {
        self.last_voted.get(&member.ip).map_or(Duration::ZERO, |status| status.elapsed())
    }
}

/// Moves the membership on when it should. Any member that votes may do it; ballots decide between
/// several, and each waits longer the more voters of lower addresses there are.
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
        let linked = linked(&manager, &membership);
        let due = next_of(&manager, &membership, &candidates, &linked, &vote_monitor).is_some();
        if !due && last_check.elapsed() < constants::VOTE_CHECK_INTERVAL {
            continue;
        }
        last_check = Instant::now();
        let voters = voters(&manager, membership.epoch).await;
        vote_monitor.record(&membership, &voters);
        if next_of(&manager, &membership, &candidates, &voters, &vote_monitor).is_none() {
            continue;
        }
        let rank = voters.iter().filter(|id| **id < manager.process.node.id()).count();
        tokio::time::sleep(constants::REPLACEMENT_RANK_DELAY * rank as u32).await;
        if manager.consensus.membership_epoch() != membership.epoch {
            continue;
        }
        if let Some(next) = next_of(&manager, &membership, &candidates, &voters, &vote_monitor) {
            propose(&manager, &membership, &next).await;
        }
    }
}

/// Members that sent something lately, which most likely vote.
fn linked(manager: &MembershipManager, membership: &Membership) -> Vec<u64> {
    let unreachable_for = |ip| manager.links.get(ip).and_then(|link| link.time_since_received());
    let recent =
        |ip| unreachable_for(ip).is_some_and(|ago| ago < constants::MEMBER_TIMEOUT_SAME_ZONE);
    let addresses = membership.members.iter().filter_map(Member::addr);
    let was_reachable = addresses.filter(|ip| *ip == manager.process.node.ip || recent(*ip));
    was_reachable.map(id_of).collect()
}

/// Members that vote now under this membership, this one too.
async fn voters(manager: &Arc<MembershipManager>, membership: u64) -> Vec<u64> {
    let request = Body::ReadBallots(ReadBallots { membership, values: false });
    let answers = recovery::query_all(manager, request).await;
    let others =
        answers.iter().filter(|(_, report)| report.votes_in(membership)).map(|(id, _)| *id);
    others.chain(manager.consensus.votes().then(|| manager.process.node.id())).collect()
}

fn next_of(
    manager: &MembershipManager,
    membership: &Membership,
    candidates: &[Candidate],
    voters: &[u64],
    vote_monitor: &VoteMonitor,
) -> Option<Membership> {
    let settings = manager.process.settings();
    let tolerance = Tolerance {
        machines: settings.losses,
        zones: settings.lost_zones,
        regions: settings.lost_regions,
        regions_of_zones: settings.zones.clone(),
    };
    let members: Vec<MemberStatus> = membership
        .members
        .iter()
        .map(|member| status(manager, member, voters, vote_monitor))
        .collect();
    let successor_wait = replacement::successor_wait(settings.bounds.catch_up);
    let situation = Situation {
        membership,
        members: &members,
        candidates,
        tolerance: &tolerance,
        successor_wait,
    };
    situation.next()
}

fn status(
    manager: &MembershipManager,
    member: &Member,
    voters: &[u64],
    vote_monitor: &VoteMonitor,
) -> MemberStatus {
    let mut member = member.clone();
    let own = member.id() == Some(manager.process.node.id());
    if own {
        member.zone.clone_from(&manager.process.node.zone);
    } else if let Some(zone) = member.addr().and_then(|ip| manager.links.zone_of(ip)) {
        member.zone = zone;
    }
    let link = member.addr().and_then(|ip| manager.links.get(ip));
    let unreachable_for = link.and_then(|link| link.time_since_received());
    MemberStatus {
        unreachable_for: if own {
            Duration::ZERO
        } else {
            unreachable_for.unwrap_or_else(|| manager.process.started.elapsed())
        },
        was_reachable: own || unreachable_for.is_some(),
        votes: member.id().is_some_and(|id| voters.contains(&id)),
        not_voting_for: vote_monitor.of(&member),
        member,
    }
}

async fn propose(manager: &Arc<MembershipManager>, membership: &Membership, next: &Membership) {
    let bytes: bytes::Bytes = next.encode_to_vec().into();
    let decide = |now: &[u8]| match Membership::decode(now) {
        Ok(known) if known.epoch > membership.epoch => {
            state_machine::Decision::Answer(state_machine::unknown())
        }
        _ => state_machine::Decision::Write(bytes.clone(), state_machine::unknown()),
    };
    let proposed = manager.consensus.propose_and_commit(state_machine::MEMBERSHIP, decide);
    let _ = tokio::time::timeout(constants::CHANGE_TIMEOUT * 2, proposed).await;
}
