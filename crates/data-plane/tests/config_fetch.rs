//! Tests how a router fetches its configuration, against mock controllers.

use data_plane::Router;
use data_plane::fleet_view::{config_fetch, links};
use fleet_core::compression;
use fleet_core::digest::BodyDigest;
use fleet_core::link::{LinkBudgets, LinkError, Peer};
use fleet_core::wire::{
    Body, ConfigPayload, ConfigRequest, ConfigResponse, Empty, FleetUpdate, Member, Membership,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// A configuration request that waits for its response.
struct PendingRequest {
    controller_ip: Ipv4Addr,
    request: ConfigRequest,
    response: oneshot::Sender<Body>,
}

/// A controller that forwards each configuration request to the test.
struct MockController {
    ip: Ipv4Addr,
    connected: mpsc::UnboundedSender<Peer>,
    pending: mpsc::UnboundedSender<PendingRequest>,
}

impl fleet_core::link::PeerHandler for MockController {
    fn connected(self: &Arc<Self>, peer: &Peer) {
        let _ = self.connected.send(peer.clone());
    }

    fn disconnected(self: &Arc<Self>, _: &Peer) {}

    async fn answer(self: &Arc<Self>, _: &Peer, body: Body) -> Option<Body> {
        let Body::ConfigRequest(request) = body else { return Some(Body::Acknowledged(Empty {})) };
        let (response, response_receiver) = oneshot::channel();
        self.pending.send(PendingRequest { controller_ip: self.ip, request, response }).ok()?;
        response_receiver.await.ok()
    }

    fn link_budgets(&self) -> LinkBudgets {
        LinkBudgets::default()
    }

    fn message_rejected(self: &Arc<Self>, error: &LinkError) {
        panic!("{error}");
    }
}

/// A router linked to three controllers.
struct Harness {
    router: Arc<Router>,
    peers: Vec<Peer>,
    pending: mpsc::UnboundedReceiver<PendingRequest>,
}

impl Harness {
    async fn start() -> Harness {
        let ips = [2, 3, 4].map(|last| Ipv4Addr::new(127, 0, 0, last));
        let first = tokio::net::TcpListener::bind(SocketAddr::from((ips[0], 0))).await.unwrap();
        let port = first.local_addr().unwrap().port();
        let mut listeners = vec![first];
        for ip in &ips[1..] {
            listeners
                .push(tokio::net::TcpListener::bind(SocketAddr::from((*ip, port))).await.unwrap());
        }
        let (connected, mut connections) = mpsc::unbounded_channel();
        let (pending_tx, pending) = mpsc::unbounded_channel();
        for (ip, listener) in ips.into_iter().zip(listeners) {
            let controller =
                MockController { ip, connected: connected.clone(), pending: pending_tx.clone() };
            tokio::spawn(fleet_core::link::serve_peers(Box::new(listener), Arc::new(controller)));
        }
        let text = format!("nodeName=c1\nip=127.0.0.1\nzone=z\nportRange={port},{}\n", port + 1);
        let settings = fleet_core::settings::Settings::parse(&text).unwrap();
        let router = Router::assemble(settings, slog::Logger::root(slog::Discard, slog::o!()));
        let members = ips.map(|ip| Member { ip: ip.to_string(), ..Default::default() }).into();
        let membership = Some(Membership { epoch: 1, members });
        router.fleet_view.apply_update(&FleetUpdate { membership, ..Default::default() });
        tokio::spawn(links::run_link_maintenance(router.clone()));
        tokio::spawn(config_fetch::run_config_fetch(router.clone()));
        let mut peers = Vec::new();
        while peers.len() < ips.len() {
            peers.push(connections.recv().await.unwrap());
        }
        Harness { router, peers, pending }
    }

    /// Announces a version from all controllers.
    fn announce(&self, config: u64) {
        for peer in &self.peers {
            peer.push(Body::FleetUpdate(FleetUpdate { config, ..Default::default() })).unwrap();
        }
    }

    /// Waits until the router has received the announcement of a version from one of them.
    async fn wait_for_announcement(&self, config: u64) {
        self.router
            .fleet_view
            .announced_config()
            .wait_for(|announced| *announced >= config)
            .await
            .unwrap();
    }

    async fn next_request(&mut self) -> PendingRequest {
        self.pending.recv().await.unwrap()
    }

    /// The version in force. While a request is pending, this is the version before the requested one.
    fn in_force(&self) -> u64 {
        self.router.fleet_view.routing_table().map_or(0, |routing_table| routing_table.version)
    }
}

fn body(version: u64) -> String {
    serde_json::json!({"revision": version, "routes": [], "services": []}).to_string()
}

fn digest(version: u64) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(BodyDigest::of(body(version).as_bytes()).as_bytes())
}

fn full(version: u64) -> ConfigResponse {
    let payload = Some(ConfigPayload::Full(compression::compress(body(version).as_bytes())));
    ConfigResponse { version, isolation: 1, digest: digest(version), payload }
}

fn respond(pending: PendingRequest, response: ConfigResponse) {
    pending.response.send(Body::ConfigResponse(response)).unwrap();
}

#[tokio::test]
async fn one_fetch_is_in_progress_at_a_time_and_the_next_one_is_for_the_newest() {
    let mut harness = Harness::start().await;
    harness.announce(1);
    let first = harness.next_request().await;
    assert!(first.request.digest.is_empty(), "the router has no configuration yet");
    for version in 2..6 {
        harness.announce(version);
    }
    harness.wait_for_announcement(5).await;
    assert!(harness.pending.try_recv().is_err(), "one fetch is already in progress");
    respond(first, full(1));
    let second = harness.next_request().await;
    assert_eq!(harness.in_force(), 1);
    assert_eq!(second.request.digest, digest(1), "the request has the digest of the current body");
    respond(second, full(5));
    harness.announce(6);
    let third = harness.next_request().await;
    assert_eq!(harness.in_force(), 5);
    assert_eq!(third.request.digest, digest(5), "the versions in between were not requested");
}

#[tokio::test]
async fn after_an_unusable_response_another_controller_is_asked() {
    let mut harness = Harness::start().await;
    harness.announce(1);
    let first = harness.next_request().await;
    respond(first, full(1));
    harness.announce(2);
    let outdated = harness.next_request().await;
    let mut controllers = vec![outdated.controller_ip];
    respond(outdated, full(1));
    let damaged = harness.next_request().await;
    controllers.push(damaged.controller_ip);
    respond(damaged, ConfigResponse { digest: digest(7), ..full(2) });
    let after_damaged = harness.next_request().await;
    controllers.push(after_damaged.controller_ip);
    assert!(
        after_damaged.request.digest.is_empty(),
        "the full body is requested after a digest mismatch"
    );
    after_damaged.response.send(Body::Acknowledged(Empty {})).unwrap();
    let last = harness.next_request().await;
    controllers.sort_unstable();
    controllers.dedup();
    assert_eq!(controllers.len(), 3, "the three controllers are asked in turn");
    assert_eq!(harness.in_force(), 1, "the former configuration stays in force");
    respond(last, full(2));
    harness.announce(3);
    assert_eq!(harness.next_request().await.request.digest, digest(2));
}
