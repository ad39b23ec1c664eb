//! Engines: heartbeats, some of which come late, and a drain or a deregistration that is acknowledged.

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
pub struct Departed {
    engine: String,
    by: usize,
    at: Micros,
}

/// How an engine announces its end.
#[derive(Clone, Copy)]
enum Announcement {
    /// By heartbeats that say so.
    Drain,
    /// By a deregistration alone, as some engines do.
    Deregister,
}

struct Engine {
    world: Arc<World>,
    id: String,
    rng: fastrand::Rng,
    calls: u64,
    /// Heartbeats that are still on their way.
    late: JoinSet<()>,
}

/// Lives until its end is acknowledged or the run is over; tells of the acknowledgement if there was one.
pub async fn live(world: Arc<World>, number: usize) -> Option<Departed> {
    let mut rng = world.rng("engine", number);
    let departs_at = rng.u64(0..constants::DRAIN_WITHIN_MS) * 1000;
    let announcement = if rng.bool() { Announcement::Drain } else { Announcement::Deregister };
    let late = JoinSet::new();
    let mut engine = Engine { world, id: format!("engine-{number}"), rng, calls: 0, late };
    let mut departed = None;
    while departed.is_none() && !engine.world.is_over() {
        tokio::time::sleep(Duration::from_millis(constants::HEARTBEAT_MS)).await;
        if engine.world.now() < departs_at {
            engine.tell_ready().await;
        } else if let Some(by) = engine.depart(announcement).await {
            departed = Some(Departed { engine: engine.id.clone(), by, at: engine.world.now() });
        }
    }
    while engine.late.join_next().await.is_some() {}
    departed
}

impl Engine {
    /// One heartbeat to any node, at once or late.
    async fn tell_ready(&mut self) {
        let (machine, body) = (self.any_machine(), self.heartbeat("ready"));
        let (world, id) = (self.world.clone(), self.id.clone());
        if self.rng.u64(0..100) >= constants::LATE_IN_100 {
            send_heartbeat(&world, &machine, id, body).await;
            return;
        }
        let delay = Duration::from_millis(self.rng.u64(0..constants::LATE_HEARTBEAT_MS));
        self.late.spawn(async move {
            tokio::time::sleep(delay).await;
            send_heartbeat(&world, &machine, id, body).await;
        });
    }

    /// Announces the end to any node; the machine that acknowledged it, if any.
    async fn depart(&mut self, announcement: Announcement) -> Option<usize> {
        let (machine, id) = (self.any_machine(), self.id.clone());
        let is_acknowledged = match announcement {
            Announcement::Drain => {
                let body = self.heartbeat("draining");
                send_heartbeat(&self.world, &machine, id, body).await
            }
            Announcement::Deregister => {
                self.calls += 1;
                let body = Bytes::from(serde_json::json!({ "callSeq": self.calls }).to_string());
                deregister(&self.world, &machine, id, body).await
            }
        };
        is_acknowledged.then_some(machine.number)
    }

    fn any_machine(&mut self) -> Arc<Machine> {
        let machines = self.world.machines();
        machines[self.rng.usize(0..machines.len())].clone()
    }

    fn heartbeat(&mut self, state: &str) -> Bytes {
        self.calls += 1;
        let body = serde_json::json!({
            "service": "service", "address": "10.9.2.1:9000", "state": state,
            "callSeq": self.calls,
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

/// How a departed engine stands at each member that runs: routers hear of engines from members.
pub fn inspect(world: &World, departed: &Departed) -> Vec<DrainObservation> {
    let mut observation = Vec::new();
    for machine in world.machines() {
        let Some((_, controller)) = machine.controller() else { continue };
        if !controller.consensus().with_acceptor(|acceptor| acceptor.is_member()) {
            continue;
        }
        let state = controller
            .cluster_state()
            .read(|cluster_state| cluster_state.engines.get(&departed.engine).map(|e| e.state()));
        let ready = state == Some(EngineState::Ready);
        observation.push(DrainObservation {
            engine: departed.engine.clone(),
            acknowledged_by: departed.by,
            acknowledged: departed.at,
            machine: machine.number,
            ready,
        });
    }
    observation
}
