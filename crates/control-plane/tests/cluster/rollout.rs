//! An order to an engine whose runs last longer than routers heed a mark.

use super::{Cluster, instances};
use control_plane::service::weights;
use fleet_core::constants;
use fleet_core::transport::{BoxedStream, Listener};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const ADDRESS: &str = "10.0.1.1:80";
/// How long the engine's runs last after an order: longer than an order that shows no progress may take.
const RUNS: Duration = Duration::from_secs(9);
/// A heartbeat of the engine, and the interval of this test's looks.
const INTERVAL: Duration = Duration::from_millis(20);
/// More than the order needs once the runs have ended.
const LIMIT: Duration = Duration::from_secs(30);

/// An engine with version 1 that loads version 2 once its runs have ended.
#[derive(Default)]
struct StubEngine {
    orders: Mutex<Vec<Instant>>,
    /// A fencing token that it has seen: orders that bear a lower one are refused.
    highest_fence: Mutex<u64>,
    /// Fencing tokens of the orders that it refused, and when.
    refused: Mutex<Vec<(u64, Instant)>>,
}

/// The fencing token in an order.
fn fence_of(request: &str) -> u64 {
    let (_, fence) = request.split_once(r#""fence":"#).expect("an order bears a fencing token");
    let digits: String = fence.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

impl StubEngine {
    fn ordered_at(&self) -> Option<Instant> {
        self.orders.lock().first().copied()
    }

    fn revision(&self) -> u64 {
        if self.ordered_at().is_some_and(|at| at.elapsed() >= RUNS) { 2 } else { 1 }
    }

    fn report(&self) -> String {
        let busy = self.ordered_at().is_some() && self.revision() == 1;
        let orders = self.orders.lock().len();
        let models = serde_json::json!([{"name": "m", "revision": self.revision()}]);
        let active = u32::from(busy);
        serde_json::json!({"models": models, "busy": busy, "callSeq": orders, "active": active})
            .to_string()
    }

    fn take_order(&self, fence: u64) -> u16 {
        let mut highest = self.highest_fence.lock();
        if fence < *highest {
            self.refused.lock().push((fence, Instant::now()));
            return 412;
        }
        *highest = fence;
        self.orders.lock().push(Instant::now());
        202
    }

    fn answer(&self, request: &str) -> String {
        let (status, body) = if request.starts_with("POST /anisedyke/order") {
            (self.take_order(fence_of(request)), String::new())
        } else if request.starts_with("GET /anisedyke/report") {
            (200, self.report())
        } else {
            (200, r#"{"epoch":1,"nextToken":1,"lost":false,"events":[]}"#.to_owned())
        };
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    async fn run(self: Arc<Self>, mut listener: Box<dyn Listener>) {
        while let Ok(stream) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    /// Answers each request by its first bytes: what the controller sends fits one read.
    async fn serve(self: Arc<Self>, mut stream: BoxedStream) {
        let mut buffer = [0; 4096];
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
            let is_request = text.starts_with("GET ") || text.starts_with("POST ");
            if is_request && stream.write_all(self.answer(&text).as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

async fn heartbeat(cluster: &Cluster, engine: &StubEngine, call: u64) {
    let body = serde_json::json!({"service": "s", "address": ADDRESS, "zone": "z1", "slots": 4,
        "state": "ready", "callSeq": call, "models": [{"name": "m", "revision": engine.revision()}]});
    let registry = cluster.controller(1).registry();
    instances::heartbeat(registry, "e1".into(), body.to_string().into()).await.unwrap();
}

fn mark(cluster: &Cluster) -> u64 {
    cluster.controller(2).registry().get("e1").map_or(0, |engine| engine.update_seq)
}

#[tokio::test(start_paused = true)]
async fn a_mark_is_renewed_and_the_order_goes_on_while_the_engine_ends_its_runs() {
    let cluster = Cluster::found(3, 71).await;
    cluster.wait_until_settled().await;
    let engine = Arc::new(StubEngine::default());
    let listener = cluster.listen(ADDRESS.parse().unwrap());
    tokio::spawn(engine.clone().run(listener));
    heartbeat(&cluster, &engine, 1).await;
    let target = |controller: Arc<control_plane::Controller>| async move {
        weights::put(controller.consensus(), r#"{"model":"m","revision":2}"#.into()).await
    };
    cluster.retry_until_ok(1, target).await;

    let (start, mut renewals) = (Instant::now(), Vec::new());
    for call in 2.. {
        tokio::time::sleep(INTERVAL).await;
        heartbeat(&cluster, &engine, call).await;
        let known = renewals.last().map_or(0, |(mark, _)| *mark);
        if mark(&cluster) != known {
            renewals.push((mark(&cluster), Instant::now()));
        }
        if engine.revision() == 2 && mark(&cluster).is_multiple_of(2) {
            break;
        }
        assert!(start.elapsed() < LIMIT, "{renewals:?}");
    }
    assert_eq!(engine.orders.lock().len(), 1, "it is not given up and begun again");
    let (last, set) = renewals.split_last().unwrap();
    assert!(set.iter().all(|(mark, _)| mark % 2 == 1), "set until it is done: {renewals:?}");
    let times: Vec<Instant> = set.iter().chain([last]).map(|(_, at)| *at).collect();
    let lapsed = |pair: &[Instant]| pair[1] - pair[0] >= constants::ROLLOUT_STATE_TIMEOUT;
    assert!(!times.windows(2).any(lapsed), "routers heed it all the time: {times:?}");
    assert!(times.last().unwrap().duration_since(times[0]) >= RUNS);
}

/// The engine has seen a higher fencing token than the holder's, as if another node had held the lease in between.
#[tokio::test(start_paused = true)]
async fn a_refused_fencing_token_is_not_used_again() {
    let cluster = Cluster::found(3, 72).await;
    cluster.wait_until_settled().await;
    let (_, token) = super::leases::next_holder(&cluster, &[1, 2, 3]).await;
    let engine = Arc::new(StubEngine::default());
    *engine.highest_fence.lock() = token + 2;
    tokio::spawn(engine.clone().run(cluster.listen(ADDRESS.parse().unwrap())));
    heartbeat(&cluster, &engine, 1).await;
    let target = |controller: Arc<control_plane::Controller>| async move {
        weights::put(controller.consensus(), r#"{"model":"m","revision":2}"#.into()).await
    };
    cluster.retry_until_ok(1, target).await;

    let start = Instant::now();
    for call in 2.. {
        tokio::time::sleep(INTERVAL).await;
        heartbeat(&cluster, &engine, call).await;
        if engine.revision() == 2 {
            break;
        }
        assert!(start.elapsed() < LIMIT, "refused: {:?}", engine.refused.lock());
    }
    let refused = engine.refused.lock().clone();
    assert!(refused.len() >= 2, "each higher token was tried: {refused:?}");
    assert!(refused.is_sorted_by(|a, b| a.0 < b.0), "no token twice: {refused:?}");
    assert_eq!(engine.orders.lock().len(), 1);
}
