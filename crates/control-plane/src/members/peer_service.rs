//! Answers what other processes of the system say.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::RouterSeen;
use crate::control::{leaving, owner, submit};
use crate::facts::Fact;
use crate::{Controller, distribution, duties, engines};
use fleet_core::constants;
use fleet_core::link::{LinkError, Peer};
use fleet_core::log::Event;
use fleet_core::wire::{Body, Empty, EngineHeartbeats, JoinResponse};
use std::sync::Arc;

pub struct PeerService(pub Arc<Controller>);

impl fleet_core::link::PeerHandler for PeerService {
    fn joined(self: &Arc<Self>, peer: &Peer) {
        let s = &self.0;
        s.members.enter(&peer.hello);
        if peer.hello.role == fleet_core::node::Role::Router as u32 {
            s.members.router_links.lock().insert(peer.hello.incarnation, peer.clone());
            tokio::spawn(tell_router(s.clone(), peer.clone()));
        }
    }

    fn left(self: &Arc<Self>, peer: &Peer) {
        let s = &self.0;
        s.members.router_links.lock().remove(&peer.hello.incarnation);
        let mut c = s.members.routers.lock();
        if c.get(&peer.hello.name).is_some_and(|c| c.incarnation == peer.hello.incarnation) {
            c.remove(&peer.hello.name);
        }
    }

    async fn answer(self: &Arc<Self>, peer: &Peer, body: Body) -> Option<Body> {
        let s = &self.0;
        if s.members.is_dead(&peer.hello) {
            fleet_core::log_event!(s.log, Event::PeerRejected, "from" => &peer.hello.ip, "why" => "former incarnation");
            return None;
        }
        match body {
            Body::Prepare(p) => {
                let vote = s.vote(|a| a.prepare(&p)).await;
                note_progress(s, &p.key, vote.as_ref());
                vote.map(Body::Vote)
            }
            Body::Accept(p) => {
                let vote = s.vote(|a| a.accept(&p)).await;
                note_progress(s, &p.key, vote.as_ref());
                vote.map(Body::Vote)
            }
            Body::PreVoteRequest(p) => Some(Body::PreVoteResponse(owner::pre_vote(s, &p))),
            Body::OwnerResigned(_) => {
                leaving::heard_leaving(s, peer.hello.ip.parse().ok()?);
                Some(Body::Acknowledged(Empty {}))
            }
            Body::ReadBallots(p) => s.vote(|a| a.peek(p.values)).await.map(Body::BallotReport),
            Body::RecoverRequest(r) => read_back(s, peer, &r).await.map(Body::BallotReport),
            Body::ValueChunkRequest(ask) => {
                Some(Body::ValueChunk(super::register_reads::piece(s, &peer.hello.ip, &ask)))
            }
            Body::RegisterRequest(f) => {
                Some(Body::RegisterResponse(super::register_reads::fetched(s, f)))
            }
            Body::ConfigRequest(a) => Some(Body::ConfigResponse(distribution::answer(s, &a).await)),
            Body::CommitNotice(c) => {
                s.heard_committed(&c).await;
                None
            }
            Body::ChangeRequest(c) => {
                Some(Body::ChangeResponse(submit::submit_passed(s, &c).await))
            }
            Body::LeaseRequest(l) => Some(Body::LeaseResponse(duties::grant(s, &l))),
            Body::EngineHeartbeats(b) => Some(Body::EngineHeartbeats(heard_beats(s, b))),
            Body::JoinRequest(j) => {
                super::membership::heard_join(s, j);
                Some(Body::JoinResponse(JoinResponse {
                    membership: Some(s.acceptor.lock().membership().clone()),
                }))
            }
            Body::RouterHeartbeat(_) => {
                heard_router(s, peer);
                Some(Body::Acknowledged(Empty {}))
            }
            Body::CachedPrefixes(f) => {
                duties::keeper::hear_found(s, &f);
                None
            }
            Body::LoadReport(l) => {
                s.members.loads.hear(peer, l);
                None
            }
            // who hasn't read the last answers asks again
            Body::RingRequest(_) if peer.backlog() >= constants::SLOW_READER_BACKLOG => None,
            Body::RingRequest(a) => duties::keeper::give(s, &a).map(Body::RingResponse),
            _ => None,
        }
    }

    fn message_rejected(self: &Arc<Self>, error: &LinkError) {
        fleet_core::log_event!(self.0.log, Event::PeerRejected, "why" => error.to_string());
    }
}

/// A member that reads its state back: what its former incarnation sent is dropped from now on.
async fn read_back(
    s: &Arc<Controller>,
    peer: &Peer,
    ask: &fleet_core::wire::RecoverRequest,
) -> Option<fleet_core::wire::BallotReport> {
    if ask.membership != s.acceptor.lock().membership().epoch {
        return s.vote(|a| a.peek(false)).await;
    }
    s.members.bury(&peer.hello.ip, ask.incarnation);
    s.vote(|a| a.hand_over(ask.recovery_epoch)).await
}

/// A voter that has just voted for an owner takes part in no election for a while.
fn note_progress(s: &Arc<Controller>, key: &str, vote: Option<&fleet_core::wire::Vote>) {
    if vote.is_some_and(|v| v.ok) {
        s.owners.saw_progress(key);
    }
}

fn heard_beats(s: &Arc<Controller>, b: EngineHeartbeats) -> EngineHeartbeats {
    for e in b.engines {
        engines::registry::hear(s, e, false);
    }
    let engines = if b.ask { s.engines_to_tell() } else { Vec::new() };
    EngineHeartbeats { engines, ask: false }
}

fn heard_router(s: &Arc<Controller>, peer: &Peer) {
    let n = {
        let mut c = s.members.routers.lock();
        let seen =
            RouterSeen { incarnation: peer.hello.incarnation, heard: tokio::time::Instant::now() };
        c.insert(peer.hello.name.clone(), seen);
        c.retain(|_, x| x.heard.elapsed() < constants::ROUTER_SILENT);
        c.len() as u32
    };
    if s.look(|x| x.routers) != n {
        s.append(Fact::Routers(n));
    }
}

/// Pushes what is new to one router, as it comes; to one that reads slowly, all of it in one view once it has
/// read what waits.
async fn tell_router(s: Arc<Controller>, peer: Peer) {
    let mut news = s.news();
    let mut seen = None;
    loop {
        news.borrow_and_update();
        while peer.backlog() >= constants::SLOW_READER_BACKLOG {
            tokio::time::sleep(constants::SLOW_READER_POLL_INTERVAL).await;
            if peer.is_closed() {
                return;
            }
        }
        let (head, view) = s.view_since(seen);
        if let Some(v) = view
            && peer.push(Body::FleetUpdate(v)).is_err()
        {
            if peer.is_closed() {
                return;
            }
            continue;
        }
        seen = Some(head);
        tokio::select! {
            biased;
            changed = news.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(constants::ROUTER_SILENT) => {}
        }
        if peer.is_closed() {
            return;
        }
    }
}
