//! Reading the state back: after a lost disk, or for the first time after joining.
//!
//! Each value is read once, in pieces, from one of those that hold the highest ballot of its key.
//! Then a majority goes to a new recovery epoch, which makes owners prepare anew, and gives its
//! ballots; what has changed since is read again. What was read stays when a holder or the
//! membership changes midway, so only progress counts and not the whole time.

use crate::Controller;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{
    Ballot, BallotReport, Body, ReadBallots, RecoverRequest, Register, ValueChunk,
    ValueChunkRequest,
};
use std::sync::Arc;

/// One that values can be read from.
pub trait Holder {
    /// The asked part of a value, or nothing where no answer comes in time.
    fn piece(&self, ask: ValueChunkRequest) -> impl Future<Output = Option<ValueChunk>> + Send;
}

impl Holder for Arc<Link> {
    async fn piece(&self, ask: ValueChunkRequest) -> Option<ValueChunk> {
        match self.call(Body::ValueChunkRequest(ask), constants::PIECE_LIMIT).await {
            Ok(Body::ValueChunk(piece)) => Some(piece),
            _ => None,
        }
    }
}

/// Values read so far.
#[derive(Default)]
pub struct CatchUp {
    values: std::collections::BTreeMap<String, Partial>,
}

/// What is there of one value.
#[derive(Default)]
struct Partial {
    ballot: Ballot,
    total: Option<usize>,
    bytes: Vec<u8>,
}

impl Partial {
    fn of(ballot: Ballot) -> Partial {
        Partial { ballot, ..Default::default() }
    }

    fn is_whole(&self) -> bool {
        self.total == Some(self.bytes.len())
    }

    /// False if the piece brings nothing on.
    fn take(&mut self, piece: &ValueChunk) -> bool {
        if piece.ballot < self.ballot || piece.ballot == Ballot::default() {
            return false;
        }
        if piece.ballot > self.ballot {
            *self = Partial::of(piece.ballot);
        }
        if piece.offset != self.bytes.len() as u64 {
            return false;
        }
        self.total = Some(piece.total as usize);
        self.bytes.extend_from_slice(&piece.bytes);
        self.is_whole() || !piece.bytes.is_empty()
    }
}

impl CatchUp {
    /// Reads one value to its end, at the wanted ballot or one that a holder has gone on to; false
    /// if no holder has it now. What was read before at any other ballot is dropped: a voter of an
    /// earlier recovery epoch may have accepted it that no majority knows of.
    pub async fn fetch<H: Holder>(&mut self, key: &str, wanted: Ballot, holders: &[H]) -> bool {
        let partial = self.values.entry(key.to_owned()).or_insert_with(|| Partial::of(wanted));
        if partial.ballot != wanted {
            *partial = Partial::of(wanted);
        }
        for holder in holders {
            while !partial.is_whole() {
                let offset = partial.bytes.len() as u64;
                let ask = ValueChunkRequest { key: key.to_owned(), ballot: partial.ballot, offset };
                let Some(piece) = holder.piece(ask).await else { break };
                if !partial.take(&piece) {
                    break;
                }
            }
        }
        partial.is_whole()
    }

    /// Puts the values read into the answers, which came with ballots only.
    fn fill(&mut self, answers: &mut [BallotReport]) {
        let values: std::collections::BTreeMap<String, (Ballot, bytes::Bytes)> =
            std::mem::take(&mut self.values)
                .into_iter()
                .map(|(key, p)| (key, (p.ballot, p.bytes.into())))
                .collect();
        let registers = answers.iter_mut().flat_map(|answer| &mut answer.registers);
        for register in registers.filter(|r| r.accepted != Ballot::default()) {
            if let Some((ballot, value)) = values.get(&register.key) {
                register.accepted = *ballot;
                register.value = value.clone();
            }
        }
    }
}

/// Highest accepted ballot of each key, and who has it.
fn wanted(
    answers: &[(u64, BallotReport)],
) -> std::collections::BTreeMap<String, (Ballot, Vec<u64>)> {
    let mut out: std::collections::BTreeMap<String, (Ballot, Vec<u64>)> =
        std::collections::BTreeMap::new();
    let accepted = |r: &&Register| r.accepted != Ballot::default();
    for (id, answer) in answers {
        for register in answer.registers.iter().filter(accepted) {
            let (highest, holders) = out.entry(register.key.clone()).or_default();
            if register.accepted > *highest {
                *highest = register.accepted;
                holders.clear();
            }
            if register.accepted == *highest {
                holders.push(*id);
            }
        }
    }
    out
}

/// Learns the latest recovery epoch of a majority and reads the values, takes a majority to a later
/// epoch with its ballots, and reads what is new; the member votes then, if the membership has not moved meanwhile.
pub async fn recover(s: &Arc<Controller>, membership: u64, catch_up: &mut CatchUp) {
    let before = ask_all(s, Body::ReadBallots(ReadBallots { membership, values: false })).await;
    let in_force = |p: &BallotReport| p.membership.as_ref().is_some_and(|m| m.epoch == membership);
    let quorum = s.acceptor.lock().membership().members.len() / 2 + 1;
    let mut voters = before.clone();
    voters.retain(|(_, p)| p.votes && in_force(p));
    if voters.len() < quorum || !fetch_all(s, &voters, catch_up).await {
        return;
    }
    let recovery_epoch = before.iter().map(|(_, p)| p.recovery_epoch).max().unwrap_or(0) + 1;
    let ask = Body::RecoverRequest(RecoverRequest {
        membership,
        incarnation: s.node.incarnation,
        recovery_epoch,
    });
    let mut answers = ask_all(s, ask).await;
    answers.retain(|(_, p)| p.votes && in_force(p) && p.recovery_epoch >= recovery_epoch);
    if answers.len() < quorum || !fetch_all(s, &answers, catch_up).await {
        return;
    }
    let mut answers: Vec<BallotReport> = answers.into_iter().map(|(_, p)| p).collect();
    catch_up.fill(&mut answers);
    s.duties.close_for(s.settings().bounds.lease);
    if s.persist(|a| a.recover(recovery_epoch, &answers)).await {
        fleet_core::log_event!(s.log, Event::Voting, "recovery_epoch" => recovery_epoch);
        s.members.relink(s);
    }
}

/// Each value from one of its holders; others than the first take turns.
async fn fetch_all(
    s: &Arc<Controller>,
    answers: &[(u64, BallotReport)],
    catch_up: &mut CatchUp,
) -> bool {
    let members = s.acceptor.lock().membership().members.clone();
    let links = s.peers(&members);
    for (turn, (key, (ballot, mut ids))) in wanted(answers).into_iter().enumerate() {
        let first = turn % ids.len();
        ids.rotate_left(first);
        let link = |id: &u64| links.iter().find(|(at, _)| at == id).map(|(_, link)| link.clone());
        let holders: Vec<Arc<Link>> = ids.iter().filter_map(link).collect();
        if !catch_up.fetch(&key, ballot, &holders).await {
            return false;
        }
    }
    true
}

/// Asks all other members at once; a later membership among the answers is taken up.
pub async fn ask_all(s: &Arc<Controller>, ask: Body) -> Vec<(u64, BallotReport)> {
    let members = s.acceptor.lock().membership().members.clone();
    let calls = s.peers(&members).into_iter().map(|(id, link)| {
        let ask = ask.clone();
        async move { (id, link.call(ask, constants::PHASE_LIMIT * 2).await) }
    });
    let mut out = Vec::new();
    for (id, answer) in futures_util::future::join_all(calls).await {
        let Ok(Body::BallotReport(report)) = answer else { continue };
        if let Some(membership) = &report.membership {
            s.adopt(membership).await;
        }
        out.push((id, report));
    }
    out
}

#[cfg(test)]
#[path = "recovery_tests.rs"]
mod tests;
