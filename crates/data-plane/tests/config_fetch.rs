//! How a router gets its configuration from controllers that are played here.

use data_plane::Router;
use data_plane::fleet_view::{config_fetch, links};
use fleet_core::digest::BodyDigest;
use fleet_core::link::{LinkError, Peer};
use fleet_core::packing;
use fleet_core::wire::{
    Body, ConfigForm, ConfigRequest, ConfigResponse, Empty, FleetUpdate, Member, Membership,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// A call for the configuration that waits for its answer.
struct Asked {
    at: Ipv4Addr,
    ask: ConfigRequest,
    answer: oneshot::Sender<Body>,
}

/// A controller that gives each call for the configuration to the test.
struct PlayedController {
    ip: Ipv4Addr,
    connected: mpsc::UnboundedSender<Peer>,
    asked: mpsc::UnboundedSender<Asked>,
}

impl fleet_core::link::PeerHandler for PlayedController {
    fn connected(self: &Arc<Self>, peer: &Peer) {
        let _ = self.connected.send(peer.clone());
    }

    fn disconnected(self: &Arc<Self>, _: &Peer) {}

    async fn answer(self: &Arc<Self>, _: &Peer, body: Body) -> Option<Body> {
        let Body::ConfigRequest(ask) = body else { return Some(Body::Acknowledged(Empty {})) };
        let (answer, answered) = oneshot::channel();
        self.asked.send(Asked { at: self.ip, ask, answer }).ok()?;
        answered.await.ok()
    }

    fn message_rejected(self: &Arc<Self>, error: &LinkError) {
        panic!("{error}");
    }
}

/// A router linked to three controllers.
struct Stand {
    router: Arc<Router>,
    peers: Vec<Peer>,
    asked: mpsc::UnboundedReceiver<Asked>,
}

impl Stand {
    async fn start() -> Stand {
        let ips = [2, 3, 4].map(|last| Ipv4Addr::new(127, 0, 0, last));
        let first = tokio::net::TcpListener::bind(SocketAddr::from((ips[0], 0))).await.unwrap();
        let port = first.local_addr().unwrap().port();
        let mut listeners = vec![first];
        for ip in &ips[1..] {
            listeners
                .push(tokio::net::TcpListener::bind(SocketAddr::from((*ip, port))).await.unwrap());
        }
        let (connected, mut joins) = mpsc::unbounded_channel();
        let (asked_tx, asked) = mpsc::unbounded_channel();
        for (ip, listener) in ips.into_iter().zip(listeners) {
            let host =
                PlayedController { ip, connected: connected.clone(), asked: asked_tx.clone() };
            tokio::spawn(fleet_core::link::serve_peers(Box::new(listener), Arc::new(host)));
        }
        let text = format!("nodeName=c1\nip=127.0.0.1\nzone=z\nportRange={port},{}\n", port + 1);
        let settings = fleet_core::settings::Settings::parse(&text).unwrap();
        let router = Router::assemble(settings, slog::Logger::root(slog::Discard, slog::o!()));
        let members = ips.map(|ip| Member { ip: ip.to_string(), ..Default::default() }).into();
        let membership = Some(Membership { epoch: 1, members });
        router.fleet_view.hear(&FleetUpdate { membership, ..Default::default() });
        tokio::spawn(links::watching(router.clone()));
        tokio::spawn(config_fetch::fetching(router.clone()));
        let mut peers = Vec::new();
        while peers.len() < ips.len() {
            peers.push(joins.recv().await.unwrap());
        }
        Stand { router, peers, asked }
    }

    /// All controllers tell of a version.
    fn tell(&self, config: u64) {
        for peer in &self.peers {
            peer.push(Body::FleetUpdate(FleetUpdate { config, ..Default::default() })).unwrap();
        }
    }

    /// Waits until the router has heard of a version from one of them.
    async fn heard(&self, config: u64) {
        self.router.fleet_view.told_config().wait_for(|told| *told >= config).await.unwrap();
    }

    async fn next(&mut self) -> Asked {
        self.asked.recv().await.unwrap()
    }

    /// The version in force; while a call is held here, that is the one before it.
    fn in_force(&self) -> u64 {
        self.router.fleet_view.table().map_or(0, |table| table.version)
    }
}

fn body(version: u64) -> String {
    serde_json::json!({"revision": version, "routes": [], "services": []}).to_string()
}

fn digest(version: u64) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(BodyDigest::of(body(version).as_bytes()).as_bytes())
}

fn whole(version: u64) -> ConfigResponse {
    let form = Some(ConfigForm::Full(packing::pack(body(version).as_bytes())));
    ConfigResponse { version, isolation: 1, digest: digest(version), form }
}

fn give(asked: Asked, given: ConfigResponse) {
    asked.answer.send(Body::ConfigResponse(given)).unwrap();
}

#[tokio::test]
async fn one_fetch_is_under_way_at_a_time_and_then_one_for_the_newest() {
    let mut stand = Stand::start().await;
    stand.tell(1);
    let first = stand.next().await;
    assert!(first.ask.digest.is_empty(), "it has none as yet");
    for version in 2..6 {
        stand.tell(version);
    }
    stand.heard(5).await;
    assert!(stand.asked.try_recv().is_err(), "one fetch is under way");
    give(first, whole(1));
    let second = stand.next().await;
    assert_eq!(stand.in_force(), 1);
    assert_eq!(second.ask.digest, digest(1), "it tells what it has");
    give(second, whole(5));
    stand.tell(6);
    let third = stand.next().await;
    assert_eq!(stand.in_force(), 5);
    assert_eq!(third.ask.digest, digest(5), "nothing was asked for versions in between");
}

#[tokio::test]
async fn answers_that_bring_nothing_are_made_up_for_by_another_controller() {
    let mut stand = Stand::start().await;
    stand.tell(1);
    let first = stand.next().await;
    give(first, whole(1));
    stand.tell(2);
    let old = stand.next().await;
    let mut asked_at = vec![old.at];
    give(old, whole(1));
    let damaged = stand.next().await;
    asked_at.push(damaged.at);
    give(damaged, ConfigResponse { digest: digest(7), ..whole(2) });
    let unfitting = stand.next().await;
    asked_at.push(unfitting.at);
    assert!(unfitting.ask.digest.is_empty(), "the whole is asked for after a wrong digest");
    unfitting.answer.send(Body::Acknowledged(Empty {})).unwrap();
    let last = stand.next().await;
    asked_at.sort_unstable();
    asked_at.dedup();
    assert_eq!(asked_at.len(), 3, "three controllers in turn");
    assert_eq!(stand.in_force(), 1, "what was in force stays");
    give(last, whole(2));
    stand.tell(3);
    assert_eq!(stand.next().await.ask.digest, digest(2));
}
