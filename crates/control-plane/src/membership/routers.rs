//! Routers that are linked to this controller, and their liveness.

use fleet_core::constants;
use fleet_core::link::Peer;
use fleet_core::wire::Body;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Linked routers, and the time of each router's last heartbeat. No other lock is taken while one of its locks is held.
#[derive(Default)]
pub struct Routers {
    /// Links by incarnation.
    links: Mutex<BTreeMap<u64, Peer>>,
    /// Routers with a recent heartbeat, by name.
    live: Mutex<BTreeMap<String, LiveRouter>>,
    /// Notified when a link of a router has ended.
    disconnected: Notify,
}

struct LiveRouter {
    incarnation: u64,
    last_heartbeat: Instant,
}

impl Routers {
    /// Records the link of a router.
    pub fn connected(&self, peer: &Peer) {
        self.links.lock().insert(peer.handshake.incarnation, peer.clone());
    }

    /// Removes the link of a router. The router no longer counts as live, unless a later incarnation of it has sent a
    /// heartbeat.
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

    /// Waits until no router on a machine is linked; returns immediately if there is none.
    ///
    /// # Cancel safety
    ///
    /// Cancel safe: dropping the future has no effect.
    pub async fn wait_until_disconnected(&self, machine: Ipv4Addr) {
        let machine = machine.to_string();
        let is_linked = || self.links.lock().values().any(|peer| peer.handshake.ip == machine);
        loop {
            // Created before the check, so that a link ending between the check and the wait is not missed.
            let disconnected = self.disconnected.notified();
            if !is_linked() {
                return;
            }
            disconnected.await;
        }
    }

    /// Records a heartbeat; returns the number of live routers.
    pub fn record_heartbeat(&self, peer: &Peer) -> u32 {
        let mut live = self.live.lock();
        let incarnation = peer.handshake.incarnation;
        let router = LiveRouter { incarnation, last_heartbeat: Instant::now() };
        live.insert(peer.handshake.name.clone(), router);
        live.retain(|_, router| router.last_heartbeat.elapsed() < constants::ROUTER_TIMEOUT);
        live.len() as u32
    }

    /// Pushes a message to a router, if it is linked. The message is dropped if the link's queue is full.
    pub fn push(&self, incarnation: u64, body: Body) {
        if let Some(peer) = self.links.lock().get(&incarnation) {
            let _ = peer.push(body);
        }
    }

    /// Pushes a message to those of the given routers whose backlog is small. The others are skipped; they receive a
    /// newer message later.
    pub fn push_to_prompt_readers(&self, incarnations: &[u64], body: &Body) {
        let links = self.links.lock();
        for peer in incarnations.iter().filter_map(|incarnation| links.get(incarnation)) {
            if peer.backlog() < constants::SLOW_READER_QUEUE_FRAMES {
                let _ = peer.push(body.clone());
            }
        }
    }
}
