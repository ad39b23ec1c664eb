//! Asks for leases, keeps them and gives them back, as [`super::lease`] says.

use super::lease::{Step, Terms};
use super::{INDEX_KEEPER, ROLL_OUT, terms};
use crate::Controller;
use crate::control::submit;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{
    Body, ChangeKind, ChangeResponse, LeaseRequest, LeaseResponse, Outcome, RaiseFencingToken,
    RaiseId,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Answers a node that asks for a lease, or gives it back. Only a voter grants, and only where asker and
/// voter know the same membership: a majority of an older one doesn't exclude a majority of this one.
pub fn grant(s: &Controller, l: &LeaseRequest) -> LeaseResponse {
    let terms = terms(s.settings().bounds.lease, &l.duty);
    let may_grant = s.acceptor.lock().may_grant(l.membership);
    LeaseResponse { ok: may_grant && s.duties.grantor.lock().answer(l, Instant::now(), terms) }
}

/// Takes an attempt back that never held the duty: no order can be on its way, so others may ask at once.
async fn withdraw(s: &Arc<Controller>, duty: &str) {
    send(s, duty, true, Duration::ZERO, constants::PHASE_LIMIT).await;
}

/// Asks all members; true with a majority.
async fn ask(s: &Arc<Controller>, duty: &str, leave: bool, limit: Duration) -> bool {
    let lease = terms(s.settings().bounds.lease, duty).lease;
    send(s, duty, leave, lease, limit).await
}

/// `lease` is zero where the sender never acted under it.
async fn send(
    s: &Arc<Controller>,
    duty: &str,
    leave: bool,
    lease: Duration,
    limit: Duration,
) -> bool {
    let (members, membership) = {
        let acceptor = s.acceptor.lock();
        (acceptor.membership().members.clone(), acceptor.membership().epoch)
    };
    let l = LeaseRequest {
        duty: duty.to_owned(),
        incarnation: s.node.incarnation,
        ms: lease.as_millis() as u64,
        leave,
        node: s.node.name.clone(),
        number: s.duties.next_message(),
        membership,
    };
    let quorum = members.len() / 2 + 1;
    let mut have = usize::from(grant(s, &l).ok);
    let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
    for (_, link) in s.peers(&members) {
        let (tx, l) = (tx.clone(), l.clone());
        tokio::spawn(async move {
            if let Ok(Body::LeaseResponse(LeaseResponse { ok: true })) =
                link.call(Body::LeaseRequest(l), limit).await
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

/// Gives all duties back: nothing is done under them from here on.
pub async fn leave_all(s: &Arc<Controller>) {
    for duty in [ROLL_OUT, INDEX_KEEPER] {
        if lapse(s, duty) {
            ask(s, duty, true, constants::PHASE_LIMIT).await;
        }
    }
}

/// Takes and keeps a duty whenever it is free. A task of its own, which waits for nothing but the
/// answers of members, so that no work done under the duty is in the way of its renewal.
pub async fn holding(s: Arc<Controller>, duty: &'static str) {
    let mut pause = constants::DUTY_TICK;
    while !*s.leaving().borrow() {
        tokio::time::sleep(pause).await;
        pause = constants::DUTY_TICK;
        let terms = terms(s.settings().bounds.lease, duty);
        let now = Instant::now();
        match s.duties.with(duty, |h| h.step(now, terms)) {
            Step::Ask => try_to_take(&s, duty, terms).await,
            Step::Renew => {
                pause = constants::RENEW_TICK;
                if !s.disk_broken() && ask(&s, duty, false, constants::RENEW_LIMIT).await {
                    s.duties.with(duty, |h| h.renewed(now, Instant::now(), terms));
                }
            }
            Step::Record(id) => record(&s, duty, id).await,
            Step::Lapsed => {
                lapse(&s, duty);
            }
            Step::Rest(until) => {
                pause = until.map_or(pause, |t| pause.min(t.saturating_duration_since(now)));
            }
        }
    }
}

/// Acts under the duty no longer; whether this node held it.
fn lapse(s: &Controller, duty: &'static str) -> bool {
    let held = s.duties.with(duty, |h| h.drop_lease());
    if held {
        fleet_core::log_event!(s.log, Event::DutyLeft, "duty" => duty);
    }
    held
}

async fn try_to_take(s: &Arc<Controller>, duty: &'static str, terms: Terms) {
    let free = || s.duties.grantor.lock().is_free(duty, &s.node.name, Instant::now());
    if !free() || !s.acceptor.lock().votes() || s.disk_broken() {
        return;
    }
    // those that find it free at the same time don't all ask at once
    tokio::time::sleep(Duration::from_millis(50 + s.chance(400))).await;
    if !free() || *s.leaving().borrow() {
        return;
    }
    take(s, duty, terms).await;
}

async fn take(s: &Arc<Controller>, duty: &'static str, terms: Terms) {
    let asked = Instant::now();
    if !ask(s, duty, false, constants::PHASE_LIMIT).await {
        withdraw(s, duty).await;
        return;
    }
    let granted = Instant::now();
    let id = s.duties.with(duty, |h| h.raise());
    let c = raise(s, duty, id, false).await;
    if c.outcome() != Outcome::Done {
        withdraw(s, duty).await;
        return;
    }
    let alone = c.holder == s.node.name;
    s.duties.with(duty, |h| h.acquired(asked, granted, c.number, alone, terms));
    fleet_core::log_event!(s.log, Event::DutyTaken, "duty" => duty, "fence" => c.number);
}

/// Puts on record that this node acts from now on; without that nobody lets its lease pass. A raise that
/// is not the newest any more can't be recorded: the lease is asked for anew.
async fn record(s: &Arc<Controller>, duty: &'static str, id: RaiseId) {
    match raise(s, duty, id, true).await.outcome() {
        Outcome::Done => s.duties.with(duty, |h| h.recorded(id)),
        Outcome::Stale => {
            lapse(s, duty);
        }
        Outcome::Unknown | Outcome::Unproven | Outcome::Invalid => {}
    }
}

async fn raise(s: &Arc<Controller>, duty: &str, id: RaiseId, acts: bool) -> ChangeResponse {
    let raise = RaiseFencingToken { duty: duty.to_owned(), holder: s.node.name.clone(), id, acts };
    submit::submit(s, ChangeKind::Raise(raise)).await
}
