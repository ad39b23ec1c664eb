//! Dispatches messages from routers and other controllers to the components that handle them.
//!
//! Messages of a controller's former incarnation whose disk has been lost since are dropped, because its votes no
//! longer count.

use super::routers::Routers;
use super::{MembershipManager, load_reports::LoadReports, peer_links::PeerLinks, register_reads};
use crate::cluster_state::{ClusterStateStore, StateChange};
use crate::config_distribution::ConfigDistribution;
use crate::consensus::{Consensus, forward, resignation};
use crate::engines::registry::{EngineRegistry, HeartbeatSource};
use crate::index_owner::{IndexOwnership, Reader};
use crate::leases::LeaseManager;
use crate::process::Process;
use fleet_core::constants;
use fleet_core::link::{LinkBudgets, LinkError, Peer, PeerHandler};
use fleet_core::log::Event;
use fleet_core::node::Role;
use fleet_core::wire::{
    Accept, Body, ChangeRequest, CommitNotice, Empty, EngineHeartbeats, FleetUpdate, JoinRequest,
    JoinResponse, Prepare, ReadBallots, RecoverRequest, RingRequest, Vote,
};
use std::sync::Arc;
use tokio::sync::{Semaphore, SemaphorePermit};

/// The components that handle messages.
pub struct PeerServiceDependencies {
    /// Identity, settings and log of this process.
    pub process: Arc<Process>,
    /// Links from this node, and handshakes of processes that linked to it.
    pub links: Arc<PeerLinks>,
    /// Linked routers.
    pub routers: Arc<Routers>,
    /// Handles votes, changes and reads.
    pub consensus: Arc<Consensus>,
    /// Handles join requests and recoveries.
    pub membership: Arc<MembershipManager>,
    /// Grants leases.
    pub leases: Arc<LeaseManager>,
    /// Receives engine heartbeats shared by other controllers.
    pub registry: Arc<EngineRegistry>,
    /// Source of the updates pushed to routers.
    pub cluster_state: Arc<ClusterStateStore>,
    /// Serves configurations to routers.
    pub distribution: Arc<ConfigDistribution>,
    /// Receives engine loads.
    pub load_reports: Arc<LoadReports>,
    /// Owner or relay of the invalidation ring.
    pub index: Arc<IndexOwnership>,
}

/// Handler of the links that routers and other controllers open to this controller.
pub struct PeerService {
    dependencies: PeerServiceDependencies,
    /// Limits how many complete states are in flight to routers. Each stays in memory until it is sent, and hundreds of
    /// routers may link at once.
    complete_state_permits: Arc<Semaphore>,
}

impl PeerService {
    /// Creates a service that dispatches to the given components.
    pub fn new(dependencies: PeerServiceDependencies) -> PeerService {
        let complete_state_permits = Arc::new(Semaphore::new(constants::COMPLETE_STATES_IN_FLIGHT));
        PeerService { dependencies, complete_state_permits }
    }
}

impl PeerHandler for PeerService {
    fn connected(self: &Arc<Self>, peer: &Peer) {
        self.dependencies.links.register(&peer.handshake);
        if peer.handshake.role == Role::Router as u32 {
            self.dependencies.routers.connected(peer);
            // The task ends when the link is closed.
            let updates = RouterUpdates {
                cluster_state: self.dependencies.cluster_state.clone(),
                complete_state_permits: self.complete_state_permits.clone(),
                peer: peer.clone(),
            };
            tokio::spawn(updates.run());
        }
    }

    fn disconnected(self: &Arc<Self>, peer: &Peer) {
        self.dependencies.routers.disconnected(peer);
    }

    async fn answer(self: &Arc<Self>, peer: &Peer, body: Body) -> Option<Body> {
        let dependencies = &self.dependencies;
        if dependencies.links.is_retired(&peer.handshake) {
            fleet_core::log_event!(dependencies.process.log, Event::PeerRejected,
                "from" => &peer.handshake.ip, "why" => "former incarnation");
            return None;
        }
        match body {
            Body::Prepare(request) => self.prepare(&request).await,
            Body::Accept(request) => self.accept(&request).await,
            Body::PreVoteRequest(request) => {
                Some(Body::PreVoteResponse(dependencies.consensus.pre_vote(&request)))
            }
            Body::OwnerResigned(_) => self.owner_resigned(peer),
            Body::ReadBallots(request) => self.read_ballots(&request).await,
            Body::RecoverRequest(request) => self.begin_recovery(peer, &request).await,
            Body::ValueChunkRequest(request) => {
                let chunk = dependencies.membership.value_chunk(&peer.handshake.ip, &request);
                Some(Body::ValueChunk(chunk))
            }
            Body::RegisterRequest(request) => {
                let response = register_reads::answer_read(&dependencies.consensus, &request);
                Some(Body::RegisterResponse(response))
            }
            Body::ConfigRequest(request) => {
                Some(Body::ConfigResponse(dependencies.distribution.answer(&request).await))
            }
            Body::CommitNotice(notice) => self.commit_notice(&notice).await,
            Body::ChangeRequest(request) => self.change(&request).await,
            Body::LeaseRequest(request) => {
                Some(Body::LeaseResponse(dependencies.leases.grant(&request)))
            }
            Body::EngineHeartbeats(heartbeats) => self.engine_heartbeats(heartbeats),
            Body::JoinRequest(request) => self.join(request),
            Body::RouterHeartbeat(_) => self.router_heartbeat(peer),
            Body::CachedPrefixes(found) => {
                dependencies.index.record_findings(found);
                None
            }
            Body::LoadReport(report) => {
                dependencies.load_reports.record(peer, report);
                None
            }
            Body::RingRequest(request) => self.ring(peer, &request),
            Body::FleetUpdate(update) => self.owner_head(peer, update),
            _ => None,
        }
    }

    fn link_budgets(&self) -> LinkBudgets {
        self.dependencies.process.node.link_budgets.clone()
    }

    fn message_rejected(self: &Arc<Self>, error: &LinkError) {
        let log = &self.dependencies.process.log;
        fleet_core::log_event!(log, Event::PeerRejected, "why" => error.to_string());
    }
}

impl PeerService {
    async fn prepare(&self, request: &Prepare) -> Option<Body> {
        let vote = self.dependencies.consensus.vote(|acceptor| acceptor.prepare(request)).await;
        self.record_progress(&request.key, vote.as_ref());
        vote.map(Body::Vote)
    }

    async fn accept(&self, request: &Accept) -> Option<Body> {
        let vote = self.dependencies.consensus.vote(|acceptor| acceptor.accept(request)).await;
        self.record_progress(&request.key, vote.as_ref());
        vote.map(Body::Vote)
    }

    /// Records that the key's owner makes progress: a voter that has just voted for an owner takes part in no election
    /// for a while.
    fn record_progress(&self, key: &str, vote: Option<&Vote>) {
        if vote.is_some_and(|vote| vote.granted) {
            self.dependencies.consensus.record_progress(key);
        }
    }

    fn owner_resigned(&self, peer: &Peer) -> Option<Body> {
        resignation::record_resignation(
            &self.dependencies.consensus,
            peer.handshake.ip.parse().ok()?,
        );
        Some(Body::Acknowledged(Empty {}))
    }

    async fn read_ballots(&self, request: &ReadBallots) -> Option<Body> {
        let values = request.values;
        let report =
            self.dependencies.consensus.vote(|acceptor| acceptor.read_ballots(values)).await;
        report.map(Body::BallotReport)
    }

    /// Handles the start of a member's recovery. If the membership matches, messages of the member's former
    /// incarnations are dropped from now on.
    async fn begin_recovery(&self, peer: &Peer, request: &RecoverRequest) -> Option<Body> {
        let consensus = &self.dependencies.consensus;
        let report = if request.membership == consensus.membership_epoch() {
            self.dependencies.links.retire_incarnations(&peer.handshake.ip, request.incarnation);
            let recovery_epoch = request.recovery_epoch;
            consensus.vote(|acceptor| acceptor.begin_state_transfer(recovery_epoch)).await
        } else {
            consensus.vote(|acceptor| acceptor.read_ballots(false)).await
        };
        report.map(Body::BallotReport)
    }

    async fn commit_notice(&self, notice: &CommitNotice) -> Option<Body> {
        self.dependencies.consensus.on_commit_notice(notice).await;
        None
    }

    async fn change(&self, request: &ChangeRequest) -> Option<Body> {
        let response = forward::submit_forwarded(&self.dependencies.consensus, request).await;
        Some(Body::ChangeResponse(response))
    }

    fn engine_heartbeats(&self, heartbeats: EngineHeartbeats) -> Option<Body> {
        let registry = &self.dependencies.registry;
        for engine in heartbeats.engines {
            registry.record_heartbeat(engine, HeartbeatSource::Controller);
        }
        let engines = if heartbeats.request_all { registry.engines_to_share() } else { Vec::new() };
        Some(Body::EngineHeartbeats(EngineHeartbeats { engines, request_all: false }))
    }

    fn join(&self, request: JoinRequest) -> Option<Body> {
        self.dependencies.membership.on_join_request(request);
        let membership = Some(self.dependencies.consensus.membership());
        Some(Body::JoinResponse(JoinResponse { membership }))
    }

    fn router_heartbeat(&self, peer: &Peer) -> Option<Body> {
        let live = self.dependencies.routers.record_heartbeat(peer);
        if self.dependencies.cluster_state.read(|state| state.routers) != live {
            self.dependencies.cluster_state.append(StateChange::Routers(live));
        }
        Some(Body::Acknowledged(Empty {}))
    }

    /// Answers a reader of the invalidation ring, unless too many earlier messages to it are still unsent; it asks
    /// again.
    fn ring(&self, peer: &Peer, request: &RingRequest) -> Option<Body> {
        if peer.backlog() >= constants::SLOW_READER_QUEUE_FRAMES {
            return None;
        }
        let is_relay = peer.handshake.role == Role::Controller as u32;
        let reader = if is_relay { Reader::Relay } else { Reader::Router };
        Some(Body::RingResponse(self.dependencies.index.answer_reader(request, reader)))
    }

    /// Records the ring head announced by another controller that owns the index.
    fn owner_head(&self, peer: &Peer, update: FleetUpdate) -> Option<Body> {
        if peer.handshake.role == Role::Controller as u32
            && let Some(head) = update.ring
        {
            self.dependencies.index.record_owner_head(head);
        }
        None
    }
}

/// Pushes updates to one router as they occur. For a router that reads slowly, they are combined into one update, sent
/// once its backlog has shrunk.
struct RouterUpdates {
    cluster_state: Arc<ClusterStateStore>,
    complete_state_permits: Arc<Semaphore>,
    peer: Peer,
}

impl RouterUpdates {
    /// Pushes updates until the link is closed.
    async fn run(self) {
        let mut changes = self.cluster_state.subscribe();
        let mut position = None;
        while !self.peer.is_closed() {
            changes.borrow_and_update();
            self.wait_for_backlog_below(constants::SLOW_READER_QUEUE_FRAMES).await;
            let Some(pushed) = self.push_since(position).await else { continue };
            position = Some(pushed);
            tokio::select! {
                biased;
                changed = changes.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(constants::ROUTER_TIMEOUT) => {}
            }
        }
    }

    /// Pushes what changed since a position. Returns the position that the router is up to date with, or `None` if the
    /// link did not accept the update.
    async fn push_since(&self, position: Option<u64>) -> Option<u64> {
        let permit = self.permit_for_complete_state(position).await;
        let (head, update) = self.cluster_state.update_since(position);
        if let Some(update) = update {
            self.peer.push(Body::FleetUpdate(update)).ok()?;
        }
        if permit.is_some() {
            // A router that is cut off by a network partition must not delay the others.
            let drained = self.wait_for_backlog_below(1);
            let _ = tokio::time::timeout(constants::COMPLETE_STATE_TIMEOUT, drained).await;
        }
        Some(head)
    }

    /// If the router needs the complete state, waits for a permit to send one.
    async fn permit_for_complete_state(
        &self,
        position: Option<u64>,
    ) -> Option<SemaphorePermit<'_>> {
        if !self.cluster_state.needs_complete_state(position) {
            return None;
        }
        // The semaphore is never closed.
        self.complete_state_permits.acquire().await.ok()
    }

    /// Waits until fewer than `frames` frames are queued for the router, or the link is closed.
    async fn wait_for_backlog_below(&self, frames: usize) {
        while self.peer.backlog() >= frames && !self.peer.is_closed() {
            tokio::time::sleep(constants::SLOW_READER_POLL_INTERVAL).await;
        }
    }
}
