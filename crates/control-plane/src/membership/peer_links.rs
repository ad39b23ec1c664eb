//! Links to the other controllers, and facts learned from the handshakes of linked processes.

use crate::process::Process;
use fleet_core::link::Link;
use fleet_core::node::{Role, node_id_of};
use fleet_core::transport::Transport;
use fleet_core::wire::{Handshake, Member, Membership};
use hashbrown::{HashMap, HashSet};
use parking_lot::Mutex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The link to a member.
#[derive(Clone)]
pub struct MemberLink {
    /// Node ID of the member, as used in ballots.
    pub member_id: u64,
    /// The link to it.
    pub link: Arc<Link>,
}

/// Links from this node to other controllers, one for each. Maps whose iteration order affects what is sent are
/// ordered, so that simulated runs are reproducible. No other lock is taken while one of its locks is held.
pub struct PeerLinks {
    process: Arc<Process>,
    transport: Arc<dyn Transport>,
    links: Mutex<BTreeMap<Ipv4Addr, Arc<Link>>>,
    /// Set by `close`; no link is opened afterwards.
    closed: AtomicBool,
    /// Zones by address, from the handshakes.
    zones: Mutex<BTreeMap<Ipv4Addr, String>>,
    /// Controllers that opened links to this node. A node with an empty disk may know no others, if the seeds in its
    /// settings no longer exist.
    inbound_controllers: Mutex<BTreeSet<Ipv4Addr>>,
    incarnations: Mutex<HashMap<String, Incarnations>>,
}

/// Incarnations of the controller at one address. Those from before a disk loss are retired: messages of theirs that
/// are still in flight are rejected.
#[derive(Default)]
struct Incarnations {
    observed: HashSet<u64>,
    retired: HashSet<u64>,
}

fn ipv4(address: IpAddr) -> Option<Ipv4Addr> {
    match address {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    }
}

impl PeerLinks {
    /// Creates a set without links.
    pub fn new(process: Arc<Process>, transport: Arc<dyn Transport>) -> PeerLinks {
        PeerLinks {
            process,
            transport,
            links: Mutex::default(),
            closed: AtomicBool::new(false),
            zones: Mutex::default(),
            inbound_controllers: Mutex::default(),
            incarnations: Mutex::default(),
        }
    }

    /// Opens and closes links so that there is one to each member and, while this node does not vote, to each seed and
    /// to each controller that opened a link to this node.
    pub fn relink(&self, membership: &Membership, votes: bool) {
        let settings = self.process.settings();
        let mut required: BTreeSet<Ipv4Addr> =
            membership.members.iter().filter_map(Member::addr).collect();
        if votes {
            self.inbound_controllers.lock().clear();
        } else {
            required.extend(settings.seeds.iter().filter_map(|seed| ipv4(seed.ip())));
            required.extend(self.inbound_controllers.lock().iter().copied());
        }
        required.remove(&self.process.node.ip);
        let mut links = self.links.lock();
        if self.closed.load(Ordering::Relaxed) {
            return;
        }
        links.retain(|ip, _| required.contains(ip));
        for ip in required {
            let address = settings.peer_addr(ip.into());
            let open =
                || Link::maintain_over(self.transport.clone(), &self.process.node, address, None);
            links.entry(ip).or_insert_with(open);
        }
    }

    /// Closes all links; no link is opened afterwards.
    pub fn close(&self) {
        let mut links = self.links.lock();
        self.closed.store(true, Ordering::Relaxed);
        links.clear();
    }

    /// All links, ordered by address.
    pub fn all(&self) -> Vec<(Ipv4Addr, Arc<Link>)> {
        self.links.lock().iter().map(|(ip, link)| (*ip, link.clone())).collect()
    }

    /// The link to the controller at an address, whether or not it is up.
    pub fn get(&self, ip: Ipv4Addr) -> Option<Arc<Link>> {
        self.links.lock().get(&ip).cloned()
    }

    /// Links to those of these members that there is a link to; this node itself is left out.
    pub fn links_to(&self, members: &[Member]) -> Vec<MemberLink> {
        let links = self.links.lock();
        let link = |member: &Member| {
            let ip = member.addr()?;
            Some(MemberLink { member_id: node_id_of(ip), link: links.get(&ip)?.clone() })
        };
        members.iter().filter_map(link).collect()
    }

    /// Zone reported in the latest handshake from an address.
    pub fn zone_of(&self, ip: Ipv4Addr) -> Option<String> {
        self.zones.lock().get(&ip).cloned()
    }

    /// Records the handshake of a process that opened a link to this node. Incarnations are recorded of controllers
    /// only: a router on the same machine has an incarnation of its own, which a disk loss does not retire.
    pub fn register(&self, handshake: &Handshake) {
        let ip: Option<Ipv4Addr> = handshake.ip.parse().ok();
        if handshake.role == Role::Controller as u32 {
            self.inbound_controllers.lock().extend(ip);
            let mut incarnations = self.incarnations.lock();
            let of_address = incarnations.entry_ref(handshake.ip.as_str()).or_default();
            of_address.observed.insert(handshake.incarnation);
        }
        if let Some(ip) = ip {
            self.zones.lock().insert(ip, handshake.zone.clone());
        }
    }

    /// Retires all observed incarnations of the controller at an address except the current one. Called when a
    /// controller has restarted with an empty disk.
    pub fn retire_incarnations(&self, ip: &str, current: u64) {
        let mut incarnations = self.incarnations.lock();
        let of_address = incarnations.entry_ref(ip).or_default();
        let others =
            of_address.observed.iter().copied().filter(|incarnation| *incarnation != current);
        of_address.retired.extend(others);
    }

    /// Whether an incarnation was retired, because a later one at its address started with an empty disk.
    pub fn is_retired(&self, handshake: &Handshake) -> bool {
        let incarnations = self.incarnations.lock();
        let of_address = incarnations.get(&handshake.ip);
        of_address.is_some_and(|of_address| of_address.retired.contains(&handshake.incarnation))
    }
}
