//! Leases: the right to do something that one node does at a time, with a fencing token.
//!
//! A lease is granted by a majority of the voters, from memory; the fencing token is a key of the control state
//! (`duty/NAME`) and rises on a majority of disks with each new holder. The holder counts the lease from before it
//! asked and leaves a margin unused; a voter counts it from when it granted, and after a restart grants no lease
//! whose holder commands engines for a whole lease. So two holders never act at the same time, and an engine can
//! refuse what a former holder has sent late.
//!
//! [`lease`] is that as pure state, [`LeaseManager`] owns it, `lease_holder` drives it. What runs under a lease
//! stands apart: [`crate::rollout`] and [`crate::index_owner`].

pub mod lease;
mod lease_holder;

pub use lease_holder::run_lease_holder;

use crate::consensus::Consensus;
use crate::process::Process;
use fleet_core::constants;
use fleet_core::wire::{LeaseRequest, LeaseResponse};
use hashbrown::HashMap;
use lease::{FencedLease, Grantor, LeaseHolder, LeasePolicy, RunningGrant};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Updates engines to target weights; the only lease whose holder commands engines. The name is stored and sent.
pub const ROLLOUT_LEASE: &str = "roll-out";
/// Owns the ring of invalidations and the index of cached prefixes. The name is stored and sent.
pub const INDEX_OWNER_LEASE: &str = "index-keeper";

/// The leases that this node granted, and those that it holds. Its locks are leaves.
pub struct LeaseManager {
    process: Arc<Process>,
    consensus: Arc<Consensus>,
    grantor: Mutex<Grantor>,
    holders: Mutex<HashMap<&'static str, LeaseHolder>>,
    /// Number of the next message to voters.
    messages: AtomicU64,
}

impl LeaseManager {
    /// Of a node that starts. Its former incarnation may have granted what ends only after `closed_for`; none at
    /// the first start of all.
    pub fn new(
        process: Arc<Process>,
        consensus: Arc<Consensus>,
        closed_for: Option<Duration>,
    ) -> LeaseManager {
        let incarnation = process.node.incarnation;
        let holder = |name| (name, LeaseHolder::new(incarnation));
        let closed_until = closed_for.map(|duration| Instant::now() + duration);
        LeaseManager {
            process,
            consensus,
            grantor: Mutex::new(Grantor::new(closed_until)),
            holders: Mutex::new([ROLLOUT_LEASE, INDEX_OWNER_LEASE].map(holder).into()),
            messages: AtomicU64::new(1),
        }
    }

    /// Answers a node that requests a lease or releases it. Only a voter grants, and only where it and the
    /// requester know the same membership: a majority of an older one doesn't exclude a majority of this one.
    pub fn grant(&self, request: &LeaseRequest) -> LeaseResponse {
        let policy = self.policy(&request.lease_name);
        let may_grant =
            self.consensus.with_acceptor(|acceptor| acceptor.may_grant(request.membership));
        LeaseResponse {
            ok: may_grant && self.grantor.lock().answer(request, Instant::now(), policy),
        }
    }

    /// A member that has just got its vote doesn't know what the former members granted.
    pub fn close_for(&self, lease: Duration) {
        self.grantor.lock().close_until(Instant::now() + lease);
    }

    /// The right to act under a lease, if this node holds it now.
    pub fn fenced_lease(&self, name: &str) -> Option<FencedLease> {
        self.holders.lock().get(name).and_then(|holder| holder.fenced_lease(Instant::now()))
    }

    /// The fencing token to act under, if this node holds the lease now.
    pub fn fencing_token(&self, name: &str) -> Option<u64> {
        self.fenced_lease(name).map(|lease| lease.fencing_token)
    }

    /// Whom this voter granted a lease to, if that grant still runs.
    pub fn granted(&self, name: &str, now: Instant) -> Option<RunningGrant> {
        self.grantor.lock().granted(name, now)
    }

    /// How a lease is granted: as the platform bounds commands to engines, or short where there are none.
    fn policy(&self, name: &str) -> LeasePolicy {
        let bound = self.process.settings().bounds.lease;
        let commands_engines = name == ROLLOUT_LEASE;
        let lease =
            if commands_engines { bound } else { bound.min(constants::INDEX_LEASE_DURATION) };
        LeasePolicy { lease, commands_engines }
    }

    fn with_holder<T>(&self, name: &'static str, f: impl FnOnce(&mut LeaseHolder) -> T) -> T {
        f(self.holders.lock().entry(name).or_insert_with(|| LeaseHolder::new(0)))
    }

    fn next_message(&self) -> u64 {
        self.messages.fetch_add(1, Ordering::Relaxed)
    }
}
