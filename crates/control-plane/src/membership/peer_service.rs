//! Answers the messages of routers and other controllers.
//!
//! Each message is handed to the area that decides on it; nothing is decided here. Messages of a process
//! whose disk was replaced by an empty one are dropped, since its votes no longer count.

use super::{RouterStatus, reconfiguration, register_reads};
use crate::cluster_state::StateChange;
use crate::consensus::{forward, key_owner, resignation};
use crate::engines::registry;
use crate::{Controller, config_distribution, index_owner, leases};
use fleet_core::constants;
use fleet_core::link::{LinkError, Peer};
use fleet_core::log::Event;
use fleet_core::node::Role;
use fleet_core::wire::{
    Accept, Body, CachedPrefixes, ChangeRequest, CommitNotice, ConfigRequest, Empty,
    EngineHeartbeats, JoinRequest, JoinResponse, LoadReport, PreVoteRequest, Prepare, ReadBallots,
    RecoverRequest, RegisterRequest, RingRequest, ValueChunkRequest, Vote,
};
use std::sync::Arc;
use tokio::time::Instant;

/// The end of the links that routers and other controllers open to this one.
pub struct PeerService(pub Arc<Controller>);

impl fleet_core::link::PeerHandler for PeerService {
    fn connected(self: &Arc<Self>, peer: &Peer) {
        let controller = &self.0;
        controller.peers.register(&peer.handshake);
        if peer.handshake.role == Role::Router as u32 {
            controller.peers.router_links.lock().insert(peer.handshake.incarnation, peer.clone());
            tokio::spawn(push_updates(controller.clone(), peer.clone()));
        }
    }

    fn disconnected(self: &Arc<Self>, peer: &Peer) {
        let controller = &self.0;
        controller.peers.router_links.lock().remove(&peer.handshake.incarnation);
        let mut c = controller.peers.routers.lock();
        if c.get(&peer.handshake.name).is_some_and(|c| c.incarnation == peer.handshake.incarnation)
        {
            c.remove(&peer.handshake.name);
        }
    }

    async fn answer(self: &Arc<Self>, peer: &Peer, body: Body) -> Option<Body> {
        let controller = &self.0;
        if controller.peers.is_retired(&peer.handshake) {
            fleet_core::log_event!(controller.log, Event::PeerRejected, "from" => &peer.handshake.ip, "why" => "former incarnation");
            return None;
        }
        match body {
            Body::Prepare(request) => prepare(controller, &request).await,
            Body::Accept(request) => accept(controller, &request).await,
            Body::PreVoteRequest(request) => pre_vote(controller, &request),
            Body::OwnerResigned(_) => owner_resigned(controller, peer),
            Body::ReadBallots(request) => read_ballots(controller, &request).await,
            Body::RecoverRequest(request) => begin_recovery(controller, peer, &request).await,
            Body::ValueChunkRequest(request) => value_chunk(controller, peer, &request),
            Body::RegisterRequest(request) => register(controller, request),
            Body::ConfigRequest(request) => config(controller, &request).await,
            Body::CommitNotice(notice) => commit_notice(controller, &notice).await,
            Body::ChangeRequest(request) => change(controller, &request).await,
            Body::LeaseRequest(request) => {
                Some(Body::LeaseResponse(leases::grant(controller, &request)))
            }
            Body::EngineHeartbeats(heartbeats) => engine_heartbeats(controller, heartbeats),
            Body::JoinRequest(request) => join(controller, request),
            Body::RouterHeartbeat(_) => router_heartbeat(controller, peer),
            Body::CachedPrefixes(found) => cached_prefixes(controller, &found),
            Body::LoadReport(report) => load_report(controller, peer, report),
            Body::RingRequest(request) => ring(controller, peer, &request),
            _ => None,
        }
    }

    fn message_rejected(self: &Arc<Self>, error: &LinkError) {
        fleet_core::log_event!(self.0.log, Event::PeerRejected, "why" => error.to_string());
    }
}

async fn prepare(controller: &Arc<Controller>, request: &Prepare) -> Option<Body> {
    let vote = controller.vote(|acceptor| acceptor.prepare(request)).await;
    record_progress(controller, &request.key, vote.as_ref());
    vote.map(Body::Vote)
}

async fn accept(controller: &Arc<Controller>, request: &Accept) -> Option<Body> {
    let vote = controller.vote(|acceptor| acceptor.accept(request)).await;
    record_progress(controller, &request.key, vote.as_ref());
    vote.map(Body::Vote)
}

/// A voter that has just voted for an owner takes part in no election for a while.
fn record_progress(controller: &Controller, key: &str, vote: Option<&Vote>) {
    if vote.is_some_and(|vote| vote.ok) {
        controller.key_owners.record_progress(key);
    }
}

fn pre_vote(controller: &Controller, request: &PreVoteRequest) -> Option<Body> {
    Some(Body::PreVoteResponse(key_owner::pre_vote(controller, request)))
}

fn owner_resigned(controller: &Controller, peer: &Peer) -> Option<Body> {
    resignation::record_resignation(controller, peer.handshake.ip.parse().ok()?);
    Some(Body::Acknowledged(Empty {}))
}

async fn read_ballots(controller: &Arc<Controller>, request: &ReadBallots) -> Option<Body> {
    let report = controller.vote(|acceptor| acceptor.read_ballots(request.values)).await;
    report.map(Body::BallotReport)
}

/// A member that reads its state back: what its former incarnation sent is dropped from now on.
async fn begin_recovery(
    controller: &Arc<Controller>,
    peer: &Peer,
    request: &RecoverRequest,
) -> Option<Body> {
    let report = if request.membership == controller.acceptor.lock().membership().epoch {
        controller.peers.retire_incarnations(&peer.handshake.ip, request.incarnation);
        let recovery_epoch = request.recovery_epoch;
        controller.vote(|acceptor| acceptor.begin_state_transfer(recovery_epoch)).await
    } else {
        controller.vote(|acceptor| acceptor.read_ballots(false)).await
    };
    report.map(Body::BallotReport)
}

fn value_chunk(
    controller: &Arc<Controller>,
    peer: &Peer,
    request: &ValueChunkRequest,
) -> Option<Body> {
    Some(Body::ValueChunk(register_reads::chunk(controller, &peer.handshake.ip, request)))
}

fn register(controller: &Arc<Controller>, request: RegisterRequest) -> Option<Body> {
    Some(Body::RegisterResponse(register_reads::newest_register(controller, request)))
}

async fn config(controller: &Arc<Controller>, request: &ConfigRequest) -> Option<Body> {
    Some(Body::ConfigResponse(config_distribution::answer(controller, request).await))
}

async fn commit_notice(controller: &Arc<Controller>, notice: &CommitNotice) -> Option<Body> {
    controller.on_commit_notice(notice).await;
    None
}

async fn change(controller: &Arc<Controller>, request: &ChangeRequest) -> Option<Body> {
    Some(Body::ChangeResponse(forward::submit_forwarded(controller, request).await))
}

fn engine_heartbeats(controller: &Controller, heartbeats: EngineHeartbeats) -> Option<Body> {
    for engine in heartbeats.engines {
        registry::record_heartbeat(controller, engine, false);
    }
    let engines = if heartbeats.request_all { controller.engines_to_share() } else { Vec::new() };
    Some(Body::EngineHeartbeats(EngineHeartbeats { engines, request_all: false }))
}

fn join(controller: &Controller, request: JoinRequest) -> Option<Body> {
    reconfiguration::on_join_request(controller, request);
    let membership = controller.acceptor.lock().membership().clone();
    Some(Body::JoinResponse(JoinResponse { membership: Some(membership) }))
}

fn router_heartbeat(controller: &Controller, peer: &Peer) -> Option<Body> {
    let live = {
        let mut routers = controller.peers.routers.lock();
        let incarnation = peer.handshake.incarnation;
        let status = RouterStatus { incarnation, last_heartbeat: Instant::now() };
        routers.insert(peer.handshake.name.clone(), status);
        routers.retain(|_, router| router.last_heartbeat.elapsed() < constants::ROUTER_TIMEOUT);
        routers.len() as u32
    };
    if controller.read_state(|state| state.routers) != live {
        controller.append(StateChange::Routers(live));
    }
    Some(Body::Acknowledged(Empty {}))
}

fn cached_prefixes(controller: &Controller, found: &CachedPrefixes) -> Option<Body> {
    index_owner::record_found(controller, found);
    None
}

fn load_report(controller: &Controller, peer: &Peer, report: LoadReport) -> Option<Body> {
    controller.peers.load_reports.record(peer, report);
    None
}

/// A reader that has not read the last answers gets none: it asks again.
fn ring(controller: &Arc<Controller>, peer: &Peer, request: &RingRequest) -> Option<Body> {
    if peer.backlog() >= constants::SLOW_READER_BACKLOG {
        return None;
    }
    index_owner::answer_reader(controller, request).map(Body::RingResponse)
}

/// Pushes what is new to one router, as it comes; to one that reads slowly, all of it in one view once it has
/// read what waits.
async fn push_updates(controller: Arc<Controller>, peer: Peer) {
    let mut changes = controller.subscribe();
    let mut position = None;
    loop {
        changes.borrow_and_update();
        while peer.backlog() >= constants::SLOW_READER_BACKLOG {
            tokio::time::sleep(constants::SLOW_READER_POLL_INTERVAL).await;
            if peer.is_closed() {
                return;
            }
        }
        let (head, view) = controller.view_since(position);
        if let Some(v) = view
            && peer.push(Body::FleetUpdate(v)).is_err()
        {
            if peer.is_closed() {
                return;
            }
            continue;
        }
        position = Some(head);
        tokio::select! {
            biased;
            changed = changes.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(constants::ROUTER_TIMEOUT) => {}
        }
        if peer.is_closed() {
            return;
        }
    }
}
