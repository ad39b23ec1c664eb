//! Owning keys: take over under a higher epoch, then one accept round per change.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::round::{Round, Verdict};
use super::values::{self, Decision};
use crate::Controller;
use fleet_core::constants;
use fleet_core::wire::{Accept, Ballot, Body, ChangeKind, Changed, Outcome, Prepare, Vote};
use std::sync::Arc;

/// A key that this controller has prepared on a majority, and its committed value.
pub struct Owned {
    ballot: Ballot,
    value: bytes::Bytes,
    membership: u64,
    recovery_epoch: u64,
}

#[derive(Default)]
pub struct Owners {
    table: parking_lot::Mutex<hashbrown::HashMap<String, Arc<tokio::sync::Mutex<Option<Owned>>>>>,
}

impl Owners {
    fn slot(&self, key: &str) -> Arc<tokio::sync::Mutex<Option<Owned>>> {
        self.table.lock().entry_ref(key).or_default().clone()
    }
}

#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum OwnerError {
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

async fn own_vote(s: &Arc<Controller>, ask: &Ask) -> Option<Vote> {
    match ask {
        Ask::Prepare(p) => s.vote(|a| a.prepare(p)).await,
        Ask::Accept(p) => s.vote(|a| a.accept(p)).await,
    }
}

/// One phase: on the own disk first, then with the others.
async fn phase(s: &Arc<Controller>, ask: Ask) -> Result<Round, (OwnerError, Round)> {
    let members = s.acceptor.lock().membership().members.clone();
    let mut round = Round::new(members.len());
    let own = tokio::time::timeout(constants::PHASE_LIMIT, own_vote(s, &ask)).await.ok().flatten();
    round.vote(s.node.id(), own.as_ref());
    if !own.is_some_and(|v| v.ok) {
        let error = if round.highest > 0 { OwnerError::Overtaken } else { OwnerError::NoVote };
        return Err((error, round));
    }
    let body = match &ask {
        Ask::Prepare(p) => Body::Prepare(p.clone()),
        Ask::Accept(a) => Body::Accept(a.clone()),
    };
    let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
    for (id, link) in s.peers(&members) {
        let (tx, body, s) = (tx.clone(), body.clone(), s.clone());
        tokio::spawn(async move {
            let vote = match link.call(body, constants::PHASE_LIMIT).await {
                Ok(Body::Vote(v)) => Some(v),
                _ => None,
            };
            if let Some(r) = vote.as_ref().and_then(|v| v.membership.as_ref()) {
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
    if round.recovery_epoch > s.acceptor.lock().recovery_epoch() {
        s.persist(|a| a.advance(round.recovery_epoch)).await;
    }
    match round.verdict() {
        Verdict::Won => Ok(round),
        _ if round.highest > 0 => Err((OwnerError::Overtaken, round)),
        _ => Err((OwnerError::NoMajority, round)),
    }
}

async fn accept(
    s: &Arc<Controller>,
    key: &str,
    o: &Owned,
    value: &bytes::Bytes,
) -> Result<(), OwnerError> {
    let a = Accept {
        key: key.to_owned(),
        membership: o.membership,
        ballot: o.ballot,
        value: value.clone(),
        recovery_epoch: o.recovery_epoch,
    };
    phase(s, Ask::Accept(a)).await.map_err(|(p, _)| p)?;
    s.committed(key, o.ballot, value).await;
    Ok(())
}

/// Prepares above all that was seen, then commits the highest accepted value anew.
async fn take_over(s: &Arc<Controller>, key: &str) -> Result<Owned, OwnerError> {
    let until = tokio::time::Instant::now() + constants::CHANGE_LIMIT;
    let mut above = s.acceptor.lock().highest(key);
    let mut pause = constants::DUEL_PAUSE_MS;
    loop {
        let (membership, recovery_epoch) = {
            let a = s.acceptor.lock();
            (a.membership().epoch, a.recovery_epoch())
        };
        let ballot = Ballot { n: above + 1, node: s.node.id(), seq: 0 };
        let p = Prepare { key: key.to_owned(), membership, ballot, recovery_epoch };
        let error = match phase(s, Ask::Prepare(p)).await {
            Ok(round) => {
                let value = round.best.map(|r| r.value).unwrap_or_default();
                let o = Owned {
                    ballot: Ballot { seq: 1, ..ballot },
                    value: value.clone(),
                    membership,
                    recovery_epoch,
                };
                match accept(s, key, &o, &value).await {
                    Ok(()) => {
                        fleet_core::log_event!(s.log, fleet_core::log::Event::OwnerTaken, "key" => key, "epoch" => ballot.n);
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
        if matches!(error, OwnerError::NoVote) {
            return Err(error);
        }
        let wait = std::time::Duration::from_millis(1 + s.chance(pause));
        if tokio::time::Instant::now() + wait >= until {
            return Err(error);
        }
        tokio::time::sleep(wait).await;
        pause *= 2;
    }
}

/// Changes a key here: as its owner, or after taking it over.
pub async fn settle(
    s: &Arc<Controller>,
    key: &str,
    decide: impl Fn(&[u8]) -> Decision,
) -> Result<Changed, OwnerError> {
    let slot = s.owners.slot(key);
    let mut slot = slot.lock().await;
    let (membership, recovery_epoch, promised) = {
        let a = s.acceptor.lock();
        (a.membership().epoch, a.recovery_epoch(), a.register(key).map(|r| r.promised.epoch()))
    };
    let stands = |o: &Owned| o.membership == membership && o.recovery_epoch == recovery_epoch;
    let held = slot.take().filter(|o| stands(o) && promised == Some(o.ballot.epoch()));
    let mut owned = match held {
        Some(o) => o,
        None => take_over(s, key).await?,
    };
    match decide(&owned.value) {
        Decision::Answer(a) => {
            confirm(s, key, &mut owned).await?;
            *slot = Some(owned);
            Ok(a)
        }
        Decision::Write(value, a) => {
            owned.ballot.seq += 1;
            accept(s, key, &owned, &value).await?;
            owned.value = value;
            *slot = Some(owned);
            Ok(a)
        }
    }
}

/// An answer without a change still needs a majority that has not moved on.
async fn confirm(s: &Arc<Controller>, key: &str, o: &mut Owned) -> Result<(), OwnerError> {
    if s.majority_at(key, o.ballot).await {
        return Ok(());
    }
    o.ballot.seq += 1;
    let value = o.value.clone();
    accept(s, key, o, &value).await
}

/// Passes a change to the key's owner, or does it here when the owner doesn't answer.
pub async fn submit(s: &Arc<Controller>, change: ChangeKind) -> Changed {
    let key = values::key_of(&change);
    let (owner, votes, members) = {
        let a = s.acceptor.lock();
        (a.owner(&key), a.votes(), a.membership().members.clone())
    };
    let mut asked = Vec::new();
    if let Some(id) = owner.filter(|o| *o != s.node.id()) {
        asked.push(id);
        if let Some(c) = pass(s, &change, id, &members).await {
            return c;
        }
    }
    if votes && !s.disk_broken() {
        match tokio::time::timeout(
            constants::CHANGE_LIMIT,
            settle(s, &key, |v| values::decide(&change, v)),
        )
        .await
        {
            Ok(Ok(c)) => return c,
            Ok(Err(OwnerError::NoMajority | OwnerError::Overtaken)) | Err(_) => {
                return values::unknown();
            }
            Ok(Err(OwnerError::NoVote)) => {}
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
    s: &Arc<Controller>,
    change: &ChangeKind,
    to: u64,
    members: &[fleet_core::wire::Member],
) -> Option<Changed> {
    let (_, link) = s.peers(members).into_iter().find(|(id, _)| *id == to)?;
    let body = Body::Change(fleet_core::wire::Change { kind: Some(change.clone()) });
    match link.call(body, constants::OWNER_LIMIT).await {
        Ok(Body::Changed(c)) if c.outcome() != Outcome::Unknown => Some(c),
        _ => None,
    }
}

/// A change that another controller passed here: no further passing.
pub async fn settle_passed(s: &Arc<Controller>, change: &ChangeKind) -> Changed {
    if s.disk_broken() {
        return values::unknown();
    }
    let key = values::key_of(change);
    match tokio::time::timeout(
        constants::CHANGE_LIMIT,
        settle(s, &key, |v| values::decide(change, v)),
    )
    .await
    {
        Ok(Ok(c)) => c,
        _ => values::unknown(),
    }
}
