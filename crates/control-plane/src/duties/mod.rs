//! Duties of one node at a time: a lease of a majority, a fence that rises on disk.

pub mod keeper;
pub mod rollout;

use crate::Sorting;
use crate::control::owner;
use fleet_core::constants as k;
use fleet_core::log::Event;
use fleet_core::wire::{Body, ChangeKind, Lease, Leased, Outcome, RaiseFence};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

pub const ROLL_OUT: &str = "roll-out";
pub const INDEX_KEEPER: &str = "index-keeper";

/// What this member granted. After a restart it grants nothing that gives orders for a whole lease.
pub struct Grants {
    table: hashbrown::HashMap<String, Grant>,
    closed_until: Option<Instant>,
}

struct Grant {
    life: u64,
    node: String,
    until: Instant,
}

impl Grants {
    pub fn grant(&mut self, l: &Lease, now: Instant, lease: Duration) -> bool {
        let other = self.table.get(&l.duty).filter(|g| g.life != l.life && g.node != l.node);
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
        let g = Grant { life: l.life, node: l.node.clone(), until: now + lease };
        self.table.insert(l.duty.clone(), g);
        true
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

pub struct Duties {
    grants: parking_lot::Mutex<Grants>,
    held: parking_lot::Mutex<hashbrown::HashMap<&'static str, Holding>>,
    pub keeper: parking_lot::Mutex<Option<Arc<keeper::Keeper>>>,
    pub plan: parking_lot::Mutex<rollout::plan::Plan>,
}

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

    pub fn fence(&self, duty: &str) -> Option<u64> {
        self.held.lock().get(duty).and_then(|h| h.fence(Instant::now()))
    }
}

/// How long a duty is leased: as the platform bounds orders, or short where none are given.
fn lease_of(s: &Sorting, duty: &str) -> Duration {
    let bound = s.params().bounds.lease;
    if orders(duty) { bound } else { bound.min(k::KEEPER_LEASE) }
}

pub fn grant(s: &Sorting, l: &Lease) -> Leased {
    let lease = lease_of(s, &l.duty);
    let votes = s.acceptor.lock().votes();
    Leased { ok: votes && s.duties.grants.lock().grant(l, Instant::now(), lease) }
}

/// Asks all members; true with a majority.
async fn ask(s: &Arc<Sorting>, duty: &str, leave: bool) -> bool {
    let lease = lease_of(s, duty);
    let l = Lease {
        duty: duty.to_owned(),
        life: s.node.life,
        ms: lease.as_millis() as u64,
        leave,
        node: s.node.name.clone(),
    };
    let members = s.acceptor.lock().roster().members.clone();
    let quorum = members.len() / 2 + 1;
    let mut have = usize::from(grant(s, &l).ok);
    let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
    for (_, link) in s.peers(&members) {
        let (tx, l) = (tx.clone(), l.clone());
        tokio::spawn(async move {
            if let Ok(Body::Leased(Leased { ok: true })) =
                link.call(Body::Lease(l), k::PHASE_LIMIT).await
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

pub async fn leave_all(s: &Arc<Sorting>) {
    for duty in [ROLL_OUT, INDEX_KEEPER] {
        if s.duties.held.lock().remove(duty).is_some() {
            ask(s, duty, true).await;
        }
    }
}

/// Takes and keeps a duty whenever it is free.
pub async fn holding(s: Arc<Sorting>, duty: &'static str) {
    let mut rank = Duration::from_millis(50 + s.chance(400));
    loop {
        tokio::time::sleep(k::DUTY_TICK).await;
        if *s.leaving().borrow() {
            return;
        }
        let lease = lease_of(&s, duty);
        let now = Instant::now();
        let held = s.duties.held.lock().get(duty).copied().unwrap_or_default();
        let margin = lease.mul_f64(k::LEASE_MARGIN);
        if let Some(until) = held.until.filter(|u| now < *u) {
            if until - now > (lease - margin).mul_f64(1.0 - k::LEASE_RENEW) {
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
            fleet_core::note!(s.log, Event::DutyLeft, "duty" => duty);
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

async fn take(s: &Arc<Sorting>, duty: &'static str, lease: Duration, margin: Duration) {
    let before = Instant::now();
    if !s.duties.grants.lock().free(duty, &s.node.name, before) {
        return;
    }
    if !ask(s, duty, false).await {
        ask(s, duty, true).await;
        return;
    }
    let raise = RaiseFence { duty: duty.to_owned(), holder: s.node.name.clone() };
    let c = owner::submit(s, ChangeKind::Raise(raise)).await;
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
    fleet_core::note!(s.log, Event::DutyTaken, "duty" => duty, "fence" => c.number);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lease(life: u64) -> Lease {
        Lease { duty: ROLL_OUT.into(), life, ms: 3000, leave: false, node: format!("n{life}") }
    }

    const L: Duration = Duration::from_secs(3);

    #[test]
    fn one_life_at_a_time_and_none_after_a_restart() {
        let t = Instant::now();
        let mut g = Grants { table: hashbrown::HashMap::new(), closed_until: Some(t + L) };
        assert!(!g.grant(&lease(1), t, L));
        assert!(g.grant(&Lease { duty: INDEX_KEEPER.into(), ..lease(1) }, t, L));
        assert!(g.grant(&lease(1), t + L, L));
        assert!(!g.grant(&lease(2), t + L, L));
        assert!(g.grant(&lease(1), t + L * 3 / 2, L));
        assert!(!g.grant(&lease(2), t + L * 2, L));
        assert!(g.grant(&lease(2), t + L * 5 / 2, L));
        assert!(g.grant(&Lease { leave: true, ..lease(2) }, t + L * 5 / 2, L));
        assert!(g.grant(&lease(3), t + L * 5 / 2, L));
        let again = Lease { life: 9, ..lease(3) };
        assert!(g.grant(&again, t + L * 5 / 2, L), "a new life of the holder's own node");
        assert!(!g.grant(&lease(2), t + L * 5 / 2, L));
    }

    #[test]
    fn a_pause_ends_the_holding_before_any_order() {
        let t = Instant::now();
        let h = Holding { until: Some(t + L * 3 / 4), from: Some(t), fence: 5 };
        assert_eq!(h.fence(t), Some(5));
        assert_eq!(h.fence(t + L * 3 / 4), None);
        let waits = Holding { from: Some(t + L), until: Some(t + L * 2), fence: 6 };
        assert_eq!(waits.fence(t), None);
        assert_eq!(waits.fence(t + L), Some(6));
    }

    proptest::proptest! {
        /// Whatever the pauses and the speed of asking, two holders never both may act.
        #[test]
        fn holders_never_overlap(steps in proptest::collection::vec((0u64..3, 0u64..900, 0u64..4000), 1..80)) {
            let t0 = Instant::now();
            let margin = L.mul_f64(k::LEASE_MARGIN);
            let mut now = t0;
            let mut grants: Vec<Grants> = (0..3)
                .map(|_| Grants { table: hashbrown::HashMap::new(), closed_until: None })
                .collect();
            let mut held: Vec<Option<(Instant, Instant)>> = vec![None; 3];
            for (who, travel, pause) in steps {
                let before = now;
                now += Duration::from_millis(travel);
                let yes = grants.iter_mut().filter_map(|g| g.grant(&lease(who + 1), now, L).then_some(())).count();
                if yes >= 2 {
                    held[who as usize] = Some((now, before + L - margin));
                }
                now += Duration::from_millis(pause);
                let active = held.iter().flatten().filter(|(_, until)| now < *until).count();
                proptest::prop_assert!(active <= 1);
            }
        }
    }
}
