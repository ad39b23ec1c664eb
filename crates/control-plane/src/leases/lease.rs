//! Duty leases as pure state: what a member grants and what a node holds. No clock, task or message is in
//! here; whoever drives it passes the time in.

use fleet_core::constants;
use fleet_core::wire::{LeaseRequest, RaiseId};
use std::time::Duration;
use tokio::time::Instant;

/// How a lease is granted.
#[derive(Debug, Clone, Copy)]
pub struct LeasePolicy {
    /// length of the lease
    pub lease: Duration,
    /// its holder gives orders to engines, which must never come from two nodes within one lease
    pub commands_engines: bool,
}

impl LeasePolicy {
    /// What the holder leaves unused at the end.
    pub fn margin(&self) -> Duration {
        self.lease.mul_f64(constants::LEASE_MARGIN)
    }

    /// What the holder uses, counted from before it asked.
    pub fn usable(&self) -> Duration {
        self.lease - self.margin()
    }
}

/// A lease that one incarnation was granted.
struct Grant {
    node: String,
    incarnation: u64,
    /// of the newest message that came
    number: u64,
    until: Instant,
}

/// A grant that has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningGrant {
    /// Name of the node that has it.
    pub node: String,
    /// When it ends.
    pub until: Instant,
}

/// What a member granted. After a restart, and after it became a voter, it grants no lease that gives
/// orders for a whole lease: it may have granted one that it no longer knows, or its predecessor may.
#[derive(Default)]
pub struct Grantor {
    table: hashbrown::HashMap<String, Vec<Grant>>,
    closed_until: Option<Instant>,
}

impl Grantor {
    /// Of a member whose former grants, if there were any, have ended by then.
    pub fn new(closed_until: Option<Instant>) -> Self {
        Grantor { closed_until, ..Grantor::default() }
    }

    /// Grants nothing that gives orders before then: what others granted may still run.
    pub fn close_until(&mut self, end: Instant) {
        self.closed_until = self.closed_until.max(Some(end));
    }

    /// Grants or takes back. A message that is older than another of its sender changes nothing.
    pub fn answer(&mut self, l: &LeaseRequest, now: Instant, policy: LeasePolicy) -> bool {
        let grants = self.table.entry_ref(l.lease_name.as_str()).or_default();
        grants.retain(|g| now < g.until + policy.lease);
        let own = grants.iter().position(|g| g.incarnation == l.incarnation);
        if own.is_some_and(|i| grants[i].number >= l.number) {
            return false;
        }
        let closed = policy.commands_engines && self.closed_until.is_some_and(|t| now < t);
        let granted_elsewhere = grants.iter().any(|g| g.node != l.node && now < g.until);
        if !l.release && (closed || granted_elsewhere) {
            return false;
        }
        // orders that were on their way when it was given back have ended by then
        let acted = l.ms > 0;
        let cool_down =
            if policy.commands_engines && acted { policy.margin() } else { Duration::ZERO };
        let before = own.map_or(now, |i| grants.swap_remove(i).until);
        let until = if l.release { before.min(now + cool_down) } else { now + policy.lease };
        let (node, incarnation, number) = (l.node.clone(), l.incarnation, l.number);
        grants.push(Grant { node, incarnation, number, until });
        true
    }

    /// Whom a lease is granted to by this voter, if a grant still runs.
    pub fn granted(&self, lease_name: &str, now: Instant) -> Option<RunningGrant> {
        let running = self.table.get(lease_name)?.iter().filter(|grant| now < grant.until);
        let latest = running.max_by_key(|grant| grant.until)?;
        Some(RunningGrant { node: latest.node.clone(), until: latest.until })
    }

    /// Nobody of another node is known to hold it.
    pub fn is_free(&self, lease_name: &str, node: &str, now: Instant) -> bool {
        let grants = self.table.get(lease_name);
        grants.is_none_or(|g| g.iter().all(|g| g.node == node || now >= g.until))
    }
}

/// A lease that this node holds, and the fencing token that it raised under it.
#[derive(Debug, Clone, Copy)]
struct CurrentLease {
    until: Instant,
    /// former holders' leases have ended by then
    from: Instant,
    fencing_token: u64,
    raise: RaiseId,
    /// it is on record that this node may act
    acts: bool,
}

/// What is to be done for a lease now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// ask for a lease, if it looks free
    Acquire,
    /// ask again, well before the end
    Renew,
    /// put on record that this node acts from now on
    Record(RaiseId),
    /// the lease ran out
    Expired,
    /// nothing before this
    Idle(Option<Instant>),
}

/// One lease, as a node holds it or doesn't.
#[derive(Debug)]
pub struct LeaseHolder {
    incarnation: u64,
    attempt: u64,
    lease: Option<CurrentLease>,
}

impl LeaseHolder {
    /// Of one incarnation of a node; it holds nothing.
    pub fn new(incarnation: u64) -> Self {
        LeaseHolder { incarnation, attempt: 1, lease: None }
    }

    /// What to do at this time.
    pub fn step(&self, now: Instant, policy: LeasePolicy) -> Step {
        let Some(h) = &self.lease else { return Step::Acquire };
        if now >= h.until {
            return Step::Expired;
        }
        if h.until - now <= policy.usable().mul_f64(1.0 - constants::LEASE_RENEW) {
            return Step::Renew;
        }
        if !h.acts && now >= h.from {
            return Step::Record(h.raise);
        }
        Step::Idle((!h.acts).then_some(h.from))
    }

    /// Names the raise to make: the last one again while it got no answer.
    pub fn raise(&self) -> RaiseId {
        RaiseId { incarnation: self.incarnation, attempt: self.attempt }
    }

    /// A majority granted what was asked for at `requested_at`, all of it by `granted`, and the raise gave this
    /// fencing token; `alone`: nobody but this node can have acted within a lease.
    pub fn acquired(
        &mut self,
        requested_at: Instant,
        granted: Instant,
        fencing_token: u64,
        alone: bool,
        policy: LeasePolicy,
    ) {
        let raise = self.raise();
        self.attempt += 1;
        let acts = alone || !policy.commands_engines;
        let from = if acts { granted } else { granted + policy.usable() };
        self.lease = Some(CurrentLease {
            until: requested_at + policy.usable(),
            from,
            fencing_token,
            raise,
            acts,
        });
    }

    /// A majority granted it again. An answer that comes after the end is none: others may have held it.
    pub fn renewed(&mut self, requested_at: Instant, now: Instant, policy: LeasePolicy) {
        if let Some(h) = &mut self.lease
            && now < h.until
        {
            h.until = h.until.max(requested_at + policy.usable());
        }
    }

    /// It is on record that this node acts under this raise.
    pub fn recorded(&mut self, raise: RaiseId) {
        if let Some(h) = self.lease.as_mut().filter(|h| h.raise == raise) {
            h.acts = true;
        }
    }

    /// Holds it no longer; whether it did.
    pub fn drop_lease(&mut self) -> bool {
        self.lease.take().is_some()
    }

    /// Holds it no longer if it was acted under this fencing token; whether it did.
    pub fn drop_refused(&mut self, fencing_token: u64) -> bool {
        let is_refused = self.lease.is_some_and(|lease| lease.fencing_token <= fencing_token);
        is_refused && self.drop_lease()
    }

    /// The fencing token to act under and until when, if the lease surely stands and a former holder's has
    /// surely ended.
    pub fn fenced_lease(&self, now: Instant) -> Option<FencedLease> {
        let h = self
            .lease
            .filter(|h| h.acts && h.fencing_token > 0 && now >= h.from && now < h.until)?;
        Some(FencedLease { fencing_token: h.fencing_token, until: h.until })
    }
}

/// The right to act, until its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencedLease {
    /// to be sent with each order
    pub fencing_token: u64,
    /// nothing may reach an engine from here on
    pub until: Instant,
}

#[cfg(test)]
#[path = "lease_tests.rs"]
mod tests;
