//! Links to the other controllers, and what their handshakes tell.

use crate::process::Process;
use fleet_core::link::Link;
use fleet_core::node::{Role, id_of};
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
    /// The member's number in ballots.
    pub member: u64,
    /// The link to it.
    pub link: Arc<Link>,
}

/// One link to each controller that this node needs. Tables whose order can change what is sent are ordered, so
/// that a simulated run can be repeated. All locks are leaves.
pub struct PeerLinks {
    process: Arc<Process>,
    transport: Arc<dyn Transport>,
    links: Mutex<BTreeMap<Ipv4Addr, Arc<Link>>>,
    /// No link comes up any more.
    closed: AtomicBool,
    /// The zone in the handshake of each address.
    zones: Mutex<BTreeMap<Ipv4Addr, String>>,
    /// Controllers that opened links to this node: all that one with an empty disk may have, where the seeds of
    /// its settings no longer exist.
    callers: Mutex<BTreeSet<Ipv4Addr>>,
    incarnations: Mutex<HashMap<String, Incarnations>>,
}

/// Incarnations of one address. Those before a disk loss are retired, with all they had on the way.
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
    /// No links as yet.
    pub fn new(process: Arc<Process>, transport: Arc<dyn Transport>) -> PeerLinks {
        PeerLinks {
            process,
            transport,
            links: Mutex::default(),
            closed: AtomicBool::new(false),
            zones: Mutex::default(),
            callers: Mutex::default(),
            incarnations: Mutex::default(),
        }
    }

    /// Keeps a link to each member and, while this node does not vote, to the seeds and to the controllers that
    /// linked to it.
    pub fn relink(&self, membership: &Membership, votes: bool) {
        let settings = self.process.settings();
        let mut wanted: BTreeSet<Ipv4Addr> =
            membership.members.iter().filter_map(Member::addr).collect();
        if votes {
            self.callers.lock().clear();
        } else {
            wanted.extend(settings.seeds.iter().filter_map(|seed| ipv4(seed.ip())));
            wanted.extend(self.callers.lock().iter().copied());
        }
        wanted.remove(&self.process.node.ip);
        let mut links = self.links.lock();
        if self.closed.load(Ordering::Relaxed) {
            return;
        }
        links.retain(|ip, _| wanted.contains(ip));
        for ip in wanted {
            let address = settings.peer_addr(ip.into());
            let keep =
                || Link::keep_over(self.transport.clone(), &self.process.node, address, None);
            links.entry(ip).or_insert_with(keep);
        }
    }

    /// Drops all links for good.
    pub fn close(&self) {
        let mut links = self.links.lock();
        self.closed.store(true, Ordering::Relaxed);
        links.clear();
    }

    /// All links, by address.
    pub fn all(&self) -> Vec<(Ipv4Addr, Arc<Link>)> {
        self.links.lock().iter().map(|(ip, link)| (*ip, link.clone())).collect()
    }

    /// The link to an address.
    pub fn get(&self, ip: Ipv4Addr) -> Option<Arc<Link>> {
        self.links.lock().get(&ip).cloned()
    }

    /// Links to these members but this node.
    pub fn to(&self, members: &[Member]) -> Vec<MemberLink> {
        let links = self.links.lock();
        let link = |member: &Member| {
            let ip = member.addr()?;
            Some(MemberLink { member: id_of(ip), link: links.get(&ip)?.clone() })
        };
        members.iter().filter_map(link).collect()
    }

    /// The zone in the handshake of a process at this address.
    pub fn zone_of(&self, ip: Ipv4Addr) -> Option<String> {
        self.zones.lock().get(&ip).cloned()
    }

    /// A process has linked to this node. A router has an incarnation of its own beside the controller of its
    /// machine, which no disk loss ends.
    pub fn register(&self, handshake: &Handshake) {
        let ip: Option<Ipv4Addr> = handshake.ip.parse().ok();
        if handshake.role == Role::Controller as u32 {
            self.callers.lock().extend(ip);
            let mut incarnations = self.incarnations.lock();
            let of_address = incarnations.entry_ref(handshake.ip.as_str()).or_default();
            of_address.observed.insert(handshake.incarnation);
        }
        if let Some(ip) = ip {
            self.zones.lock().insert(ip, handshake.zone.clone());
        }
    }

    /// A controller came back with an empty disk: all its incarnations but this one are retired.
    pub fn retire_incarnations(&self, ip: &str, but: u64) {
        let mut incarnations = self.incarnations.lock();
        let of_address = incarnations.entry_ref(ip).or_default();
        let former = of_address.observed.iter().copied().filter(|incarnation| *incarnation != but);
        of_address.retired.extend(former);
    }

    /// Whether a process was retired by a later one of its address that came with an empty disk.
    pub fn is_retired(&self, handshake: &Handshake) -> bool {
        let incarnations = self.incarnations.lock();
        let of_address = incarnations.get(&handshake.ip);
        of_address.is_some_and(|of_address| of_address.retired.contains(&handshake.incarnation))
    }
}
