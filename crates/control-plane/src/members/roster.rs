//! Who the controllers are, and how a lost one is exchanged: one at a time, by the roster's own key.

use crate::Sorting;
use crate::control::{owner, values};
use fleet_core::constants as k;
use fleet_core::log::Event;
use fleet_core::wire::{Body, Join, Member, Peek, Peeked, Recover, Roster};
use prost::Message;
use std::net::IpAddr;
use std::sync::Arc;

/// The roster of the first start: the seeds.
pub fn founding(p: &fleet_core::params::Params) -> Roster {
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

/// Until it votes, a controller asks to join, or reads all from the others if its disk is empty.
pub async fn joining(s: Arc<Sorting>) {
    let mut told = u64::MAX;
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
            if told != epoch {
                told = epoch;
                fleet_core::note!(s.log, Event::Joining, "epoch" => epoch);
            }
            for (_, l) in s.members.links() {
                if let Ok(Body::Joined(j)) = l
                    .call(
                        Body::Join(Join { member: own(&s), observes: s.disk_absent() }),
                        k::PHASE_LIMIT,
                    )
                    .await
                    && let Some(r) = j.roster
                {
                    s.adopt(&r).await;
                }
            }
        }
        let known = s.disk_absent() && epoch > 0;
        tokio::time::sleep(if known { k::OBSERVE_PAUSE } else { k::JOIN_PAUSE }).await;
        s.members.relink(&s);
    }
}

/// Learns the latest era of a majority, then reads all from a majority that has gone to a later one.
async fn recover(s: &Arc<Sorting>, roster: u64) {
    let before = peek_all(s, Body::Peek(Peek { roster, values: false })).await;
    let in_force = |p: &&Peeked| p.roster.as_ref().is_some_and(|r| r.epoch == roster);
    let most = s.acceptor.lock().roster().members.len() / 2 + 1;
    if before.iter().filter(in_force).filter(|p| p.votes).count() < most {
        return;
    }
    let era = before.iter().map(|p| p.era).max().unwrap_or(0) + 1;
    let ask = Body::Recover(Recover { roster, life: s.node.life, era });
    let mut got = peek_all(s, ask).await;
    got.retain(|p| in_force(&p));
    if s.acceptor.lock().roster().epoch != roster {
        return;
    }
    if s.persist(|a| a.recover(era, &got)).await {
        fleet_core::note!(s.log, Event::Voting, "era" => era);
        s.members.relink(s);
    }
}

/// Asks all other members at once; a later roster among the answers is taken up.
async fn peek_all(s: &Arc<Sorting>, ask: Body) -> Vec<Peeked> {
    let members = s.acceptor.lock().roster().members.clone();
    let calls = s.peers(&members).into_iter().map(|(_, l)| {
        let ask = ask.clone();
        async move { l.call(ask, k::PHASE_LIMIT * 2).await }
    });
    let mut out = Vec::new();
    for got in futures_util::future::join_all(calls).await {
        if let Ok(Body::Peeked(p)) = got {
            if let Some(r) = &p.roster {
                s.adopt(r).await;
            }
            out.push(p);
        }
    }
    out
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

/// Members that the roster has when it is whole: a majority outlives the losses that are to be borne.
pub fn whole(losses: usize) -> usize {
    2 * losses.max(1) + 1
}

/// The next roster: one more member while it is not whole, else a joiner in place of a lost one.
/// Not while too few of the members vote to carry the change and one more loss of a voter.
pub fn next_roster(
    roster: &Roster,
    silent: &[(Member, std::time::Duration)],
    joiners: &[Member],
    voters: usize,
    losses: usize,
) -> Option<Roster> {
    let outside = |m: &&Member| roster.members.iter().all(|x| x.ip != m.ip);
    let in_zone = |m: &Member| silent.iter().filter(|(x, _)| x.zone == m.zone).count();
    if roster.members.len() < whole(losses) {
        if voters < roster.members.len() {
            return None;
        }
        let joiner = joiners.iter().filter(outside).min_by_key(|m| (in_zone(m), m.ip.clone()))?;
        return Some(grown(roster, joiner));
    }
    if voters < roster.members.len() / 2 + 1 {
        return None;
    }
    joiners.iter().filter(outside).find_map(|j| Some(exchanged(roster, lost_member(silent, j)?, j)))
}

pub async fn exchanging(s: Arc<Sorting>) {
    loop {
        tokio::time::sleep(k::LEARN_PAUSE).await;
        let joiners: Vec<Member> = {
            let mut j = s.members.joiners.lock();
            j.retain(|_, (_, at)| at.elapsed() < k::JOIN_PAUSE * 6);
            let mut all: Vec<Member> = j.values().map(|(m, _)| m.clone()).collect();
            all.sort_by(|a, b| a.ip.cmp(&b.ip));
            all
        };
        if joiners.is_empty() || !is_first_alive(&s) {
            continue;
        }
        let roster = s.acceptor.lock().roster().clone();
        let silent = silences(&s, &roster);
        let losses = s.params().losses;
        if next_roster(&roster, &silent, &joiners, roster.members.len(), losses).is_none() {
            continue;
        }
        let ask = Body::Peek(Peek { roster: roster.epoch, values: false });
        let voters = 1 + peek_all(&s, ask).await.iter().filter(|p| p.votes).count();
        let Some(next) = next_roster(&roster, &silent, &joiners, voters, losses) else { continue };
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

fn exchanged(roster: &Roster, lost: &Member, joiner: &Member) -> Roster {
    let mut next = grown(roster, joiner);
    next.members.retain(|m| m.ip != lost.ip);
    next
}

fn grown(roster: &Roster, joiner: &Member) -> Roster {
    let mut next = roster.clone();
    next.epoch += 1;
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
    fn roster_grows_one_at_a_time_into_the_emptiest_zone_then_stands() {
        let mut r = Roster { epoch: 1, members: Vec::new() };
        let at = |n: u8, z: &str| member(&format!("10.0.0.{n}"), z);
        r.members = vec![at(1, "a"), at(2, "b"), at(3, "c")];
        let quiet = |r: &Roster| -> Vec<(Member, Duration)> {
            r.members.iter().map(|m| (m.clone(), Duration::ZERO)).collect()
        };
        let joiners = [at(4, "a"), at(5, "d"), at(6, "b")];
        let next = |r: &Roster, voters| next_roster(r, &quiet(r), &joiners, voters, 2);
        assert_eq!(next(&r, 2), None, "not before all vote");
        assert_eq!(next_roster(&r, &quiet(&r), &joiners, 3, 1), None, "whole for one loss");
        let four = next(&r, 3).unwrap();
        assert!(four.epoch == 2 && four.members.iter().any(|m| m.ip == "10.0.0.5"));
        assert_eq!(next(&four, 3), None, "the newcomer has to vote first");
        let five = next(&four, 4).unwrap();
        assert_eq!((five.members.len(), five.epoch), (5, 3));
        assert_eq!(next(&five, 5), None, "whole");
        let mut silent = quiet(&five);
        silent[0].1 = k::MEMBER_SILENT;
        let moved = next_roster(&five, &silent, &joiners, 4, 2).unwrap();
        assert!(moved.members.len() == 5 && moved.members.iter().all(|m| m.ip != "10.0.0.1"));
        assert_eq!(next_roster(&five, &silent, &joiners, 2, 2), None, "too few vote");
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
