//! Who the controllers are: joining, replacement of lost members, recovery of lost disks, and the links.
//!
//! The membership is a key of the control state, so a change of it is a change like any other, decided by the
//! voters of the membership before it. One member changes at a time, and a quorum of the next membership always
//! votes already: a newcomer has to read the state first.
//!
//! | file | what it is | pure |
//! |---|---|---|
//! | `replacement`, `failure_domains` | which membership follows | yes |
//! | `candidates` | controllers that ask to be members | yes |
//! | `reconfiguration` | joins, and proposes the next membership | |
//! | `recovery` | reads the state back after a disk loss or a join | |
//! | `state_transfer` | the other side of that: values in chunks | |
//! | [`peer_links`], [`routers`] | links to controllers and from routers | |
//! | `peer_service` | answers what comes over links | |
//! | `register_reads`, `load_reports` | reads of a key by other processes; loads of engines | |

mod candidates;
mod failure_domains;
pub mod load_reports;
pub mod peer_links;
mod peer_service;
mod reconfiguration;
mod recovery;
mod register_reads;
mod replacement;
pub mod routers;
mod state_transfer;

pub use peer_service::{PeerService, PeerServiceParts};
pub use reconfiguration::{initial_membership, run_join, run_replacement};

use crate::consensus::Consensus;
use crate::leases::LeaseManager;
use crate::process::Process;
use candidates::Candidates;
use fleet_core::wire::{JoinRequest, Register, ValueChunk, ValueChunkRequest};
use parking_lot::Mutex;
use peer_links::PeerLinks;
use state_transfer::StateTransfers;
use std::net::IpAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// This node's part in keeping the membership. Its locks are leaves.
pub struct MembershipManager {
    process: Arc<Process>,
    consensus: Arc<Consensus>,
    links: Arc<PeerLinks>,
    /// A member that gets its vote back grants no leases for a while.
    leases: Arc<LeaseManager>,
    candidates: Mutex<Candidates>,
    /// Values that other members read back from here.
    state_transfers: StateTransfers,
}

impl MembershipManager {
    /// Nobody has asked for anything as yet.
    pub fn new(
        process: Arc<Process>,
        consensus: Arc<Consensus>,
        links: Arc<PeerLinks>,
        leases: Arc<LeaseManager>,
    ) -> MembershipManager {
        MembershipManager {
            process,
            consensus,
            links,
            leases,
            candidates: Mutex::default(),
            state_transfers: StateTransfers::default(),
        }
    }

    /// A controller asks to be a member; one that only observes is not remembered.
    pub fn on_join_request(&self, request: JoinRequest) {
        if request.member.ip.parse::<IpAddr>().is_ok() && !request.observes {
            self.candidates.lock().record(request, Instant::now());
        }
    }

    /// Part of an accepted value, for the member at `peer` that reads its state back.
    pub fn value_chunk(&self, peer: &str, request: &ValueChunkRequest) -> ValueChunk {
        let current: Option<Register> =
            self.consensus.with_acceptor(|acceptor| acceptor.register(&request.key).cloned());
        self.state_transfers.chunk(peer, request, current.as_ref())
    }
}
