//! Acquires leases, renews them and releases them, as [`super::lease`] says.

use super::lease::{LeasePolicy, Step};
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

/// Shortest wait of a candidate that finds a lease free, and how much longer it may be at random: candidates that
/// find it free at the same time don't all request it at once.
const CANDIDATE_DELAY_MS: u64 = 50;
const CANDIDATE_DELAY_SPREAD_MS: u64 = 400;

/// What is sent to the voters about a lease.
enum Message {
    /// Requests it, or renews it.
    Request,
    /// Releases a lease that this node may have acted under.
    Release,
    /// Takes an attempt back that never held the lease: nothing can have been sent under it, so that others may
    /// request it at once.
    Withdraw,
}

impl LeaseManager {
    /// Sends a message to all voters; true once a majority has agreed.
    async fn broadcast(&self, name: &str, message: Message, timeout: Duration) -> bool {
        let membership = self.consensus.membership();
        let request = self.request(name, &message, membership.epoch);
        let own_answer = self.grant(&request).ok;
        let is_granted = |answer| matches!(answer, Body::LeaseResponse(LeaseResponse { ok: true }));
        let body = Body::LeaseRequest(request);
        self.consensus.majority_agrees(&membership, timeout, body, own_answer, is_granted).await
    }

    fn request(&self, name: &str, message: &Message, membership: u64) -> LeaseRequest {
        let lease = match message {
            Message::Request | Message::Release => self.policy(name).lease,
            Message::Withdraw => Duration::ZERO,
        };
        LeaseRequest {
            lease_name: name.to_owned(),
            incarnation: self.process.node.incarnation,
            ms: lease.as_millis() as u64,
            release: !matches!(message, Message::Request),
            node: self.process.node.name.clone(),
            number: self.next_message(),
            membership,
        }
    }

    async fn withdraw(&self, name: &str) {
        self.broadcast(name, Message::Withdraw, constants::PHASE_TIMEOUT).await;
    }

    /// Releases all leases: nothing is done under them from here on.
    pub async fn release_all(&self) {
        for name in [ROLLOUT_LEASE, INDEX_OWNER_LEASE] {
            if self.stop_acting(name) {
                self.broadcast(name, Message::Release, constants::PHASE_TIMEOUT).await;
            }
        }
    }

    /// Somebody refused what was sent under this fencing token, since another node has used a higher one: nothing more is
    /// done under it, whatever the voters granted. The lease is requested anew, with a token above both.
    pub fn refused(&self, name: &'static str, fencing_token: u64) {
        let was_held = self.with_holder(name, |holder| holder.drop_refused(fencing_token));
        self.log_release(name, was_held);
    }

    /// Acts under the lease no longer; whether this node held it.
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

    fn may_acquire(&self, name: &str) -> bool {
        self.grantor.lock().is_free(name, &self.process.node.name, Instant::now())
    }

    async fn try_acquire(&self, name: &'static str, policy: LeasePolicy) {
        let can_hold = self.consensus.votes() && !self.consensus.is_disk_broken();
        if !self.may_acquire(name) || !can_hold {
            return;
        }
        let spread = self.process.random_below(CANDIDATE_DELAY_SPREAD_MS);
        tokio::time::sleep(Duration::from_millis(CANDIDATE_DELAY_MS + spread)).await;
        if self.may_acquire(name) && !self.process.is_shutting_down() {
            self.acquire(name, policy).await;
        }
    }

    async fn acquire(&self, name: &'static str, policy: LeasePolicy) {
        let requested_at = Instant::now();
        if !self.broadcast(name, Message::Request, constants::PHASE_TIMEOUT).await {
            return self.withdraw(name).await;
        }
        let granted_at = Instant::now();
        let id = self.with_holder(name, |holder| holder.raise());
        let raised = self.raise(name, id, false).await;
        if raised.outcome() != Outcome::Done {
            return self.withdraw(name).await;
        }
        let alone = raised.holder == self.process.node.name;
        self.with_holder(name, |holder| {
            holder.acquired(requested_at, granted_at, raised.number, alone, policy);
        });
        fleet_core::log_event!(self.process.log, Event::LeaseAcquired,
            "duty" => name, "fence" => raised.number);
    }

    async fn renew(&self, name: &'static str, requested_at: Instant, policy: LeasePolicy) {
        let timeout = constants::LEASE_RENEWAL_TIMEOUT;
        if !self.consensus.is_disk_broken() && self.broadcast(name, Message::Request, timeout).await
        {
            self.with_holder(name, |holder| holder.renewed(requested_at, Instant::now(), policy));
        }
    }

    /// Puts on record that this node acts from now on; without that nobody lets its lease pass. A raise that is
    /// not the newest any more can't be recorded: the lease is requested anew.
    async fn record(&self, name: &'static str, id: RaiseId) {
        match self.raise(name, id, true).await.outcome() {
            Outcome::Done => self.with_holder(name, |holder| holder.recorded(id)),
            Outcome::Stale => {
                self.stop_acting(name);
            }
            Outcome::Unknown | Outcome::Unproven | Outcome::Invalid => {}
        }
    }

    async fn raise(&self, name: &str, id: RaiseId, acts: bool) -> ChangeResponse {
        let holder = self.process.node.name.clone();
        let raise = RaiseFencingToken { lease_name: name.to_owned(), holder, id, acts };
        forward::submit(&self.consensus, ChangeKind::Raise(raise)).await
    }

    /// Does what is due for a lease; returns how long nothing is due afterwards.
    async fn step(&self, name: &'static str) -> Duration {
        let policy = self.policy(name);
        let now = Instant::now();
        let interval = constants::LEASE_CHECK_INTERVAL;
        match self.with_holder(name, |holder| holder.step(now, policy)) {
            Step::Acquire => self.try_acquire(name, policy).await,
            Step::Renew => {
                self.renew(name, now, policy).await;
                return constants::LEASE_RENEWAL_INTERVAL;
            }
            Step::Record(id) => self.record(name, id).await,
            Step::Expired => {
                self.stop_acting(name);
            }
            Step::Idle(Some(until)) => return interval.min(until.saturating_duration_since(now)),
            Step::Idle(None) => {}
        }
        interval
    }
}

/// Acquires a lease whenever it is free, and renews it. A task of its own that waits for nothing but the answers
/// of voters, so that no work done under the lease is in the way of its renewal.
pub async fn run_lease_holder(leases: Arc<LeaseManager>, name: &'static str) {
    let mut interval = constants::LEASE_CHECK_INTERVAL;
    while !leases.process.is_shutting_down() {
        tokio::time::sleep(interval).await;
        interval = leases.step(name).await;
    }
}
