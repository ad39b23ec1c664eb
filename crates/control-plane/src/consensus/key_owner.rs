//! The keys that this node owns, and changes to them: as owner at once, else after a `campaign`.

use super::Consensus;
use super::acceptor::Acceptor;
use super::election::Elections;
use super::proposer::{ProposalError, Proposer};
use super::resignation::ResignedBallots;
use super::state_machine::Decision;
use fleet_core::constants;
use fleet_core::wire::{Ballot, ChangeResponse};
use hashbrown::HashMap;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::time::Instant;

/// The ownership of one key; a change of the key holds the lock from its first step to its answer.
type Slot = Arc<tokio::sync::Mutex<Option<Proposer>>>;

/// The keys that this node owns, each under a lock that one change holds at a time.
#[derive(Default)]
pub struct KeyOwners {
    slots: Mutex<HashMap<String, Slot>>,
    /// When each key's owner last made progress, as this voter saw it.
    elections: Mutex<Elections>,
    /// Highest promised ballot in the rejections of others, by key: who owns it now. Never falls.
    observed_ballots: Mutex<HashMap<String, Ballot>>,
    /// Ballots whose owner gave its keys up before it ended.
    resigned: Mutex<ResignedBallots>,
}

impl KeyOwners {
    fn slot(&self, key: &str) -> Slot {
        self.slots.lock().entry_ref(key).or_default().clone()
    }

    /// The own acceptor has voted for another node's request, or this node begins a round as the owner.
    pub fn record_progress(&self, key: &str) {
        self.elections.lock().record_progress(key, Instant::now());
    }

    /// Another voter has promised this ballot.
    pub fn observe_ballot(&self, key: &str, promised: Ballot) {
        let mut observed_ballots = self.observed_ballots.lock();
        let highest = observed_ballots.entry_ref(key).or_default();
        *highest = promised.max(*highest);
    }

    /// Highest ballot that another voter is known to have promised.
    pub fn observed_ballot(&self, key: &str) -> Ballot {
        self.observed_ballots.lock().get(key).copied().unwrap_or_default()
    }

    /// The owner of this ballot has left.
    pub fn owner_resigned(&self, key: &str, promised: Ballot) {
        self.resigned.lock().insert(key, promised);
    }

    /// Whether the owner of this ballot has left.
    pub fn has_resigned(&self, key: &str, promised: Ballot) -> bool {
        self.resigned.lock().contains(key, promised)
    }

    /// Waits for the rounds under way, and owns nothing from then on unless a key is taken over again.
    ///
    /// Slots are locked in the order of their keys.
    pub async fn release_keys(&self) {
        let mut slots: Vec<(String, Slot)> =
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

    /// Whether the key's owner has made no progress for so long that another may be elected; a large value takes
    /// longer to send.
    pub(super) fn is_quiet(&self, key: &str, value_bytes: usize) -> bool {
        let span = constants::ELECTION_TIMEOUT + constants::phase_timeout(value_bytes)
            - constants::PHASE_TIMEOUT;
        self.elections.lock().is_quiet(key, Instant::now(), span)
    }
}

/// Whether an ownership still stands: same scope, and the own acceptor has promised nobody else.
fn is_current(acceptor: &Acceptor, key: &str, proposer: &Proposer) -> bool {
    let scope = proposer.scope();
    proposer.is_owner()
        && scope.membership == acceptor.membership().epoch
        && scope.recovery_epoch == acceptor.recovery_epoch()
        && acceptor.promised(key).epoch() == proposer.ballot().epoch()
}

impl Consensus {
    /// Changes a key here: as its owner, or after taking it over. `decide` sees the chosen value.
    ///
    /// # Errors
    /// The change may have been chosen all the same, except after [`ProposalError::NoOwnVote`] of a take-over.
    pub async fn propose_and_commit(
        self: &Arc<Self>,
        key: &str,
        decide: impl Fn(&[u8]) -> Decision,
    ) -> Result<ChangeResponse, ProposalError> {
        let slot = self.key_owners.slot(key);
        let mut slot = slot.lock().await;
        if !self.may_own() {
            return Err(ProposalError::NoOwnVote);
        }
        let mut proposer = self.own(key, slot.take()).await?;
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
        // After an error the slot stays empty: whether the value was chosen is found out by the next election.
        *slot = Some(proposer);
        Ok(answer)
    }

    /// The ownership of a key: the present one if it still stands, else a new one.
    async fn own(
        self: &Arc<Self>,
        key: &str,
        present: Option<Proposer>,
    ) -> Result<Proposer, ProposalError> {
        let is_current = |proposer: &Proposer| {
            self.with_acceptor(|acceptor| is_current(acceptor, key, proposer))
        };
        match present.filter(is_current) {
            Some(proposer) => {
                self.key_owners.record_progress(key);
                Ok(proposer)
            }
            None => self.acquire_ownership(key).await,
        }
    }

    /// An answer without a change still needs a quorum that has not moved on.
    async fn confirm(
        self: &Arc<Self>,
        key: &str,
        proposer: &mut Proposer,
    ) -> Result<(), ProposalError> {
        if self.majority_at(key, proposer.ballot()).await {
            return Ok(());
        }
        let first = proposer.confirm();
        self.run_round(key, proposer, first).await
    }
}
