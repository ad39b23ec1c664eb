//! Membership of the controllers: joining, replacement of failed members, recovery after a disk loss, and the links
//! between processes.
//!
//! The membership is stored in a replicated register, so it is changed like any other value, by a vote of the current
//! members. Each change concerns one member, and a quorum of the new membership always consists of members that vote
//! already, because a new member has to read the state before it can vote.
//!
//! | module | purpose | pure |
//! |---|---|---|
//! | `replacement`, `failure_domains` | chooses the next membership | yes |
//! | `candidates` | controllers that ask to become members | yes |
//! | `reconfiguration` | joins the cluster, and proposes membership changes | |
//! | `recovery` | reads the state from the other members after a disk loss or a join | |
//! | `state_transfer` | serves the state in chunks to a member in recovery | |
//! | [`peer_links`], [`routers`] | links to the other controllers, and links from routers | |
//! | `peer_service` | answers messages received over the links | |
//! | `register_reads`, [`load_reports`] | reads of single registers by other processes; loads of engines | |

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

pub use peer_service::{PeerService, PeerServiceDependencies};
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

/// Handles join requests and recoveries, and proposes membership changes. No other lock is taken while one of its locks
/// is held.
pub struct MembershipManager {
    process: Arc<Process>,
    consensus: Arc<Consensus>,
    links: Arc<PeerLinks>,
    /// A member that becomes a voter again has to withhold lease grants for a while.
    leases: Arc<LeaseManager>,
    candidates: Mutex<Candidates>,
    /// Transfers of values to members in recovery.
    state_transfers: StateTransfers,
}

impl MembershipManager {
    /// Creates a manager without candidates or transfers.
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

    /// Records a controller that asks to become a member. Observers, and requests with an invalid address, are ignored.
    pub fn on_join_request(&self, request: JoinRequest) {
        if request.member.ip.parse::<IpAddr>().is_ok() && !request.is_observer {
            self.candidates.lock().record(request, Instant::now());
        }
    }

    /// The requested chunk of an accepted value, for the member at address `peer` that is in recovery.
    pub fn value_chunk(&self, peer: &str, request: &ValueChunkRequest) -> ValueChunk {
        let current: Option<Register> =
            self.consensus.with_acceptor(|acceptor| acceptor.register(&request.key).cloned());
        self.state_transfers.chunk(peer, request, current.as_ref())
    }
}
