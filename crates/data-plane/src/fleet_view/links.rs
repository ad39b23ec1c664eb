//! Links to the controllers: views come in, signs of incarnation go out.

use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{Body, RouterHeartbeat};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The controllers to be linked with: the membership's, and the seeds while they may help.
fn wanted(d: &Router) -> hashbrown::HashSet<Ipv4Addr> {
    let mut out: hashbrown::HashSet<Ipv4Addr> =
        d.fleet_view.membership.lock().members.iter().filter_map(|m| m.addr()).collect();
    let up =
        d.fleet_view.links.lock().iter().filter(|(ip, l)| out.contains(*ip) && l.is_up()).count();
    if up == 0 {
        out.extend(d.settings().seeds.iter().filter_map(|a| match a.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        }));
    }
    out
}

/// Keeps the links to the controllers, and tells each once a second that this router is alive.
pub async fn watching(d: Arc<Router>) {
    loop {
        let want = wanted(&d);
        {
            let mut links = d.fleet_view.links.lock();
            links.retain(|ip, _| want.contains(ip));
            for ip in want {
                links.entry(ip).or_insert_with(|| {
                    let (tx, rx) = tokio::sync::mpsc::channel(constants::LINK_BACKLOG);
                    let link = Link::keep(&d.node, d.settings().peer_addr(ip.into()), Some(tx));
                    tokio::spawn(hearing(d.clone(), Arc::downgrade(&link), rx));
                    link
                });
            }
        }
        let links: Vec<Arc<Link>> = d.fleet_view.links.lock().values().cloned().collect();
        let heartbeat = RouterHeartbeat {
            version: d.fleet_view.table().map_or(0, |t| t.version),
            leaving: d.leaving.load(std::sync::atomic::Ordering::Relaxed),
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

async fn hearing(
    d: Arc<Router>,
    link: std::sync::Weak<Link>,
    mut rx: tokio::sync::mpsc::Receiver<Body>,
) {
    let Some(mut up) = link.upgrade().map(|l| l.watch()) else { return };
    loop {
        let body = tokio::select! {
            b = rx.recv() => b,
            changed = up.changed() => {
                if changed.is_ok() && !*up.borrow_and_update() {
                    d.fleet_view.disturb();
                    fleet_core::log_event!(d.log, Event::LinkDown);
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
                d.fleet_view.hear_loads(&l);
                continue;
            }
            Some(_) => continue,
            None => return,
        };
        d.fleet_view.hear(&v);
    }
}
