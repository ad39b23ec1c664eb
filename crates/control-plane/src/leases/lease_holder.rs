//! Acquires, renews and releases leases by the rules of [`super::lease`].

use super::lease::{LeasePolicy, LeaseStep};
use super::{INDEX_OWNER_LEASE, LeaseManager, ROLLOUT_LEASE};
use crate::consensus::forward;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{
    Body, ChangeKind, ChangeResponse, LeaseRequest, LeaseResponse, Outcome, RaiseFencingToken,
    RaiseId,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum delay before a candidate requests a free lease, and the upper bound of the random delay added to it, which
/// keeps candidates that see the lease become free at the same time from requesting it at once.
const CANDIDATE_DELAY_MS: u64 = 50;
const CANDIDATE_JITTER_MS: u64 = 400;

/// A message about a lease to the voters.
enum VoterMessage {
    /// Requests or renews the lease.
    Request,
    /// Releases a lease under which this node may have acted.
    Release,
    /// Cancels a request that did not lead to a held lease. Nothing can have been sent under it, so others may acquire
    /// the lease immediately.
    Withdraw,
}

impl LeaseManager {
    /// Sends a message to all voters; true if a majority agrees within the timeout.
    async fn broadcast(&self, name: &str, message: VoterMessage, timeout: Duration) -> bool {
        let membership = self.consensus.membership();
        let request = self.request(name, &message, membership.epoch);
        let own_grant = self.grant(&request).granted;
        let is_granted =
            |answer| matches!(answer, Body::LeaseResponse(LeaseResponse { granted: true }));
        let body = Body::LeaseRequest(request);
        self.consensus.majority_agrees(&membership, timeout, body, own_grant, is_granted).await
    }

    fn request(&self, name: &str, message: &VoterMessage, membership: u64) -> LeaseRequest {
        let lease = match message {
            VoterMessage::Request | VoterMessage::Release => self.policy(name).lease,
            VoterMessage::Withdraw => Duration::ZERO,
        };
        LeaseRequest {
            lease_name: name.to_owned(),
            incarnation: self.process.node.incarnation,
            duration_ms: lease.as_millis() as u64,
            release: !matches!(message, VoterMessage::Request),
            node: self.process.node.name.clone(),
            sequence: self.take_message_number(),
            membership,
        }
    }

    async fn withdraw(&self, name: &str) {
        self.broadcast(name, VoterMessage::Withdraw, constants::PHASE_TIMEOUT).await;
    }

    /// Releases all held leases. This node stops acting under them before it notifies the voters.
    pub async fn release_all(&self) {
        for name in [ROLLOUT_LEASE, INDEX_OWNER_LEASE] {
            if self.stop_acting(name) {
                self.broadcast(name, VoterMessage::Release, constants::PHASE_TIMEOUT).await;
            }
        }
    }

    /// A command sent under `fencing_token` was rejected, because another node has used a higher token. This node stops
    /// acting under its token even if the voters' grants still run, and requests the lease again with a token higher
    /// than both.
    pub fn on_token_rejected(&self, name: &'static str, fencing_token: u64) {
        let was_held = self.with_holder(name, |holder| holder.drop_if_rejected(fencing_token));
        self.log_release(name, was_held);
    }

    /// Stops acting under a lease; true if this node held it.
    fn stop_acting(&self, name: &'static str) -> bool {
        let was_held = self.with_holder(name, |holder| holder.drop_lease());
        self.log_release(name, was_held);
        was_held
    }

    fn log_release(&self, name: &'static str, was_held: bool) {
        if was_held {
            fleet_core::log_event!(self.process.log, Event::LeaseReleased, "duty" => name);
        }
    }

    fn appears_free(&self, name: &str) -> bool {
        self.grantor.lock().is_free(name, &self.process.node.name, Instant::now())
    }

    async fn try_acquire(&self, name: &'static str, policy: LeasePolicy) {
        let is_eligible = self.consensus.votes() && !self.consensus.is_disk_broken();
        if !self.appears_free(name) || !is_eligible {
            return;
        }
        let jitter = self.process.random_below(CANDIDATE_JITTER_MS);
        tokio::time::sleep(Duration::from_millis(CANDIDATE_DELAY_MS + jitter)).await;
        if self.appears_free(name) && !self.process.is_shutting_down() {
            self.acquire(name, policy).await;
        }
    }

    async fn acquire(&self, name: &'static str, policy: LeasePolicy) {
        let requested_at = Instant::now();
        if !self.broadcast(name, VoterMessage::Request, constants::PHASE_TIMEOUT).await {
            return self.withdraw(name).await;
        }
        let granted_at = Instant::now();
        let raise_id = self.with_holder(name, |holder| holder.next_raise_id());
        let raised = self.raise_fencing_token(name, raise_id, false).await;
        if raised.outcome() != Outcome::Committed {
            return self.withdraw(name).await;
        }
        let was_last_holder = raised.holder == self.process.node.name;
        self.with_holder(name, |holder| {
            holder.acquired(requested_at, granted_at, raised.number, was_last_holder, policy);
        });
        fleet_core::log_event!(self.process.log, Event::LeaseAcquired,
            "duty" => name, "fence" => raised.number);
    }

    async fn renew(&self, name: &'static str, requested_at: Instant, policy: LeasePolicy) {
        let timeout = constants::LEASE_RENEWAL_TIMEOUT;
        if !self.consensus.is_disk_broken()
            && self.broadcast(name, VoterMessage::Request, timeout).await
        {
            self.with_holder(name, |holder| holder.renewed(requested_at, Instant::now(), policy));
        }
    }

    /// Records on a majority that this node acts under the lease from now on. Without the record, the next holder might
    /// not wait until this node's lease has expired. The record fails if the fencing token has been raised again since;
    /// then the lease is dropped and requested again.
    async fn record_takeover(&self, name: &'static str, raise_id: RaiseId) {
        match self.raise_fencing_token(name, raise_id, true).await.outcome() {
            Outcome::Committed => {
                self.with_holder(name, |holder| holder.takeover_recorded(raise_id))
            }
            Outcome::Stale => {
                self.stop_acting(name);
            }
            Outcome::Unknown | Outcome::Undetermined | Outcome::Invalid => {}
        }
    }

    async fn raise_fencing_token(
        &self,
        name: &str,
        id: RaiseId,
        records_takeover: bool,
    ) -> ChangeResponse {
        let holder = self.process.node.name.clone();
        let raise = RaiseFencingToken { lease_name: name.to_owned(), holder, id, records_takeover };
        forward::submit(&self.consensus, ChangeKind::RaiseFencingToken(raise)).await
    }

    /// Performs the next action for a lease; returns the time until the next one is due.
    async fn step(&self, name: &'static str) -> Duration {
        let policy = self.policy(name);
        let now = Instant::now();
        let interval = constants::LEASE_CHECK_INTERVAL;
        match self.with_holder(name, |holder| holder.next_step(now, policy)) {
            LeaseStep::Acquire => self.try_acquire(name, policy).await,
            LeaseStep::Renew => {
                self.renew(name, now, policy).await;
                return constants::LEASE_RENEWAL_INTERVAL;
            }
            LeaseStep::RecordTakeover(raise_id) => self.record_takeover(name, raise_id).await,
            LeaseStep::Expired => {
                self.stop_acting(name);
            }
            LeaseStep::Idle(Some(due)) => return interval.min(due.saturating_duration_since(now)),
            LeaseStep::Idle(None) => {}
        }
        interval
    }
}

/// Acquires a lease whenever it is free, and renews it. This task waits only for answers of voters, so that work done
/// under the lease cannot delay its renewal.
pub async fn run_lease_holder(leases: Arc<LeaseManager>, name: &'static str) {
    let mut interval = constants::LEASE_CHECK_INTERVAL;
    while !leases.process.is_shutting_down() {
        tokio::time::sleep(interval).await;
        interval = leases.step(name).await;
    }
}
