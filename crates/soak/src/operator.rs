//! The operator, which sends configurations, each based on the previous one, and names versions of the weights.

use crate::constants;
use crate::history::{Kind, NamedVersion, Recorder};
use crate::http::{self, Message};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An operator that tracks the current configuration version.
pub struct Operator {
    control_addresses: Vec<SocketAddr>,
    recorder: Arc<Recorder>,
    version: u64,
    weights_version: u64,
}

impl Operator {
    /// Creates the operator of a fleet that has no configuration yet.
    pub fn new(control_addresses: Vec<SocketAddr>, recorder: Arc<Recorder>) -> Operator {
        Operator {
            control_addresses,
            recorder,
            version: 0,
            weights_version: constants::FIRST_WEIGHTS,
        }
    }

    /// Names the next version of the weights until that is acknowledged. Returns the version, `None` if it was not
    /// acknowledged in time.
    pub async fn name_weights(&mut self, limit: Duration) -> Option<u64> {
        self.weights_version += 1;
        let version = self.weights_version;
        let body = serde_json::json!({"model": constants::MODEL, "revision": version}).to_string();
        let head = "POST /anisedyke/version-put HTTP/1.1\r\n";
        self.call_until_ok(head, &body, limit).await?;
        let named = NamedVersion { version, acknowledged: self.recorder.now() };
        self.recorder.add(|history| history.named_versions.push(named));
        Some(version)
    }

    /// Sends the next configuration until it is acknowledged; returns false if that did not happen in time. It may have
    /// taken effect nevertheless, so the next call sends the same one again.
    pub async fn send_next(&mut self, limit: Duration) -> bool {
        let (base, next_version) = (self.version, self.version + 1);
        let head =
            format!("POST /anisedyke/Config.Replace HTTP/1.1\r\nX-Base-Revision: {base}\r\n");
        let body = configuration(next_version);
        let sent = self.recorder.now();
        self.recorder.add(|history| history.record_sent_configuration(next_version, sent));
        let is_acknowledged = self.call_until_ok(&head, &body, limit).await.is_some();
        if is_acknowledged {
            self.version = next_version;
            let acknowledged = self.recorder.now();
            self.recorder.add(|history| history.record_acknowledgement(next_version, acknowledged));
        }
        is_acknowledged
    }

    /// Sends a call to one controller after another; returns the first response with status 200, `None` if there was none
    /// in time.
    async fn call_until_ok(&self, head: &str, body: &str, limit: Duration) -> Option<Message> {
        let end = Instant::now() + limit;
        for controller in self.control_addresses.iter().cycle() {
            if Instant::now() >= end {
                break;
            }
            let answer = http::call(*controller, head, body, constants::CALLER_TIMEOUT).await;
            if let Some(answer) = answer.filter(|answer| answer.status() == 200) {
                return Some(answer);
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }

    /// Reads the configuration back from the first controller that returns it.
    pub async fn read_back(&self) {
        let head = "GET /anisedyke/Config.Fetch HTTP/1.1\r\n";
        let Some(answer) = self.call_until_ok(head, "", constants::START_TIMEOUT).await else {
            return;
        };
        let body: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
        let version = body.and_then(|body| body["revision"].as_u64());
        self.recorder.add(|history| history.last_version = version);
    }
}

/// The tenants that a version of the configuration isolates: each is isolated by some versions and not by others.
pub fn isolated_tenants(version: u64) -> Vec<&'static str> {
    let is_isolated = |index: usize| (version >> index) & 1 == 0;
    let tenants = constants::TENANTS.iter().enumerate();
    tenants.filter(|(index, _)| is_isolated(*index)).map(|(_, name)| *name).collect()
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
    let isolated = isolated_tenants(version);
    let tenants: Vec<_> = constants::TENANTS
        .iter()
        .map(|name| serde_json::json!({"name": name, "apiKeys": [format!("key-{name}")], "isolated": isolated.contains(name)}))
        .collect();
    routes.extend((1..version).map(|added| route(&format!("added-{added}"), "safe")));
    serde_json::json!({
        "revision": version,
        "routes": routes,
        "services": [{"name": constants::SERVICE, "maxConns": 2000, "engine": {"slots": 64,
            "kvCapacity": 100_000, "kvTokenBytes": 300_000, "linkMbps": 1_000_000.0, "maxInflight": 12,
            "models": [{"name": constants::MODEL}]}}],
        "tenants": tenants,
    })
    .to_string()
}
