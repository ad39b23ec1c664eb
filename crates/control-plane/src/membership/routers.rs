//! The routers that are linked to this controller or lately were.

use fleet_core::constants;
use fleet_core::link::Peer;
use fleet_core::wire::Body;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Linked routers, and when each last sent a heartbeat. Both locks are leaves.
#[derive(Default)]
pub struct Routers {
    /// By incarnation.
    links: Mutex<BTreeMap<u64, Peer>>,
    /// By name.
    live: Mutex<BTreeMap<String, Live>>,
    /// Wakes those who wait for a router to go.
    disconnected: Notify,
}

struct Live {
    incarnation: u64,
    last_heartbeat: Instant,
}

impl Routers {
    /// A router has linked to this node.
    pub fn connected(&self, peer: &Peer) {
        self.links.lock().insert(peer.handshake.incarnation, peer.clone());
    }

    /// The link of a router has ended: it no longer counts as live, unless a later incarnation of it does.
    pub fn disconnected(&self, peer: &Peer) {
        let (name, incarnation) = (&peer.handshake.name, peer.handshake.incarnation);
        self.links.lock().remove(&incarnation);
        let mut live = self.live.lock();
        if live.get(name).is_some_and(|router| router.incarnation == incarnation) {
            live.remove(name);
        }
        drop(live);
        self.disconnected.notify_waiters();
    }

    /// Waits until no router of a machine is linked; returns at once if none is.
    ///
    /// # Cancel safety
    ///
    /// A wait that is dropped changes nothing.
    pub async fn wait_until_gone(&self, machine: Ipv4Addr) {
        let machine = machine.to_string();
        let is_linked = || self.links.lock().values().any(|peer| peer.handshake.ip == machine);
        loop {
            // taken before the look, so that an end between the two is not missed
            let disconnected = self.disconnected.notified();
            if !is_linked() {
                return;
            }
            disconnected.await;
        }
    }

    /// Takes in a heartbeat; returns how many routers are live now.
    pub fn record_heartbeat(&self, peer: &Peer) -> u32 {
        let mut live = self.live.lock();
        let incarnation = peer.handshake.incarnation;
        let router = Live { incarnation, last_heartbeat: Instant::now() };
        live.insert(peer.handshake.name.clone(), router);
        live.retain(|_, router| router.last_heartbeat.elapsed() < constants::ROUTER_TIMEOUT);
        live.len() as u32
    }

    /// Pushes a message to one router, if it is linked; what a full link refuses is lost.
    pub fn push(&self, incarnation: u64, body: Body) {
        if let Some(peer) = self.links.lock().get(&incarnation) {
            let _ = peer.push(body);
        }
    }

    /// Pushes a message to those of these routers that read what they are sent; the others get a newer one
    /// later.
    pub fn push_to_prompt_readers(&self, incarnations: &[u64], body: &Body) {
        let links = self.links.lock();
        for peer in incarnations.iter().filter_map(|incarnation| links.get(incarnation)) {
            if peer.backlog() < constants::SLOW_READER_BACKLOG {
                let _ = peer.push(body.clone());
            }
        }
    }
}
