//! Rules of leases as pure state machines, for the voter that grants a lease and for the node that holds it. There is
//! no I/O, clock or task in this module: the caller passes in the current time.

use fleet_core::constants;
use fleet_core::wire::{LeaseRequest, RaiseId};
use std::time::Duration;
use tokio::time::Instant;

/// Rules that a lease is granted by.
#[derive(Debug, Clone, Copy)]
pub struct LeasePolicy {
    /// Duration of the lease.
    pub lease: Duration,
    /// Whether the holder commands engines. Such commands must never come from two nodes within one lease duration.
    pub commands_engines: bool,
}

impl LeasePolicy {
    /// Time at the end of the lease in which the holder must not act.
    pub fn margin(&self) -> Duration {
        self.lease.mul_f64(constants::LEASE_MARGIN_RATIO)
    }

    /// Time in which the holder may act, measured from before it sent the request.
    pub fn usable(&self) -> Duration {
        self.lease - self.margin()
    }
}

/// A grant of a lease to one incarnation of a node.
struct Grant {
    node: String,
    incarnation: u64,
    /// Sequence number of the newest message received from this incarnation.
    sequence: u64,
    expires_at: Instant,
}

/// A grant that has not expired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningGrant {
    /// Name of the node that it was granted to.
    pub node: String,
    /// Time at which it expires.
    pub expires_at: Instant,
}

/// The grants of one voter, kept in memory. After a restart, and after becoming a voter, it grants no lease whose
/// holder commands engines until a full lease duration has passed, because it or its predecessor may have granted one
/// that it no longer knows.
#[derive(Default)]
pub struct Grantor {
    grants_by_lease: hashbrown::HashMap<String, Vec<Grant>>,
    blocked_until: Option<Instant>,
}

impl Grantor {
    /// Creates a grantor without grants. If grants of a former incarnation may still run, they have expired by
    /// `blocked_until`.
    pub fn new(blocked_until: Option<Instant>) -> Self {
        Grantor { blocked_until, ..Grantor::default() }
    }

    /// Grants no lease whose holder commands engines before `end`, because grants of other voters may still run.
    pub fn block_until(&mut self, end: Instant) {
        self.blocked_until = self.blocked_until.max(Some(end));
    }

    /// Grants or releases a lease as requested; true if it did. A message older than one already received from the same
    /// incarnation is ignored.
    pub fn handle_request(
        &mut self,
        request: &LeaseRequest,
        now: Instant,
        policy: LeasePolicy,
    ) -> bool {
        let grants = self.grants_by_lease.entry_ref(request.lease_name.as_str()).or_default();
        grants.retain(|grant| now < grant.expires_at + policy.lease);
        let sender_index = grants.iter().position(|grant| grant.incarnation == request.incarnation);
        if sender_index.is_some_and(|index| grants[index].sequence >= request.sequence) {
            return false;
        }
        let blocked =
            policy.commands_engines && self.blocked_until.is_some_and(|until| now < until);
        let granted_elsewhere =
            grants.iter().any(|grant| grant.node != request.node && now < grant.expires_at);
        if !request.release && (blocked || granted_elsewhere) {
            return false;
        }
        // After a release, commands that the holder had already sent may still be in flight for this long.
        let may_have_acted = request.duration_ms > 0;
        let in_flight_time = if policy.commands_engines && may_have_acted {
            policy.margin()
        } else {
            Duration::ZERO
        };
        let former_end = sender_index.map_or(now, |index| grants.swap_remove(index).expires_at);
        let expires_at =
            if request.release { former_end.min(now + in_flight_time) } else { now + policy.lease };
        let (node, incarnation, sequence) =
            (request.node.clone(), request.incarnation, request.sequence);
        grants.push(Grant { node, incarnation, sequence, expires_at });
        true
    }

    /// The unexpired grant of a lease that ends last, if there is one.
    pub fn granted(&self, lease_name: &str, now: Instant) -> Option<RunningGrant> {
        let running =
            self.grants_by_lease.get(lease_name)?.iter().filter(|grant| now < grant.expires_at);
        let latest = running.max_by_key(|grant| grant.expires_at)?;
        Some(RunningGrant { node: latest.node.clone(), expires_at: latest.expires_at })
    }

    /// Whether no other node is known to have an unexpired grant of a lease.
    pub fn is_free(&self, lease_name: &str, node: &str, now: Instant) -> bool {
        let grants = self.grants_by_lease.get(lease_name);
        grants
            .is_none_or(|all| all.iter().all(|grant| grant.node == node || now >= grant.expires_at))
    }
}

/// A lease that this node holds, with the fencing token raised for it.
#[derive(Debug, Clone, Copy)]
struct CurrentLease {
    expires_at: Instant,
    /// Time by which the leases of former holders have expired.
    usable_from: Instant,
    fencing_token: u64,
    raise_id: RaiseId,
    /// Whether this node may act under the lease: its takeover is recorded, or no record is needed.
    may_act: bool,
}

/// What the holder of a lease, or a candidate for it, has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Request the lease, if it appears to be free.
    Acquire,
    /// Renew the lease, well before it expires.
    Renew,
    /// Record on a majority that this node acts under the lease from now on.
    RecordTakeover(RaiseId),
    /// Stop acting, because the lease has expired.
    Expired,
    /// Nothing to do until this time, or until the next renewal if there is none.
    Idle(Option<Instant>),
}

/// One lease from the point of view of a node that may hold it.
#[derive(Debug)]
pub struct LeaseHolder {
    incarnation: u64,
    attempt: u64,
    lease: Option<CurrentLease>,
}

impl LeaseHolder {
    /// Creates the state for one incarnation of a node, which does not hold the lease yet.
    pub fn new(incarnation: u64) -> Self {
        LeaseHolder { incarnation, attempt: 1, lease: None }
    }

    /// What to do now.
    pub fn next_step(&self, now: Instant, policy: LeasePolicy) -> LeaseStep {
        let Some(current) = &self.lease else { return LeaseStep::Acquire };
        if now >= current.expires_at {
            return LeaseStep::Expired;
        }
        if current.expires_at - now <= policy.usable().mul_f64(1.0 - constants::LEASE_RENEWAL_RATIO)
        {
            return LeaseStep::Renew;
        }
        if !current.may_act && now >= current.usable_from {
            return LeaseStep::RecordTakeover(current.raise_id);
        }
        LeaseStep::Idle((!current.may_act).then_some(current.usable_from))
    }

    /// ID of the next raise of the fencing token. It stays the same until the lease is acquired, so that a raise whose
    /// answer was lost is retried under the same ID.
    pub fn next_raise_id(&self) -> RaiseId {
        RaiseId { incarnation: self.incarnation, attempt: self.attempt }
    }

    /// The lease was acquired: a majority answered the request sent at `requested_at` by the time `granted_at`, and the
    /// raise returned `fencing_token`. If `was_last_holder` is set, no other node can have acted within the last lease
    /// duration.
    pub fn acquired(
        &mut self,
        requested_at: Instant,
        granted_at: Instant,
        fencing_token: u64,
        was_last_holder: bool,
        policy: LeasePolicy,
    ) {
        let raise_id = self.next_raise_id();
        self.attempt += 1;
        let may_act = was_last_holder || !policy.commands_engines;
        let usable_from = if may_act { granted_at } else { granted_at + policy.usable() };
        self.lease = Some(CurrentLease {
            expires_at: requested_at + policy.usable(),
            usable_from,
            fencing_token,
            raise_id,
            may_act,
        });
    }

    /// A majority renewed the lease. Answers that arrive after it has expired are ignored, since another node may have
    /// held it in the meantime.
    pub fn renewed(&mut self, requested_at: Instant, now: Instant, policy: LeasePolicy) {
        if let Some(current) = &mut self.lease
            && now < current.expires_at
        {
            current.expires_at = current.expires_at.max(requested_at + policy.usable());
        }
    }

    /// A majority has recorded that this node acts under the fencing token of this raise.
    pub fn takeover_recorded(&mut self, raise_id: RaiseId) {
        if let Some(current) = self.lease.as_mut().filter(|lease| lease.raise_id == raise_id) {
            current.may_act = true;
        }
    }

    /// Gives up the lease; true if it was held.
    pub fn drop_lease(&mut self) -> bool {
        self.lease.take().is_some()
    }

    /// Gives up the lease if its fencing token is not above a rejected one; true if it was given up.
    pub fn drop_if_rejected(&mut self, fencing_token: u64) -> bool {
        let is_rejected = self.lease.is_some_and(|lease| lease.fencing_token <= fencing_token);
        is_rejected && self.drop_lease()
    }

    /// The fencing token and the time until which to act under it, if the lease certainly holds and that of any former
    /// holder has certainly expired.
    pub fn fenced_lease(&self, now: Instant) -> Option<FencedLease> {
        let current = self.lease.filter(|lease| {
            lease.may_act
                && lease.fencing_token > 0
                && now >= lease.usable_from
                && now < lease.expires_at
        })?;
        Some(FencedLease { fencing_token: current.fencing_token, expires_at: current.expires_at })
    }
}

/// Permission to act under a lease until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencedLease {
    /// Fencing token to send with each command.
    pub fencing_token: u64,
    /// Time from which no command may reach an engine.
    pub expires_at: Instant,
}

#[cfg(test)]
#[path = "lease_tests.rs"]
mod tests;
