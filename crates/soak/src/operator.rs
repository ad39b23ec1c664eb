//! The operator, which sends configurations, each based on the previous one.

use crate::constants;
use crate::history::{Kind, Recorder};
use crate::http;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An operator that tracks the current configuration version.
pub struct Operator {
    control_addresses: Vec<SocketAddr>,
    recorder: Arc<Recorder>,
    version: u64,
}

impl Operator {
    /// Creates the operator of a fleet that has no configuration yet.
    pub fn new(control_addresses: Vec<SocketAddr>, recorder: Arc<Recorder>) -> Operator {
        Operator { control_addresses, recorder, version: 0 }
    }

    /// Sends the next configuration until it is acknowledged; returns false if that did not happen in time. It may have
    /// taken effect nevertheless, so the next call sends the same one again.
    pub async fn send_next(&mut self, limit: Duration) -> bool {
        let (base, next_version) = (self.version, self.version + 1);
        let head =
            format!("POST /anisedyke/Config.Replace HTTP/1.1\r\nX-Base-Revision: {base}\r\n");
        let body = configuration(next_version);
        let end = Instant::now() + limit;
        let mut attempt = 0;
        while Instant::now() < end {
            let controller = self.control_addresses[attempt % self.control_addresses.len()];
            attempt += 1;
            let answer = http::call(controller, &head, &body, constants::CALLER_TIMEOUT).await;
            if answer.is_some_and(|answer| answer.status() == 200) {
                self.version = next_version;
                self.recorder.add(|history| history.acknowledged_version = next_version);
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Reads the configuration back from the first controller that returns it.
    pub async fn read_back(&self) {
        let end = Instant::now() + constants::START_TIMEOUT;
        let mut attempt = 0;
        while Instant::now() < end {
            let controller = self.control_addresses[attempt % self.control_addresses.len()];
            attempt += 1;
            let head = "GET /anisedyke/Config.Fetch HTTP/1.1\r\n";
            let answer = http::call(controller, head, "", constants::CALLER_TIMEOUT).await;
            if let Some(answer) = answer.filter(|answer| answer.status() == 200) {
                let body: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
                let version = body.and_then(|body| body["revision"].as_u64());
                return self.recorder.add(|history| history.last_version = version);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// A configuration with the routes of all requests, and one additional route for each version after the first.
fn configuration(version: u64) -> String {
    let route = |path: &str, kind: &str| {
        serde_json::json!({"host": constants::HOST, "pathPrefix": format!("/{path}/"), "kind": kind,
            "timeoutMs": constants::DEADLINE_MS, "service": constants::SERVICE, "maxAttempts": 2})
    };
    let mut routes = vec![
        route(Kind::Safe.path(), "safe"),
        route(Kind::Unsafe.path(), "unsafe"),
        route(Kind::Stream.path(), "streaming"),
        route(Kind::Resumable.path(), "streaming"),
    ];
    routes[3]["resumable"] = true.into();
    routes.extend((1..version).map(|added| route(&format!("added-{added}"), "safe")));
    serde_json::json!({
        "revision": version,
        "routes": routes,
        "services": [{"name": constants::SERVICE, "maxConns": 2000, "engine": {"slots": 64}}],
    })
    .to_string()
}
