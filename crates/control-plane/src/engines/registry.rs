//! Registry of engine instances, rebuilt from their heartbeats after each start.
//!
//! The highest call number of an instance wins, and deregistration is final. Routine heartbeats are sent to the other
//! controllers in batches. A drain or a deregistration is acknowledged only once a majority has it: in memory, so that
//! routers learn of it, and on disk, so that it survives a restart of all controllers.

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

/// Sender of a heartbeat that this controller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The engine itself; the heartbeat has to be shared with the other controllers.
    Engine,
    /// Another controller, which shares the heartbeat with the others itself.
    Controller,
}

/// Tracks the engines' heartbeats and shares them with the other controllers. The engines themselves are stored in the
/// cluster state. No other lock is taken while one of its locks is held.
pub struct EngineRegistry {
    process: Arc<Process>,
    consensus: Arc<Consensus>,
    links: Arc<PeerLinks>,
    cluster_state: Arc<ClusterStateStore>,
    departures: DepartureRecorder,
    last_heartbeat: Mutex<HashMap<String, Instant>>,
    /// Engines to send with the next batch, by ID.
    outbox: Mutex<BTreeMap<String, Engine>>,
}

impl EngineRegistry {
    /// Creates an empty registry.
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

    /// The consensus through which departures are recorded.
    pub fn consensus(&self) -> &Arc<Consensus> {
        &self.consensus
    }

    /// The known state of an engine; `None` if it is unknown.
    pub fn get(&self, id: &str) -> Option<Engine> {
        self.cluster_state.read(|state| state.engines.get(id).cloned())
    }

    /// Merges a heartbeat into the known state of its engine; returns the merged state.
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

    /// Engines to send to another controller when a link comes up. A ready engine that misses its heartbeats here is
    /// left out, because it may have announced its departure to other controllers: only its own next heartbeat shows
    /// that it is still ready.
    pub fn engines_to_share(&self) -> Vec<Engine> {
        let is_shareable =
            |engine: &&Engine| !engine.heartbeat_missed || engine.state() != EngineState::Ready;
        self.cluster_state
            .read(|state| state.engines.values().filter(is_shareable).cloned().collect())
    }

    /// Replicates a departure to a majority and has it recorded on disk there; true only if both are confirmed.
    pub async fn record_departure(&self, engine: Engine) -> bool {
        let recording = self.departures.record(&engine);
        let (is_recorded, is_replicated) =
            tokio::join!(recording, self.replicate_now(engine.clone()));
        is_recorded && is_replicated
    }

    /// Sends an engine's state to the other voters immediately; true if a majority has confirmed it.
    pub async fn replicate_now(&self, engine: Engine) -> bool {
        self.outbox.lock().remove(&engine.id);
        let membership = self.consensus.membership();
        let own_ip = Some(self.process.node.ip);
        let is_voter = membership.members.iter().any(|member| member.addr() == own_ip);
        let body =
            Body::EngineHeartbeats(EngineHeartbeats { engines: vec![engine], request_all: false });
        let is_confirmed = |answer| matches!(answer, Body::EngineHeartbeats(_));
        let timeout = constants::DRAIN_REPLICATION_TIMEOUT;
        self.consensus.majority_agrees(&membership, timeout, body, is_voter, is_confirmed).await
    }

    /// Sends all shareable engines to the other controllers before this one shuts down, since some of their state may
    /// be held by this controller and just one other. Returns once they have confirmed it or the timeout has passed.
    pub async fn share_all(&self) {
        let heartbeats = EngineHeartbeats { engines: self.engines_to_share(), request_all: false };
        let calls = self.links.all().into_iter().map(|(_, link)| {
            let heartbeats = heartbeats.clone();
            async move { share(&link, heartbeats).await }
        });
        futures_util::future::join_all(calls).await;
    }

    /// Exchanges the known engines with a controller whose link has just come up.
    async fn exchange_all(&self, link: Arc<Link>) {
        let heartbeats = EngineHeartbeats { engines: self.engines_to_share(), request_all: true };
        let Some(response) = share(&link, heartbeats).await else { return };
        for engine in response.engines {
            self.record_heartbeat(engine, HeartbeatSource::Controller);
        }
    }

    /// Marks engines that missed their heartbeats, and removes engines whose deregistration has passed its retention
    /// period.
    fn check_heartbeats(&self) {
        let timeout =
            self.process.settings().heartbeat.mul_f64(constants::MISSED_HEARTBEAT_PERIODS);
        let now = Instant::now();
        let engines: Vec<Engine> =
            self.cluster_state.read(|state| state.engines.values().cloned().collect());
        for engine in engines {
            let age = now - *self.last_heartbeat.lock().entry_ref(&engine.id).or_insert(now);
            if engine.state() == EngineState::Deregistered {
                self.remove_if_expired(&engine.id, age);
            } else {
                self.set_heartbeat_missed(&engine, age > timeout);
            }
        }
    }

    fn remove_if_expired(&self, id: &str, age: Duration) {
        if age > constants::DEPARTURE_RETENTION {
            self.last_heartbeat.lock().remove(id);
            self.cluster_state.update_silently(|state| {
                state.engines.remove(id);
            });
        }
    }

    fn set_heartbeat_missed(&self, engine: &Engine, is_missed: bool) {
        if is_missed == engine.heartbeat_missed {
            return;
        }
        if is_missed {
            fleet_core::log_event!(self.process.log, Event::EngineHeartbeatMissed, "id" => &engine.id);
        }
        self.cluster_state.change_engine(&engine.id, |engine| engine.heartbeat_missed = is_missed);
    }
}

/// Sends engines to another controller; returns its response, or `None` if it did not confirm in time.
async fn share(link: &Link, heartbeats: EngineHeartbeats) -> Option<EngineHeartbeats> {
    let body = Body::EngineHeartbeats(heartbeats);
    match link.call(body, constants::DRAIN_REPLICATION_TIMEOUT).await {
        Ok(Body::EngineHeartbeats(answer)) => Some(answer),
        _ => None,
    }
}

/// Sends routine heartbeats to the other controllers in batches, and exchanges the known engines with a controller
/// whose link has come up.
pub async fn run_heartbeat_sharing(registry: Arc<EngineRegistry>) {
    let mut connected = HashSet::new();
    loop {
        tokio::time::sleep(constants::HEARTBEAT_REPLICATION_INTERVAL).await;
        let outbox = std::mem::take(&mut *registry.outbox.lock());
        let engines: Vec<Engine> = outbox.into_values().collect();
        let links = registry.links.all();
        connected.retain(|ip| links.iter().any(|(peer_ip, link)| peer_ip == ip && link.is_up()));
        for (ip, link) in links {
            if link.is_up() && connected.insert(ip) {
                let registry = registry.clone();
                // The task ends at the latest when its call times out.
                tokio::spawn(async move { registry.exchange_all(link).await });
            } else if !engines.is_empty() {
                let heartbeats = EngineHeartbeats { engines: engines.clone(), request_all: false };
                let _ = link.notify(Body::EngineHeartbeats(heartbeats));
            }
        }
    }
}

/// Checks periodically for missed heartbeats and expired deregistrations.
pub async fn run_failure_detection(registry: Arc<EngineRegistry>) {
    loop {
        tokio::time::sleep(constants::ANTI_ENTROPY_INTERVAL).await;
        registry.check_heartbeats();
    }
}
