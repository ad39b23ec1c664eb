//! Simulated engines: send heartbeats, some of them delayed, then a drain or a deregistration until it is acknowledged.

use crate::constants;
use crate::history::{DrainObservation, Micros};
use crate::machine::Machine;
use crate::world::World;
use bytes::Bytes;
use control_plane::Controller;
use control_plane::service::instances;
use fleet_core::wire::EngineState;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// A drain or a deregistration that was acknowledged.
pub struct DepartedEngine {
    engine: String,
    acknowledged_by: usize,
    acknowledged_at: Micros,
}

/// How an engine announces its departure.
#[derive(Clone, Copy)]
enum Announcement {
    /// By heartbeats with the state `draining`.
    Drain,
    /// By a deregistration without a drain, as some engines do.
    Deregister,
}

struct Engine {
    world: Arc<World>,
    id: String,
    rng: fastrand::Rng,
    call_seq: u64,
    /// Tasks of delayed heartbeats that have not completed.
    delayed_heartbeats: JoinSet<()>,
}

/// Runs an engine until its departure is acknowledged or the run is over; returns the acknowledged departure, if any.
pub async fn run_engine(world: Arc<World>, number: usize) -> Option<DepartedEngine> {
    let mut rng = world.rng("engine", number);
    let departure_at = rng.u64(0..constants::MAX_DEPARTURE_MS) * 1000;
    let announcement = if rng.bool() { Announcement::Drain } else { Announcement::Deregister };
    let delayed_heartbeats = JoinSet::new();
    let mut engine =
        Engine { world, id: format!("engine-{number}"), rng, call_seq: 0, delayed_heartbeats };
    let mut departed = None;
    while departed.is_none() && !engine.world.is_over() {
        tokio::time::sleep(Duration::from_millis(constants::HEARTBEAT_MS)).await;
        if engine.world.now() < departure_at {
            engine.send_ready().await;
        } else if let Some(acknowledged_by) = engine.announce_departure(announcement).await {
            departed = Some(DepartedEngine {
                engine: engine.id.clone(),
                acknowledged_by,
                acknowledged_at: engine.world.now(),
            });
        }
    }
    while engine.delayed_heartbeats.join_next().await.is_some() {}
    departed
}

impl Engine {
    /// Sends one heartbeat to a random machine, immediately or delayed.
    async fn send_ready(&mut self) {
        let (machine, body) = (self.random_machine(), self.heartbeat("ready"));
        let (world, id) = (self.world.clone(), self.id.clone());
        if self.rng.u64(0..100) >= constants::DELAYED_HEARTBEAT_PERCENT {
            send_heartbeat(&world, &machine, id, body).await;
            return;
        }
        let delay = Duration::from_millis(self.rng.u64(0..constants::MAX_HEARTBEAT_DELAY_MS));
        self.delayed_heartbeats.spawn(async move {
            tokio::time::sleep(delay).await;
            send_heartbeat(&world, &machine, id, body).await;
        });
    }

    /// Announces the departure to a random machine; returns its number if it acknowledged.
    async fn announce_departure(&mut self, announcement: Announcement) -> Option<usize> {
        let (machine, id) = (self.random_machine(), self.id.clone());
        let is_acknowledged = match announcement {
            Announcement::Drain => {
                let body = self.heartbeat("draining");
                send_heartbeat(&self.world, &machine, id, body).await
            }
            Announcement::Deregister => {
                self.call_seq += 1;
                let body = Bytes::from(serde_json::json!({ "callSeq": self.call_seq }).to_string());
                deregister(&self.world, &machine, id, body).await
            }
        };
        is_acknowledged.then_some(machine.number)
    }

    fn random_machine(&mut self) -> Arc<Machine> {
        let machines = self.world.machines();
        machines[self.rng.usize(0..machines.len())].clone()
    }

    fn heartbeat(&mut self, state: &str) -> Bytes {
        self.call_seq += 1;
        let body = serde_json::json!({
            "service": "service", "address": "10.9.2.1:9000", "state": state,
            "callSeq": self.call_seq,
        });
        Bytes::from(body.to_string())
    }
}

/// Whether the heartbeat was acknowledged.
async fn send_heartbeat(world: &World, machine: &Arc<Machine>, id: String, body: Bytes) -> bool {
    let call = async move |controller: Arc<Controller>| {
        instances::heartbeat(controller.registry(), id, body).await
    };
    matches!(world.call(machine, call).await, Some(Ok(())))
}

/// Whether the deregistration was acknowledged.
async fn deregister(world: &World, machine: &Arc<Machine>, id: String, body: Bytes) -> bool {
    let call = async move |controller: Arc<Controller>| {
        instances::deregister(controller.registry(), id, body).await
    };
    matches!(world.call(machine, call).await, Some(Ok(())))
}

/// Looks up a departed engine at each running member, since routers learn about engines from members.
pub fn observe_departed(world: &World, departed: &DepartedEngine) -> Vec<DrainObservation> {
    let mut observations = Vec::new();
    for machine in world.machines() {
        let Some((_, controller)) = machine.controller() else { continue };
        if !controller.consensus().with_acceptor(|acceptor| acceptor.is_member()) {
            continue;
        }
        let state = controller
            .cluster_state()
            .read(|cluster_state| cluster_state.engines.get(&departed.engine).map(|e| e.state()));
        let ready = state == Some(EngineState::Ready);
        observations.push(DrainObservation {
            engine: departed.engine.clone(),
            acknowledged_by: departed.acknowledged_by,
            acknowledged: departed.acknowledged_at,
            machine: machine.number,
            ready,
        });
    }
    observations
}
