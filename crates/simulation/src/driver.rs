//! Brings a plan's faults over the machines, and takes them away again.

use crate::constants;
use crate::fault::{Fault, Trouble};
use crate::machine::address;
use crate::mutant::Mutant;
use crate::world::{CALLERS, World};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// A fault's beginning or end.
struct Step {
    at_ms: u64,
    begins: bool,
    trouble: Trouble,
}

/// Starts all machines for the first time, within the spread that the platform has.
pub async fn start_all(world: &Arc<World>) {
    let mut rng = world.rng("start", 0);
    for machine in world.machines() {
        let delay = rng.u64(0..constants::START_SPREAD_MS);
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(delay)).await;
            machine.start(true).await;
        });
    }
}

/// Plays all faults to their end.
pub async fn play(world: &Arc<World>) {
    for step in steps(&world.plan.faults) {
        world.until(step.at_ms).await;
        if step.begins {
            begin(world, &step.trouble);
        } else {
            end(world, &step.trouble);
        }
    }
    world.until(world.plan.calm_from_ms()).await;
}

fn steps(faults: &[Fault]) -> Vec<Step> {
    let mut steps = Vec::new();
    for fault in faults {
        let step = |at_ms, begins| Step { at_ms, begins, trouble: fault.trouble.clone() };
        steps.push(step(fault.from_ms, true));
        steps.push(step(fault.until_ms(), false));
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

fn begin(world: &Arc<World>, trouble: &Trouble) {
    let network = &world.network;
    match trouble.clone() {
        Trouble::CutOff { machine, callers_too } => cut_off(world, machine, callers_too),
        Trouble::OneWay { from, to } => network.cut(address(from), address(to)),
        Trouble::Reset { one, other } => network.reset_between(address(one), address(other)),
        Trouble::CallersCut { machine, answers_only } => {
            network.cut(address(machine), CALLERS);
            if !answers_only {
                network.cut(CALLERS, address(machine));
            }
        }
        Trouble::Kill { machine } => world.machine(machine).kill(),
        Trouble::Leave { machine } => {
            let machine = world.machine(machine);
            tokio::spawn(async move { machine.leave().await });
        }
        Trouble::PowerLoss { machine } | Trouble::Replace { machine } => {
            world.machine(machine).lose_power();
        }
        Trouble::LoseDisk { machine } => {
            let machine = world.machine(machine);
            machine.lose_power();
            machine.platter.wipe();
        }
        Trouble::Freeze { machine } => {
            network.darken(address(machine));
            world.machine(machine).platter.behave(|disk| disk.hung = true);
        }
        Trouble::SlowLinks { machine } => network.slow_down(address(machine), true),
        Trouble::SlowDisk { machine } => {
            world.machine(machine).platter.behave(|disk| disk.slow = true);
        }
        Trouble::HungDisk { machine } => {
            world.machine(machine).platter.behave(|disk| disk.hung = true);
        }
        Trouble::FullDisk { machine } => {
            world.machine(machine).platter.behave(|disk| disk.full = true);
        }
        Trouble::AllDown { power, wiped } => all_down(world, power, &wiped),
        Trouble::Reseed { machine } => reseed(world, machine),
    }
}

fn end(world: &Arc<World>, trouble: &Trouble) {
    let network = &world.network;
    match trouble.clone() {
        Trouble::CutOff { machine, callers_too } => {
            network.rejoin(address(machine));
            if callers_too {
                network.heal(address(machine), CALLERS);
                network.heal(CALLERS, address(machine));
            }
        }
        Trouble::OneWay { from, to } => network.heal(address(from), address(to)),
        Trouble::Reset { .. } | Trouble::Reseed { .. } => {}
        Trouble::CallersCut { machine, answers_only } => {
            network.heal(address(machine), CALLERS);
            if !answers_only {
                network.heal(CALLERS, address(machine));
            }
        }
        Trouble::Kill { machine } | Trouble::Leave { machine } => restart(world, machine),
        Trouble::PowerLoss { machine } | Trouble::LoseDisk { machine } => {
            network.lighten(address(machine));
            restart(world, machine);
        }
        Trouble::AllDown { .. } => {
            for machine in world.machines() {
                network.lighten(machine.ip);
                restart(world, machine.number);
            }
        }
        Trouble::Replace { machine } => replace(world, machine),
        Trouble::Freeze { machine } => {
            network.lighten(address(machine));
            mend_disk(world, machine);
        }
        Trouble::SlowLinks { machine } => network.slow_down(address(machine), false),
        Trouble::SlowDisk { machine }
        | Trouble::HungDisk { machine }
        | Trouble::FullDisk { machine } => mend_disk(world, machine),
    }
}

fn cut_off(world: &World, machine: usize, callers_too: bool) {
    world.network.isolate(address(machine));
    if callers_too {
        world.network.cut(address(machine), CALLERS);
        world.network.cut(CALLERS, address(machine));
    }
}

fn all_down(world: &World, power: bool, wiped: &[usize]) {
    for machine in world.machines() {
        if power {
            machine.lose_power();
        } else {
            machine.kill();
        }
        if wiped.contains(&machine.number) {
            machine.platter.wipe();
        }
    }
}

/// The platform may name other seeds later; they count from the next start on.
fn reseed(world: &World, machine: usize) {
    let others = world.machines().into_iter().map(|other| other.ip).rev();
    world.machine(machine).reseed(others.take(constants::SEEDS).collect());
}

fn restart(world: &Arc<World>, number: usize) {
    let machine = world.machine(number);
    if world.mutant == Some(Mutant::StuckMember) {
        machine.platter.behave(|disk| disk.hung = true);
    }
    tokio::spawn(async move { machine.start(false).await });
}

fn replace(world: &Arc<World>, number: usize) {
    let lost = world.machine(number);
    lost.gone.store(true, Ordering::Relaxed);
    let machine = world.add_machine(lost.zone);
    tokio::spawn(async move { machine.start(false).await });
}

fn mend_disk(world: &World, machine: usize) {
    if world.mutant != Some(Mutant::StuckMember) {
        world.machine(machine).platter.behave(|disk| *disk = Default::default());
    }
}
