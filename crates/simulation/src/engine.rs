//! Engines: heartbeats, a drain that is acknowledged, a farewell.

use crate::constants;
use crate::history::DrainSeen;
use crate::world::World;
use bytes::Bytes;
use control_plane::service::instances;
use fleet_core::wire::Standing;
use std::sync::Arc;
use std::time::Duration;

struct Engine {
    world: Arc<World>,
    id: String,
    rng: fastrand::Rng,
    calls: u64,
}

/// Lives until its drain is acknowledged or the run is over; gives its id if it was.
pub async fn live(world: Arc<World>, number: usize) -> Option<String> {
    let mut rng = world.rng("engine", number);
    let drains_at = rng.u64(0..constants::DRAIN_WITHIN_MS) * 1000;
    let mut engine = Engine { world, id: format!("engine-{number}"), rng, calls: 0 };
    while !engine.world.is_over() {
        tokio::time::sleep(Duration::from_millis(constants::HEARTBEAT_MS)).await;
        if engine.world.now() < drains_at {
            engine.beat("ready").await;
        } else if engine.beat("draining").await {
            return Some(engine.id);
        }
    }
    None
}

impl Engine {
    /// One heartbeat to any node; true if it was acknowledged.
    async fn beat(&mut self, state: &str) -> bool {
        self.calls += 1;
        let body = serde_json::json!({
            "service": "service", "address": "10.9.2.1:9000", "state": state,
            "callSeq": self.calls,
        });
        let machines = self.world.machines();
        let machine = machines[self.rng.usize(0..machines.len())].clone();
        let (id, body) = (self.id.clone(), Bytes::from(body.to_string()));
        let call = async move |controller| instances::heartbeat(&controller, id, body).await;
        matches!(self.world.ask(&machine, call).await, Some(Ok(())))
    }
}

/// How a drained engine stands at each controller that runs.
pub fn look_up(world: &World, engine: &str) -> Vec<DrainSeen> {
    let mut seen = Vec::new();
    for machine in world.machines() {
        let Some((_, controller)) = machine.controller() else { continue };
        let standing = controller.look(|known| known.engines.get(engine).map(|e| e.standing()));
        let ready = standing == Some(Standing::Ready);
        seen.push(DrainSeen { engine: engine.to_owned(), machine: machine.number, ready });
    }
    seen
}
