//! Recovery of a member's state from the other members, after a disk loss or after joining.
//!
//! First, each value is read in chunks from one of the members that have accepted the highest ballot of its register.
//! Then a majority advances to a new recovery epoch, which forces the owners of keys to prepare again, and reports its
//! ballots. Values that have changed since are read again. Values read so far are kept when a source or the membership
//! changes during the recovery, so that a recovery that is interrupted often still completes.

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

/// A member that values can be read from.
pub trait ChunkSource {
    /// Reads the requested chunk of a value; `None` if there is no answer in time.
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

/// Values read so far, which are kept across attempts to recover.
#[derive(Default)]
pub struct CatchUp {
    values: std::collections::BTreeMap<String, PartialValue>,
}

/// The part of a value that has been read.
#[derive(Default)]
struct PartialValue {
    ballot: Ballot,
    /// Size of the complete value; `None` before the first chunk.
    total_bytes: Option<usize>,
    bytes: Vec<u8>,
}

impl PartialValue {
    fn new(ballot: Ballot) -> PartialValue {
        PartialValue { ballot, ..Default::default() }
    }

    fn is_complete(&self) -> bool {
        self.total_bytes == Some(self.bytes.len())
    }

    /// Appends a chunk. A chunk of a later ballot replaces what was read before. Returns false if the chunk brings no
    /// progress.
    fn append(&mut self, chunk: &ValueChunk) -> bool {
        if chunk.ballot < self.ballot || chunk.ballot == Ballot::default() {
            return false;
        }
        if chunk.ballot > self.ballot {
            *self = PartialValue::new(chunk.ballot);
        }
        if chunk.offset != self.bytes.len() as u64 {
            return false;
        }
        self.total_bytes = Some(chunk.total_bytes as usize);
        self.bytes.extend_from_slice(&chunk.bytes);
        self.is_complete() || !chunk.bytes.is_empty()
    }
}

impl CatchUp {
    /// Reads one value completely, at the given ballot or at a later one that a source has accepted meanwhile. Returns
    /// false if none of the sources could supply the rest. What was read before at another ballot is discarded, because
    /// it may have been accepted only by a voter of an earlier recovery epoch, without a majority.
    pub async fn fetch<S: ChunkSource>(
        &mut self,
        key: &str,
        ballot: Ballot,
        sources: &[S],
    ) -> bool {
        let partial =
            self.values.entry(key.to_owned()).or_insert_with(|| PartialValue::new(ballot));
        if partial.ballot != ballot {
            *partial = PartialValue::new(ballot);
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

    /// Moves the values read into the reports, which contain only ballots.
    fn fill(&mut self, reports: &mut [BallotReport]) {
        let values: std::collections::BTreeMap<String, (Ballot, bytes::Bytes)> =
            std::mem::take(&mut self.values)
                .into_iter()
                .map(|(key, partial)| (key, (partial.ballot, partial.bytes.into())))
                .collect();
        let registers = reports.iter_mut().flat_map(|report| &mut report.registers);
        for register in registers.filter(|register| register.accepted != Ballot::default()) {
            if let Some((ballot, value)) = values.get(&register.key) {
                register.accepted = *ballot;
                register.value = value.clone();
            }
        }
    }
}

/// Highest accepted ballot of each key, with the IDs of the members that have accepted it.
fn latest_ballots(
    reports: &[(u64, BallotReport)],
) -> std::collections::BTreeMap<String, (Ballot, Vec<u64>)> {
    let mut latest: std::collections::BTreeMap<String, (Ballot, Vec<u64>)> =
        std::collections::BTreeMap::new();
    let is_accepted = |register: &&Register| register.accepted != Ballot::default();
    for (id, report) in reports {
        for register in report.registers.iter().filter(is_accepted) {
            let (highest, sources) = latest.entry(register.key.clone()).or_default();
            if register.accepted > *highest {
                *highest = register.accepted;
                sources.clear();
            }
            if register.accepted == *highest {
                sources.push(*id);
            }
        }
    }
    latest
}

/// Attempts to recover this member's state. Reads the values of a majority, advances a majority to a new recovery
/// epoch, and reads what has changed since; then the member votes again, unless the membership has changed meanwhile.
pub async fn recover(manager: &Arc<MembershipManager>, membership: u64, catch_up: &mut CatchUp) {
    let initial_reports =
        query_all(manager, Body::ReadBallots(ReadBallots { membership, values: false })).await;
    let quorum = manager.consensus.membership().majority();
    let mut voters = initial_reports.clone();
    voters.retain(|(_, report)| report.votes_in(membership));
    if voters.len() < quorum || !fetch_all(manager, &voters, catch_up).await {
        return;
    }
    let recovery_epoch =
        initial_reports.iter().map(|(_, report)| report.recovery_epoch).max().unwrap_or(0) + 1;
    let request = Body::RecoverRequest(RecoverRequest {
        membership,
        incarnation: manager.process.node.incarnation,
        recovery_epoch,
    });
    let mut reports = query_all(manager, request).await;
    reports.retain(|(_, report)| {
        report.votes_in(membership) && report.recovery_epoch >= recovery_epoch
    });
    if reports.len() < quorum || !fetch_all(manager, &reports, catch_up).await {
        return;
    }
    let mut reports: Vec<BallotReport> = reports.into_iter().map(|(_, report)| report).collect();
    catch_up.fill(&mut reports);
    manager.leases.block_grants_for(manager.process.settings().bounds.lease);
    if manager.consensus.persist(|acceptor| acceptor.recover(recovery_epoch, &reports)).await {
        fleet_core::log_event!(manager.process.log, Event::Voting, "recovery_epoch" => recovery_epoch);
        manager.consensus.relink();
    }
}

/// Reads each value from one of its sources. The first source rotates from key to key, to spread the load; the others
/// are tried if it fails. Returns false if a value could not be read.
async fn fetch_all(
    manager: &Arc<MembershipManager>,
    reports: &[(u64, BallotReport)],
    catch_up: &mut CatchUp,
) -> bool {
    let members = manager.consensus.membership().members;
    let links = manager.links.links_to(&members);
    for (index, (key, (ballot, mut ids))) in latest_ballots(reports).into_iter().enumerate() {
        let first = index % ids.len();
        ids.rotate_left(first);
        let link = |id: &u64| links.iter().find(|link| link.member_id == *id);
        let sources: Vec<Arc<Link>> =
            ids.iter().filter_map(link).map(|link| link.link.clone()).collect();
        if !catch_up.fetch(&key, ballot, &sources).await {
            return false;
        }
    }
    true
}

/// Sends a request to all other members at once and returns their reports. Adopts a later membership if a report
/// contains one.
pub async fn query_all(
    manager: &Arc<MembershipManager>,
    request: Body,
) -> Vec<(u64, BallotReport)> {
    let members = manager.consensus.membership().members;
    let calls =
        manager.links.links_to(&members).into_iter().map(|MemberLink { member_id: id, link }| {
            let request = request.clone();
            async move { (id, link.call(request, constants::PHASE_TIMEOUT * 2).await) }
        });
    let mut reports = Vec::new();
    for (id, answer) in futures_util::future::join_all(calls).await {
        let Ok(Body::BallotReport(report)) = answer else { continue };
        if let Some(membership) = &report.membership {
            manager.consensus.adopt(membership).await;
        }
        reports.push((id, report));
    }
    reports
}

#[cfg(test)]
#[path = "recovery_tests.rs"]
mod tests;
