//! Who the postmasters are, and how a lost one is exchanged: one at a time, by the roster's own key.

use crate::Sorting;
use crate::control::{owner, values};
use pouch::constants as k;
use pouch::log::Event;
use pouch::wire::{Body, Join, Member, Recover, Roster};
use prost::Message;
use std::net::IpAddr;
use std::sync::Arc;

/// The roster of the first start: the seeds.
pub fn founding(p: &pouch::params::Params) -> Roster {
    let mut members: Vec<Member> = p
        .seeds
        .iter()
        .map(|a| Member { ip: a.ip().to_string(), control: a.to_string(), ..Default::default() })
        .collect();
    members.sort_by(|a, b| a.ip.cmp(&b.ip));
    members.dedup_by(|a, b| a.ip == b.ip);
    Roster { epoch: 1, members }
}

fn own(s: &Sorting) -> Member {
    Member {
        name: s.node.name.clone(),
        ip: s.node.ip.to_string(),
        zone: s.node.zone.clone(),
        control: s.params().control.map(|a| a.to_string()).unwrap_or_default(),
    }
}

/// The voting member of the lowest address among those up does what one alone should do.
pub fn is_first_alive(s: &Sorting) -> bool {
    let a = s.acceptor.lock();
    if !a.votes() {
        return false;
    }
    let members = a.roster().members.clone();
    drop(a);
    s.peers(&members).iter().all(|(id, l)| *id > s.node.id() || !l.is_up())
}

/// Until it votes, a postmaster asks to join, or reads all from the others if its disk is empty.
pub async fn joining(s: Arc<Sorting>) {
    loop {
        let (votes, member, epoch) = {
            let a = s.acceptor.lock();
            (a.votes(), a.is_member(), a.roster().epoch)
        };
        if votes {
            tokio::time::sleep(k::LEARN_PAUSE).await;
            continue;
        }
        if member {
            recover(&s, epoch).await;
        } else {
            pouch::note!(s.log, Event::Joining, "epoch" => epoch);
            for (_, l) in s.members.links() {
                if let Ok(Body::Joined(j)) =
                    l.call(Body::Join(Join { member: own(&s) }), k::PHASE_LIMIT).await
                    && let Some(r) = j.roster
                {
                    s.adopt(&r).await;
                }
            }
        }
        tokio::time::sleep(k::JOIN_PAUSE).await;
        s.members.relink(&s);
    }
}

async fn recover(s: &Arc<Sorting>, roster: u64) {
    let members = s.acceptor.lock().roster().members.clone();
    let mut got = Vec::new();
    for (_, l) in s.peers(&members) {
        let ask = Body::Recover(Recover { roster, life: s.node.life });
        if let Ok(Body::Peeked(p)) = l.call(ask, k::PHASE_LIMIT * 2).await {
            if let Some(r) = &p.roster {
                s.adopt(r).await;
            }
            if p.roster.as_ref().is_some_and(|r| r.epoch == roster) {
                got.push(p);
            }
        }
    }
    if s.acceptor.lock().roster().epoch != roster {
        return;
    }
    if s.persist(|a| a.recover(&got)).await {
        pouch::note!(s.log, Event::Voting);
        s.members.relink(s);
    }
}

/// Whom a joiner may stand in for: a silent member, soonest one of its own zone.
pub fn lost_member<'a>(
    members: &'a [(Member, std::time::Duration)],
    joiner: &Member,
) -> Option<&'a Member> {
    let zone = members
        .iter()
        .find(|(m, silent)| m.zone == joiner.zone && *silent >= k::MEMBER_SILENT_ZONE);
    let any = members.iter().filter(|(_, s)| *s >= k::MEMBER_SILENT).max_by_key(|(_, s)| *s);
    zone.or(any).map(|(m, _)| m)
}

pub async fn exchanging(s: Arc<Sorting>) {
    loop {
        tokio::time::sleep(k::LEARN_PAUSE).await;
        let joiner = {
            let mut j = s.members.joiners.lock();
            j.retain(|_, (_, at)| at.elapsed() < k::JOIN_PAUSE * 6);
            j.values().map(|(m, _)| m.clone()).min_by(|a, b| a.ip.cmp(&b.ip))
        };
        let Some(joiner) = joiner else { continue };
        if !is_first_alive(&s) {
            continue;
        }
        let roster = s.acceptor.lock().roster().clone();
        if roster.members.iter().any(|m| m.ip == joiner.ip) {
            continue;
        }
        let silent = silences(&s, &roster);
        let Some(lost) = lost_member(&silent, &joiner) else { continue };
        let next = exchanged(&roster, lost, &joiner);
        let bytes: bytes::Bytes = next.encode_to_vec().into();
        let decide = |now: &[u8]| match Roster::decode(now) {
            Ok(r) if r.epoch > roster.epoch => values::Decision::Answer(values::unknown()),
            _ => values::Decision::Write(bytes.clone(), values::unknown()),
        };
        let _ =
            tokio::time::timeout(k::CHANGE_LIMIT * 2, owner::settle(&s, values::ROSTER, decide))
                .await;
    }
}

fn silences(s: &Sorting, roster: &Roster) -> Vec<(Member, std::time::Duration)> {
    let up = s.started.elapsed();
    let zones = s.members.zones.lock().clone();
    let mut out = Vec::new();
    for m in &roster.members {
        let Some(ip) = m.addr().filter(|ip| *ip != s.node.ip) else { continue };
        let link = s.members.links.lock().get(&ip).cloned();
        let silent = link.and_then(|l| l.silent_for()).unwrap_or(up);
        let mut m = m.clone();
        if let Some(z) = zones.get(&ip) {
            m.zone = z.clone();
        }
        out.push((m, silent));
    }
    out
}

fn exchanged(roster: &Roster, lost: &Member, joiner: &Member) -> Roster {
    let mut next = roster.clone();
    next.epoch += 1;
    next.members.retain(|m| m.ip != lost.ip);
    next.members.push(joiner.clone());
    next.members.sort_by(|a, b| a.ip.cmp(&b.ip));
    next
}

pub fn heard_join(s: &Sorting, m: Member) {
    if m.ip.parse::<IpAddr>().is_ok() {
        s.members.joiners.lock().insert(m.ip.clone(), (m, tokio::time::Instant::now()));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn member(ip: &str, zone: &str) -> Member {
        Member { ip: ip.into(), zone: zone.into(), ..Default::default() }
    }

    #[test]
    fn joiner_stands_in_for_the_silent_one_of_its_zone_first() {
        let j = member("10.0.0.9", "b");
        let all = |a: u64, b: u64| {
            vec![
                (member("10.0.0.1", "a"), Duration::from_millis(a)),
                (member("10.0.0.2", "b"), Duration::from_millis(b)),
            ]
        };
        assert_eq!(lost_member(&all(0, 0), &j), None);
        assert_eq!(lost_member(&all(3500, 500), &j), None);
        assert_eq!(lost_member(&all(9000, 3500), &j).unwrap().ip, "10.0.0.2");
        assert_eq!(lost_member(&all(9000, 500), &j).unwrap().ip, "10.0.0.1");
    }

    #[test]
    fn exchange_moves_one_member_and_the_epoch() {
        let r =
            Roster { epoch: 4, members: vec![member("10.0.0.1", "a"), member("10.0.0.2", "b")] };
        let n = exchanged(&r, &r.members[0], &member("10.0.0.9", "a"));
        assert_eq!(n.epoch, 5);
        let ips: Vec<_> = n.members.iter().map(|m| m.ip.as_str()).collect();
        assert_eq!(ips, ["10.0.0.2", "10.0.0.9"]);
    }
}
