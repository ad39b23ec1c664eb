//! Duties of one node at a time: a lease of a majority, a fence that rises on disk.

pub mod keeper;
pub mod rollout;

use crate::Controller;
use crate::control::submit;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Body, ChangeKind, Lease, Leased, Outcome, RaiseFence};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub const ROLL_OUT: &str = "roll-out";
#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub const INDEX_KEEPER: &str = "index-keeper";

/// What this member granted. After a restart it grants nothing that gives orders for a whole lease.
pub struct Grants {
    table: hashbrown::HashMap<String, Grant>,
    closed_until: Option<Instant>,
}

struct Grant {
    incarnation: u64,
    node: String,
    until: Instant,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
impl Grants {
    pub fn grant(&mut self, l: &Lease, now: Instant, lease: Duration) -> bool {
        let other =
            self.table.get(&l.duty).filter(|g| g.incarnation != l.incarnation && g.node != l.node);
        if l.leave {
            if other.is_none() {
                self.table.remove(&l.duty);
            }
            return true;
        }
        let closed = orders(&l.duty) && self.closed_until.is_some_and(|t| now < t);
        if closed || other.is_some_and(|g| now < g.until) {
            return false;
        }
        let g = Grant { incarnation: l.incarnation, node: l.node.clone(), until: now + lease };
        self.table.insert(l.duty.clone(), g);
        true
    }

    /// Grants nothing that gives orders before then: what others granted may still run.
    fn close_until(&mut self, end: Instant) {
        self.closed_until = self.closed_until.max(Some(end));
    }

    /// Nobody else is known to hold it.
    fn free(&self, duty: &str, node: &str, now: Instant) -> bool {
        self.table.get(duty).is_none_or(|g| g.node == node || now >= g.until)
    }
}

/// What this node holds: counted from before it asked.
#[derive(Debug, Clone, Copy, Default)]
pub struct Holding {
    until: Option<Instant>,
    from: Option<Instant>,
    fence: u64,
}

impl Holding {
    /// The fence to act under, if the lease surely stands and a former holder's has surely ended.
    pub fn fence(&self, now: Instant) -> Option<u64> {
        let (until, from) = (self.until?, self.from?);
        (self.fence > 0 && now >= from && now < until).then_some(self.fence)
    }
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub struct Duties {
    grants: parking_lot::Mutex<Grants>,
    held: parking_lot::Mutex<hashbrown::HashMap<&'static str, Holding>>,
    pub keeper: parking_lot::Mutex<Option<Arc<keeper::Keeper>>>,
    pub plan: parking_lot::Mutex<rollout::plan::Plan>,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
impl Duties {
    pub fn new(first_start: bool, lease: Duration) -> Self {
        let closed_until = (!first_start).then(|| Instant::now() + lease);
        Duties {
            grants: parking_lot::Mutex::new(Grants {
                table: hashbrown::HashMap::new(),
                closed_until,
            }),
            held: parking_lot::Mutex::default(),
            keeper: parking_lot::Mutex::default(),
            plan: parking_lot::Mutex::default(),
        }
    }

    /// A member that has just got its vote doesn't know what the former members granted.
    pub fn close_for(&self, lease: Duration) {
        self.grants.lock().close_until(Instant::now() + lease);
    }

    pub fn fence(&self, duty: &str) -> Option<u64> {
        self.held.lock().get(duty).and_then(|h| h.fence(Instant::now()))
    }
}

/// How long a duty is leased: as the platform bounds orders, or short where none are given.
fn lease_of(s: &Controller, duty: &str) -> Duration {
    let bound = s.settings().bounds.lease;
    if orders(duty) { bound } else { bound.min(constants::KEEPER_LEASE) }
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub fn grant(s: &Controller, l: &Lease) -> Leased {
    let lease = lease_of(s, &l.duty);
    let may_grant = s.acceptor.lock().may_grant(l.membership);
    Leased { ok: may_grant && s.duties.grants.lock().grant(l, Instant::now(), lease) }
}

/// Asks all members; true with a majority.
async fn ask(s: &Arc<Controller>, duty: &str, leave: bool) -> bool {
    let lease = lease_of(s, duty);
    let membership = s.acceptor.lock().membership().clone();
    let members = membership.members;
    let l = Lease {
        duty: duty.to_owned(),
        incarnation: s.node.incarnation,
        ms: lease.as_millis() as u64,
        leave,
        node: s.node.name.clone(),
        membership: membership.epoch,
    };
    let quorum = members.len() / 2 + 1;
    let mut have = usize::from(grant(s, &l).ok);
    let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
    for (_, link) in s.peers(&members) {
        let (tx, l) = (tx.clone(), l.clone());
        tokio::spawn(async move {
            if let Ok(Body::Leased(Leased { ok: true })) =
                link.call(Body::Lease(l), constants::PHASE_LIMIT).await
            {
                let _ = tx.send(()).await;
            }
        });
    }
    drop(tx);
    while have < quorum && rx.recv().await.is_some() {
        have += 1;
    }
    have >= quorum
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub async fn leave_all(s: &Arc<Controller>) {
    for duty in [ROLL_OUT, INDEX_KEEPER] {
        if s.duties.held.lock().remove(duty).is_some() {
            ask(s, duty, true).await;
        }
    }
}

/// Takes and keeps a duty whenever it is free.
pub async fn holding(s: Arc<Controller>, duty: &'static str) {
    let mut rank = Duration::from_millis(50 + s.chance(400));
    loop {
        tokio::time::sleep(constants::DUTY_TICK).await;
        if *s.leaving().borrow() {
            return;
        }
        let lease = lease_of(&s, duty);
        let now = Instant::now();
        let held = s.duties.held.lock().get(duty).copied().unwrap_or_default();
        let margin = lease.mul_f64(constants::LEASE_MARGIN);
        if let Some(until) = held.until.filter(|u| now < *u) {
            if until - now > (lease - margin).mul_f64(1.0 - constants::LEASE_RENEW) {
                continue;
            }
            if ask(&s, duty, false).await {
                let renewed = Holding { until: Some(now + lease - margin), ..held };
                s.duties.held.lock().insert(duty, renewed);
            }
            continue;
        }
        if held.until.is_some() {
            s.duties.held.lock().remove(duty);
            fleet_core::log_event!(s.log, Event::DutyLeft, "duty" => duty);
        }
        let free = s.duties.grants.lock().free(duty, &s.node.name, now);
        if !free || !s.acceptor.lock().votes() || s.disk_broken() {
            continue;
        }
        tokio::time::sleep(rank).await;
        rank = Duration::from_millis(50 + s.chance(400));
        take(&s, duty, lease, margin).await;
    }
}

/// Only who gives orders to engines has to let a former holder's lease run out once more.
fn orders(duty: &str) -> bool {
    duty == ROLL_OUT
}

async fn take(s: &Arc<Controller>, duty: &'static str, lease: Duration, margin: Duration) {
    let before = Instant::now();
    if !s.duties.grants.lock().free(duty, &s.node.name, before) {
        return;
    }
    if !ask(s, duty, false).await {
        ask(s, duty, true).await;
        return;
    }
    let raise = RaiseFence { duty: duty.to_owned(), holder: s.node.name.clone() };
    let c = submit::submit(s, ChangeKind::Raise(raise)).await;
    if c.outcome() != Outcome::Done {
        ask(s, duty, true).await;
        return;
    }
    let same = c.holder.is_empty() || c.holder == s.node.name;
    let wait = if same || !orders(duty) { Duration::ZERO } else { lease - margin };
    let held = Holding {
        until: Some(before + lease - margin),
        from: Some(Instant::now() + wait),
        fence: c.number,
    };
    s.duties.held.lock().insert(duty, held);
    fleet_core::log_event!(s.log, Event::DutyTaken, "duty" => duty, "fence" => c.number);
}

#[cfg(test)]
mod tests;
