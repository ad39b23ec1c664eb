//! A configuration that comes into force while a request lives.

use super::harness::{
    AfterResponse, Configured, Fleet, ReceivedRequest, StubEngine, chunk, complete_stream, event,
    request, status, stream_head, wait_until,
};
use std::sync::Arc;
use tokio::sync::Notify;

/// Isolates `t1`, which the harness's configuration doesn't; the generation of the shared isolation rises.
const T1_ISOLATED: Configured = Configured { revision: 2, generation: 5, t1_isolated: true };
/// Isolates a tenant other than `t1`.
const OTHER_ISOLATED: Configured = Configured { revision: 2, generation: 5, t1_isolated: false };

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
