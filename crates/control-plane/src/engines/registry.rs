//! The engines by instance, rebuilt from their heartbeats after each start.
//!
//! The highest call number of an instance wins, and deregistration is final. A routine heartbeat reaches the other
//! controllers in batches; that an engine drains or is deregistered is acknowledged only once a majority has it, in memory for
//! the routers' sake and on disk for the time after a restart of all.

use super::departure_recorder::DepartureRecorder;
use crate::cluster_state::ClusterStateStore;
use crate::consensus::Consensus;
use crate::membership::peer_links::PeerLinks;
use crate::process::Process;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{Body, Engine, EngineHeartbeats, EngineState};
use hashbrown::{HashMap, HashSet};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Who reported an engine's state to this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The engine itself: the other controllers have to hear of it.
    Engine,
    /// Another controller, which notifies the others itself.
    Controller,
}

/// When engines sent their last heartbeat, and what the other controllers have yet to be sent. The engines themselves are part
/// of the cluster state. Its locks are leaves.
pub struct EngineRegistry {
    process: Arc<Process>,
    consensus: Arc<Consensus>,
    links: Arc<PeerLinks>,
    cluster_state: Arc<ClusterStateStore>,
    departures: DepartureRecorder,
    last_heartbeat: Mutex<HashMap<String, Instant>>,
    /// Engines that go with the next batch.
    outbox: Mutex<BTreeMap<String, Engine>>,
}

impl EngineRegistry {
    /// A registry without an engine.
    pub fn new(
        process: Arc<Process>,
        consensus: Arc<Consensus>,
        links: Arc<PeerLinks>,
        cluster_state: Arc<ClusterStateStore>,
    ) -> EngineRegistry {
        EngineRegistry {
            departures: DepartureRecorder::new(consensus.clone(), cluster_state.clone()),
            process,
            consensus,
            links,
            cluster_state,
            last_heartbeat: Mutex::default(),
            outbox: Mutex::default(),
        }
    }

    /// The agreement that this registry replicates through.
    pub fn consensus(&self) -> &Arc<Consensus> {
        &self.consensus
    }

    /// What is known of an engine.
    pub fn get(&self, id: &str) -> Option<Engine> {
        self.cluster_state.read(|state| state.engines.get(id).cloned())
    }

    /// Takes in the state of an engine; gives what is known of it now.
    pub fn record_heartbeat(&self, update: Engine, source: HeartbeatSource) -> Engine {
        let merged = self.cluster_state.merge_engine(update);
        if merged.is_newer {
            self.last_heartbeat.lock().insert(merged.engine.id.clone(), Instant::now());
        }
        if merged.is_newer && source == HeartbeatSource::Engine {
            self.outbox.lock().insert(merged.engine.id.clone(), merged.engine.clone());
        }
        if merged.is_changed {
            self.log_state(&merged.engine);
        }
        merged.engine
    }

    fn log_state(&self, engine: &Engine) {
        let event = match engine.state() {
            EngineState::Ready => Event::EngineNew,
            EngineState::Draining => Event::EngineDraining,
            EngineState::Deregistered => Event::EngineDeregistered,
        };
        fleet_core::log_event!(self.process.log, event, "id" => &engine.id, "at" => &engine.address);
    }

    /// What another controller is sent when a link comes up. An engine whose heartbeats are missed here may have
    /// announced its end to others: only its own next heartbeat proves that it is still ready.
    pub fn engines_to_share(&self) -> Vec<Engine> {
        let is_shareable =
            |engine: &&Engine| !engine.heartbeat_missed || engine.state() != EngineState::Ready;
        self.cluster_state
            .read(|state| state.engines.values().filter(is_shareable).cloned().collect())
    }

    /// Tells a majority that an engine leaves, and has it recorded there; whether both are certain now.
    pub async fn record_departure(&self, engine: Engine) -> bool {
        let recording = self.departures.record(&engine);
        let (is_recorded, is_replicated) =
            tokio::join!(recording, self.replicate_now(engine.clone()));
        is_recorded && is_replicated
    }

    /// Sends an engine's state to the other voters at once; whether a majority has it now.
    pub async fn replicate_now(&self, engine: Engine) -> bool {
        self.outbox.lock().remove(&engine.id);
        let membership = self.consensus.membership();
        let own_ip = Some(self.process.node.ip);
        let is_voter = membership.members.iter().any(|member| member.addr() == own_ip);
        let body =
            Body::EngineHeartbeats(EngineHeartbeats { engines: vec![engine], request_all: false });
        let is_taken = |answer| matches!(answer, Body::EngineHeartbeats(_));
        let timeout = constants::HEARTBEAT_SHARE_TIMEOUT;
        self.consensus.majority_agrees(&membership, timeout, body, is_voter, is_taken).await
    }

    /// Before this controller ends: sends all that it knows to the others, since some of it may have been sent to
    /// it and one other only. Returns once they have it or the time for it is over.
    pub async fn share_all(&self) {
        let heartbeats = EngineHeartbeats { engines: self.engines_to_share(), request_all: false };
        let calls = self.links.all().into_iter().map(|(_, link)| {
            let heartbeats = heartbeats.clone();
            async move { share(&link, heartbeats).await }
        });
        futures_util::future::join_all(calls).await;
    }

    /// Exchanges all engines with a controller whose link has come up.
    async fn exchange_all(&self, link: Arc<Link>) {
        let heartbeats = EngineHeartbeats { engines: self.engines_to_share(), request_all: true };
        let Some(answer) = share(&link, heartbeats).await else { return };
        for engine in answer.engines {
            self.record_heartbeat(engine, HeartbeatSource::Controller);
        }
    }

    /// Marks engines whose heartbeats are missed, and forgets those that were deregistered long ago.
    fn check_heartbeats(&self) {
        let timeout = self.process.settings().heartbeat.mul_f64(constants::MISSED_HEARTBEATS);
        let now = Instant::now();
        let engines: Vec<Engine> =
            self.cluster_state.read(|state| state.engines.values().cloned().collect());
        for engine in engines {
            let age = now - *self.last_heartbeat.lock().entry_ref(&engine.id).or_insert(now);
            if engine.state() == EngineState::Deregistered {
                self.forget_if_old(&engine.id, age);
            } else {
                self.mark_missed(&engine, age > timeout);
            }
        }
    }

    fn forget_if_old(&self, id: &str, age: Duration) {
        if age > constants::DEPARTURE_RETENTION {
            self.last_heartbeat.lock().remove(id);
            self.cluster_state.amend(|state| {
                state.engines.remove(id);
            });
        }
    }

    fn mark_missed(&self, engine: &Engine, is_missed: bool) {
        if is_missed == engine.heartbeat_missed {
            return;
        }
        if is_missed {
            fleet_core::log_event!(self.process.log, Event::EngineHeartbeatMissed, "id" => &engine.id);
        }
        self.cluster_state.change_engine(&engine.id, |engine| engine.heartbeat_missed = is_missed);
    }
}

/// Sends engines to another controller; its answer, if it took them in time.
async fn share(link: &Link, heartbeats: EngineHeartbeats) -> Option<EngineHeartbeats> {
    let body = Body::EngineHeartbeats(heartbeats);
    match link.call(body, constants::HEARTBEAT_SHARE_TIMEOUT).await {
        Ok(Body::EngineHeartbeats(answer)) => Some(answer),
        _ => None,
    }
}

/// Sends routine heartbeats to the other controllers in batches; with one whose link has come up, all engines are
/// exchanged.
pub async fn run_heartbeat_sharing(registry: Arc<EngineRegistry>) {
    let mut up = HashSet::new();
    loop {
        tokio::time::sleep(constants::HEARTBEAT_SHARE_INTERVAL).await;
        let outbox = std::mem::take(&mut *registry.outbox.lock());
        let engines: Vec<Engine> = outbox.into_values().collect();
        let links = registry.links.all();
        up.retain(|ip| links.iter().any(|(of, link)| of == ip && link.is_up()));
        for (ip, link) in links {
            if link.is_up() && up.insert(ip) {
                let registry = registry.clone();
                // ends with the time-out of its call
                tokio::spawn(async move { registry.exchange_all(link).await });
            } else if !engines.is_empty() {
                let heartbeats = EngineHeartbeats { engines: engines.clone(), request_all: false };
                let _ = link.notify(Body::EngineHeartbeats(heartbeats));
            }
        }
    }
}

/// Watches the engines' heartbeats.
pub async fn run_failure_detection(registry: Arc<EngineRegistry>) {
    loop {
        tokio::time::sleep(constants::ANTI_ENTROPY_INTERVAL).await;
        registry.check_heartbeats();
    }
}
