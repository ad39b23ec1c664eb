//! Who the controllers are, and how a lost one is exchanged: one at a time, by the membership's own key.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::recovery;
use crate::Controller;
use crate::control::{owner, values};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Body, Join, Member, Membership, Peek};
use prost::Message;
use std::net::IpAddr;
use std::sync::Arc;

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

/// The voting member of the lowest address among those up does what one alone should do.
pub fn is_first_alive(s: &Controller) -> bool {
    let a = s.acceptor.lock();
    if !a.votes() {
        return false;
    }
    let members = a.membership().members.clone();
    drop(a);
    s.peers(&members).iter().all(|(id, l)| *id > s.node.id() || !l.is_up())
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
            for (_, l) in s.members.links() {
                if let Ok(Body::Joined(j)) = l
                    .call(
                        Body::Join(Join { member: own(&s), observes: s.disk_absent() }),
                        constants::PHASE_LIMIT,
                    )
                    .await
                    && let Some(r) = j.membership
                {
                    s.adopt(&r).await;
                }
            }
        }
        let known = s.disk_absent() && epoch > 0;
        tokio::time::sleep(if known { constants::OBSERVE_PAUSE } else { constants::JOIN_PAUSE })
            .await;
        s.members.relink(&s);
    }
}

/// Whom a joiner may stand in for: a silent member, soonest one of its own zone.
pub fn lost_member<'a>(
    members: &'a [(Member, std::time::Duration)],
    joiner: &Member,
) -> Option<&'a Member> {
    let zone = members
        .iter()
        .find(|(m, silent)| m.zone == joiner.zone && *silent >= constants::MEMBER_SILENT_ZONE);
    let any =
        members.iter().filter(|(_, s)| *s >= constants::MEMBER_SILENT).max_by_key(|(_, s)| *s);
    zone.or(any).map(|(m, _)| m)
}

/// Members that the membership has when it is whole: a majority outlives the losses that are to be borne.
pub fn whole(losses: usize) -> usize {
    2 * losses.max(1) + 1
}

/// The next membership: one more member while it is not whole, else a joiner in place of a lost one.
/// Not while too few of the members vote to carry the change and one more loss of a voter.
pub fn next_membership(
    membership: &Membership,
    silent: &[(Member, std::time::Duration)],
    joiners: &[Member],
    voters: usize,
    losses: usize,
) -> Option<Membership> {
    let outside = |m: &&Member| membership.members.iter().all(|x| x.ip != m.ip);
    let in_zone = |m: &Member| silent.iter().filter(|(x, _)| x.zone == m.zone).count();
    if membership.members.len() < whole(losses) {
        if voters < membership.members.len() {
            return None;
        }
        let joiner = joiners.iter().filter(outside).min_by_key(|m| (in_zone(m), m.ip.clone()))?;
        return Some(grown(membership, joiner));
    }
    if voters < membership.members.len() / 2 + 1 {
        return None;
    }
    joiners
        .iter()
        .filter(outside)
        .find_map(|j| Some(exchanged(membership, lost_member(silent, j)?, j)))
}

pub async fn exchanging(s: Arc<Controller>) {
    loop {
        tokio::time::sleep(constants::LEARN_PAUSE).await;
        let joiners: Vec<Member> = {
            let mut j = s.members.joiners.lock();
            j.retain(|_, (_, at)| at.elapsed() < constants::JOIN_PAUSE * 6);
            let mut all: Vec<Member> = j.values().map(|(m, _)| m.clone()).collect();
            all.sort_by(|a, b| a.ip.cmp(&b.ip));
            all
        };
        if joiners.is_empty() || !is_first_alive(&s) {
            continue;
        }
        let membership = s.acceptor.lock().membership().clone();
        let silent = silences(&s, &membership);
        let losses = s.settings().losses;
        if next_membership(&membership, &silent, &joiners, membership.members.len(), losses)
            .is_none()
        {
            continue;
        }
        let ask = Body::Peek(Peek { membership: membership.epoch, values: false });
        let voters = 1 + recovery::ask_all(&s, ask).await.iter().filter(|(_, p)| p.votes).count();
        let Some(next) = next_membership(&membership, &silent, &joiners, voters, losses) else {
            continue;
        };
        let bytes: bytes::Bytes = next.encode_to_vec().into();
        let decide = |now: &[u8]| match Membership::decode(now) {
            Ok(r) if r.epoch > membership.epoch => values::Decision::Answer(values::unknown()),
            _ => values::Decision::Write(bytes.clone(), values::unknown()),
        };
        let _ = tokio::time::timeout(
            constants::CHANGE_LIMIT * 2,
            owner::settle(&s, values::MEMBERSHIP, decide),
        )
        .await;
    }
}

fn silences(s: &Controller, membership: &Membership) -> Vec<(Member, std::time::Duration)> {
    let up = s.started.elapsed();
    let zones = s.members.zones.lock().clone();
    let mut out = Vec::new();
    for m in &membership.members {
        let Some(ip) = m.addr() else { continue };
        let link = s.members.links.lock().get(&ip).cloned();
        let silent = link.and_then(|l| l.silent_for()).unwrap_or(up);
        let silent = if ip == s.node.ip { std::time::Duration::ZERO } else { silent };
        let mut m = m.clone();
        if ip == s.node.ip {
            m.zone = s.node.zone.clone();
        }
        if let Some(z) = zones.get(&ip) {
            m.zone = z.clone();
        }
        out.push((m, silent));
    }
    out
}

fn exchanged(membership: &Membership, lost: &Member, joiner: &Member) -> Membership {
    let mut next = grown(membership, joiner);
    next.members.retain(|m| m.ip != lost.ip);
    next
}

fn grown(membership: &Membership, joiner: &Member) -> Membership {
    let mut next = membership.clone();
    next.epoch += 1;
    next.members.push(Member { joined_epoch: next.epoch, ..joiner.clone() });
    next.members.sort_by(|a, b| a.ip.cmp(&b.ip));
    next
}

pub fn heard_join(s: &Controller, m: Member) {
    if m.ip.parse::<IpAddr>().is_ok() {
        s.members.joiners.lock().insert(m.ip.clone(), (m, tokio::time::Instant::now()));
    }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
