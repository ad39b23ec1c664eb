//! Links to the controllers: views come in, signs of incarnation go out.

use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{Body, FleetUpdate, RouterHeartbeat};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// The controllers to be linked with: the membership's, and the seeds while they may help.
fn addresses(router: &Router) -> hashbrown::HashSet<Ipv4Addr> {
    let mut out: hashbrown::HashSet<Ipv4Addr> =
        router.fleet_view.membership.lock().members.iter().filter_map(|m| m.addr()).collect();
    let up = router
        .fleet_view
        .links
        .lock()
        .iter()
        .filter(|(ip, l)| out.contains(*ip) && l.is_up())
        .count();
    if up == 0 {
        out.extend(router.settings().seeds.iter().filter_map(|a| match a.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        }));
    }
    out.extend(own_machine(router));
    out
}

/// The controller of this machine, if there is one: also where it is no member, it ends after this router only if it
/// is linked with it.
fn own_machine(router: &Router) -> Option<Ipv4Addr> {
    let settings = router.settings();
    settings.counted.then_some(settings.ip)
}

/// Keeps the links to the controllers, and sends each a heartbeat once a second.
pub async fn run_link_maintenance(router: Arc<Router>) {
    loop {
        let addresses = addresses(&router);
        {
            let mut links = router.fleet_view.links.lock();
            links.retain(|ip, _| addresses.contains(ip));
            for ip in addresses {
                links.entry(ip).or_insert_with(|| {
                    let (tx, rx) = tokio::sync::mpsc::channel(constants::LINK_BACKLOG);
                    let link =
                        Link::keep(&router.node, router.settings().peer_addr(ip.into()), Some(tx));
                    tokio::spawn(receive_updates(router.clone(), Arc::downgrade(&link), rx));
                    link
                });
            }
        }
        let links: Vec<Arc<Link>> = router.fleet_view.links.lock().values().cloned().collect();
        let heartbeat = RouterHeartbeat {
            version: router.fleet_view.routing_table().map_or(0, |t| t.version),
            shutting_down: router.is_shutting_down(),
        };
        for l in links {
            let heartbeat = heartbeat.clone();
            tokio::spawn(async move {
                let _ = l
                    .call(Body::RouterHeartbeat(heartbeat), constants::ROUTER_HEARTBEAT_INTERVAL)
                    .await;
            });
        }
        tokio::time::sleep(constants::ROUTER_HEARTBEAT_INTERVAL).await;
    }
}

/// Tells the loss of a controller from the loss of a connection to it.
///
/// A connection that is reset comes up again at the next try. A controller that has ended, or that is cut off, can't be
/// reached for longer: only that is evidence that a roll-out may be held up.
#[derive(Debug, Default)]
struct LossDetector {
    /// Since when the link has been down; none while it is up, or once its loss was returned.
    down_since: Option<Instant>,
}

impl LossDetector {
    fn link_changed(&mut self, is_up: bool, now: Instant) {
        self.down_since = (!is_up).then_some(now);
    }

    /// Waits until the controller counts as lost; returns since when, once for each loss.
    ///
    /// # Cancel safety
    ///
    /// A wait that is dropped changes nothing.
    async fn lost(&mut self) -> Instant {
        let Some(down_since) = self.down_since else { return std::future::pending().await };
        tokio::time::sleep_until(down_since + constants::CONTROLLER_LOSS_TIMEOUT).await;
        self.down_since = None;
        down_since
    }
}

async fn receive_updates(
    router: Arc<Router>,
    link: std::sync::Weak<Link>,
    mut rx: tokio::sync::mpsc::Receiver<Body>,
) {
    let Some(mut up) = link.upgrade().map(|l| l.watch()) else { return };
    let mut loss = LossDetector::default();
    loop {
        let body = tokio::select! {
            b = rx.recv() => b,
            changed = up.changed() => {
                if changed.is_err() {
                    return;
                }
                let is_up = *up.borrow_and_update();
                loss.link_changed(is_up, Instant::now());
                if !is_up {
                    fleet_core::log_event!(router.log, Event::LinkDown);
                }
                continue;
            }
            lost_since = loss.lost() => {
                router.fleet_view.disturb(lost_since);
                router.counters.controllers_lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
        };
        let v = match body {
            Some(Body::FleetUpdate(v)) => v,
            Some(Body::LoadReport(l)) => {
                router.fleet_view.update_loads(&l);
                continue;
            }
            Some(_) => continue,
            None => return,
        };
        log_new_targets(&router, &v);
        router.fleet_view.apply(&v);
    }
}

/// Says when this router learned of target weights that are newer than the ones it knows.
fn log_new_targets(router: &Router, update: &FleetUpdate) {
    for weights in &update.weights {
        let known = router.fleet_view.target_version(&weights.model).unwrap_or(0);
        if weights.version > known {
            fleet_core::log_event!(router.log, Event::TargetVersionLearned, "model" => &weights.model,
                "version" => weights.version, "age_ms" => weights.age_ms);
        }
    }
}

#[cfg(test)]
#[path = "links_tests.rs"]
mod tests;
