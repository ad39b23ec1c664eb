//! The status of the control plane from several nodes, some of them partitioned, unreachable or sending malformed
//! responses.

mod harness;

use fleetctl::members::{Verdict, query};
use fleetctl::query::QueryError;
use harness::{ok, unreachable_address};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn stub_node(body: String) -> SocketAddr {
    harness::stub_node(move |head| {
        assert!(head.starts_with("GET /anisedyke/Members.Look "));
        ok(&body)
    })
    .await
}

/// The report of node `reporter` on voters 1 to 3, the first `voting` of which answer and vote; `control` is the
/// control address of voter 2.
fn node_view(reporter: u8, in_contact: bool, voting: usize, control: &str) -> String {
    let voters: Vec<_> = (1..=3)
        .map(|n| {
            let behind = (n == 2).then(|| serde_json::json!({"epochs": 1, "rounds": 4}));
            serde_json::json!({"ip": format!("10.0.0.{n}"), "zone": "z",
                "control": if n == 2 { control } else { "" }, "joinedEpoch": 0,
                "answered": n <= voting, "lastAnswerMs": 5300, "votes": n <= voting,
                "membershipEpoch": 1, "recoveryEpoch": 0, "config": null, "behind": behind})
        })
        .collect();
    let granted = serde_json::json!({"node": "n1", "leftMs": 1000 + u64::from(reporter)});
    serde_json::json!({
        "name": format!("n{reporter}"), "ip": format!("10.0.0.{reporter}"), "inContact": in_contact,
        "votes": true, "leaving": false, "disk": "works", "membershipEpoch": 1,
        "recoveryEpoch": 0, "toleratedLosses": 1, "config": null, "voters": voters,
        "keys": [{"key": "config", "owner": "10.0.0.1", "epoch": 6}],
        "duties": [{"duty": "roll-out", "holder": "n1", "fence": 9, "acts": false,
            "granted": granted}],
    })
    .to_string()
}

#[tokio::test]
async fn a_node_in_contact_is_preferred_and_the_voters_it_reports_are_queried_too() {
    let second = stub_node(node_view(2, true, 3, "")).await;
    let first = stub_node(node_view(1, true, 3, &second.to_string())).await;
    let partitioned = stub_node(node_view(3, false, 1, "")).await;
    let members = query(&[unreachable_address(), partitioned, first], TIMEOUT).await.unwrap();
    assert_eq!((members.verdict(), members.exit_code()), (Verdict::Healthy, 0));
    let text = members.text();
    for part in [
        "healthy: 3 of 3 voters vote, quorum 2, tolerated losses 1",
        "voter 10.0.0.2 in z: votes, config 1 epochs and 4 rounds behind",
        "recovery epoch 0, out of contact",
        "key config: owner 10.0.0.1, epoch 6",
        "lease roll-out: holder n1, fencing token 9, granted by 3 for up to 1003 ms more",
    ] {
        assert!(text.contains(part), "{part}\n{text}");
    }
    let json: serde_json::Value = serde_json::from_str(&members.json()).unwrap();
    assert_eq!((&json["verdict"], &json["voting"]), (&"healthy".into(), &3.into()));
    assert_eq!(json["nodes"].as_array().unwrap().len(), 4);
}

#[tokio::test]
async fn too_few_voters_for_the_tolerated_losses_are_a_finding() {
    for (voting, verdict) in [(2, Verdict::AtRisk), (1, Verdict::NoQuorum)] {
        let first = stub_node(node_view(1, voting > 1, voting, "")).await;
        let members = query(&[first], TIMEOUT).await.unwrap();
        assert_eq!((members.verdict(), members.exit_code()), (verdict, 1));
        assert!(members.text().contains("voter 10.0.0.3 in z: no answer, last one 5300 ms"));
    }
}

#[tokio::test]
async fn an_error_names_every_node_if_no_response_is_usable() {
    let (malformed, unreachable) = (stub_node("[]".to_owned()).await, unreachable_address());
    let Err(QueryError::Unreachable(errors)) = query(&[unreachable, malformed], TIMEOUT).await
    else {
        panic!("no node sent a valid response");
    };
    assert!(
        errors.contains(&unreachable.to_string()) && errors.contains("malformed response"),
        "{errors}"
    );
}
