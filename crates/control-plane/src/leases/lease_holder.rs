//! Asks for leases, keeps them and gives them back, as [`super::lease`] says.

use super::lease::{LeasePolicy, Step};
use super::{INDEX_OWNER_LEASE, ROLLOUT_LEASE, policy};
use crate::Controller;
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

/// Answers a node that asks for a lease, or gives it back. Only a voter grants, and only where asker and
/// voter know the same membership: a majority of an older one doesn't exclude a majority of this one.
pub fn grant(controller: &Controller, l: &LeaseRequest) -> LeaseResponse {
    let policy = policy(controller.settings().bounds.lease, &l.lease_name);
    let may_grant = controller.acceptor.lock().may_grant(l.membership);
    LeaseResponse {
        ok: may_grant && controller.leases.grantor.lock().answer(l, Instant::now(), policy),
    }
}

/// Takes an attempt back that never held the duty: no order can be on its way, so others may ask at once.
async fn withdraw(controller: &Arc<Controller>, lease_name: &str) {
    broadcast(controller, lease_name, true, Duration::ZERO, constants::PHASE_TIMEOUT).await;
}

/// Asks all members; true with a majority.
async fn request_grants(
    controller: &Arc<Controller>,
    lease_name: &str,
    release: bool,
    limit: Duration,
) -> bool {
    let lease = policy(controller.settings().bounds.lease, lease_name).lease;
    broadcast(controller, lease_name, release, lease, limit).await
}

/// `lease` is zero where the sender never acted under it.
async fn broadcast(
    controller: &Arc<Controller>,
    lease_name: &str,
    release: bool,
    lease: Duration,
    limit: Duration,
) -> bool {
    let (members, membership) = {
        let acceptor = controller.acceptor.lock();
        (acceptor.membership().members.clone(), acceptor.membership().epoch)
    };
    let l = LeaseRequest {
        lease_name: lease_name.to_owned(),
        incarnation: controller.node.incarnation,
        ms: lease.as_millis() as u64,
        release,
        node: controller.node.name.clone(),
        number: controller.leases.next_message(),
        membership,
    };
    let quorum = members.len() / 2 + 1;
    let mut granted = usize::from(grant(controller, &l).ok);
    let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
    for (_, link) in controller.links_to(&members) {
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
    while granted < quorum && rx.recv().await.is_some() {
        granted += 1;
    }
    granted >= quorum
}

/// Gives all duties back: nothing is done under them from here on.
pub async fn release_all(controller: &Arc<Controller>) {
    for lease_name in [ROLLOUT_LEASE, INDEX_OWNER_LEASE] {
        if stop_acting(controller, lease_name) {
            request_grants(controller, lease_name, true, constants::PHASE_TIMEOUT).await;
        }
    }
}

/// Takes and keeps a duty whenever it is free. A task of its own, which waits for nothing but the
/// answers of members, so that no work done under the duty is in the way of its renewal.
pub async fn run_lease_holder(controller: Arc<Controller>, lease_name: &'static str) {
    let mut interval = constants::LEASE_CHECK_INTERVAL;
    while !*controller.shutting_down().borrow() {
        tokio::time::sleep(interval).await;
        interval = constants::LEASE_CHECK_INTERVAL;
        let policy = policy(controller.settings().bounds.lease, lease_name);
        let now = Instant::now();
        match controller.leases.with(lease_name, |h| h.step(now, policy)) {
            Step::Acquire => try_acquire(&controller, lease_name, policy).await,
            Step::Renew => {
                interval = constants::LEASE_RENEWAL_INTERVAL;
                if !controller.disk_broken()
                    && request_grants(
                        &controller,
                        lease_name,
                        false,
                        constants::LEASE_RENEWAL_TIMEOUT,
                    )
                    .await
                {
                    controller.leases.with(lease_name, |h| h.renewed(now, Instant::now(), policy));
                }
            }
            Step::Record(id) => record(&controller, lease_name, id).await,
            Step::Expired => {
                stop_acting(&controller, lease_name);
            }
            Step::Idle(until) => {
                interval =
                    until.map_or(interval, |t| interval.min(t.saturating_duration_since(now)));
            }
        }
    }
}

/// Acts under the duty no longer; whether this node held it.
fn stop_acting(controller: &Controller, lease_name: &'static str) -> bool {
    let was_held = controller.leases.with(lease_name, |h| h.drop_lease());
    if was_held {
        fleet_core::log_event!(controller.log, Event::LeaseReleased, "duty" => lease_name);
    }
    was_held
}

async fn try_acquire(controller: &Arc<Controller>, lease_name: &'static str, policy: LeasePolicy) {
    let free = || {
        controller.leases.grantor.lock().is_free(lease_name, &controller.node.name, Instant::now())
    };
    if !free() || !controller.acceptor.lock().votes() || controller.disk_broken() {
        return;
    }
    // those that find it free at the same time don't all ask at once
    tokio::time::sleep(Duration::from_millis(50 + controller.random_below(400))).await;
    if !free() || *controller.shutting_down().borrow() {
        return;
    }
    acquire(controller, lease_name, policy).await;
}

async fn acquire(controller: &Arc<Controller>, lease_name: &'static str, policy: LeasePolicy) {
    let requested_at = Instant::now();
    if !request_grants(controller, lease_name, false, constants::PHASE_TIMEOUT).await {
        withdraw(controller, lease_name).await;
        return;
    }
    let granted = Instant::now();
    let id = controller.leases.with(lease_name, |h| h.raise());
    let c = raise(controller, lease_name, id, false).await;
    if c.outcome() != Outcome::Done {
        withdraw(controller, lease_name).await;
        return;
    }
    let alone = c.holder == controller.node.name;
    controller
        .leases
        .with(lease_name, |h| h.acquired(requested_at, granted, c.number, alone, policy));
    fleet_core::log_event!(controller.log, Event::LeaseAcquired, "duty" => lease_name, "fence" => c.number);
}

/// Puts on record that this node acts from now on; without that nobody lets its lease pass. A raise that
/// is not the newest any more can't be recorded: the lease is asked for anew.
async fn record(controller: &Arc<Controller>, lease_name: &'static str, id: RaiseId) {
    match raise(controller, lease_name, id, true).await.outcome() {
        Outcome::Done => controller.leases.with(lease_name, |h| h.recorded(id)),
        Outcome::Stale => {
            stop_acting(controller, lease_name);
        }
        Outcome::Unknown | Outcome::Unproven | Outcome::Invalid => {}
    }
}

async fn raise(
    controller: &Arc<Controller>,
    lease_name: &str,
    id: RaiseId,
    acts: bool,
) -> ChangeResponse {
    let raise = RaiseFencingToken {
        lease_name: lease_name.to_owned(),
        holder: controller.node.name.clone(),
        id,
        acts,
    };
    forward::submit(controller, ChangeKind::Raise(raise)).await
}
