//! Applies a plan's faults to the machines and the network, and reverts them.

use crate::constants;
use crate::fault::{Fault, FaultKind};
use crate::injected_bug::InjectedBug;
use crate::machine::address;
use crate::world::{CLIENT_ADDRESS, World};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The start or end of a fault.
struct Step {
    at_ms: u64,
    begins: bool,
    kind: FaultKind,
}

/// Starts all machines for the first time, each after a random delay as on the platform.
pub async fn start_all(world: &Arc<World>) {
    let mut rng = world.rng("start", 0);
    for machine in world.machines() {
        let delay = rng.u64(0..constants::MAX_START_DELAY_MS);
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(delay)).await;
            machine.start(true).await;
        });
    }
}

/// Applies and reverts all faults at their times, and returns once the last one has ended.
pub async fn inject_faults(world: &Arc<World>) {
    for step in fault_steps(&world.plan.faults) {
        world.sleep_until_ms(step.at_ms).await;
        if step.begins {
            begin_fault(world, &step.kind);
        } else {
            end_fault(world, &step.kind);
        }
    }
    world.sleep_until_ms(world.plan.faults_end_ms()).await;
}

fn fault_steps(faults: &[Fault]) -> Vec<Step> {
    let mut fault_steps = Vec::new();
    for fault in faults {
        let step = |at_ms, begins| Step { at_ms, begins, kind: fault.kind.clone() };
        fault_steps.push(step(fault.from_ms, true));
        fault_steps.push(step(fault.end_ms(), false));
    }
    fault_steps.sort_by_key(|step| step.at_ms);
    fault_steps
}

fn begin_fault(world: &Arc<World>, kind: &FaultKind) {
    let network = &world.network;
    match kind.clone() {
        FaultKind::Isolation { machine, callers_too } => isolate(world, machine, callers_too),
        FaultKind::OneWay { from, to } => network.block(address(from), address(to)),
        FaultKind::Reset { one, other } => network.reset_between(address(one), address(other)),
        FaultKind::ClientPartition { machine, answers_only } => {
            network.block(address(machine), CLIENT_ADDRESS);
            if !answers_only {
                network.block(CLIENT_ADDRESS, address(machine));
            }
        }
        FaultKind::Kill { machine } => world.machine(machine).kill(),
        FaultKind::Leave { machine } => {
            let machine = world.machine(machine);
            tokio::spawn(async move { machine.shut_down().await });
        }
        FaultKind::PowerLoss { machine } | FaultKind::Replace { machine } => {
            world.machine(machine).lose_power();
        }
        FaultKind::LoseDisk { machine } => {
            let machine = world.machine(machine);
            machine.lose_power();
            machine.disk.wipe();
        }
        FaultKind::Freeze { machine } => {
            network.power_off(address(machine));
            world.machine(machine).disk.update_condition(|disk| disk.hung = true);
        }
        FaultKind::SlowLinks { machine } => network.slow_down(address(machine), true),
        FaultKind::SlowDisk { machine } => {
            world.machine(machine).disk.update_condition(|disk| disk.slow = true);
        }
        FaultKind::HungDisk { machine } => {
            world.machine(machine).disk.update_condition(|disk| disk.hung = true);
        }
        FaultKind::FullDisk { machine } => {
            world.machine(machine).disk.update_condition(|disk| disk.full = true);
        }
        FaultKind::AllDown { power, wiped } => take_all_down(world, power, &wiped),
        FaultKind::Reseed { machine } => reseed(world, machine),
    }
}

fn end_fault(world: &Arc<World>, kind: &FaultKind) {
    let network = &world.network;
    match kind.clone() {
        FaultKind::Isolation { machine, callers_too } => {
            network.end_isolation(address(machine));
            if callers_too {
                network.heal(address(machine), CLIENT_ADDRESS);
                network.heal(CLIENT_ADDRESS, address(machine));
            }
        }
        FaultKind::OneWay { from, to } => network.heal(address(from), address(to)),
        FaultKind::Reset { .. } | FaultKind::Reseed { .. } => {}
        FaultKind::ClientPartition { machine, answers_only } => {
            network.heal(address(machine), CLIENT_ADDRESS);
            if !answers_only {
                network.heal(CLIENT_ADDRESS, address(machine));
            }
        }
        FaultKind::Kill { machine } | FaultKind::Leave { machine } => restart(world, machine),
        FaultKind::PowerLoss { machine } | FaultKind::LoseDisk { machine } => {
            network.power_on(address(machine));
            restart(world, machine);
        }
        FaultKind::AllDown { .. } => {
            for machine in world.machines() {
                network.power_on(machine.ip);
                restart(world, machine.number);
            }
        }
        FaultKind::Replace { machine } => replace(world, machine),
        FaultKind::Freeze { machine } => {
            network.power_on(address(machine));
            repair_disk(world, machine);
        }
        FaultKind::SlowLinks { machine } => network.slow_down(address(machine), false),
        FaultKind::SlowDisk { machine }
        | FaultKind::HungDisk { machine }
        | FaultKind::FullDisk { machine } => repair_disk(world, machine),
    }
}

fn isolate(world: &World, machine: usize, callers_too: bool) {
    world.network.isolate(address(machine));
    if callers_too {
        world.network.block(address(machine), CLIENT_ADDRESS);
        world.network.block(CLIENT_ADDRESS, address(machine));
    }
}

fn take_all_down(world: &World, power: bool, wiped: &[usize]) {
    for machine in world.machines() {
        if power {
            machine.lose_power();
        } else {
            machine.kill();
        }
        if wiped.contains(&machine.number) {
            machine.disk.wipe();
        }
    }
}

/// Changes a machine's seeds, as the platform may do later; the change takes effect at the next start.
fn reseed(world: &World, machine: usize) {
    let others = world.machines().into_iter().map(|other| other.ip).rev();
    world.machine(machine).set_seeds(others.take(constants::SEED_COUNT).collect());
}

fn restart(world: &Arc<World>, number: usize) {
    let machine = world.machine(number);
    if world.injected_bug == Some(InjectedBug::StuckMember) {
        machine.disk.update_condition(|disk| disk.hung = true);
    }
    tokio::spawn(async move { machine.start(false).await });
}

fn replace(world: &Arc<World>, number: usize) {
    let lost = world.machine(number);
    lost.removed.store(true, Ordering::Relaxed);
    let machine = world.add_machine(lost.zone);
    tokio::spawn(async move { machine.start(false).await });
}

fn repair_disk(world: &World, machine: usize) {
    if world.injected_bug != Some(InjectedBug::StuckMember) {
        world.machine(machine).disk.update_condition(|disk| *disk = Default::default());
    }
}
