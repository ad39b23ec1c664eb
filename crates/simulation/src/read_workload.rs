//! Simulated readers of the configuration: callers of `control`, and routers over their links.

use crate::config_body::{digest, number_of};
use crate::constants;
use crate::history::{Read, Version};
use crate::injected_bug::InjectedBug;
use crate::machine::Machine;
use crate::transport::ProcessTransport;
use crate::world::World;
use bytes::Bytes;
use control_plane::Controller;
use control_plane::consensus::state_machine;
use data_plane::fleet_view::config_fetch::{ConfigBody, rebuild};
use fleet_core::link::{Link, LinkBudgets};
use fleet_core::node::{Node, Role};
use fleet_core::wire::{Body, ConfigRequest, ConfigValue, RouterHeartbeat};
use prost::Message;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// Reads from random machines until the run is over.
pub async fn run_reader(world: Arc<World>, number: usize) {
    let mut rng = world.rng("reader", number);
    while !world.is_over() {
        let pause = rng.u64(constants::READ_INTERVAL_MS / 2..constants::READ_INTERVAL_MS * 2);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let machines = world.machines();
        let machine = machines[rng.usize(0..machines.len())].clone();
        read_once(&world, &machine).await;
    }
}

/// Reads once from a machine, and records the read if it returned a version.
pub async fn read_once(world: &Arc<World>, machine: &Arc<Machine>) -> Option<Version> {
    let invoked = world.now();
    let body = fetch(world, machine).await?;
    record_read(world, machine.number, &body, invoked)
}

/// Reads from a machine until it answers or [`constants::FINAL_READ_TIMEOUT`] is over; used at the end of a run.
pub async fn read_until_answered(world: &Arc<World>, machine: &Arc<Machine>) -> Option<Read> {
    let reading = async {
        loop {
            let invoked = world.now();
            if let Some(body) = fetch(world, machine).await {
                return parse_read(world, machine.number, &body, invoked);
            }
            tokio::time::sleep(Duration::from_millis(constants::READ_INTERVAL_MS)).await;
        }
    };
    tokio::time::timeout(constants::FINAL_READ_TIMEOUT, reading).await.ok().flatten()
}

async fn fetch(world: &World, machine: &Arc<Machine>) -> Option<Bytes> {
    let is_stale = world.injected_bug == Some(InjectedBug::StaleRead);
    let call = async move |controller: Arc<Controller>| {
        if is_stale {
            return local_configuration(&controller);
        }
        control_plane::service::configuration::fetch(controller.consensus()).await.ok()
    };
    world.call(machine, call).await.flatten()
}

/// The configuration in a controller's local state, which may be outdated.
fn local_configuration(controller: &Controller) -> Option<Bytes> {
    let register = controller
        .consensus()
        .with_acceptor(|acceptor| acceptor.register(state_machine::CONFIG).cloned())?;
    let value = ConfigValue::decode(register.value).ok()?;
    if value.version == 0 {
        return None;
    }
    value.body().ok()
}

fn parse_read(world: &World, machine: usize, body: &[u8], invoked: u64) -> Option<Read> {
    let version = Version { number: number_of(body)?, digest: digest(body) };
    Some(Read { machine, version, invoked, completed: world.now() })
}

fn record_read(world: &World, machine: usize, body: &[u8], invoked: u64) -> Option<Version> {
    let read = parse_read(world, machine, body, invoked)?;
    let version = read.version;
    world.history.lock().reads.push(read);
    Some(version)
}

/// Simulates a router: keeps a link to one controller at a time, and fetches configurations that a majority confirms.
pub async fn run_router(world: Arc<World>, number: usize) {
    let mut rng = world.rng("router", number);
    let node = router_node(&world, number);
    let transport = Arc::new(ProcessTransport::new(world.network.clone()));
    while !world.is_over() {
        let machines = world.machines();
        let machine = machines[rng.usize(0..machines.len())].clone();
        let at = std::net::SocketAddr::new(machine.ip.into(), constants::PEER_PORT);
        let link = Link::maintain_over(transport.clone(), &node, at, None);
        let link_duration = Duration::from_millis(rng.u64(1000..constants::MAX_ROUTER_LINK_MS));
        let _ = tokio::time::timeout(link_duration, fetch_over_link(&world, &machine, &link)).await;
    }
}

fn router_node(world: &World, number: usize) -> Node {
    Node {
        name: format!("router-{number}"),
        zone: "zone-0".to_owned(),
        ip: Ipv4Addr::new(10, constants::CLIENT_OCTET, 1, number as u8 + 1),
        role: Role::Router,
        incarnation: world.rng("incarnation", number).u64(1..),
        link_budgets: LinkBudgets::default(),
    }
}

async fn fetch_over_link(world: &World, machine: &Machine, link: &Link) {
    let mut current: Option<ConfigBody> = None;
    while !world.is_over() {
        tokio::time::sleep(Duration::from_millis(constants::READ_INTERVAL_MS)).await;
        let heartbeat = RouterHeartbeat::default();
        if link.call(Body::RouterHeartbeat(heartbeat), constants::CALLER_TIMEOUT).await.is_err() {
            continue;
        }
        let invoked = world.now();
        if let Some(newest) = fetch_newest(link, current.as_ref()).await {
            record_read(world, machine.number, &newest.body, invoked);
            current = Some(newest);
        }
    }
}

/// Fetches the configuration that a majority confirms, and rebuilds it as the real router does.
async fn fetch_newest(link: &Link, current: Option<&ConfigBody>) -> Option<ConfigBody> {
    let digest = current.map(|current| Bytes::copy_from_slice(current.digest.as_bytes()));
    let request = ConfigRequest { digest: digest.unwrap_or_default() };
    let answer =
        link.call(Body::ConfigRequest(request), fleet_core::constants::CONFIG_FETCH_TIMEOUT).await;
    let Ok(Body::ConfigResponse(response)) = answer else { return None };
    if response.payload.is_none() {
        return current
            .filter(|current| current.digest.as_bytes() == &response.digest[..])
            .cloned();
    }
    rebuild(&response, current).ok()
}
