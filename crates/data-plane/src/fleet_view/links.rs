//! Links to the controllers: updates come in, heartbeats go out.

use super::FleetView;
use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::settings::Settings;
use fleet_core::wire::{Body, FleetUpdate, RouterHeartbeat};
use hashbrown::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The controllers to be linked with: the membership's, the seeds while no member is linked, and this machine's own.
fn addresses(router: &Router) -> HashSet<Ipv4Addr> {
    let membership = router.fleet_view.membership.lock();
    let mut addresses: HashSet<Ipv4Addr> =
        membership.members.iter().filter_map(|member| member.addr()).collect();
    drop(membership);
    let settings = router.settings();
    if !is_any_linked(&router.fleet_view, &addresses) {
        addresses.extend(seeds(&settings));
    }
    addresses.extend(own_machine(&settings));
    addresses
}

fn is_any_linked(view: &FleetView, addresses: &HashSet<Ipv4Addr>) -> bool {
    let links = view.links.lock();
    links.iter().any(|(ip, link)| addresses.contains(ip) && link.is_up())
}

fn seeds(settings: &Settings) -> Vec<Ipv4Addr> {
    let ipv4 = |seed: &SocketAddr| match seed.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    };
    settings.seeds.iter().filter_map(ipv4).collect()
}

/// The controller of this machine, if there is one: also where it is no member, it ends after this router only if it
/// is linked with it.
fn own_machine(settings: &Settings) -> Option<Ipv4Addr> {
    settings.counted.then_some(settings.ip)
}

/// Keeps the links to the controllers, and sends each a heartbeat once a second.
pub async fn run_link_maintenance(router: Arc<Router>) {
    loop {
        update_links(&router);
        send_heartbeats(&router);
        tokio::time::sleep(constants::ROUTER_HEARTBEAT_INTERVAL).await;
    }
}

/// Opens the links that are missing, and drops those to controllers that are no longer wanted.
fn update_links(router: &Arc<Router>) {
    let addresses = addresses(router);
    let mut links = router.fleet_view.links.lock();
    links.retain(|ip, _| addresses.contains(ip));
    for ip in addresses {
        links.entry(ip).or_insert_with(|| open_link(router, ip));
    }
}

/// A link to the controller at an address. Its updates are taken in by a task that ends with the link.
fn open_link(router: &Arc<Router>, ip: Ipv4Addr) -> Arc<Link> {
    let (pushed, updates) = mpsc::channel(constants::LINK_BACKLOG);
    let address = router.settings().peer_addr(ip.into());
    let link = Link::keep(&router.node, address, Some(pushed));
    tokio::spawn(receive_updates(router.clone(), ip, Arc::downgrade(&link), updates));
    link
}

/// Sends a heartbeat to all controllers. Each is a task of its own, which ends by its time-out: a controller that does not
/// answer holds up no other.
fn send_heartbeats(router: &Router) {
    let heartbeat = RouterHeartbeat {
        version: router.fleet_view.routing_table().map_or(0, |table| table.version),
        shutting_down: router.is_shutting_down(),
    };
    let links: Vec<Arc<Link>> = router.fleet_view.links.lock().values().cloned().collect();
    for link in links {
        let heartbeat = Body::RouterHeartbeat(heartbeat.clone());
        tokio::spawn(async move {
            // what it shows is whether the link stands, which the link knows
            let _ = link.call(heartbeat, constants::ROUTER_HEARTBEAT_INTERVAL).await;
        });
    }
}

/// Tells the loss of a controller from the loss of a connection to it.
///
/// A connection that is reset comes up again at the next try. A controller that has ended, or that is cut off, can't be
/// reached for longer: only that is evidence that a roll-out may be held up.
#[derive(Debug, Default)]
struct LossDetector {
    /// Since when the link has been down; none while it is up, or once its loss was returned.
    down_since: Option<Instant>,
}

impl LossDetector {
    fn link_changed(&mut self, is_up: bool, now: Instant) {
        self.down_since = (!is_up).then_some(now);
    }

    /// Waits until the controller counts as lost; returns since when, once for each loss.
    ///
    /// # Cancel safety
    ///
    /// A wait that is dropped changes nothing.
    async fn lost(&mut self) -> Instant {
        let Some(down_since) = self.down_since else { return std::future::pending().await };
        tokio::time::sleep_until(down_since + constants::CONTROLLER_LOSS_TIMEOUT).await;
        self.down_since = None;
        down_since
    }
}

/// What a link brings, or what became of it.
enum LinkEvent {
    /// A controller pushed a message.
    Pushed(Body),
    /// The link came up or went down.
    Changed { is_up: bool },
    /// The controller counts as lost since this moment.
    Lost { since: Instant },
    /// The link was dropped.
    Dropped,
}

async fn receive_updates(
    router: Arc<Router>,
    controller: Ipv4Addr,
    link: Weak<Link>,
    mut updates: mpsc::Receiver<Body>,
) {
    let Some(mut is_up) = link.upgrade().map(|link| link.watch()) else { return };
    let mut loss = LossDetector::default();
    loop {
        let event = tokio::select! {
            pushed = updates.recv() => pushed.map_or(LinkEvent::Dropped, LinkEvent::Pushed),
            changed = is_up.changed() => match changed {
                Ok(()) => LinkEvent::Changed { is_up: *is_up.borrow_and_update() },
                Err(_) => LinkEvent::Dropped,
            },
            since = loss.lost() => LinkEvent::Lost { since },
        };
        match event {
            LinkEvent::Pushed(body) => apply(&router, body),
            LinkEvent::Changed { is_up } => {
                loss.link_changed(is_up, Instant::now());
                if !is_up {
                    router.fleet_view.ring_sources.forget_relay(&controller.to_string());
                    fleet_core::log_event!(router.log, Event::LinkDown);
                }
            }
            LinkEvent::Lost { since } => {
                router.fleet_view.disturb(since);
                router.counters.controllers_lost.fetch_add(1, Ordering::Relaxed);
            }
            LinkEvent::Dropped => return,
        }
    }
}

/// Takes in what a controller pushed; a message of a kind that a router has no use for is ignored.
fn apply(router: &Router, body: Body) {
    match body {
        Body::FleetUpdate(update) => {
            log_new_targets(&router.log, &router.fleet_view, &update);
            router.fleet_view.apply(&update);
        }
        Body::LoadReport(loads) => router.fleet_view.update_loads(&loads),
        _ => {}
    }
}

/// Says when this router learned of target weights that are newer than the ones it knows.
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
