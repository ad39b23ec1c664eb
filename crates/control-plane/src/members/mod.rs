//! The other controllers: links, joining, exchange of a lost member; and the peer_service that answers.

pub mod loads;
mod membership;
mod peer_service;

pub use membership::{exchanging, founding, is_first_alive, joining};
pub use peer_service::PeerService;

use fleet_core::link::Link;
use std::net::Ipv4Addr;
use std::sync::Arc;

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub struct RouterSeen {
    pub incarnation: u64,
    pub heard: tokio::time::Instant,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
#[derive(Default)]
pub struct Members {
    links: parking_lot::Mutex<hashbrown::HashMap<Ipv4Addr, Arc<Link>>>,
    zones: parking_lot::Mutex<hashbrown::HashMap<Ipv4Addr, String>>,
    incarnations: parking_lot::Mutex<hashbrown::HashMap<String, Incarnations>>,
    joiners: parking_lot::Mutex<
        hashbrown::HashMap<String, (fleet_core::wire::Member, tokio::time::Instant)>,
    >,
    pub loads: loads::PeerService,
    pub router_links: parking_lot::Mutex<hashbrown::HashMap<u64, fleet_core::link::Peer>>,
    pub routers: parking_lot::Mutex<hashbrown::HashMap<String, RouterSeen>>,
}

/// Incarnations of one address; those before an empty disk are dead, with all they had on the way.
#[derive(Default)]
struct Incarnations {
    seen: hashbrown::HashSet<u64>,
    dead: hashbrown::HashSet<u64>,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
impl Members {
    /// Keeps one link to each member and seed.
    pub fn relink(&self, s: &crate::Controller) {
        let p = s.settings();
        let mut want: hashbrown::HashSet<Ipv4Addr> = hashbrown::HashSet::new();
        want.extend(s.acceptor.lock().membership().members.iter().filter_map(|m| m.addr()));
        if !s.acceptor.lock().votes() {
            want.extend(p.seeds.iter().filter_map(|a| match a.ip() {
                std::net::IpAddr::V4(ip) => Some(ip),
                std::net::IpAddr::V6(_) => None,
            }));
        }
        want.remove(&s.node.ip);
        let mut links = self.links.lock();
        links.retain(|ip, _| want.contains(ip));
        for ip in want {
            links.entry(ip).or_insert_with(|| Link::keep(&s.node, p.peer_addr(ip.into()), None));
        }
    }

    pub fn links(&self) -> Vec<(Ipv4Addr, Arc<Link>)> {
        self.links.lock().iter().map(|(ip, l)| (*ip, l.clone())).collect()
    }

    /// A router of the same machine has an incarnation of its own, which no disk ends.
    pub fn enter(&self, hello: &fleet_core::wire::Hello) {
        if hello.role == fleet_core::node::Role::Controller as u32 {
            self.incarnations
                .lock()
                .entry_ref(hello.ip.as_str())
                .or_default()
                .seen
                .insert(hello.incarnation);
        }
        if let Ok(ip) = hello.ip.parse() {
            self.zones.lock().insert(ip, hello.zone.clone());
        }
    }

    /// A incarnation that came back with an empty disk ends all earlier ones of its address.
    pub fn bury(&self, ip: &str, but: u64) {
        let mut l = self.incarnations.lock();
        let l = l.entry_ref(ip).or_default();
        let dead: Vec<u64> = l.seen.iter().copied().filter(|x| *x != but).collect();
        l.dead.extend(dead);
    }

    pub fn is_dead(&self, hello: &fleet_core::wire::Hello) -> bool {
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
