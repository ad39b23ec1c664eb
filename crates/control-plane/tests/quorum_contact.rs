//! What a controller answers engines and operators in and out of contact with a majority.

mod program;

use program::Program;

const HEARTBEAT: &str = r#"{"service":"s","address":"10.0.0.9:80","state":"ready","callSeq":1}"#;
const CONFIGURATION: &str = r#"{"revision":1,"routes":[],"services":[],"limits":{}}"#;
/// Says that it was answered by what this node knows, without asking the others first.
const NO_CONTACT: &str = "no_contact";

/// Calls with the base version 0.
async fn answers(program: &Program, method: http::Method, path: &str, body: &str) -> (u16, String) {
    program.call(method, path, "0", body).await
}

#[tokio::test]
async fn out_of_contact_every_call_is_sent_on_to_another_node_and_heard_all_the_same() {
    let s = Program::start(1, 3);
    let post = http::Method::POST;
    let heartbeat = answers(&s, post.clone(), "Instances.Heartbeat/i-1", HEARTBEAT).await;
    assert!(heartbeat.0 == 503 && heartbeat.1.contains(NO_CONTACT), "{heartbeat:?}");
    let put = answers(&s, post.clone(), "version-put", r#"{"model":"m","revision":2}"#);
    let put = put.await;
    assert!(put.0 == 503 && put.1.contains(NO_CONTACT), "{put:?}");
    let replaced = answers(&s, post.clone(), "Config.Replace", CONFIGURATION).await;
    assert!(replaced.0 == 503 && replaced.1.contains(NO_CONTACT), "{replaced:?}");
    let fetched = answers(&s, http::Method::GET, "Config.Fetch", "").await;
    assert!(fetched.0 == 503 && fetched.1.contains(NO_CONTACT), "{fetched:?}");
    let fleet = answers(&s, http::Method::GET, "Fleet.Look", "").await;
    assert!(fleet.0 == 200 && fleet.1.contains("i-1"), "{fleet:?}");
    let members = answers(&s, http::Method::GET, "Members.Look", "").await;
    assert!(members.0 == 200 && members.1.contains(r#""inContact":false"#), "{members:?}");
    let deregistered = answers(&s, post, "Instances.Deregister/i-1", "").await;
    assert!(deregistered.0 == 503 && deregistered.1.contains(NO_CONTACT), "{deregistered:?}");
    let fleet = answers(&s, http::Method::GET, "Fleet.Look", "").await;
    assert!(fleet.1.contains("gone"), "{fleet:?}");
}

/// What is wrong in itself no other node would take either.
#[tokio::test]
async fn what_is_malformed_is_told_so_also_out_of_contact() {
    let s = Program::start(3, 3);
    for path in ["Instances.Heartbeat/i-1", "Instances.Deregister/i-1"] {
        let answer = answers(&s, http::Method::POST, path, "{").await;
        assert!(answer.0 == 400 && answer.1.contains("malformed"), "{path}: {answer:?}");
        let large = " ".repeat(fleet_core::constants::HEARTBEAT_MAX_BYTES + 1);
        let answer = answers(&s, http::Method::POST, path, &large).await;
        assert!(answer.0 == 413 && answer.1.contains("too_large"), "{path}: {answer:?}");
    }
    for path in ["Config.Replace", "version-put"] {
        let answer = answers(&s, http::Method::POST, path, "{").await;
        assert!(answer.0 == 503 && answer.1.contains(NO_CONTACT), "{path}: {answer:?}");
    }
}

#[tokio::test]
async fn in_contact_heartbeats_and_changes_are_acknowledged() {
    let s = Program::start(2, 1);
    let post = http::Method::POST;
    let heartbeat = "Instances.Heartbeat/i-1";
    while answers(&s, post.clone(), heartbeat, HEARTBEAT).await.0 != 200 {}
    let replaced = answers(&s, post, "Config.Replace", CONFIGURATION).await;
    assert_eq!(replaced.0, 200, "{}", replaced.1);
    let fetched = answers(&s, http::Method::GET, "Config.Fetch", "").await;
    assert_eq!(fetched, (200, CONFIGURATION.to_owned()));
    let members = answers(&s, http::Method::GET, "Members.Look", "").await;
    assert!(members.0 == 200 && members.1.contains(r#""inContact":true"#), "{members:?}");
}
