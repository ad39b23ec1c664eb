//! Links to the controllers: views come in, signs of life go out.

use crate::Delivery;
use fleet_core::constants as k;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{Alive, Body, ConfigValue, Fetch};
use prost::Message;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The controllers to be linked with: the roster's, and the seeds while they may help.
fn wanted(d: &Delivery) -> hashbrown::HashSet<Ipv4Addr> {
    let mut out: hashbrown::HashSet<Ipv4Addr> =
        d.sight.roster.lock().members.iter().filter_map(|m| m.addr()).collect();
    let up = d.sight.links.lock().iter().filter(|(ip, l)| out.contains(*ip) && l.is_up()).count();
    if up == 0 {
        out.extend(d.params().seeds.iter().filter_map(|a| match a.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        }));
    }
    out
}

pub async fn watching(d: Arc<Delivery>) {
    loop {
        let want = wanted(&d);
        {
            let mut links = d.sight.links.lock();
            links.retain(|ip, _| want.contains(ip));
            for ip in want {
                links.entry(ip).or_insert_with(|| {
                    let (tx, rx) = tokio::sync::mpsc::channel(k::LINK_BACKLOG);
                    let link = Link::keep(&d.node, d.params().peer_addr(ip.into()), Some(tx));
                    tokio::spawn(hearing(d.clone(), Arc::downgrade(&link), rx));
                    link
                });
            }
        }
        let links: Vec<Arc<Link>> = d.sight.links.lock().values().cloned().collect();
        let alive = Alive {
            stamp: d.sight.table().map_or(0, |t| t.stamp),
            leaving: d.leaving.load(std::sync::atomic::Ordering::Relaxed),
        };
        for l in links {
            let alive = alive.clone();
            tokio::spawn(async move {
                let _ = l.call(Body::Alive(alive), k::ROUTER_BEAT).await;
            });
        }
        tokio::time::sleep(k::ROUTER_BEAT).await;
    }
}

async fn hearing(
    d: Arc<Delivery>,
    link: std::sync::Weak<Link>,
    mut rx: tokio::sync::mpsc::Receiver<Body>,
) {
    let Some(mut up) = link.upgrade().map(|l| l.watch()) else { return };
    loop {
        let body = tokio::select! {
            b = rx.recv() => b,
            changed = up.changed() => {
                if changed.is_ok() && !*up.borrow_and_update() {
                    d.sight.disturb();
                    fleet_core::note!(d.log, Event::LinkDown);
                }
                if changed.is_err() {
                    return;
                }
                continue;
            }
        };
        let v = match body {
            Some(Body::View(v)) => v,
            Some(Body::Loads(l)) => {
                d.sight.hear_loads(&l);
                continue;
            }
            Some(_) => continue,
            None => return,
        };
        if !d.sight.hear(&v) {
            continue;
        }
        let (d, link) = (d.clone(), link.clone());
        tokio::spawn(async move {
            for _ in 0..8 {
                let Some(l) = link.upgrade() else { return };
                if v.config <= d.sight.table().map_or(0, |t| t.stamp) || fetch(&d, &l).await {
                    return;
                }
                tokio::time::sleep(k::RELINK_PAUSE).await;
            }
        });
    }
}

/// Takes the configuration that a majority confirms.
async fn fetch(d: &Arc<Delivery>, link: &Link) -> bool {
    let ask = Body::Fetch(Fetch { key: "config".to_owned(), confirm: true });
    let Ok(Body::Fetched(f)) = link.call(ask, k::CHANGE_LIMIT * 2).await else { return false };
    let Some(v) = f.register.and_then(|r| ConfigValue::decode(r.value).ok()) else { return false };
    match super::table::Table::compile(&v.body, v.wall) {
        Ok(t) => {
            let stamp = t.stamp;
            if d.sight.set_table(t) {
                fleet_core::note!(d.log, Event::ConfigInForce, "stamp" => stamp);
            }
            true
        }
        Err(p) => {
            fleet_core::note!(d.log, Event::PeerRejected, "why" => p.to_string());
            false
        }
    }
}
