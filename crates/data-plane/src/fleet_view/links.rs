//! Maintains the links to the controllers: receives updates and sends heartbeats.

use super::FleetView;
use crate::Router;
use fleet_core::constants;
use fleet_core::link::{Link, Pushed};
use fleet_core::log::Event;
use fleet_core::settings::Settings;
use fleet_core::wire::{Body, FleetUpdate, RouterHeartbeat};
use hashbrown::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The controllers to connect to: the members, the seeds while no link to a member is up, and the controller of this
/// machine.
fn controller_addresses(router: &Router) -> HashSet<Ipv4Addr> {
    let membership = router.fleet_view.membership.lock();
    let mut addresses: HashSet<Ipv4Addr> =
        membership.members.iter().filter_map(|member| member.addr()).collect();
    drop(membership);
    let settings = router.settings();
    if !is_any_link_up(&router.fleet_view, &addresses) {
        addresses.extend(seed_addresses(&settings));
    }
    addresses.extend(local_controller(&settings));
    addresses
}

fn is_any_link_up(view: &FleetView, addresses: &HashSet<Ipv4Addr>) -> bool {
    let links = view.links.lock();
    links.iter().any(|(ip, link)| addresses.contains(ip) && link.is_up())
}

fn seed_addresses(settings: &Settings) -> Vec<Ipv4Addr> {
    let ipv4 = |seed: &SocketAddr| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    };
    settings.seeds.iter().filter_map(ipv4).collect()
}

/// The controller of this machine, if there is one. It is linked even if it is not a member, because at shutdown it
/// waits for this router only if the two are linked.
fn local_controller(settings: &Settings) -> Option<Ipv4Addr> {
    settings.counted.then_some(settings.ip)
}

/// Opens and drops links as the controllers change, and sends each controller a heartbeat per
/// [`constants::ROUTER_HEARTBEAT_INTERVAL`].
pub async fn run_link_maintenance(router: Arc<Router>) {
    loop {
        update_links(&router);
        send_heartbeats(&router);
        tokio::time::sleep(constants::ROUTER_HEARTBEAT_INTERVAL).await;
    }
}

/// Opens missing links, and drops links to controllers that are no longer in the list.
fn update_links(router: &Arc<Router>) {
    let addresses = controller_addresses(router);
    let mut links = router.fleet_view.links.lock();
    links.retain(|ip, _| addresses.contains(ip));
    for ip in addresses {
        links.entry(ip).or_insert_with(|| open_link(router, ip));
    }
}

/// Opens a link to the controller at an address. A task applies the updates that arrive on it, and ends when the link
/// is dropped.
fn open_link(router: &Arc<Router>, ip: Ipv4Addr) -> Arc<Link> {
    let (update_sender, updates) = mpsc::channel(constants::PUSHED_QUEUE_FRAMES);
    let address = router.settings().peer_addr(ip.into());
    let link = Link::maintain(&router.node, address, Some(update_sender));
    tokio::spawn(receive_updates(router.clone(), ip, Arc::downgrade(&link), updates));
    link
}

/// Sends a heartbeat to all controllers. Each is sent by a separate task with a timeout, so that a controller that
/// doesn't respond delays no other.
fn send_heartbeats(router: &Router) {
    let heartbeat = RouterHeartbeat {
        version: router.fleet_view.routing_table().map_or(0, |table| table.version),
        shutting_down: router.is_shutting_down(),
    };
    let links: Vec<Arc<Link>> = router.fleet_view.links.lock().values().cloned().collect();
    for link in links {
        let heartbeat = Body::RouterHeartbeat(heartbeat.clone());
        tokio::spawn(async move {
            // The result only tells whether the link is up, which the link tracks itself.
            let _ = link.call(heartbeat, constants::ROUTER_HEARTBEAT_INTERVAL).await;
        });
    }
}

/// Distinguishes the loss of a controller from the loss of a connection to it.
///
/// A connection that was reset is re-established at the next attempt. A controller that has stopped or is partitioned
/// stays unreachable for longer, and only that indicates that a rollout may be delayed.
#[derive(Debug, Default)]
struct LossDetector {
    /// When the link went down; none while it is up, or once the loss was returned.
    down_since: Option<Instant>,
}

impl LossDetector {
    fn link_changed(&mut self, is_up: bool, now: Instant) {
        self.down_since = (!is_up).then_some(now);
    }

    /// Waits until the controller is considered lost, and returns when its link went down, once for each loss.
    ///
    /// # Cancel safety
    ///
    /// Dropping the future changes nothing.
    async fn lost(&mut self) -> Instant {
        let Some(down_since) = self.down_since else { return std::future::pending().await };
        tokio::time::sleep_until(down_since + constants::CONTROLLER_LOSS_TIMEOUT).await;
        self.down_since = None;
        down_since
    }
}

/// A message received on a link, or a change of the link's state.
enum LinkEvent {
    /// A controller pushed a message.
    Pushed(Box<Pushed>),
    /// The link came up or went down.
    StateChanged { is_up: bool },
    /// The controller is lost; its link went down at `since`.
    Lost { since: Instant },
    /// The link was dropped.
    Dropped,
}

async fn receive_updates(
    router: Arc<Router>,
    controller: Ipv4Addr,
    link: Weak<Link>,
    mut updates: mpsc::Receiver<Pushed>,
) {
    let Some(mut is_up) = link.upgrade().map(|link| link.watch()) else { return };
    let mut loss = LossDetector::default();
    loop {
        let event = tokio::select! {
            pushed = updates.recv() => {
                pushed.map_or(LinkEvent::Dropped, |pushed| LinkEvent::Pushed(Box::new(pushed)))
            },
            changed = is_up.changed() => match changed {
                Ok(()) => LinkEvent::StateChanged { is_up: *is_up.borrow_and_update() },
                Err(_) => LinkEvent::Dropped,
            },
            since = loss.lost() => LinkEvent::Lost { since },
        };
        match event {
            LinkEvent::Pushed(pushed) => apply_message(&router, pushed.body),
            LinkEvent::StateChanged { is_up } => {
                loss.link_changed(is_up, Instant::now());
                if !is_up {
                    router.fleet_view.ring_sources.forget_relay(&controller.to_string());
                    fleet_core::log_event!(router.log, Event::LinkDown);
                }
            }
            LinkEvent::Lost { since } => {
                router.fleet_view.record_controller_loss(since);
                router.counters.controllers_lost.fetch_add(1, Ordering::Relaxed);
            }
            LinkEvent::Dropped => return,
        }
    }
}

/// Applies a message that a controller pushed. Messages of kinds that are not meant for routers are ignored.
fn apply_message(router: &Router, body: Body) {
    match body {
        Body::FleetUpdate(update) => {
            log_new_targets(&router.log, &router.fleet_view, &update);
            router.fleet_view.apply_update(&update);
        }
        Body::LoadReport(loads) => router.fleet_view.update_loads(&loads),
        _ => {}
    }
}

/// Logs target versions in an update that are newer than those this router knows.
fn log_new_targets(log: &slog::Logger, view: &FleetView, update: &FleetUpdate) {
    for weights in &update.weights {
        let known = view.target_version(&weights.model).unwrap_or(0);
        if weights.version > known {
            fleet_core::log_event!(log, Event::TargetVersionLearned, "model" => &weights.model,
                "version" => weights.version, "age_ms" => weights.age_ms);
        }
    }
}

#[cfg(test)]
#[path = "links_tests.rs"]
mod tests;
