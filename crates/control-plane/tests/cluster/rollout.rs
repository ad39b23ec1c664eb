//! Update orders to engines: requests in flight that outlast the routers' timeout for an update in progress, and
//! fencing tokens that an engine refuses.

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
/// Time for which the engine's requests in flight last after an order; longer than an order without progress may take.
const IN_FLIGHT_DURATION: Duration = Duration::from_secs(9);
/// Interval of the engine's heartbeats, after each of which the test checks its state.
const INTERVAL: Duration = Duration::from_millis(20);
/// Maximum duration of a test; more than an order needs after the requests in flight have ended.
const LIMIT: Duration = Duration::from_secs(30);

/// An engine with version 1 that loads version 2 as soon as its requests in flight have ended.
#[derive(Default)]
struct StubEngine {
    orders: Mutex<Vec<Instant>>,
    /// The highest fencing token seen; orders with a lower one are refused.
    highest_fencing_token: Mutex<u64>,
    /// Fencing tokens of refused orders, with the time of the refusal.
    refused: Mutex<Vec<(u64, Instant)>>,
}

/// The fencing token in an order.
fn fencing_token_of(request: &str) -> u64 {
    let (_, rest) = request.split_once(r#""fence":"#).expect("an order has a fencing token");
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

impl StubEngine {
    fn ordered_at(&self) -> Option<Instant> {
        self.orders.lock().first().copied()
    }

    fn revision(&self) -> u64 {
        if self.ordered_at().is_some_and(|at| at.elapsed() >= IN_FLIGHT_DURATION) { 2 } else { 1 }
    }

    fn report(&self) -> String {
        let is_busy = self.ordered_at().is_some() && self.revision() == 1;
        let orders = self.orders.lock().len();
        let models = serde_json::json!([{"name": "m", "revision": self.revision()}]);
        let active = u32::from(is_busy);
        serde_json::json!({"models": models, "busy": is_busy, "callSeq": orders, "active": active})
            .to_string()
    }

    fn accept_order(&self, fencing_token: u64) -> u16 {
        let mut highest = self.highest_fencing_token.lock();
        if fencing_token < *highest {
            self.refused.lock().push((fencing_token, Instant::now()));
            return 412;
        }
        *highest = fencing_token;
        self.orders.lock().push(Instant::now());
        202
    }

    fn answer(&self, request: &str) -> String {
        let (status, body) = if request.starts_with("POST /anisedyke/order") {
            (self.accept_order(fencing_token_of(request)), String::new())
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

    /// Answers each request by its first bytes; the requests of the controller fit into one read.
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

async fn heartbeat(cluster: &Cluster, engine: &StubEngine, call_seq: u64) {
    let body = serde_json::json!({"service": "s", "address": ADDRESS, "zone": "z1", "slots": 4,
        "state": "ready", "callSeq": call_seq, "models": [{"name": "m", "revision": engine.revision()}]});
    let registry = cluster.controller(1).registry();
    instances::heartbeat(registry, "e1".into(), body.to_string().into()).await.unwrap();
}

fn update_seq(cluster: &Cluster) -> u64 {
    cluster.controller(2).registry().get("e1").map_or(0, |engine| engine.update_seq)
}

#[tokio::test(start_paused = true)]
async fn update_sequence_is_renewed_while_the_engine_completes_its_requests() {
    let cluster = Cluster::bootstrap(3, 71).await;
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
    for call_seq in 2.. {
        tokio::time::sleep(INTERVAL).await;
        heartbeat(&cluster, &engine, call_seq).await;
        let known = renewals.last().map_or(0, |(update_seq, _)| *update_seq);
        if update_seq(&cluster) != known {
            renewals.push((update_seq(&cluster), Instant::now()));
        }
        if engine.revision() == 2 && update_seq(&cluster).is_multiple_of(2) {
            break;
        }
        assert!(start.elapsed() < LIMIT, "{renewals:?}");
    }
    assert_eq!(engine.orders.lock().len(), 1, "the order is not abandoned and repeated");
    let (last, in_progress) = renewals.split_last().unwrap();
    assert!(
        in_progress.iter().all(|(update_seq, _)| update_seq % 2 == 1),
        "odd until the update is done: {renewals:?}"
    );
    let times: Vec<Instant> = in_progress.iter().chain([last]).map(|(_, at)| *at).collect();
    let timed_out = |pair: &[Instant]| pair[1] - pair[0] >= constants::ROLLOUT_STATE_TIMEOUT;
    assert!(
        !times.windows(2).any(timed_out),
        "each value is renewed before it times out at routers: {times:?}"
    );
    assert!(times.last().unwrap().duration_since(times[0]) >= IN_FLIGHT_DURATION);
}

/// The engine has seen a higher fencing token than that of the holder, as if another node had held the lease meanwhile.
#[tokio::test(start_paused = true)]
async fn refused_fencing_token_is_not_used_again() {
    let cluster = Cluster::bootstrap(3, 72).await;
    cluster.wait_until_settled().await;
    let (_, fencing_token) = super::leases::next_holder(&cluster, &[1, 2, 3]).await;
    let engine = Arc::new(StubEngine::default());
    *engine.highest_fencing_token.lock() = fencing_token + 2;
    tokio::spawn(engine.clone().run(cluster.listen(ADDRESS.parse().unwrap())));
    heartbeat(&cluster, &engine, 1).await;
    let target = |controller: Arc<control_plane::Controller>| async move {
        weights::put(controller.consensus(), r#"{"model":"m","revision":2}"#.into()).await
    };
    cluster.retry_until_ok(1, target).await;

    let start = Instant::now();
    for call_seq in 2.. {
        tokio::time::sleep(INTERVAL).await;
        heartbeat(&cluster, &engine, call_seq).await;
        if engine.revision() == 2 {
            break;
        }
        assert!(start.elapsed() < LIMIT, "refused: {:?}", engine.refused.lock());
    }
    let refused = engine.refused.lock().clone();
    assert!(refused.len() >= 2, "each higher token was tried: {refused:?}");
    assert!(refused.is_sorted_by(|a, b| a.0 < b.0), "no token is used twice: {refused:?}");
    assert_eq!(engine.orders.lock().len(), 1);
}
