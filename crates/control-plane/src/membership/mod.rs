//! The other controllers: links, joining, exchange of a lost member; and the peer_service that answers.

mod candidates;
mod failure_domains;
pub mod load_reports;
mod peer_service;
pub mod quorum_contact;
mod reconfiguration;
mod recovery;
mod register_reads;
mod replacement;
pub mod state_transfer;

pub use peer_service::PeerService;
pub use reconfiguration::{initial_membership, run_join, run_replacement};

use fleet_core::link::Link;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// When a router was last heard.
pub struct RouterStatus {
    /// the process that was heard
    pub incarnation: u64,
    /// when
    pub last_heartbeat: tokio::time::Instant,
}

/// Who else there is. Tables whose order can change what is sent are ordered.
#[derive(Default)]
pub struct Peers {
    links: parking_lot::Mutex<BTreeMap<Ipv4Addr, Arc<Link>>>,
    /// no link comes up any more
    unlinked: std::sync::atomic::AtomicBool,
    zones: parking_lot::Mutex<BTreeMap<Ipv4Addr, String>>,
    /// controllers that opened links to here: all that an empty disk may have, where the seeds have gone
    callers: parking_lot::Mutex<BTreeSet<Ipv4Addr>>,
    incarnations: parking_lot::Mutex<hashbrown::HashMap<String, Incarnations>>,
    candidates: parking_lot::Mutex<candidates::Candidates>,
    /// loads of engines, as routers and controllers tell them
    pub load_reports: load_reports::LoadReports,
    /// values that other members read back from here
    pub state_transfers: state_transfer::StateTransfers,
    /// routers that are linked, by incarnation
    pub router_links: parking_lot::Mutex<BTreeMap<u64, fleet_core::link::Peer>>,
    /// routers that were heard lately, by name
    pub routers: parking_lot::Mutex<BTreeMap<String, RouterStatus>>,
}

/// Incarnations of one address; those before an empty disk are dead, with all they had on the way.
#[derive(Default)]
struct Incarnations {
    seen: hashbrown::HashSet<u64>,
    retired: hashbrown::HashSet<u64>,
}

impl Peers {
    /// Keeps one link to each member and, without a vote, to the seeds and to the controllers that call.
    pub fn relink(&self, controller: &crate::Controller) {
        let p = controller.settings();
        let mut want = BTreeSet::<Ipv4Addr>::new();
        want.extend(
            controller.acceptor.lock().membership().members.iter().filter_map(|m| m.addr()),
        );
        if !controller.acceptor.lock().votes() {
            want.extend(p.seeds.iter().filter_map(|a| match a.ip() {
                std::net::IpAddr::V4(ip) => Some(ip),
                std::net::IpAddr::V6(_) => None,
            }));
            want.extend(self.callers.lock().iter().copied());
        } else {
            self.callers.lock().clear();
        }
        want.remove(&controller.node.ip);
        let mut links = self.links.lock();
        if self.unlinked.load(Ordering::Relaxed) {
            return;
        }
        links.retain(|ip, _| want.contains(ip));
        for ip in want {
            let keep = || {
                Link::keep_over(
                    controller.transport.clone(),
                    &controller.node,
                    p.peer_addr(ip.into()),
                    None,
                )
            };
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
    pub fn register(&self, handshake: &fleet_core::wire::Handshake) {
        let ip: Option<Ipv4Addr> = handshake.ip.parse().ok();
        if handshake.role == fleet_core::node::Role::Controller as u32 {
            self.callers.lock().extend(ip);
            self.incarnations
                .lock()
                .entry_ref(handshake.ip.as_str())
                .or_default()
                .seen
                .insert(handshake.incarnation);
        }
        if let Some(ip) = ip {
            self.zones.lock().insert(ip, handshake.zone.clone());
        }
    }

    /// An incarnation that came back with an empty disk ends all earlier ones of its address.
    pub fn retire_incarnations(&self, ip: &str, but: u64) {
        let mut l = self.incarnations.lock();
        let l = l.entry_ref(ip).or_default();
        let retired: Vec<u64> = l.seen.iter().copied().filter(|x| *x != but).collect();
        l.retired.extend(retired);
    }

    /// Whether a process was ended by a later one of its address that came with an empty disk.
    pub fn is_retired(&self, handshake: &fleet_core::wire::Handshake) -> bool {
        self.incarnations
            .lock()
            .get(&handshake.ip)
            .is_some_and(|l| l.retired.contains(&handshake.incarnation))
    }
}

impl crate::Controller {
    /// Links to these members but the own one.
    pub fn links_to(&self, members: &[fleet_core::wire::Member]) -> Vec<(u64, Arc<Link>)> {
        let links = self.peers.links.lock();
        members
            .iter()
            .filter_map(|m| {
                let ip = m.addr()?;
                Some((u64::from(u32::from(ip)), links.get(&ip)?.clone()))
            })
            .collect()
    }
}
