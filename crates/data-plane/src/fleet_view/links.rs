//! Links to the controllers: views come in, signs of incarnation go out.

use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{Body, FleetUpdate, RouterHeartbeat};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

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
    out
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

async fn receive_updates(
    router: Arc<Router>,
    link: std::sync::Weak<Link>,
    mut rx: tokio::sync::mpsc::Receiver<Body>,
) {
    let Some(mut up) = link.upgrade().map(|l| l.watch()) else { return };
    loop {
        let body = tokio::select! {
            b = rx.recv() => b,
            changed = up.changed() => {
                if changed.is_ok() && !*up.borrow_and_update() {
                    router.fleet_view.disturb();
                    router.counters.controllers_lost.fetch_add(1, Ordering::Relaxed);
                    fleet_core::log_event!(router.log, Event::LinkDown);
                }
                if changed.is_err() {
                    return;
                }
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
        let known = router.fleet_view.target(&weights.model).map_or(0, |target| target.version);
        if weights.version > known {
            fleet_core::log_event!(router.log, Event::TargetVersionLearned, "model" => &weights.model,
                "version" => weights.version, "age_ms" => weights.age_ms);
        }
    }
}
