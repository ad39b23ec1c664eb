//! The operator: configurations, one on top of the other.

use crate::constants;
use crate::history::{Kind, Recorder};
use crate::http;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An operator who knows the version that is in force.
pub struct Operator {
    controls: Vec<SocketAddr>,
    recorder: Arc<Recorder>,
    version: u64,
}

impl Operator {
    /// An operator of a fleet without a configuration.
    pub fn new(controls: Vec<SocketAddr>, recorder: Arc<Recorder>) -> Operator {
        Operator { controls, recorder, version: 0 }
    }

    /// Puts the next configuration in force; false if nobody acknowledged it in time. It may be in force all the same, and
    /// is sent again as it was.
    pub async fn put_next(&mut self, limit: Duration) -> bool {
        let (base, next) = (self.version, self.version + 1);
        let head =
            format!("POST /anisedyke/Config.Replace HTTP/1.1\r\nX-Base-Revision: {base}\r\n");
        let body = configuration(next);
        let end = Instant::now() + limit;
        let mut turn = 0;
        while Instant::now() < end {
            let controller = self.controls[turn % self.controls.len()];
            turn += 1;
            let answer = http::call(controller, &head, &body, constants::CALLER_TIMEOUT).await;
            if answer.is_some_and(|answer| answer.status() == 200) {
                self.version = next;
                self.recorder.add(|history| history.acknowledged_version = next);
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Reads the configuration back, from whoever gives it first.
    pub async fn read_back(&self) {
        let end = Instant::now() + constants::START_TIMEOUT;
        let mut turn = 0;
        while Instant::now() < end {
            let controller = self.controls[turn % self.controls.len()];
            turn += 1;
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

/// The routes of all requests, and one more for each version.
fn configuration(version: u64) -> String {
    let route = |path: &str, kind: &str| {
        serde_json::json!({"host": constants::HOST, "pathPrefix": format!("/{path}/"), "kind": kind,
            "timeoutMs": constants::DEADLINE_MS, "service": constants::SERVICE, "maxAttempts": 2})
    };
    let mut routes = vec![
        route(Kind::Safe.path(), "safe"),
        route(Kind::Unsafe.path(), "unsafe"),
        route(Kind::Stream.path(), "streaming"),
    ];
    routes.extend((1..version).map(|added| route(&format!("added-{added}"), "safe")));
    serde_json::json!({
        "revision": version,
        "routes": routes,
        "services": [{"name": constants::SERVICE, "maxConns": 2000, "engine": {"slots": 64}}],
    })
    .to_string()
}
