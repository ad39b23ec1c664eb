//! A configuration that comes into force while a request lives.

use super::harness::{
    AfterResponse, Configured, Fleet, ReceivedRequest, StubEngine, advance_time, chunk,
    complete_stream, engine_state, event, request, status, stream_head, wait_until,
};
use fleet_core::constants::MAX_REQUESTS_IN_FLIGHT;
use fleet_core::wire::FleetUpdate;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// Isolates `t1`, which the harness's configuration doesn't; the generation of the shared isolation rises.
const T1_ISOLATED: Configured =
    Configured { revision: 2, generation: 5, t1_isolated: true, ..Configured::INITIAL };
/// Isolates a tenant other than `t1`.
const OTHER_ISOLATED: Configured = Configured { revision: 2, generation: 5, ..Configured::INITIAL };

/// The salts under which an engine received requests.
fn salts(engine: &StubEngine) -> Vec<String> {
    let received = engine.received.lock();
    received.iter().map(|req| req.header("x-cache-salt").unwrap_or("").to_owned()).collect()
}

/// Starts two engines, of which the first to get a request sends `first_response` and closes the connection at
/// `signal`; all further requests are served.
async fn interrupted_engines(
    signal: &Arc<Notify>,
    first_response: fn(&ReceivedRequest) -> Vec<u8>,
) -> [StubEngine; 2] {
    let is_first = Arc::new(std::sync::atomic::AtomicBool::new(true));
    let script = |signal: Arc<Notify>| {
        let is_first = is_first.clone();
        move |_: usize, req: &ReceivedRequest| {
            if is_first.swap(false, std::sync::atomic::Ordering::SeqCst) {
                return (first_response(req), AfterResponse::CloseOn(signal.clone()));
            }
            let from: u32 = req.header("last-event-id").map_or(0, |id| id.parse().unwrap());
            (complete_stream(req, from + 1..=3), AfterResponse::KeepOpen)
        }
    };
    [
        StubEngine::start("e1", script(signal.clone())).await,
        StubEngine::start("e2", script(signal.clone())).await,
    ]
}

/// Sends a request, puts `configured` in force once an engine has it, and then interrupts that engine. Returns the
/// response and the salt of the second dispatch.
async fn redispatched_after(
    configured: Configured,
    path: &str,
    first_response: fn(&ReceivedRequest) -> Vec<u8>,
) -> (String, Vec<String>) {
    let signal = Arc::new(Notify::new());
    let engines = interrupted_engines(&signal, first_response).await;
    let fleet = Fleet::start(&[&engines[0], &engines[1]]).await;
    let raw_request = request(path, "");
    let reconfigure = async {
        wait_until(|| engines.iter().any(|engine| engine.received_count() == 1)).await;
        fleet.put_in_force(configured);
        signal.notify_one();
    };
    let (response, ()) = tokio::join!(fleet.send_raw(raw_request.as_bytes()), reconfigure);
    let dispatched_first = |salt: &String| salt == "m|2|#4";
    let mut all: Vec<String> = engines.iter().flat_map(salts).collect();
    all.sort_by_key(|salt| !dispatched_first(salt));
    (response, all)
}

fn first_event(req: &ReceivedRequest) -> Vec<u8> {
    format!("{}{}", stream_head(req, ""), chunk(&event(1))).into_bytes()
}

/// Guards against a request that uses cached parts of another tenant (rule WALL): its stream was resumed, or it was
/// retried, with the salt of the configuration under which it had been accepted.
#[tokio::test]
async fn request_dispatched_again_has_the_isolation_in_force() {
    for (configured, salt) in [(T1_ISOLATED, "m|2|t/t1"), (OTHER_ISOLATED, "m|2|#5")] {
        let (response, salts) = redispatched_after(configured, "/on/", first_event).await;
        assert!(response.contains(&event(3)) && response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!(salts, ["m|2|#4", salt], "resumed");
        let (response, salts) = redispatched_after(configured, "/safe/", |_| Vec::new()).await;
        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(salts, ["m|2|#4", salt], "retried");
    }
}

/// `applyMs` of the harness's deployment, the default.
const APPLY: Duration = Duration::from_secs(2);

/// Sends a request to an engine that responds to the second request only, and puts `configured` in force while the first
/// one waits. Returns the response, and the salts that the engine received.
async fn waiting_while_reconfigured(configured: Configured, path: &str) -> (String, Vec<String>) {
    let script = |request_no: usize, req: &ReceivedRequest| {
        let response = if request_no == 1 { Vec::new() } else { complete_stream(req, 1..=1) };
        (response, AfterResponse::KeepOpen)
    };
    let engine = StubEngine::start("e1", script).await;
    let fleet = Fleet::start(&[&engine]).await;
    let raw_request = request(path, "");
    let reconfigure = async {
        wait_until(|| engine.received_count() == 1).await;
        fleet.put_in_force(configured);
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(engine.received_count(), 1, "cancelled at once, although about to begin");
        advance_time(APPLY).await;
    };
    let (response, ()) = tokio::join!(fleet.send_raw(raw_request.as_bytes()), reconfigure);
    (response, salts(&engine))
}

/// Guards against a request that uses cached parts of another tenant (rule WALL): it was sent before a tenant was
/// isolated, and began long afterwards, as it waited in the engine's queue.
#[tokio::test]
async fn isolation_that_changes_while_a_request_waits_cancels_its_dispatch() {
    for (configured, salt) in [(T1_ISOLATED, "m|2|t/t1"), (OTHER_ISOLATED, "m|2|#5")] {
        for path in ["/safe/", "/on/"] {
            let (response, salts) = waiting_while_reconfigured(configured, path).await;
            assert_eq!(status(&response), 200, "{path}: {response}");
            assert_eq!(salts, ["m|2|#4", salt], "{path}");
        }
        let (response, salts) = waiting_while_reconfigured(configured, "/once/").await;
        assert_eq!(status(&response), 502, "may have run: {response}");
        assert_eq!(salts, ["m|2|#4"], "a request that may run only once was sent twice");
    }
}

/// A configuration that isolates nobody cuts off nothing: all requests that wait get their responses.
#[tokio::test]
async fn other_changes_of_the_configuration_leave_waiting_requests_alone() {
    let signal = Arc::new(Notify::new());
    let answers = signal.clone();
    let engine = StubEngine::start("e1", move |_, req| {
        (Vec::new(), AfterResponse::SendRestOn(answers.clone(), complete_stream(req, 1..=1)))
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    let raw_request = request("/once/", "");
    let reconfigure = async {
        wait_until(|| engine.received_count() == 1).await;
        fleet.put_in_force(Configured { revision: 2, ..Configured::INITIAL });
        advance_time(APPLY * 2).await;
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        signal.notify_one();
    };
    let (response, ()) = tokio::join!(fleet.send_raw(raw_request.as_bytes()), reconfigure);
    assert_eq!(status(&response), 200, "{response}");
    assert_eq!(engine.received_count(), 1);
}

/// Sends a head, puts `configured` in force, and then sends the body.
async fn response_to_body_after(fleet: &Fleet, configured: Configured) -> String {
    let raw_request = request("/once/", "Connection: close\r\n");
    let (head, body) = raw_request.split_at(raw_request.len() - "hi".len());
    let in_flight = || MAX_REQUESTS_IN_FLIGHT - fleet.router.request_permits.available_permits();
    wait_until(|| in_flight() == 0).await;
    let mut client = fleet.connect().await;
    client.write_all(head.as_bytes()).await.unwrap();
    wait_until(|| in_flight() == 1).await;
    fleet.put_in_force(configured);
    client.write_all(body.as_bytes()).await.unwrap();
    let mut response = String::new();
    client.read_to_string(&mut response).await.unwrap();
    response
}

/// Guards against a request that is handled by an old configuration (rule CONFIG): its body arrives slowly, and the newer
/// configuration comes into force before its end.
#[tokio::test]
async fn request_is_handled_by_the_configuration_in_force_when_its_body_is_complete() {
    let serve =
        |_: usize, req: &ReceivedRequest| (complete_stream(req, 1..=1), AfterResponse::KeepOpen);
    let (old, new) = (StubEngine::start("e1", serve).await, StubEngine::start("e2", serve).await);
    let fleet = Fleet::start(&[&old]).await;
    let mut engine = engine_state(&new);
    engine.service = "u".into();
    let update = FleetUpdate { engines: vec![engine], ..Default::default() };
    fleet.router.fleet_view.apply_update(&update);
    let moved = Configured { revision: 2, service: "u", ..Configured::INITIAL };
    assert_eq!(status(&response_to_body_after(&fleet, moved).await), 200);
    assert_eq!((old.received_count(), new.received_count()), (0, 1), "route moved");
    let key_removed = Configured { revision: 3, t1_key: "k3", ..moved };
    assert_eq!(status(&response_to_body_after(&fleet, key_removed).await), 401);
    assert_eq!((old.received_count(), new.received_count()), (0, 1), "key removed");
}
