//! Engines: heartbeats, a drain that is acknowledged, a farewell.

use crate::constants;
use crate::history::{DrainObservation, Micros};
use crate::world::World;
use bytes::Bytes;
use control_plane::Controller;
use control_plane::service::instances;
use fleet_core::wire::EngineState;
use std::sync::Arc;
use std::time::Duration;

/// A drain that was acknowledged.
pub struct Drained {
    engine: String,
    by: usize,
    at: Micros,
}

struct Engine {
    world: Arc<World>,
    id: String,
    rng: fastrand::Rng,
    calls: u64,
}

/// Lives until its drain is acknowledged or the run is over; tells of it if it was.
pub async fn live(world: Arc<World>, number: usize) -> Option<Drained> {
    let mut rng = world.rng("engine", number);
    let drains_at = rng.u64(0..constants::DRAIN_WITHIN_MS) * 1000;
    let mut engine = Engine { world, id: format!("engine-{number}"), rng, calls: 0 };
    while !engine.world.is_over() {
        tokio::time::sleep(Duration::from_millis(constants::HEARTBEAT_MS)).await;
        if engine.world.now() < drains_at {
            engine.send_heartbeat("ready").await;
        } else if let Some(by) = engine.send_heartbeat("draining").await {
            let at = engine.world.now();
            return Some(Drained { engine: engine.id, by, at });
        }
    }
    None
}

impl Engine {
    /// One heartbeat to any node; the machine that acknowledged it, if any.
    async fn send_heartbeat(&mut self, state: &str) -> Option<usize> {
        self.calls += 1;
        let body = serde_json::json!({
            "service": "service", "address": "10.9.2.1:9000", "state": state,
            "callSeq": self.calls,
        });
        let machines = self.world.machines();
        let machine = machines[self.rng.usize(0..machines.len())].clone();
        let (id, body) = (self.id.clone(), Bytes::from(body.to_string()));
        let call = async move |controller: Arc<Controller>| {
            instances::heartbeat(controller.registry(), id, body).await
        };
        let answer = self.world.call(&machine, call).await;
        matches!(answer, Some(Ok(()))).then_some(machine.number)
    }
}

/// How a drained engine stands at each member that runs: routers hear of engines from members.
pub fn inspect(world: &World, drained: &Drained) -> Vec<DrainObservation> {
    let mut observation = Vec::new();
    for machine in world.machines() {
        let Some((_, controller)) = machine.controller() else { continue };
        if !controller.consensus().with_acceptor(|acceptor| acceptor.is_member()) {
            continue;
        }
        let state = controller
            .cluster_state()
            .read(|cluster_state| cluster_state.engines.get(&drained.engine).map(|e| e.state()));
        let ready = state == Some(EngineState::Ready);
        observation.push(DrainObservation {
            engine: drained.engine.clone(),
            acknowledged_by: drained.by,
            acknowledged: drained.at,
            machine: machine.number,
            ready,
        });
    }
    observation
}
