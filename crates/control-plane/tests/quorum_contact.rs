//! Responses of a controller to engines and operators, in and out of contact with a majority.

mod program;

use program::Program;

const HEARTBEAT: &str = r#"{"service":"s","address":"10.0.0.9:80","state":"ready","callSeq":1}"#;
const CONFIGURATION: &str = r#"{"revision":1,"routes":[],"services":[],"limits":{}}"#;
/// Code of rejections that a node decides from its own state, without waiting for other nodes.
const NO_CONTACT: &str = "no_contact";

/// Sends a request with base version 0; returns the status and the body of the response.
async fn call(program: &Program, method: http::Method, path: &str, body: &str) -> (u16, String) {
    program.call(method, path, "0", body).await
}

#[tokio::test]
async fn out_of_contact_changes_are_rejected_but_heartbeats_and_departures_are_recorded() {
    let controller = Program::start(1, 3);
    let post = http::Method::POST;
    let heartbeat = call(&controller, post.clone(), "Instances.Heartbeat/i-1", HEARTBEAT).await;
    assert!(heartbeat.0 == 503 && heartbeat.1.contains(NO_CONTACT), "{heartbeat:?}");
    let target = call(&controller, post.clone(), "version-put", r#"{"model":"m","revision":2}"#);
    let target = target.await;
    assert!(target.0 == 503 && target.1.contains(NO_CONTACT), "{target:?}");
    let replaced = call(&controller, post.clone(), "Config.Replace", CONFIGURATION).await;
    assert!(replaced.0 == 503 && replaced.1.contains(NO_CONTACT), "{replaced:?}");
    let fetched = call(&controller, http::Method::GET, "Config.Fetch", "").await;
    assert!(fetched.0 == 503 && fetched.1.contains(NO_CONTACT), "{fetched:?}");
    let fleet = call(&controller, http::Method::GET, "Fleet.Look", "").await;
    assert!(fleet.0 == 200 && fleet.1.contains("i-1"), "{fleet:?}");
    let members = call(&controller, http::Method::GET, "Members.Look", "").await;
    assert!(members.0 == 200 && members.1.contains(r#""inContact":false"#), "{members:?}");
    let deregistered = call(&controller, post, "Instances.Deregister/i-1", "").await;
    assert!(deregistered.0 == 503 && deregistered.1.contains(NO_CONTACT), "{deregistered:?}");
    let fleet = call(&controller, http::Method::GET, "Fleet.Look", "").await;
    assert!(fleet.1.contains("gone"), "{fleet:?}");
}

/// A malformed or oversized request of an engine is rejected as such, since other nodes would reject it too.
#[tokio::test]
async fn malformed_requests_of_engines_are_reported_as_such_out_of_contact() {
    let controller = Program::start(3, 3);
    for path in ["Instances.Heartbeat/i-1", "Instances.Deregister/i-1"] {
        let response = call(&controller, http::Method::POST, path, "{").await;
        assert!(response.0 == 400 && response.1.contains("malformed"), "{path}: {response:?}");
        let large = " ".repeat(fleet_core::constants::HEARTBEAT_MAX_BYTES + 1);
        let response = call(&controller, http::Method::POST, path, &large).await;
        assert!(response.0 == 413 && response.1.contains("too_large"), "{path}: {response:?}");
    }
    for path in ["Config.Replace", "version-put"] {
        let response = call(&controller, http::Method::POST, path, "{").await;
        assert!(response.0 == 503 && response.1.contains(NO_CONTACT), "{path}: {response:?}");
    }
}

#[tokio::test]
async fn in_contact_heartbeats_and_changes_are_acknowledged() {
    let controller = Program::start(2, 1);
    let post = http::Method::POST;
    let heartbeat = "Instances.Heartbeat/i-1";
    while call(&controller, post.clone(), heartbeat, HEARTBEAT).await.0 != 200 {}
    let replaced = call(&controller, post, "Config.Replace", CONFIGURATION).await;
    assert_eq!(replaced.0, 200, "{}", replaced.1);
    let fetched = call(&controller, http::Method::GET, "Config.Fetch", "").await;
    assert_eq!(fetched, (200, CONFIGURATION.to_owned()));
    let members = call(&controller, http::Method::GET, "Members.Look", "").await;
    assert!(members.0 == 200 && members.1.contains(r#""inContact":true"#), "{members:?}");
}
