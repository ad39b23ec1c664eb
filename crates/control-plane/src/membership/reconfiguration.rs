//! Joining the controllers, and moving their membership: one at a time, by the membership's own key.

use super::recovery;
use super::replacement::{self, Candidate, MemberStatus, Situation, Tolerance};
use crate::Controller;
use crate::consensus::{key_owner, state_machine};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{BallotReport, Body, JoinRequest, Member, Membership, ReadBallots};
use prost::Message;
use std::collections::BTreeMap;
use std::net::IpAddr;
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

fn own(controller: &Controller) -> Member {
    Member {
        name: controller.node.name.clone(),
        ip: controller.node.ip.to_string(),
        zone: controller.node.zone.clone(),
        control: controller.settings().control.map(|a| a.to_string()).unwrap_or_default(),
        joined_epoch: 0,
    }
}

/// Until it votes, a controller asks to join, or reads all from the others if its disk is empty.
pub async fn run_join(controller: Arc<Controller>) {
    let mut logged_epoch = u64::MAX;
    let mut catch_up = recovery::CatchUp::default();
    loop {
        let (votes, member, epoch) = {
            let a = controller.acceptor.lock();
            (a.votes(), a.is_member(), a.membership().epoch)
        };
        if votes {
            tokio::time::sleep(constants::ANTI_ENTROPY_INTERVAL).await;
            continue;
        }
        if member {
            recovery::recover(&controller, epoch, &mut catch_up).await;
        } else {
            if logged_epoch != epoch {
                logged_epoch = epoch;
                fleet_core::log_event!(controller.log, Event::Joining, "epoch" => epoch);
            }
            request_membership(&controller).await;
        }
        let known = controller.disk_absent() && epoch > 0;
        tokio::time::sleep(if known {
            constants::OBSERVE_INTERVAL
        } else {
            constants::JOIN_INTERVAL
        })
        .await;
        controller.peers.relink(&controller);
    }
}

/// A machine whose disk takes no writes could not vote: it only learns the membership.
async fn request_membership(controller: &Arc<Controller>) {
    let observes = controller.disk_absent() || controller.disk_broken();
    for (_, link) in controller.peers.links() {
        let running_ms = controller.started.elapsed().as_millis() as u64;
        let request =
            Body::JoinRequest(JoinRequest { member: own(controller), observes, running_ms });
        if let Ok(Body::JoinResponse(response)) = link.call(request, constants::PHASE_TIMEOUT).await
            && let Some(membership) = response.membership
        {
            controller.adopt(&membership).await;
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
            let votes = member_id(member).is_some_and(|id| voters.contains(&id));
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

fn member_id(member: &Member) -> Option<u64> {
    member.addr().map(|ip| u64::from(u32::from(ip)))
}

/// Moves the membership on when it should. Any member that votes may do it; ballots decide between
/// several, and each waits longer the more voters of lower addresses there are.
pub async fn run_replacement(controller: Arc<Controller>) {
    let mut vote_monitor = VoteMonitor::default();
    let mut last_check = Instant::now();
    loop {
        tokio::time::sleep(constants::ANTI_ENTROPY_INTERVAL).await;
        let membership = controller.acceptor.lock().membership().clone();
        let candidates = controller.peers.candidates.lock().waiting(&membership, Instant::now());
        if candidates.is_empty() || !controller.acceptor.lock().votes() {
            vote_monitor = VoteMonitor::default();
            continue;
        }
        let linked = linked(&controller, &membership);
        let due = next_of(&controller, &membership, &candidates, &linked, &vote_monitor).is_some();
        if !due && last_check.elapsed() < constants::VOTE_CHECK_INTERVAL {
            continue;
        }
        last_check = Instant::now();
        let voters = voters(&controller, membership.epoch).await;
        vote_monitor.record(&membership, &voters);
        if next_of(&controller, &membership, &candidates, &voters, &vote_monitor).is_none() {
            continue;
        }
        let rank = voters.iter().filter(|id| **id < controller.node.id()).count();
        tokio::time::sleep(constants::REPLACEMENT_RANK_DELAY * rank as u32).await;
        if controller.acceptor.lock().membership().epoch != membership.epoch {
            continue;
        }
        if let Some(next) = next_of(&controller, &membership, &candidates, &voters, &vote_monitor) {
            propose(&controller, &membership, &next).await;
        }
    }
}

/// Members that were heard of lately, which most likely vote.
fn linked(controller: &Controller, membership: &Membership) -> Vec<u64> {
    let unreachable_for =
        |ip| controller.peers.link(ip).and_then(|link| link.time_since_received());
    let recent =
        |ip| unreachable_for(ip).is_some_and(|ago| ago < constants::MEMBER_TIMEOUT_SAME_ZONE);
    let addresses = membership.members.iter().filter_map(Member::addr);
    let was_reachable = addresses.filter(|ip| *ip == controller.node.ip || recent(*ip));
    was_reachable.map(|ip| u64::from(u32::from(ip))).collect()
}

/// Members that vote now under this membership, this one too.
async fn voters(controller: &Arc<Controller>, membership: u64) -> Vec<u64> {
    let request = Body::ReadBallots(ReadBallots { membership, values: false });
    let answers = recovery::query_all(controller, request).await;
    let in_force = |p: &BallotReport| p.membership.as_ref().is_some_and(|m| m.epoch == membership);
    let others = answers.iter().filter(|(_, p)| p.votes && in_force(p)).map(|(id, _)| *id);
    others.chain(controller.acceptor.lock().votes().then(|| controller.node.id())).collect()
}

fn next_of(
    controller: &Controller,
    membership: &Membership,
    candidates: &[Candidate],
    voters: &[u64],
    vote_monitor: &VoteMonitor,
) -> Option<Membership> {
    let settings = controller.settings();
    let tolerance = Tolerance {
        machines: settings.losses,
        zones: settings.lost_zones,
        regions: settings.lost_regions,
        regions_of_zones: settings.zones.clone(),
    };
    let members: Vec<MemberStatus> = membership
        .members
        .iter()
        .map(|member| status(controller, member, voters, vote_monitor))
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
    controller: &Controller,
    member: &Member,
    voters: &[u64],
    vote_monitor: &VoteMonitor,
) -> MemberStatus {
    let mut member = member.clone();
    let own = member_id(&member) == Some(controller.node.id());
    if own {
        member.zone.clone_from(&controller.node.zone);
    } else if let Some(zone) = member.addr().and_then(|ip| controller.peers.zone_of(ip)) {
        member.zone = zone;
    }
    let link = member.addr().and_then(|ip| controller.peers.link(ip));
    let unreachable_for = link.and_then(|link| link.time_since_received());
    MemberStatus {
        unreachable_for: if own {
            Duration::ZERO
        } else {
            unreachable_for.unwrap_or_else(|| controller.started.elapsed())
        },
        was_reachable: own || unreachable_for.is_some(),
        votes: member_id(&member).is_some_and(|id| voters.contains(&id)),
        not_voting_for: vote_monitor.of(&member),
        member,
    }
}

async fn propose(controller: &Arc<Controller>, membership: &Membership, next: &Membership) {
    let bytes: bytes::Bytes = next.encode_to_vec().into();
    let decide = |now: &[u8]| match Membership::decode(now) {
        Ok(known) if known.epoch > membership.epoch => {
            state_machine::Decision::Answer(state_machine::unknown())
        }
        _ => state_machine::Decision::Write(bytes.clone(), state_machine::unknown()),
    };
    let proposed = key_owner::propose_and_commit(controller, state_machine::MEMBERSHIP, decide);
    let _ = tokio::time::timeout(constants::CHANGE_TIMEOUT * 2, proposed).await;
}

/// A controller that waits to be taken in.
pub fn on_join_request(controller: &Controller, request: JoinRequest) {
    if request.member.ip.parse::<IpAddr>().is_ok() && !request.observes {
        controller.peers.candidates.lock().record(request, Instant::now());
    }
}
