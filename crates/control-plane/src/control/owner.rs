//! Owning keys: take over under a higher epoch, then one accept round per change.

use super::round::{Round, Verdict};
use super::values::{self, Decision};
use crate::Sorting;
use fleet_core::constants as k;
use fleet_core::wire::{Accept, Ballot, Body, ChangeKind, Changed, Outcome, Prepare, Vote};
use std::sync::Arc;

/// A key that this controller has prepared on a majority, and its committed value.
pub struct Owned {
    ballot: Ballot,
    value: bytes::Bytes,
    roster: u64,
    era: u64,
}

#[derive(Default)]
pub struct Owners {
    table: parking_lot::Mutex<hashbrown::HashMap<String, Arc<tokio::sync::Mutex<Option<Owned>>>>>,
}

impl Owners {
    fn seat(&self, key: &str) -> Arc<tokio::sync::Mutex<Option<Owned>>> {
        self.table.lock().entry_ref(key).or_default().clone()
    }
}

#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum OwnerProblem {
    /// no majority in time
    NoMajority,
    /// another owner went above
    Overtaken,
    /// this member doesn't vote
    NoVote,
}

enum Ask {
    Prepare(Prepare),
    Accept(Accept),
}

async fn own_vote(s: &Arc<Sorting>, ask: &Ask) -> Option<Vote> {
    match ask {
        Ask::Prepare(p) => s.vote(|a| a.prepare(p)).await,
        Ask::Accept(p) => s.vote(|a| a.accept(p)).await,
    }
}

/// One phase: on the own disk first, then with the others.
async fn phase(s: &Arc<Sorting>, ask: Ask) -> Result<Round, (OwnerProblem, Round)> {
    let members = s.acceptor.lock().roster().members.clone();
    let mut round = Round::new(members.len());
    let own = tokio::time::timeout(k::PHASE_LIMIT, own_vote(s, &ask)).await.ok().flatten();
    round.vote(s.node.id(), own.as_ref());
    if !own.is_some_and(|v| v.ok) {
        let problem =
            if round.highest > 0 { OwnerProblem::Overtaken } else { OwnerProblem::NoVote };
        return Err((problem, round));
    }
    let body = match &ask {
        Ask::Prepare(p) => Body::Prepare(p.clone()),
        Ask::Accept(a) => Body::Accept(a.clone()),
    };
    let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
    for (id, link) in s.peers(&members) {
        let (tx, body, s) = (tx.clone(), body.clone(), s.clone());
        tokio::spawn(async move {
            let vote = match link.call(body, k::PHASE_LIMIT).await {
                Ok(Body::Vote(v)) => Some(v),
                _ => None,
            };
            if let Some(r) = vote.as_ref().and_then(|v| v.roster.as_ref()) {
                s.adopt(r).await;
            }
            let _ = tx.send((id, vote)).await;
        });
    }
    drop(tx);
    while round.verdict() == Verdict::Open {
        let Some((id, vote)) = rx.recv().await else { break };
        round.vote(id, vote.as_ref());
    }
    if round.era > s.acceptor.lock().era() {
        s.persist(|a| a.advance(round.era)).await;
    }
    match round.verdict() {
        Verdict::Won => Ok(round),
        _ if round.highest > 0 => Err((OwnerProblem::Overtaken, round)),
        _ => Err((OwnerProblem::NoMajority, round)),
    }
}

async fn accept(
    s: &Arc<Sorting>,
    key: &str,
    o: &Owned,
    value: &bytes::Bytes,
) -> Result<(), OwnerProblem> {
    let a = Accept {
        key: key.to_owned(),
        roster: o.roster,
        ballot: o.ballot,
        value: value.clone(),
        era: o.era,
    };
    phase(s, Ask::Accept(a)).await.map_err(|(p, _)| p)?;
    s.committed(key, o.ballot, value).await;
    Ok(())
}

/// Prepares above all that was seen, then commits the highest accepted value anew.
async fn take_over(s: &Arc<Sorting>, key: &str) -> Result<Owned, OwnerProblem> {
    let until = tokio::time::Instant::now() + k::CHANGE_LIMIT;
    let mut above = s.acceptor.lock().highest(key);
    let mut pause = k::DUEL_PAUSE_MS;
    loop {
        let (roster, era) = {
            let a = s.acceptor.lock();
            (a.roster().epoch, a.era())
        };
        let ballot = Ballot { n: above + 1, node: s.node.id(), seq: 0 };
        let p = Prepare { key: key.to_owned(), roster, ballot, era };
        let problem = match phase(s, Ask::Prepare(p)).await {
            Ok(round) => {
                let value = round.best.map(|r| r.value).unwrap_or_default();
                let o = Owned {
                    ballot: Ballot { seq: 1, ..ballot },
                    value: value.clone(),
                    roster,
                    era,
                };
                match accept(s, key, &o, &value).await {
                    Ok(()) => {
                        fleet_core::note!(s.log, fleet_core::log::Event::OwnerTaken, "key" => key, "epoch" => ballot.n);
                        return Ok(o);
                    }
                    Err(e) => e,
                }
            }
            Err((e, round)) => {
                above = above.max(round.highest);
                e
            }
        };
        above = above.max(s.acceptor.lock().highest(key));
        if matches!(problem, OwnerProblem::NoVote) {
            return Err(problem);
        }
        let wait = std::time::Duration::from_millis(1 + s.chance(pause));
        if tokio::time::Instant::now() + wait >= until {
            return Err(problem);
        }
        tokio::time::sleep(wait).await;
        pause *= 2;
    }
}

/// Changes a key here: as its owner, or after taking it over.
pub async fn settle(
    s: &Arc<Sorting>,
    key: &str,
    decide: impl Fn(&[u8]) -> Decision,
) -> Result<Changed, OwnerProblem> {
    let seat = s.owners.seat(key);
    let mut seat = seat.lock().await;
    let (roster, era, promised) = {
        let a = s.acceptor.lock();
        (a.roster().epoch, a.era(), a.register(key).map(|r| r.promised.epoch()))
    };
    let stands = |o: &Owned| o.roster == roster && o.era == era;
    let held = seat.take().filter(|o| stands(o) && promised == Some(o.ballot.epoch()));
    let mut owned = match held {
        Some(o) => o,
        None => take_over(s, key).await?,
    };
    match decide(&owned.value) {
        Decision::Answer(a) => {
            confirm(s, key, &mut owned).await?;
            *seat = Some(owned);
            Ok(a)
        }
        Decision::Write(value, a) => {
            owned.ballot.seq += 1;
            accept(s, key, &owned, &value).await?;
            owned.value = value;
            *seat = Some(owned);
            Ok(a)
        }
    }
}

/// An answer without a change still needs a majority that has not moved on.
async fn confirm(s: &Arc<Sorting>, key: &str, o: &mut Owned) -> Result<(), OwnerProblem> {
    if s.majority_at(key, o.ballot).await {
        return Ok(());
    }
    o.ballot.seq += 1;
    let value = o.value.clone();
    accept(s, key, o, &value).await
}

/// Passes a change to the key's owner, or does it here when the owner doesn't answer.
pub async fn submit(s: &Arc<Sorting>, change: ChangeKind) -> Changed {
    let key = values::key_of(&change);
    let (owner, votes, members) = {
        let a = s.acceptor.lock();
        (a.owner(&key), a.votes(), a.roster().members.clone())
    };
    let mut asked = Vec::new();
    if let Some(id) = owner.filter(|o| *o != s.node.id()) {
        asked.push(id);
        if let Some(c) = pass(s, &change, id, &members).await {
            return c;
        }
    }
    if votes && !s.disk_broken() {
        match tokio::time::timeout(k::CHANGE_LIMIT, settle(s, &key, |v| values::decide(&change, v)))
            .await
        {
            Ok(Ok(c)) => return c,
            Ok(Err(OwnerProblem::NoMajority | OwnerProblem::Overtaken)) | Err(_) => {
                return values::unknown();
            }
            Ok(Err(OwnerProblem::NoVote)) => {}
        }
    }
    for m in &members {
        let Some(id) = m.addr().map(|a| u64::from(u32::from(a))) else { continue };
        if id == s.node.id() || asked.contains(&id) {
            continue;
        }
        if let Some(c) = pass(s, &change, id, &members).await {
            return c;
        }
    }
    values::unknown()
}

async fn pass(
    s: &Arc<Sorting>,
    change: &ChangeKind,
    to: u64,
    members: &[fleet_core::wire::Member],
) -> Option<Changed> {
    let (_, link) = s.peers(members).into_iter().find(|(id, _)| *id == to)?;
    let body = Body::Change(fleet_core::wire::Change { kind: Some(change.clone()) });
    match link.call(body, k::OWNER_LIMIT).await {
        Ok(Body::Changed(c)) if c.outcome() != Outcome::Unknown => Some(c),
        _ => None,
    }
}

/// A change that another controller passed here: no further passing.
pub async fn settle_passed(s: &Arc<Sorting>, change: &ChangeKind) -> Changed {
    if s.disk_broken() {
        return values::unknown();
    }
    let key = values::key_of(change);
    match tokio::time::timeout(k::CHANGE_LIMIT, settle(s, &key, |v| values::decide(change, v)))
        .await
    {
        Ok(Ok(c)) => c,
        _ => values::unknown(),
    }
}
