//! The other controllers: links, joining, exchange of a lost member; and the peer_service that answers.

mod exchange;
pub mod handover;
mod joiners;
pub mod loads;
mod membership;
mod peer_service;
mod recovery;
mod register_reads;
mod spread;

pub use membership::{exchanging, founding, joining};
pub use peer_service::PeerService;

use fleet_core::link::Link;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// When a router was last heard.
pub struct RouterSeen {
    /// the process that was heard
    pub incarnation: u64,
    /// when
    pub heard: tokio::time::Instant,
}

/// Who else there is. Tables whose order can change what is sent are ordered.
#[derive(Default)]
pub struct Members {
    links: parking_lot::Mutex<BTreeMap<Ipv4Addr, Arc<Link>>>,
    /// no link comes up any more
    unlinked: std::sync::atomic::AtomicBool,
    zones: parking_lot::Mutex<BTreeMap<Ipv4Addr, String>>,
    /// controllers that opened links to here: all that an empty disk may have, where the seeds have gone
    callers: parking_lot::Mutex<BTreeSet<Ipv4Addr>>,
    incarnations: parking_lot::Mutex<hashbrown::HashMap<String, Incarnations>>,
    joiners: parking_lot::Mutex<joiners::Joiners>,
    /// loads of engines, as routers and controllers tell them
    pub loads: loads::PeerService,
    /// values that other members read back from here
    pub handovers: handover::Handovers,
    /// routers that are linked, by incarnation
    pub router_links: parking_lot::Mutex<BTreeMap<u64, fleet_core::link::Peer>>,
    /// routers that were heard lately, by name
    pub routers: parking_lot::Mutex<BTreeMap<String, RouterSeen>>,
}

/// Incarnations of one address; those before an empty disk are dead, with all they had on the way.
#[derive(Default)]
struct Incarnations {
    seen: hashbrown::HashSet<u64>,
    dead: hashbrown::HashSet<u64>,
}

impl Members {
    /// Keeps one link to each member and, without a vote, to the seeds and to the controllers that call.
    pub fn relink(&self, s: &crate::Controller) {
        let p = s.settings();
        let mut want = BTreeSet::<Ipv4Addr>::new();
        want.extend(s.acceptor.lock().membership().members.iter().filter_map(|m| m.addr()));
        if !s.acceptor.lock().votes() {
            want.extend(p.seeds.iter().filter_map(|a| match a.ip() {
                std::net::IpAddr::V4(ip) => Some(ip),
                std::net::IpAddr::V6(_) => None,
            }));
            want.extend(self.callers.lock().iter().copied());
        } else {
            self.callers.lock().clear();
        }
        want.remove(&s.node.ip);
        let mut links = self.links.lock();
        if self.unlinked.load(Ordering::Relaxed) {
            return;
        }
        links.retain(|ip, _| want.contains(ip));
        for ip in want {
            let keep =
                || Link::keep_over(s.transport.clone(), &s.node, p.peer_addr(ip.into()), None);
            links.entry(ip).or_insert_with(keep);
        }
    }

    /// Drops all links for good.
    pub fn unlink(&self) {
        let mut links = self.links.lock();
        self.unlinked.store(true, Ordering::Relaxed);
        links.clear();
    }

    /// All links, by address.
    pub fn links(&self) -> Vec<(Ipv4Addr, Arc<Link>)> {
        self.links.lock().iter().map(|(ip, l)| (*ip, l.clone())).collect()
    }

    /// The link to an address.
    fn link(&self, ip: Ipv4Addr) -> Option<Arc<Link>> {
        self.links.lock().get(&ip).cloned()
    }

    /// The zone that a process at this address told.
    pub(crate) fn zone_of(&self, ip: Ipv4Addr) -> Option<String> {
        self.zones.lock().get(&ip).cloned()
    }

    /// A router of the same machine has an incarnation of its own, which no disk ends.
    pub fn enter(&self, hello: &fleet_core::wire::Handshake) {
        let ip: Option<Ipv4Addr> = hello.ip.parse().ok();
        if hello.role == fleet_core::node::Role::Controller as u32 {
            self.callers.lock().extend(ip);
            self.incarnations
                .lock()
                .entry_ref(hello.ip.as_str())
                .or_default()
                .seen
                .insert(hello.incarnation);
        }
        if let Some(ip) = ip {
            self.zones.lock().insert(ip, hello.zone.clone());
        }
    }

    /// An incarnation that came back with an empty disk ends all earlier ones of its address.
    pub fn bury(&self, ip: &str, but: u64) {
        let mut l = self.incarnations.lock();
        let l = l.entry_ref(ip).or_default();
        let dead: Vec<u64> = l.seen.iter().copied().filter(|x| *x != but).collect();
        l.dead.extend(dead);
    }

    /// Whether a process was ended by a later one of its address that came with an empty disk.
    pub fn is_dead(&self, hello: &fleet_core::wire::Handshake) -> bool {
        self.incarnations.lock().get(&hello.ip).is_some_and(|l| l.dead.contains(&hello.incarnation))
    }
}

impl crate::Controller {
    /// Links to these members but the own one.
    pub fn peers(&self, members: &[fleet_core::wire::Member]) -> Vec<(u64, Arc<Link>)> {
        let links = self.members.links.lock();
        members
            .iter()
            .filter_map(|m| {
                let ip = m.addr()?;
                Some((u64::from(u32::from(ip)), links.get(&ip)?.clone()))
            })
            .collect()
    }
}
