//! The keys that this node owns, and changes to them: at once as the owner, otherwise after an election (`campaign`).

use super::Consensus;
use super::acceptor::Acceptor;
use super::election::ProgressTracker;
use super::proposer::{ProposalError, Proposer};
use super::resignation::ResignedBallots;
use super::state_machine::Decision;
use fleet_core::constants;
use fleet_core::wire::{Ballot, ChangeResponse};
use hashbrown::HashMap;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::time::Instant;

/// The ownership of one key. A change holds the lock from its first step until its outcome is known.
type OwnershipSlot = Arc<tokio::sync::Mutex<Option<Proposer>>>;

/// The ownership of keys, and what this node knows about their owners.
#[derive(Default)]
pub struct KeyOwners {
    slots: Mutex<HashMap<String, OwnershipSlot>>,
    /// When the owner of each key last made progress, as seen by this voter.
    progress: Mutex<ProgressTracker>,
    /// Highest ballot that other voters reported as promised, by key; it names the likely owner. Never decreases.
    observed_ballots: Mutex<HashMap<String, Ballot>>,
    /// Ballots whose owner has released its keys before shutdown.
    resigned: Mutex<ResignedBallots>,
}

impl KeyOwners {
    fn slot(&self, key: &str) -> OwnershipSlot {
        self.slots.lock().entry_ref(key).or_default().clone()
    }

    /// Records that this node voted for another node's request for the key, or is about to run a round as its owner.
    pub fn record_progress(&self, key: &str) {
        self.progress.lock().record_progress(key, Instant::now());
    }

    /// Records that another voter has promised this ballot.
    pub fn observe_ballot(&self, key: &str, promised: Ballot) {
        let mut observed_ballots = self.observed_ballots.lock();
        let highest = observed_ballots.entry_ref(key).or_default();
        *highest = promised.max(*highest);
    }

    /// Highest ballot that another voter is known to have promised; the default ballot if none is known.
    pub fn observed_ballot(&self, key: &str) -> Ballot {
        self.observed_ballots.lock().get(key).copied().unwrap_or_default()
    }

    /// Records that the owner of this ballot has resigned.
    pub fn record_resigned_ballot(&self, key: &str, promised: Ballot) {
        self.resigned.lock().insert(key, promised);
    }

    /// Whether the owner of this ballot has resigned.
    pub fn has_resigned(&self, key: &str, promised: Ballot) -> bool {
        self.resigned.lock().contains(key, promised)
    }

    /// Releases all keys once their current rounds have ended. A key whose round takes longer than
    /// [`constants::PHASE_TIMEOUT`] is not released. A later election may acquire a key again.
    ///
    /// Slots are locked in key order.
    pub async fn release_keys(&self) {
        let mut slots: Vec<(String, OwnershipSlot)> =
            self.slots.lock().iter().map(|(key, slot)| (key.clone(), slot.clone())).collect();
        slots.sort_by(|a, b| a.0.cmp(&b.0));
        let releases = slots.iter().map(|(_, slot)| async move {
            if let Ok(mut slot) = tokio::time::timeout(constants::PHASE_TIMEOUT, slot.lock()).await
            {
                *slot = None;
            }
        });
        futures_util::future::join_all(releases).await;
    }

    /// Whether the owner of the key has made no progress for the election timeout, which is longer for large values
    /// because they take longer to send.
    pub(super) fn has_owner_timed_out(&self, key: &str, value_bytes: usize) -> bool {
        let election_timeout = constants::ELECTION_TIMEOUT + constants::phase_timeout(value_bytes)
            - constants::PHASE_TIMEOUT;
        self.progress.lock().has_timed_out(key, Instant::now(), election_timeout)
    }
}

/// Whether an ownership is still valid: the scope is unchanged, and the local acceptor has promised no other ballot.
fn is_current(acceptor: &Acceptor, key: &str, proposer: &Proposer) -> bool {
    let scope = proposer.scope();
    proposer.is_owner()
        && scope.membership_epoch == acceptor.membership().epoch
        && scope.recovery_epoch == acceptor.recovery_epoch()
        && acceptor.promised(key).epoch() == proposer.ballot().epoch()
}

impl Consensus {
    /// Changes a key on this node, which becomes its owner if it is not yet. `decide` gets the chosen value.
    ///
    /// # Errors
    /// The change may have been chosen nevertheless, except after [`ProposalError::NoLocalVote`] from an election.
    pub async fn propose_and_commit(
        self: &Arc<Self>,
        key: &str,
        decide: impl Fn(&[u8]) -> Decision,
    ) -> Result<ChangeResponse, ProposalError> {
        let slot = self.key_owners.slot(key);
        let mut slot = slot.lock().await;
        if !self.may_own() {
            return Err(ProposalError::NoLocalVote);
        }
        let mut proposer = self.ensure_ownership(key, slot.take()).await?;
        let answer = match decide(proposer.value()) {
            Decision::Answer(answer) => {
                self.confirm(key, &mut proposer).await?;
                answer
            }
            Decision::Write(value, answer) => {
                let first = proposer.propose(value);
                self.run_round(key, &mut proposer, first).await?;
                answer
            }
        };
        // After an error the slot stays empty: the next election finds out whether the value was chosen.
        *slot = Some(proposer);
        Ok(answer)
    }

    /// The ownership of a key: the current one if it is still valid, otherwise a newly acquired one.
    async fn ensure_ownership(
        self: &Arc<Self>,
        key: &str,
        current: Option<Proposer>,
    ) -> Result<Proposer, ProposalError> {
        let is_current = |proposer: &Proposer| {
            self.with_acceptor(|acceptor| is_current(acceptor, key, proposer))
        };
        match current.filter(is_current) {
            Some(proposer) => {
                self.key_owners.record_progress(key);
                Ok(proposer)
            }
            None => self.acquire_ownership(key).await,
        }
    }

    /// Confirms before an answer without a change that the value is still current: a majority holds its ballot, or
    /// accepts it again.
    async fn confirm(
        self: &Arc<Self>,
        key: &str,
        proposer: &mut Proposer,
    ) -> Result<(), ProposalError> {
        if self.is_accepted_by_majority(key, proposer.ballot()).await {
            return Ok(());
        }
        let first = proposer.confirm();
        self.run_round(key, proposer, first).await
    }
}
