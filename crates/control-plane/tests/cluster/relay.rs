//! The ring of the index owner, passed on by the other controllers where there are many routers.

use super::Cluster;
use control_plane::leases::INDEX_OWNER_LEASE;
use control_plane::service::weights;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::wire::{
    Body, CachedParts, CachedPrefixes, Invalidation, RingHead, RingRequest, RingResponse,
    RouterHeartbeat,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const NODES: [usize; 3] = [1, 2, 3];
const TICK: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(20);
/// Machines of routers have the addresses behind those of the controllers.
const FIRST_ROUTER: usize = 20;
const SALT: &str = "m|1|#1";
const PART: u64 = 7;

/// Three controllers, and routers that are linked to all of them.
struct Fleet {
    cluster: Cluster,
    /// One link of the first router to each controller, in the order of [`NODES`].
    reader: Vec<Arc<Link>>,
    heartbeats: tokio::task::JoinHandle<()>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

async fn send_heartbeats(links: Vec<Arc<Link>>) {
    loop {
        for link in &links {
            let _ = link.notify(Body::RouterHeartbeat(RouterHeartbeat::default()));
        }
        tokio::time::sleep(constants::ROUTER_HEARTBEAT_INTERVAL).await;
    }
}

impl Fleet {
    async fn with_routers(routers: usize, seed: u64) -> Fleet {
        let cluster = Cluster::found(NODES.len(), seed).await;
        cluster.wait_until_settled().await;
        let link = |router: usize| {
            let cluster = &cluster;
            NODES.map(|node| cluster.router_link(FIRST_ROUTER + router, node, None))
        };
        let links: Vec<Arc<Link>> = (0..routers).flat_map(link).collect();
        for link in &links {
            link.watch().wait_for(|is_up| *is_up).await.unwrap();
        }
        let reader = links[..NODES.len()].to_vec();
        let heartbeats = tokio::spawn(send_heartbeats(links));
        Fleet { cluster, reader, heartbeats }
    }

    /// The controller that owns the index.
    async fn owner(&self, nodes: &[usize]) -> usize {
        let start = Instant::now();
        let owns = |node: &usize| {
            let leases = self.cluster.controller(*node).leases();
            leases.fencing_token(INDEX_OWNER_LEASE).is_some()
        };
        loop {
            if let Some(owner) = nodes.iter().copied().find(owns) {
                return owner;
            }
            assert!(start.elapsed() < LIMIT, "nobody owns the index");
            tokio::time::sleep(TICK).await;
        }
    }

    async fn ask(&self, node: usize, request: RingRequest) -> RingResponse {
        let link = &self.reader[node - 1];
        match link.call(Body::RingRequest(request), constants::REFILL_TIMEOUT).await {
            Ok(Body::RingResponse(response)) => response,
            other => panic!("n{node}: {other:?}"),
        }
    }

    /// A snapshot of a controller that has one of a ring no older than this.
    async fn snapshot(&self, node: usize, fencing_token: u64) -> RingResponse {
        let start = Instant::now();
        loop {
            let request = RingRequest { refill: true, reader: 1, ..Default::default() };
            let response = self.ask(node, request).await;
            let head = response.head.as_ref();
            if head.is_some_and(|head| head.fencing_token >= fencing_token) {
                return response;
            }
            assert!(start.elapsed() < LIMIT, "n{node} has no snapshot");
            tokio::time::sleep(TICK).await;
        }
    }

    /// What comes behind a place in a controller's ring until this is true of it.
    async fn read_until(
        &self,
        node: usize,
        from: &RingResponse,
        is_there: impl Fn(&RingResponse) -> bool,
    ) {
        let head = from.head.clone().expect("it has a place");
        let start = Instant::now();
        loop {
            let request = RingRequest {
                fencing_token: head.fencing_token,
                incarnation: head.incarnation,
                cursor: from.cursor,
                reader: 1,
                refill: false,
                found: head.found,
            };
            let response = self.ask(node, request).await;
            assert!(!response.reset, "n{node} has lost the reader's place");
            if is_there(&response) {
                return;
            }
            assert!(start.elapsed() < LIMIT, "n{node}: {response:?}");
            tokio::time::sleep(TICK).await;
        }
    }
}

fn found() -> CachedParts {
    CachedParts {
        holder: "e1".into(),
        salt: SALT.into(),
        parts: vec![PART],
        cached_tokens: vec![9],
    }
}

fn names_the_part(response: &RingResponse) -> bool {
    response.snapshot.iter().any(|cached| cached.holder == "e1" && cached.parts == [PART])
}

fn address(node: usize) -> String {
    format!("10.0.0.{node}")
}

#[tokio::test(start_paused = true)]
async fn findings_and_invalidations_of_the_owner_are_read_at_every_controller() {
    let fleet = Fleet::with_routers(constants::RELAY_ROUTERS, 81).await;
    let owner = fleet.owner(&NODES).await;
    let mut places = Vec::new();
    for node in NODES {
        let place = fleet.snapshot(node, 0).await;
        assert_eq!(place.head.as_ref().map(|head| head.owner.clone()), Some(address(node)));
        places.push(place);
    }
    let entries = vec![found()];
    fleet.reader[owner - 1].notify(Body::CachedPrefixes(CachedPrefixes { entries })).unwrap();
    for (node, place) in NODES.iter().zip(&places) {
        fleet.read_until(*node, place, names_the_part).await;
    }
    let late = fleet.snapshot(owner % NODES.len() + 1, 0).await;
    assert!(names_the_part(&late), "a relay's snapshot has it too");

    let target = |controller: Arc<control_plane::Controller>| async move {
        weights::put(controller.consensus(), r#"{"model":"m","revision":2}"#.into()).await
    };
    fleet.cluster.retry_until_ok(1, target).await;
    let voids_old_weights = |response: &RingResponse| {
        let is_void = |what: &Option<Invalidation>| matches!(what, Some(Invalidation::Weights(weights)) if weights.version == 2);
        response.entries.iter().any(|entry| is_void(&entry.what))
    };
    for (node, place) in NODES.iter().zip(&places) {
        fleet.read_until(*node, place, voids_old_weights).await;
    }
}

#[tokio::test(start_paused = true)]
async fn relays_follow_the_next_owner() {
    let mut fleet = Fleet::with_routers(constants::RELAY_ROUTERS, 82).await;
    let owner = fleet.owner(&NODES).await;
    let others: Vec<usize> = NODES.into_iter().filter(|node| *node != owner).collect();
    let token = |head: &Option<RingHead>| head.as_ref().map_or(0, |head| head.fencing_token);
    let before = token(&fleet.snapshot(others[0], 0).await.head);
    fleet.cluster.crash(owner);
    let next = fleet.owner(&others).await;
    for node in &others {
        let head = fleet.snapshot(*node, before + 1).await.head;
        assert!(token(&head) > before, "n{node} passes on what n{next} owns");
    }
}

#[tokio::test(start_paused = true)]
async fn few_routers_have_no_relay() {
    let fleet = Fleet::with_routers(constants::RELAY_ROUTERS - 1, 83).await;
    let owner = fleet.owner(&NODES).await;
    fleet.snapshot(owner, 0).await;
    fleet.cluster.wait_until_settled().await;
    for node in NODES.into_iter().filter(|node| *node != owner) {
        let request = RingRequest { refill: true, reader: 1, ..Default::default() };
        assert_eq!(fleet.ask(node, request).await, RingResponse::default(), "n{node}");
    }
}
