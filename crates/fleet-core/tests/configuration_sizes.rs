//! Size of the messages that transfer a configuration to a router, in full and as a delta, at three sizes.
//! `cargo test -p fleet-core --test configuration_sizes -- --nocapture` prints the table of docs/measurements.md.

use fleet_core::{compression, delta, node};
use prost::Message;

const ROUTES: [u64; 3] = [10, 400, 1600];

/// A name that does not compress together with similar ones, like the names of real routes.
fn name(kind: &str, number: u64) -> String {
    let hash = node::stable_hash(&[kind.as_bytes(), &number.to_be_bytes()]);
    format!("{kind}{:08x}", hash as u32)
}

fn route(number: u64, timeout: u64) -> serde_json::Value {
    serde_json::json!({
        "name": name("r-", number), "host": format!("{}.example", name("h", number % 40)),
        "pathPrefix": format!("/{}/", name("p", number)), "kind": "streaming",
        "timeoutMs": timeout, "targetMs": 400, "priority": number % 3,
        "service": name("s", number % 60), "maxAttempts": 2, "public": false, "sticky": true,
        "resumable": number.is_multiple_of(2), "gapTargetMs": 400,
    })
}

fn service(number: u64) -> serde_json::Value {
    serde_json::json!({
        "name": name("s", number), "healthPath": "/healthz", "maxConns": 380, "protocol": "h1",
        "engine": {"slots": 64, "kvCapacity": 109_184, "maxInflight": 12,
            "models": [{"name": name("m", number)}]},
    })
}

/// A configuration in which the first `changed` routes have a different timeout.
fn body(revision: u64, routes: u64, changed: u64) -> Vec<u8> {
    let timeout = |number| if number < changed { 7000 } else { 20_000 };
    serde_json::json!({
        "revision": revision,
        "routes": (0..routes).map(|n| route(n, timeout(n))).collect::<Vec<_>>(),
        "services": (0..60).map(service).collect::<Vec<_>>(),
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304},
        "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1}],
    })
    .to_string()
    .into_bytes()
}

fn packed_delta(former: &[u8], new: &[u8]) -> usize {
    let delta = delta::between(former, new);
    assert_eq!(delta::apply(&delta, former, new.len()).unwrap(), new);
    compression::compress(&delta.encode_to_vec()).len()
}

#[test]
fn delta_size_does_not_grow_with_the_configuration() {
    println!("| routes | whole | whole, packed | delta of 1 route | delta of 5 routes |");
    println!("|---|---|---|---|---|");
    let mut deltas = Vec::new();
    for routes in ROUTES {
        let former = body(1, routes, 0);
        let whole = compression::compress(&former).len();
        let one = packed_delta(&former, &body(2, routes, 1));
        let five = packed_delta(&former, &body(2, routes, 5));
        println!("| {routes} | {} | {whole} | {one} | {five} |", former.len());
        assert!(whole * 5 < former.len(), "a configuration compresses to less than a fifth");
        assert!(one <= five && five < 1500, "{five} bytes for five routes");
        deltas.push(one);
    }
    let (low, high) = (deltas[0], deltas[2]);
    assert!(high <= low + 16, "{low} bytes at 10 routes, {high} at 1,600");
}
