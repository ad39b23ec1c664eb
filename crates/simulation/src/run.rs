//! One run: a plan played from its beginning to the judgement.

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

/// Readers that call `control`.
const READERS: usize = 2;
/// Routers that fetch over links.
const ROUTERS: usize = 2;
/// Engines that beat and drain.
const ENGINES: usize = 4;

/// How a run ended.
#[derive(Debug)]
pub struct Outcome {
    /// All that was recorded.
    pub history: History,
    /// What it breaks.
    pub violations: Vec<Violation>,
}

/// Plays a plan on a runtime of its own whose clock stands still while anything can be done.
///
/// # Errors
///
/// When the runtime can't be made.
pub fn run(plan: &Plan, injected_bug: Option<InjectedBug>) -> std::io::Result<Outcome> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    panics::listen();
    let mut history = runtime.block_on(play(plan.clone(), injected_bug));
    history.panics = panics::take();
    let violations = check(&history);
    Ok(Outcome { history, violations })
}

/// Whether a plan breaks a defect's invariant with the defect, and keeps it without.
///
/// # Errors
///
/// When a runtime can't be made.
pub fn shows(plan: &Plan, injected_bug: InjectedBug) -> std::io::Result<bool> {
    let breaks = |outcome: &Outcome| {
        outcome.violations.iter().any(|violation| violation.invariant == injected_bug.breaks())
    };
    Ok(breaks(&run(plan, Some(injected_bug))?) && !breaks(&run(plan, None)?))
}

async fn play(plan: Plan, injected_bug: Option<InjectedBug>) -> History {
    let world = Arc::new(World::new(plan, injected_bug));
    nemesis::start_all(&world).await;
    let (workloads, engines) = spawn_workloads(&world);
    nemesis::play(&world).await;
    world.history.lock().calm_from = world.now();
    tokio::time::sleep(constants::PROGRESS_TIMEOUT).await;
    world.history.lock().finished = true;
    world.end();
    for workload in workloads {
        let _ = tokio::time::timeout(constants::LAST_ORDER_TIMEOUT, workload).await;
    }
    read_final_state(&world, engines).await;
    let history = std::mem::take(&mut *world.history.lock());
    for machine in world.machines() {
        machine.kill();
    }
    history
}

type Engines = Vec<tokio::task::JoinHandle<Option<engine_workload::Departed>>>;

fn spawn_workloads(world: &Arc<World>) -> (Vec<tokio::task::JoinHandle<()>>, Engines) {
    let mut workloads = vec![
        tokio::spawn(sampler::sample(world.clone())),
        tokio::spawn(link_workload::call_on(world.clone())),
    ];
    for number in 0..world.plan.operators {
        workloads.push(tokio::spawn(operator_workload::operate(world.clone(), number)));
    }
    for number in 0..READERS {
        workloads.push(tokio::spawn(read_workload::read_on(world.clone(), number)));
    }
    for number in 0..ROUTERS {
        workloads.push(tokio::spawn(read_workload::route(world.clone(), number)));
    }
    let engines =
        (0..ENGINES).map(|number| tokio::spawn(engine_workload::live(world.clone(), number)));
    (workloads, engines.collect())
}

/// With all stand-ins ended: the last reads, how members stand, what drains came to.
async fn read_final_state(world: &Arc<World>, engines: Engines) {
    for machine in world.machines() {
        if let Some(read) = read_workload::read_last(world, &machine).await {
            world.history.lock().last_reads.push(read);
        }
    }
    let final_state = sampler::catch_up(world);
    world.history.lock().caught_up = final_state;
    for engine in engines {
        if let Ok(Some(departed)) = engine.await {
            let observation = engine_workload::inspect(world, &departed);
            world.history.lock().drains.extend(observation);
        }
    }
}
