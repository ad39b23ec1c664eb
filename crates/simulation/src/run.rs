//! Runs a plan and checks its history.

use crate::checker::{Violation, check};
use crate::constants;
use crate::fault::Plan;
use crate::history::History;
use crate::injected_bug::InjectedBug;
use crate::world::World;
use crate::{
    engine_workload, link_workload, nemesis, operator_workload, panics, read_workload, sampler,
};
use std::sync::Arc;

/// Number of readers that call `control`.
const READERS: usize = 2;
/// Number of routers that fetch over links.
const ROUTERS: usize = 2;
/// Number of engines that send heartbeats and then depart.
const ENGINES: usize = 4;

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The recorded history.
    pub history: History,
    /// Violations in the history; empty if every invariant holds.
    pub violations: Vec<Violation>,
}

/// Runs a plan on its own runtime with paused time, which advances only when all tasks are idle.
///
/// # Errors
///
/// If the runtime cannot be created.
pub fn run(plan: &Plan, injected_bug: Option<InjectedBug>) -> std::io::Result<Outcome> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    panics::start_recording();
    let mut history = runtime.block_on(run_in_world(plan.clone(), injected_bug));
    history.panics = panics::stop_recording();
    let violations = check(&history);
    Ok(Outcome { history, violations })
}

/// Whether a plan exposes an injected bug: its invariant is violated with the bug and holds without it.
///
/// # Errors
///
/// If a runtime cannot be created.
pub fn exposes(plan: &Plan, injected_bug: InjectedBug) -> std::io::Result<bool> {
    let is_violated = |outcome: &Outcome| {
        outcome
            .violations
            .iter()
            .any(|violation| violation.invariant == injected_bug.violated_invariant())
    };
    Ok(is_violated(&run(plan, Some(injected_bug))?) && !is_violated(&run(plan, None)?))
}

async fn run_in_world(plan: Plan, injected_bug: Option<InjectedBug>) -> History {
    let world = Arc::new(World::new(plan, injected_bug));
    nemesis::start_all(&world).await;
    let (workloads, engines) = spawn_workloads(&world);
    nemesis::inject_faults(&world).await;
    world.history.lock().calm_from = world.now();
    tokio::time::sleep(constants::PROGRESS_TIMEOUT).await;
    world.history.lock().finished = true;
    world.stop_workloads();
    for workload in workloads {
        let _ = tokio::time::timeout(constants::WORKLOAD_STOP_TIMEOUT, workload).await;
    }
    read_final_state(&world, engines).await;
    let history = std::mem::take(&mut *world.history.lock());
    for machine in world.machines() {
        machine.kill();
    }
    history
}

type EngineTasks = Vec<tokio::task::JoinHandle<Option<engine_workload::DepartedEngine>>>;

fn spawn_workloads(world: &Arc<World>) -> (Vec<tokio::task::JoinHandle<()>>, EngineTasks) {
    let mut workloads = vec![
        tokio::spawn(sampler::sample(world.clone())),
        tokio::spawn(link_workload::run_calls(world.clone())),
    ];
    for number in 0..world.plan.operators {
        workloads.push(tokio::spawn(operator_workload::run_operator(world.clone(), number)));
    }
    for number in 0..READERS {
        workloads.push(tokio::spawn(read_workload::run_reader(world.clone(), number)));
    }
    for number in 0..ROUTERS {
        workloads.push(tokio::spawn(read_workload::run_router(world.clone(), number)));
    }
    let engines =
        (0..ENGINES).map(|number| tokio::spawn(engine_workload::run_engine(world.clone(), number)));
    (workloads, engines.collect())
}

/// Records the final reads, the members' states and the departed engines' states, after the workloads were told to
/// stop.
async fn read_final_state(world: &Arc<World>, engines: EngineTasks) {
    for machine in world.machines() {
        if let Some(read) = read_workload::read_until_answered(world, &machine).await {
            world.history.lock().last_reads.push(read);
        }
    }
    let final_state = sampler::observe_members(world);
    world.history.lock().caught_up = final_state;
    for engine in engines {
        if let Ok(Some(departed)) = engine.await {
            let observations = engine_workload::observe_departed(world, &departed);
            world.history.lock().drains.extend(observations);
        }
    }
}
