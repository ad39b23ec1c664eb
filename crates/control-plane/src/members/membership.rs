//! Joining the controllers, and moving their membership: one at a time, by the membership's own key.

use super::exchange::{self, Joiner, Seen, Situation, Tolerance};
use super::recovery;
use crate::Controller;
use crate::control::{owner, values};
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
pub fn founding(p: &fleet_core::settings::Settings) -> Membership {
    let mut members: Vec<Member> = p
        .seeds
        .iter()
        .map(|a| Member { ip: a.ip().to_string(), control: a.to_string(), ..Default::default() })
        .collect();
    members.sort_by(|a, b| a.ip.cmp(&b.ip));
    members.dedup_by(|a, b| a.ip == b.ip);
    Membership { epoch: 1, members }
}

fn own(s: &Controller) -> Member {
    Member {
        name: s.node.name.clone(),
        ip: s.node.ip.to_string(),
        zone: s.node.zone.clone(),
        control: s.settings().control.map(|a| a.to_string()).unwrap_or_default(),
        joined_epoch: 0,
    }
}

/// Until it votes, a controller asks to join, or reads all from the others if its disk is empty.
pub async fn joining(s: Arc<Controller>) {
    let mut told = u64::MAX;
    let mut catch_up = recovery::CatchUp::default();
    loop {
        let (votes, member, epoch) = {
            let a = s.acceptor.lock();
            (a.votes(), a.is_member(), a.membership().epoch)
        };
        if votes {
            tokio::time::sleep(constants::LEARN_PAUSE).await;
            continue;
        }
        if member {
            recovery::recover(&s, epoch, &mut catch_up).await;
        } else {
            if told != epoch {
                told = epoch;
                fleet_core::log_event!(s.log, Event::Joining, "epoch" => epoch);
            }
            ask_to_join(&s).await;
        }
        let known = s.disk_absent() && epoch > 0;
        tokio::time::sleep(if known { constants::OBSERVE_PAUSE } else { constants::JOIN_PAUSE })
            .await;
        s.members.relink(&s);
    }
}

/// A machine whose disk takes no writes could not vote: it only learns the membership.
async fn ask_to_join(s: &Arc<Controller>) {
    let observes = s.disk_absent() || s.disk_broken();
    for (_, link) in s.members.links() {
        let running_ms = s.started.elapsed().as_millis() as u64;
        let ask = Body::JoinRequest(JoinRequest { member: own(s), observes, running_ms });
        if let Ok(Body::JoinResponse(joined)) = link.call(ask, constants::PHASE_LIMIT).await
            && let Some(membership) = joined.membership
        {
            s.adopt(&membership).await;
        }
    }
}

/// How long members have not been seen to vote, as far as this member has looked.
#[derive(Default)]
struct Mutes {
    votes_seen: BTreeMap<String, Instant>,
}

impl Mutes {
    fn look(&mut self, membership: &Membership, voters: &[u64]) {
        self.votes_seen.retain(|ip, _| membership.members.iter().any(|m| m.ip == *ip));
        for member in &membership.members {
            let votes = member_id(member).is_some_and(|id| voters.contains(&id));
            let seen = self.votes_seen.entry(member.ip.clone()).or_insert_with(Instant::now);
            if votes {
                *seen = Instant::now();
            }
        }
    }

    fn of(&self, member: &Member) -> Duration {
        self.votes_seen.get(&member.ip).map_or(Duration::ZERO, |seen| seen.elapsed())
    }
}

fn member_id(member: &Member) -> Option<u64> {
    member.addr().map(|ip| u64::from(u32::from(ip)))
}

/// Moves the membership on when it should. Any member that votes may do it; ballots decide between
/// several, and each waits longer the more voters of lower addresses there are.
pub async fn exchanging(s: Arc<Controller>) {
    let mut mutes = Mutes::default();
    let mut looked = Instant::now();
    loop {
        tokio::time::sleep(constants::LEARN_PAUSE).await;
        let membership = s.acceptor.lock().membership().clone();
        let joiners = s.members.joiners.lock().waiting(&membership, Instant::now());
        if joiners.is_empty() || !s.acceptor.lock().votes() {
            mutes = Mutes::default();
            continue;
        }
        let linked = linked(&s, &membership);
        let due = next_of(&s, &membership, &joiners, &linked, &mutes).is_some();
        if !due && looked.elapsed() < constants::MUTE_PAUSE {
            continue;
        }
        looked = Instant::now();
        let voters = voters(&s, membership.epoch).await;
        mutes.look(&membership, &voters);
        if next_of(&s, &membership, &joiners, &voters, &mutes).is_none() {
            continue;
        }
        let rank = voters.iter().filter(|id| **id < s.node.id()).count();
        tokio::time::sleep(constants::MOVE_RANK_PAUSE * rank as u32).await;
        if s.acceptor.lock().membership().epoch != membership.epoch {
            continue;
        }
        if let Some(next) = next_of(&s, &membership, &joiners, &voters, &mutes) {
            propose(&s, &membership, &next).await;
        }
    }
}

/// Members that were heard of lately, which most likely vote.
fn linked(s: &Controller, membership: &Membership) -> Vec<u64> {
    let silent = |ip| s.members.link(ip).and_then(|link| link.time_since_received());
    let recent = |ip| silent(ip).is_some_and(|ago| ago < constants::MEMBER_SILENT_ZONE);
    let addresses = membership.members.iter().filter_map(Member::addr);
    let heard = addresses.filter(|ip| *ip == s.node.ip || recent(*ip));
    heard.map(|ip| u64::from(u32::from(ip))).collect()
}

/// Members that vote now under this membership, this one too.
async fn voters(s: &Arc<Controller>, membership: u64) -> Vec<u64> {
    let ask = Body::ReadBallots(ReadBallots { membership, values: false });
    let answers = recovery::ask_all(s, ask).await;
    let in_force = |p: &BallotReport| p.membership.as_ref().is_some_and(|m| m.epoch == membership);
    let others = answers.iter().filter(|(_, p)| p.votes && in_force(p)).map(|(id, _)| *id);
    others.chain(s.acceptor.lock().votes().then(|| s.node.id())).collect()
}

fn next_of(
    s: &Controller,
    membership: &Membership,
    joiners: &[Joiner],
    voters: &[u64],
    mutes: &Mutes,
) -> Option<Membership> {
    let settings = s.settings();
    let tolerance = Tolerance {
        machines: settings.losses,
        zones: settings.lost_zones,
        regions: settings.lost_regions,
        regions_of_zones: settings.zones.clone(),
    };
    let members: Vec<Seen> =
        membership.members.iter().map(|member| seen(s, member, voters, mutes)).collect();
    let successor_wait = exchange::successor_wait(settings.bounds.catch_up);
    let situation =
        Situation { membership, members: &members, joiners, tolerance: &tolerance, successor_wait };
    situation.next()
}

fn seen(s: &Controller, member: &Member, voters: &[u64], mutes: &Mutes) -> Seen {
    let mut member = member.clone();
    let own = member_id(&member) == Some(s.node.id());
    if own {
        member.zone.clone_from(&s.node.zone);
    } else if let Some(zone) = member.addr().and_then(|ip| s.members.zone_of(ip)) {
        member.zone = zone;
    }
    let link = member.addr().and_then(|ip| s.members.link(ip));
    let silent = link.and_then(|link| link.time_since_received());
    Seen {
        silent: if own { Duration::ZERO } else { silent.unwrap_or_else(|| s.started.elapsed()) },
        heard: own || silent.is_some(),
        votes: member_id(&member).is_some_and(|id| voters.contains(&id)),
        mute: mutes.of(&member),
        member,
    }
}

async fn propose(s: &Arc<Controller>, membership: &Membership, next: &Membership) {
    let bytes: bytes::Bytes = next.encode_to_vec().into();
    let decide = |now: &[u8]| match Membership::decode(now) {
        Ok(known) if known.epoch > membership.epoch => values::Decision::Answer(values::unknown()),
        _ => values::Decision::Write(bytes.clone(), values::unknown()),
    };
    let settled = owner::settle(s, values::MEMBERSHIP, decide);
    let _ = tokio::time::timeout(constants::CHANGE_LIMIT * 2, settled).await;
}

/// A controller that waits to be taken in.
pub fn heard_join(s: &Controller, ask: JoinRequest) {
    if ask.member.ip.parse::<IpAddr>().is_ok() && !ask.observes {
        s.members.joiners.lock().hear(ask, Instant::now());
    }
}
