//! The HTTP interface of a controller for engines, operators and `fleetctl`: paths, statuses, headers, and the names of
//! all fields. It must not change when names in the sources change.

mod program;

use control_plane::service::membership::{
    BallotView, DiskState, GrantView, KeyView, Lag, LeaseView, MembersView, VoterView,
};
use program::Program;
use serde_json::{Value, json};

const HEARTBEAT: &str = r#"{"service":"s","address":"10.0.0.9:80","zone":"z","revision":"r","slots":3,
    "state":"ready","coldLeftMs":0,"models":[{"name":"m","revision":4}],"callSeq":1}"#;
const CONFIGURATION: &str = r#"{"revision":1,"routes":[],"services":[],"limits":{}}"#;

/// A controller on this machine that is the only member of its cluster.
struct TestController(Program);

impl TestController {
    fn start(net: u8) -> TestController {
        TestController(Program::start(net, 1))
    }

    /// Sends a request with a base version; returns the status and the body of the response.
    async fn call(&self, method: &str, path: &str, base: &str, body: &str) -> (u16, String) {
        self.0.call(method.parse().unwrap(), path, base, body).await
    }

    async fn get(&self, path: &str) -> Value {
        let (status, body) = self.call("GET", path, "", "").await;
        assert_eq!(status, 200, "{path}: {body}");
        serde_json::from_str(&body).unwrap()
    }

    /// Waits until the controller is in contact with a majority, which is itself.
    async fn wait_for_contact(&self) {
        while self.call("POST", "Instances.Heartbeat/e1", "0", HEARTBEAT).await.0 != 200 {}
    }

    /// Waits until the rollout view lists models, and returns it.
    async fn rollout_with_models(&self) -> Value {
        loop {
            let rollout = self.get("Rollout.Look").await;
            if rollout["models"].as_array().is_some_and(|models| !models.is_empty()) {
                return rollout;
            }
        }
    }
}

/// The sorted names of an object's fields.
fn field_names(value: &Value) -> Vec<&str> {
    let mut names: Vec<&str> = value.as_object().unwrap().keys().map(String::as_str).collect();
    names.sort_unstable();
    names
}

#[tokio::test]
async fn requests_of_engines_and_operators_have_the_expected_statuses() {
    let controller = TestController::start(21);
    controller.wait_for_contact().await;
    let ok = |body: &str| (200, body.to_owned());
    assert_eq!(controller.call("POST", "Instances.Heartbeat/e1", "0", HEARTBEAT).await, ok("{}"));
    let replaced = controller.call("POST", "Config.Replace", "0", CONFIGURATION).await;
    assert_eq!(replaced, ok(r#"{"revision":1}"#));
    let resent = controller.call("POST", "Config.Replace", "0", CONFIGURATION).await;
    assert_eq!(resent, ok(r#"{"revision":1}"#));
    assert_eq!(controller.call("GET", "Config.Fetch", "", "").await, ok(CONFIGURATION));
    let put = controller.call("POST", "version-put", "", r#"{"model":"m","revision":5}"#).await;
    assert_eq!(put, ok("{}"));
    let deregistered =
        controller.call("POST", "Instances.Deregister/e1", "", r#"{"callSeq":9}"#).await;
    assert_eq!(deregistered, ok("{}"));
    assert_eq!(controller.call("GET", "No.Such", "", "").await.0, 404);
}

#[tokio::test]
async fn rejections_have_the_expected_statuses_and_codes() {
    let controller = TestController::start(22);
    controller.wait_for_contact().await;
    assert_eq!(controller.call("POST", "Config.Replace", "0", CONFIGURATION).await.0, 200);
    let other = CONFIGURATION.replace("\"revision\":1", "\"revision\":2");
    let cases = [
        ("Config.Replace", "7", "x", 400, "unreadable"),
        ("Config.Replace", "none", CONFIGURATION, 400, "no_base"),
        ("Config.Replace", "0", other.as_str(), 412, "stale_base"),
        ("version-put", "", "{", 400, "malformed"),
        ("Instances.Heartbeat/e1", "", "{", 400, "malformed"),
        ("Instances.Deregister/e1", "", "{", 400, "malformed"),
    ];
    for (path, base, body, status, code) in cases {
        let response = controller.call("POST", path, base, body).await;
        assert_eq!(response.0, status, "{path}: {response:?}");
        let error: Value = serde_json::from_str(&response.1).unwrap();
        assert_eq!(field_names(&error), ["error_code", "message", "request_id"]);
        assert_eq!(error["error_code"], code, "{path}");
    }
}

#[tokio::test]
async fn views_for_operators_have_the_expected_fields() {
    let controller = TestController::start(23);
    controller.wait_for_contact().await;
    assert_eq!(
        controller.call("POST", "version-put", "", r#"{"model":"m","revision":5}"#).await.0,
        200
    );
    let fleet = controller.get("Fleet.Look").await;
    assert_eq!(field_names(&fleet), ["engines", "revision", "routers"]);
    let engine = json!({"id": "e1", "service": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 3,
        "standing": "ready", "silent": false, "models": [{"name": "m", "revision": 4}]});
    assert_eq!(fleet["engines"], json!([engine]));
    let rollout = controller.rollout_with_models().await;
    assert_eq!(field_names(&rollout), ["holds", "models", "width"]);
    let model = &rollout["models"][0];
    assert_eq!(field_names(model), ["ageMs", "engines", "leftMs", "model", "revision"]);
    assert_eq!(field_names(&model["engines"][0]), ["id", "revision", "state", "stuck", "zone"]);
    let members = controller.get("Members.Look").await;
    assert_eq!(members["name"], "a");
    assert_eq!(members["disk"], "works");
}

#[test]
fn members_view_keeps_its_serialized_form() {
    let ballot = || Some(BallotView { epoch: 1, owner: "10.0.0.1".into(), round: 2 });
    let voter = VoterView {
        ip: "10.0.0.1".into(),
        zone: "z".into(),
        control: "10.0.0.1:80".into(),
        joined_epoch: 3,
        answered: true,
        last_answer_ms: Some(4),
        votes: true,
        membership_epoch: 5,
        recovery_epoch: 6,
        config: ballot(),
        behind: Some(Lag { epochs: 7, rounds: 8 }),
    };
    let lease = LeaseView {
        name: "roll-out".into(),
        holder: "n1".into(),
        fencing_token: 9,
        acts: true,
        granted: Some(GrantView { node: "n1".into(), remaining_ms: 10 }),
    };
    let view = MembersView {
        name: "n1".into(),
        ip: "10.0.0.1".into(),
        in_contact: true,
        votes: true,
        shutting_down: true,
        disk: DiskState::Refused,
        membership_epoch: 5,
        recovery_epoch: 6,
        tolerated_losses: 1,
        config: ballot(),
        voters: vec![voter],
        keys: vec![KeyView { key: "config".into(), owner: "10.0.0.1".into(), epoch: 1 }],
        leases: vec![lease],
    };
    let ballot = json!({"epoch": 1, "owner": "10.0.0.1", "round": 2});
    let expected = json!({
        "name": "n1", "ip": "10.0.0.1", "inContact": true, "votes": true, "leaving": true,
        "disk": "refused", "membershipEpoch": 5, "recoveryEpoch": 6, "toleratedLosses": 1,
        "config": ballot,
        "voters": [{"ip": "10.0.0.1", "zone": "z", "control": "10.0.0.1:80", "joinedEpoch": 3,
            "answered": true, "lastAnswerMs": 4, "votes": true, "membershipEpoch": 5,
            "recoveryEpoch": 6, "config": ballot, "behind": {"epochs": 7, "rounds": 8}}],
        "keys": [{"key": "config", "owner": "10.0.0.1", "epoch": 1}],
        "duties": [{"duty": "roll-out", "holder": "n1", "fence": 9, "acts": true,
            "granted": {"node": "n1", "leftMs": 10}}],
    });
    assert_eq!(serde_json::to_value(&view).unwrap(), expected);
    let disk_states = [DiskState::Works, DiskState::Refused, DiskState::Absent];
    assert_eq!(serde_json::to_value(disk_states).unwrap(), json!(["works", "refused", "absent"]));
}
