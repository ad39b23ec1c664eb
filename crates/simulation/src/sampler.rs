//! Samples the controllers' state: lease holders and memberships.

use crate::constants;
use crate::history::{CaughtUp, LeaseObservation, MembershipObservation};
use crate::world::World;
use control_plane::cluster_state::ClusterState;
use control_plane::leases::ROLLOUT_LEASE;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Samples all controllers until the run is over, and records changes.
pub async fn sample(world: Arc<World>) {
    let mut previous_holders: Vec<(usize, u64, u64)> = Vec::new();
    let mut previous_epochs: BTreeMap<usize, u64> = BTreeMap::new();
    while !world.is_over() {
        tokio::time::sleep(constants::SAMPLE_INTERVAL).await;
        sample_holders(&world, &mut previous_holders);
        sample_memberships(&world, &mut previous_epochs);
    }
}

fn sample_holders(world: &World, previous: &mut Vec<(usize, u64, u64)>) {
    let mut current = Vec::new();
    for machine in world.machines() {
        let Some((start, controller)) = machine.controller() else { continue };
        if let Some(fencing_token) = controller.leases().fencing_token(ROLLOUT_LEASE) {
            current.push((machine.number, start, fencing_token));
        }
    }
    if *previous == current {
        return;
    }
    let at = world.now();
    let holders = current.iter().map(|&(machine, start, fencing_token)| LeaseObservation {
        lease_name: ROLLOUT_LEASE,
        machine,
        start,
        fencing_token,
        at,
    });
    world.history.lock().holders.extend(holders);
    *previous = current;
}

fn sample_memberships(world: &World, previous: &mut BTreeMap<usize, u64>) {
    for machine in world.machines() {
        let Some((_, controller)) = machine.controller() else { continue };
        let membership = controller.consensus().membership();
        if membership.epoch == 0
            || previous.insert(machine.number, membership.epoch) == Some(membership.epoch)
        {
            continue;
        }
        let mut members: Vec<String> = membership.members.into_iter().map(|m| m.ip).collect();
        members.sort();
        let observation = MembershipObservation {
            machine: machine.number,
            epoch: membership.epoch,
            members,
            at: world.now(),
        };
        world.history.lock().memberships.push(observation);
    }
}

/// The state of each member of the newest sampled membership, including permanently removed machines.
pub fn observe_members(world: &World) -> Vec<CaughtUp> {
    let newest = world
        .history
        .lock()
        .memberships
        .iter()
        .max_by_key(|observation| observation.epoch)
        .cloned();
    let Some(newest) = newest else { return Vec::new() };
    let running = world.machines();
    let mut caught_up = Vec::new();
    for member in newest.members {
        let machine = running.iter().find(|machine| machine.ip.to_string() == member);
        let controller = machine.and_then(|machine| machine.controller());
        let number = machine.map(|machine| machine.number);
        caught_up.push(CaughtUp {
            machine: number,
            votes: controller.as_ref().is_some_and(|(_, c)| c.consensus().votes()),
            version: controller
                .map_or(0, |(_, c)| c.cluster_state().read(ClusterState::config_version)),
        });
    }
    caught_up
}
