//! Relays of the invalidation ring: with many routers, the other controllers relay the ring of the index owner.

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
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(20);
/// Number of the first router's machine; above those of the controllers.
const FIRST_ROUTER: usize = 20;
const SALT: &str = "m|1|#1";
const PART: u64 = 7;

/// Three controllers, and routers that have links to all of them.
struct Fleet {
    cluster: Cluster,
    /// Links of the first router to the controllers, in the order of [`NODES`].
    reader_links: Vec<Arc<Link>>,
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
        let cluster = Cluster::bootstrap(NODES.len(), seed).await;
        cluster.wait_until_settled().await;
        let link = |router: usize| {
            let cluster = &cluster;
            NODES.map(|node| cluster.router_link(FIRST_ROUTER + router, node, None))
        };
        let links: Vec<Arc<Link>> = (0..routers).flat_map(link).collect();
        for link in &links {
            link.watch().wait_for(|is_up| *is_up).await.unwrap();
        }
        let reader_links = links[..NODES.len()].to_vec();
        let heartbeats = tokio::spawn(send_heartbeats(links));
        Fleet { cluster, reader_links, heartbeats }
    }

    /// Waits until one of these controllers owns the index.
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
            assert!(start.elapsed() < LIMIT, "no node owns the index");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn fetch(&self, node: usize, request: RingRequest) -> RingResponse {
        let link = &self.reader_links[node - 1];
        match link.call(Body::RingRequest(request), constants::SNAPSHOT_TIMEOUT).await {
            Ok(Body::RingResponse(response)) => response,
            other => panic!("n{node}: {other:?}"),
        }
    }

    /// Waits until a controller returns a snapshot of a ring whose fencing token is at least `fencing_token`.
    async fn snapshot(&self, node: usize, fencing_token: u64) -> RingResponse {
        let start = Instant::now();
        loop {
            let request = RingRequest { request_snapshot: true, reader: 1, ..Default::default() };
            let response = self.fetch(node, request).await;
            let head = response.head.as_ref();
            if head.is_some_and(|head| head.fencing_token >= fencing_token) {
                return response;
            }
            assert!(start.elapsed() < LIMIT, "n{node} has no snapshot");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads a controller's ring from the position of an earlier response until a response satisfies a predicate.
    async fn read_until(
        &self,
        node: usize,
        from: &RingResponse,
        is_expected: impl Fn(&RingResponse) -> bool,
    ) {
        let head = from.head.clone().expect("the response has a head");
        let start = Instant::now();
        loop {
            let request = RingRequest {
                fencing_token: head.fencing_token,
                incarnation: head.incarnation,
                cursor: from.cursor,
                reader: 1,
                request_snapshot: false,
                finding_count: head.finding_count,
            };
            let response = self.fetch(node, request).await;
            assert!(!response.reset, "n{node} has lost the reader's position");
            if is_expected(&response) {
                return;
            }
            assert!(start.elapsed() < LIMIT, "n{node}: {response:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn finding() -> CachedParts {
    CachedParts {
        holder: "e1".into(),
        salt: SALT.into(),
        parts: vec![PART],
        cached_tokens: vec![9],
    }
}

fn contains_the_finding(response: &RingResponse) -> bool {
    response.snapshot.iter().any(|cached| cached.holder == "e1" && cached.parts == [PART])
}

fn address(node: usize) -> String {
    format!("10.0.0.{node}")
}

#[tokio::test(start_paused = true)]
async fn findings_and_invalidations_of_the_owner_are_available_at_every_controller() {
    let fleet = Fleet::with_routers(constants::RELAY_MIN_ROUTERS, 81).await;
    let owner = fleet.owner(&NODES).await;
    let mut positions = Vec::new();
    for node in NODES {
        let position = fleet.snapshot(node, 0).await;
        assert_eq!(position.head.as_ref().map(|head| head.owner.clone()), Some(address(node)));
        positions.push(position);
    }
    let entries = vec![finding()];
    fleet.reader_links[owner - 1].notify(Body::CachedPrefixes(CachedPrefixes { entries })).unwrap();
    for (node, position) in NODES.iter().zip(&positions) {
        fleet.read_until(*node, position, contains_the_finding).await;
    }
    let relay_snapshot = fleet.snapshot(owner % NODES.len() + 1, 0).await;
    assert!(contains_the_finding(&relay_snapshot), "the snapshot of a relay contains it too");

    let target = |controller: Arc<control_plane::Controller>| async move {
        weights::put(controller.consensus(), r#"{"model":"m","revision":2}"#.into()).await
    };
    fleet.cluster.retry_until_ok(1, target).await;
    let invalidates_old_weights = |response: &RingResponse| {
        let is_match = |invalidation: &Option<Invalidation>| matches!(invalidation, Some(Invalidation::Weights(weights)) if weights.version == 2);
        response.entries.iter().any(|entry| is_match(&entry.invalidation))
    };
    for (node, position) in NODES.iter().zip(&positions) {
        fleet.read_until(*node, position, invalidates_old_weights).await;
    }
}

#[tokio::test(start_paused = true)]
async fn relays_follow_the_next_owner() {
    let mut fleet = Fleet::with_routers(constants::RELAY_MIN_ROUTERS, 82).await;
    let owner = fleet.owner(&NODES).await;
    let others: Vec<usize> = NODES.into_iter().filter(|node| *node != owner).collect();
    let token_of = |head: &Option<RingHead>| head.as_ref().map_or(0, |head| head.fencing_token);
    let before = token_of(&fleet.snapshot(others[0], 0).await.head);
    fleet.cluster.crash(owner);
    let next = fleet.owner(&others).await;
    for node in &others {
        let head = fleet.snapshot(*node, before + 1).await.head;
        assert!(token_of(&head) > before, "n{node} relays the ring of n{next}");
    }
}

#[tokio::test(start_paused = true)]
async fn ring_is_not_relayed_for_few_routers() {
    let fleet = Fleet::with_routers(constants::RELAY_MIN_ROUTERS - 1, 83).await;
    let owner = fleet.owner(&NODES).await;
    fleet.snapshot(owner, 0).await;
    fleet.cluster.wait_until_settled().await;
    for node in NODES.into_iter().filter(|node| *node != owner) {
        let request = RingRequest { request_snapshot: true, reader: 1, ..Default::default() };
        assert_eq!(fleet.fetch(node, request).await, RingResponse::default(), "n{node}");
    }
}
