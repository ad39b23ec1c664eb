//! Reading the state back: after a lost disk, or for the first time after joining.
//!
//! Each value is read once, in pieces, from one of those that hold the highest ballot of its key.
//! Then a majority goes to a new recovery epoch, which makes owners prepare anew, and gives its
//! ballots; what has changed since is read again. What was read stays when a holder or the
//! membership changes midway, so only progress counts and not the whole time.

use super::MembershipManager;
use super::peer_links::MemberLink;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{
    Ballot, BallotReport, Body, ReadBallots, RecoverRequest, Register, ValueChunk,
    ValueChunkRequest,
};
use std::sync::Arc;

/// One that values can be read from.
pub trait ChunkSource {
    /// The asked part of a value, or nothing where no answer comes in time.
    fn chunk(&self, request: ValueChunkRequest) -> impl Future<Output = Option<ValueChunk>> + Send;
}

impl ChunkSource for Arc<Link> {
    async fn chunk(&self, request: ValueChunkRequest) -> Option<ValueChunk> {
        match self.call(Body::ValueChunkRequest(request), constants::CHUNK_TIMEOUT).await {
            Ok(Body::ValueChunk(chunk)) => Some(chunk),
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

    fn is_complete(&self) -> bool {
        self.total == Some(self.bytes.len())
    }

    /// False if the piece brings nothing on.
    fn append(&mut self, chunk: &ValueChunk) -> bool {
        if chunk.ballot < self.ballot || chunk.ballot == Ballot::default() {
            return false;
        }
        if chunk.ballot > self.ballot {
            *self = Partial::of(chunk.ballot);
        }
        if chunk.offset != self.bytes.len() as u64 {
            return false;
        }
        self.total = Some(chunk.total as usize);
        self.bytes.extend_from_slice(&chunk.bytes);
        self.is_complete() || !chunk.bytes.is_empty()
    }
}

impl CatchUp {
    /// Reads one value to its end, at the wanted ballot or one that a holder has gone on to; false
    /// if no holder has it now. What was read before at any other ballot is dropped: a voter of an
    /// earlier recovery epoch may have accepted it that no majority knows of.
    pub async fn fetch<H: ChunkSource>(
        &mut self,
        key: &str,
        latest_ballots: Ballot,
        sources: &[H],
    ) -> bool {
        let partial =
            self.values.entry(key.to_owned()).or_insert_with(|| Partial::of(latest_ballots));
        if partial.ballot != latest_ballots {
            *partial = Partial::of(latest_ballots);
        }
        for source in sources {
            while !partial.is_complete() {
                let offset = partial.bytes.len() as u64;
                let request =
                    ValueChunkRequest { key: key.to_owned(), ballot: partial.ballot, offset };
                let Some(chunk) = source.chunk(request).await else { break };
                if !partial.append(&chunk) {
                    break;
                }
            }
        }
        partial.is_complete()
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
fn latest_ballots(
    answers: &[(u64, BallotReport)],
) -> std::collections::BTreeMap<String, (Ballot, Vec<u64>)> {
    let mut out: std::collections::BTreeMap<String, (Ballot, Vec<u64>)> =
        std::collections::BTreeMap::new();
    let accepted = |r: &&Register| r.accepted != Ballot::default();
    for (id, answer) in answers {
        for register in answer.registers.iter().filter(accepted) {
            let (highest, sources) = out.entry(register.key.clone()).or_default();
            if register.accepted > *highest {
                *highest = register.accepted;
                sources.clear();
            }
            if register.accepted == *highest {
                sources.push(*id);
            }
        }
    }
    out
}

/// Learns the latest recovery epoch of a majority and reads the values, takes a majority to a later
/// epoch with its ballots, and reads what is new; the member votes then, if the membership has not moved meanwhile.
pub async fn recover(manager: &Arc<MembershipManager>, membership: u64, catch_up: &mut CatchUp) {
    let before =
        query_all(manager, Body::ReadBallots(ReadBallots { membership, values: false })).await;
    let quorum = manager.consensus.membership().majority();
    let mut voters = before.clone();
    voters.retain(|(_, report)| report.votes_in(membership));
    if voters.len() < quorum || !fetch_all(manager, &voters, catch_up).await {
        return;
    }
    let recovery_epoch = before.iter().map(|(_, p)| p.recovery_epoch).max().unwrap_or(0) + 1;
    let request = Body::RecoverRequest(RecoverRequest {
        membership,
        incarnation: manager.process.node.incarnation,
        recovery_epoch,
    });
    let mut answers = query_all(manager, request).await;
    answers.retain(|(_, report)| {
        report.votes_in(membership) && report.recovery_epoch >= recovery_epoch
    });
    if answers.len() < quorum || !fetch_all(manager, &answers, catch_up).await {
        return;
    }
    let mut answers: Vec<BallotReport> = answers.into_iter().map(|(_, p)| p).collect();
    catch_up.fill(&mut answers);
    manager.leases.close_for(manager.process.settings().bounds.lease);
    if manager.consensus.persist(|a| a.recover(recovery_epoch, &answers)).await {
        fleet_core::log_event!(manager.process.log, Event::Voting, "recovery_epoch" => recovery_epoch);
        manager.consensus.relink();
    }
}

/// Each value from one of its holders; others than the first take turns.
async fn fetch_all(
    manager: &Arc<MembershipManager>,
    answers: &[(u64, BallotReport)],
    catch_up: &mut CatchUp,
) -> bool {
    let members = manager.consensus.membership().members;
    let links = manager.links.to(&members);
    for (offset, (key, (ballot, mut ids))) in latest_ballots(answers).into_iter().enumerate() {
        let first = offset % ids.len();
        ids.rotate_left(first);
        let link = |id: &u64| links.iter().find(|link| link.member == *id);
        let sources: Vec<Arc<Link>> =
            ids.iter().filter_map(link).map(|link| link.link.clone()).collect();
        if !catch_up.fetch(&key, ballot, &sources).await {
            return false;
        }
    }
    true
}

/// Asks all other members at once; a later membership among the answers is taken up.
pub async fn query_all(
    manager: &Arc<MembershipManager>,
    request: Body,
) -> Vec<(u64, BallotReport)> {
    let members = manager.consensus.membership().members;
    let calls = manager.links.to(&members).into_iter().map(|MemberLink { member: id, link }| {
        let request = request.clone();
        async move { (id, link.call(request, constants::PHASE_TIMEOUT * 2).await) }
    });
    let mut out = Vec::new();
    for (id, answer) in futures_util::future::join_all(calls).await {
        let Ok(Body::BallotReport(report)) = answer else { continue };
        if let Some(membership) = &report.membership {
            manager.consensus.adopt(membership).await;
        }
        out.push((id, report));
    }
    out
}

#[cfg(test)]
#[path = "recovery_tests.rs"]
mod tests;
