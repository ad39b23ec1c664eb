//! One run: a plan played from its beginning to the judgement.

use crate::checker::{Violation, check};
use crate::constants;
use crate::fault::Plan;
use crate::history::History;
use crate::mutant::Mutant;
use crate::world::World;
use crate::{driver, echo, engine, operator, panics, reader, sampler};
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
pub fn run(plan: &Plan, mutant: Option<Mutant>) -> std::io::Result<Outcome> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    panics::listen();
    let mut history = runtime.block_on(play(plan.clone(), mutant));
    history.panics = panics::take();
    let violations = check(&history);
    Ok(Outcome { history, violations })
}

/// Whether a plan breaks a defect's invariant with the defect, and keeps it without.
///
/// # Errors
///
/// When a runtime can't be made.
pub fn shows(plan: &Plan, mutant: Mutant) -> std::io::Result<bool> {
    let breaks = |outcome: &Outcome| {
        outcome.violations.iter().any(|violation| violation.invariant == mutant.breaks())
    };
    Ok(breaks(&run(plan, Some(mutant))?) && !breaks(&run(plan, None)?))
}

async fn play(plan: Plan, mutant: Option<Mutant>) -> History {
    let world = Arc::new(World::new(plan, mutant));
    driver::start_all(&world).await;
    let (stand_ins, engines) = spawn_stand_ins(&world);
    driver::play(&world).await;
    world.history.lock().calm_from = world.now();
    tokio::time::sleep(constants::PROGRESS_LIMIT).await;
    world.history.lock().finished = true;
    world.end();
    for stand_in in stand_ins {
        let _ = tokio::time::timeout(constants::LAST_ORDER_LIMIT, stand_in).await;
    }
    look_last(&world, engines).await;
    let history = std::mem::take(&mut *world.history.lock());
    for machine in world.machines() {
        machine.kill();
    }
    history
}

type Engines = Vec<tokio::task::JoinHandle<Option<engine::Drained>>>;

fn spawn_stand_ins(world: &Arc<World>) -> (Vec<tokio::task::JoinHandle<()>>, Engines) {
    let mut stand_ins = vec![
        tokio::spawn(sampler::sample(world.clone())),
        tokio::spawn(echo::call_on(world.clone())),
    ];
    for number in 0..world.plan.operators {
        stand_ins.push(tokio::spawn(operator::operate(world.clone(), number)));
    }
    for number in 0..READERS {
        stand_ins.push(tokio::spawn(reader::read_on(world.clone(), number)));
    }
    for number in 0..ROUTERS {
        stand_ins.push(tokio::spawn(reader::route(world.clone(), number)));
    }
    let engines = (0..ENGINES).map(|number| tokio::spawn(engine::live(world.clone(), number)));
    (stand_ins, engines.collect())
}

/// With all stand-ins ended: the last reads, how members stand, what drains came to.
async fn look_last(world: &Arc<World>, engines: Engines) {
    for machine in world.machines() {
        if let Some(read) = reader::read_last(world, &machine).await {
            world.history.lock().last_reads.push(read);
        }
    }
    let stand = sampler::catch_up(world);
    world.history.lock().caught_up = stand;
    for engine in engines {
        if let Ok(Some(drained)) = engine.await {
            let seen = engine::look_up(world, &drained);
            world.history.lock().drains.extend(seen);
        }
    }
}
