//! Leases with fencing tokens, for work that only one node at a time may do.
//!
//! A lease is granted by a majority of the voters, who keep their grants in memory. The fencing token is stored in the
//! replicated register `duty/NAME` and is raised on a majority of disks for each new holder. The holder measures the
//! lease from before it sent the request and leaves a margin at its end unused, whereas a voter measures it from the
//! moment of its grant. After a restart, a voter grants no lease whose holder commands engines until a full lease
//! duration has passed. Therefore two holders never act at the same time, and an engine can reject late commands of a
//! former holder.
//!
//! [`lease`] implements the rules as pure state machines, [`LeaseManager`] owns their state, and `lease_holder` drives
//! them. The work done under the leases is in [`crate::rollout`] and [`crate::index_owner`].

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

/// Lease for updating engines to target weights, the only one whose holder commands engines. The name is stored and
/// sent to other nodes, so it must not change.
pub const ROLLOUT_LEASE: &str = "roll-out";
/// Lease for owning the invalidation ring and the index of cached prefixes. The name is stored and sent to other nodes,
/// so it must not change.
pub const INDEX_OWNER_LEASE: &str = "index-keeper";

/// Leases that this node has granted to others, and leases that it holds itself. No other lock is taken while one of
/// its locks is held.
pub struct LeaseManager {
    process: Arc<Process>,
    consensus: Arc<Consensus>,
    grantor: Mutex<Grantor>,
    holders: Mutex<HashMap<&'static str, LeaseHolder>>,
    /// Sequence number of the next lease message; voters ignore messages that arrive out of order.
    next_message_number: AtomicU64,
}

impl LeaseManager {
    /// Creates the leases of a starting node. Grants of its former incarnation may still run for `grant_block`, which
    /// is `None` at the very first start.
    pub fn new(
        process: Arc<Process>,
        consensus: Arc<Consensus>,
        grant_block: Option<Duration>,
    ) -> LeaseManager {
        let incarnation = process.node.incarnation;
        let holder = |name| (name, LeaseHolder::new(incarnation));
        let blocked_until = grant_block.map(|duration| Instant::now() + duration);
        LeaseManager {
            process,
            consensus,
            grantor: Mutex::new(Grantor::new(blocked_until)),
            holders: Mutex::new([ROLLOUT_LEASE, INDEX_OWNER_LEASE].map(holder).into()),
            next_message_number: AtomicU64::new(1),
        }
    }

    /// Answers a request for a lease or a release of one. Only a voter grants, and only if it and the requester know
    /// the same membership, because a majority of an older membership need not overlap with a majority of the current
    /// one.
    pub fn grant(&self, request: &LeaseRequest) -> LeaseResponse {
        let policy = self.policy(&request.lease_name);
        let may_grant =
            self.consensus.with_acceptor(|acceptor| acceptor.may_grant_lease(request.membership));
        LeaseResponse {
            granted: may_grant
                && self.grantor.lock().handle_request(request, Instant::now(), policy),
        }
    }

    /// Grants no lease whose holder commands engines for the given duration. Called for a member that becomes a voter:
    /// it does not know what former members granted.
    pub fn block_grants_for(&self, lease: Duration) {
        self.grantor.lock().block_until(Instant::now() + lease);
    }

    /// The fencing token and the end of a lease, if this node currently holds the lease and may act under it.
    pub fn fenced_lease(&self, name: &str) -> Option<FencedLease> {
        self.holders.lock().get(name).and_then(|holder| holder.fenced_lease(Instant::now()))
    }

    /// The fencing token of a lease, if this node currently holds the lease and may act under it.
    pub fn fencing_token(&self, name: &str) -> Option<u64> {
        self.fenced_lease(name).map(|lease| lease.fencing_token)
    }

    /// This voter's unexpired grant of a lease, if there is one.
    pub fn granted(&self, name: &str, now: Instant) -> Option<RunningGrant> {
        self.grantor.lock().granted(name, now)
    }

    /// Rules for a lease. It lasts as configured if its holder commands engines, and is capped to a short duration
    /// otherwise.
    fn policy(&self, name: &str) -> LeasePolicy {
        let configured = self.process.settings().bounds.lease;
        let commands_engines = name == ROLLOUT_LEASE;
        let lease = if commands_engines {
            configured
        } else {
            configured.min(constants::INDEX_LEASE_DURATION)
        };
        LeasePolicy { lease, commands_engines }
    }

    fn with_holder<T>(
        &self,
        name: &'static str,
        use_holder: impl FnOnce(&mut LeaseHolder) -> T,
    ) -> T {
        use_holder(self.holders.lock().entry(name).or_insert_with(|| LeaseHolder::new(0)))
    }

    fn take_message_number(&self) -> u64 {
        self.next_message_number.fetch_add(1, Ordering::Relaxed)
    }
}
