//! A controller, a router and a stub engine on loopback: the path of a request, and the configuration that is kept on
//! disk.

mod endless_responses;
mod process;
mod stopping;
mod support;

use std::net::SocketAddr;
use support::{TestNode, call, get, post, replace, wait_for_status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Sends a request, closes the sending direction, and returns the status of the response if there is one.
async fn call_and_half_close(address: SocketAddr, request: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    stream.shutdown().await.ok()?;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).split(' ').nth(1)?.parse().ok()
}

fn configuration(revision: u64, timeout_ms: u64) -> String {
    serde_json::json!({
        "revision": revision,
        "routes": [{"host": "h.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": timeout_ms, "service": "s"}],
        "services": [{"name": "s", "maxConns": 50, "engine": {"slots": 8}}],
    })
    .to_string()
}

/// A configuration change with the body as one chunk; without its last bytes the body is incomplete.
fn chunked_replace(base_revision: u64, body: &str) -> String {
    format!(
        "POST /anisedyke/Config.Replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Base-Revision: {base_revision}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    )
}

#[tokio::test]
async fn configurations_are_accepted_or_rejected_and_survive_a_restart() {
    let node = TestNode::new("config");
    let controller = node.controller(true);
    assert_eq!(wait_for_status(node.control, &get("Config.Fetch"), 503).await.0, 503);
    assert_eq!(
        wait_for_status(node.control, &replace(0, &configuration(5, 100)), 200).await.0,
        200
    );
    let truncated = configuration(9, 100);
    let table = vec![
        ("resent", replace(0, &configuration(5, 100)), 200, ""),
        ("stale base", replace(3, &configuration(9, 100)), 412, "stale_base"),
        ("version not above", replace(5, &configuration(5, 200)), 400, "version_not_above"),
        ("zero timeout", replace(5, &configuration(9, 0)), 400, "out_of_bounds"),
        ("truncated body", replace(5, &truncated[..truncated.len() / 2]), 400, "unreadable"),
        ("no base", post("Config.Replace", "", &configuration(9, 100)), 400, "no_base"),
        ("negative base", replace("-5", &configuration(9, 100)), 400, "no_base"),
        ("base with a sign", replace("+5", &configuration(9, 100)), 400, "no_base"),
        ("base that is not a number", replace("five", &configuration(9, 100)), 400, "no_base"),
        ("empty base", replace("", &configuration(9, 100)), 400, "no_base"),
        ("base above every revision", replace(8, &configuration(9, 100)), 503, "unknown"),
        (
            "heartbeat too large",
            post("Instances.Heartbeat/i", "", &" ".repeat(5000)),
            413,
            "too_large",
        ),
        ("malformed heartbeat", post("Instances.Heartbeat/i", "", "{}"), 400, "malformed"),
        ("malformed weights", post("version-put", "", "{\"model\":3}"), 400, "malformed"),
        ("wrong method", get("version-put"), 405, ""),
        ("wrong path", get("nothing"), 404, ""),
        ("weights", post("version-put", "", "{\"model\":\"m\",\"revision\":4}"), 200, ""),
    ];
    for (case, request, expected, code) in table {
        let (status, text) = call(node.control, &request).await.unwrap();
        assert_eq!(status, expected, "{case}: {text}");
        assert!(text.contains(code), "{case}: {text}");
    }
    for complete in [replace(5, &configuration(9, 100)), chunked_replace(5, &configuration(9, 100))]
    {
        let truncated = &complete[..complete.len() - 5];
        assert_ne!(
            call_and_half_close(node.control, truncated).await,
            Some(200),
            "a truncated body"
        );
    }
    let (_, before) = call(node.control, &get("Config.Fetch")).await.unwrap();
    assert!(before.ends_with(&configuration(5, 100)), "rejected changes had an effect: {before}");
    controller.shut_down().await;
    let controller = node.controller(false);
    let (status, after) = wait_for_status(node.control, &get("Config.Fetch"), 200).await;
    assert_eq!(status, 200);
    assert!(after.ends_with(&configuration(5, 100)));
    assert_eq!(call(node.control, &replace(5, &configuration(8, 100))).await.unwrap().0, 200);
    controller.shut_down().await;
}

/// A configuration with many routes; the host of the last route contains the revision.
fn large_configuration(revision: u64) -> String {
    let route = |host: String, number: u64| {
        serde_json::json!({"host": host, "pathPrefix": format!("/{number}/"), "kind": "safe",
            "timeoutMs": 100, "service": "s"})
    };
    let mut routes: Vec<_> = (0..300).map(|n| route(format!("h{n}.example"), n * 7919)).collect();
    routes.push(route(format!("new{revision}.example"), 1));
    serde_json::json!({"revision": revision, "routes": routes, "services": [{"name": "s"}]})
        .to_string()
}

#[tokio::test]
async fn every_change_to_a_large_configuration_reaches_the_router() {
    let node = TestNode::new("large");
    let controller = node.controller(true);
    let router = node.router();
    assert_eq!(
        wait_for_status(node.control, &replace(0, &large_configuration(1)), 200).await.0,
        200
    );
    assert_eq!(wait_for_status(node.readiness, &get("readyz"), 200).await.0, 200);
    for revision in 1..6 {
        let request = |route_revision: u64| {
            format!(
                "POST /1/x HTTP/1.1\r\nHost: new{route_revision}.example\r\nX-Attempt-Id: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            )
        };
        assert_eq!(
            wait_for_status(node.front, &request(revision), 503).await.0,
            503,
            "a route without an engine"
        );
        assert_eq!(
            call(node.front, &request(revision + 1)).await.unwrap().0,
            404,
            "a route of a later revision"
        );
        let next = replace(revision, &large_configuration(revision + 1));
        assert_eq!(call(node.control, &next).await.unwrap().0, 200);
    }
    router.task.abort();
    controller.shut_down().await;
}

async fn stub_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = vec![0u8; 8192];
                while let Ok(length) = stream.read(&mut buffer).await {
                    if length == 0 {
                        return;
                    }
                    let head = String::from_utf8_lossy(&buffer[..length]).to_ascii_lowercase();
                    let response = if head.contains("kv-events") {
                        "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
                    } else {
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nwell"
                    };
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn a_request_is_routed_to_its_engine_by_controller_and_router() {
    let node = TestNode::new("path");
    let controller = node.controller(true);
    let router = node.router();
    assert_eq!(
        wait_for_status(node.readiness, &get("readyz"), 503).await.0,
        503,
        "no configuration yet"
    );
    assert_eq!(
        wait_for_status(node.control, &replace(0, &configuration(5, 5000)), 200).await.0,
        200
    );
    assert_eq!(wait_for_status(node.readiness, &get("readyz"), 200).await.0, 200);
    let request = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (status, text) = call(node.front, request).await.unwrap();
    assert_eq!(status, 503, "no engine yet");
    assert!(text.to_ascii_lowercase().contains("retry-after"));
    let engine = stub_engine().await;
    let heartbeat = |state: &str, call_number: u64| {
        let body = serde_json::json!({"service": "s", "address": engine.to_string(), "zone": "z", "revision": "v1",
            "slots": 8, "state": state, "coldLeftMs": 0, "models": [], "callSeq": call_number});
        post("Instances.Heartbeat/i-1", "", &body.to_string())
    };
    assert_eq!(call(node.control, &heartbeat("ready", 1)).await.unwrap().0, 200);
    let (status, text) = wait_for_status(node.front, request, 200).await;
    assert_eq!(status, 200);
    assert!(text.ends_with("well"));
    assert_eq!(call(node.control, &heartbeat("draining", 2)).await.unwrap().0, 200);
    assert_eq!(
        wait_for_status(node.front, request, 503).await.0,
        503,
        "a draining engine gets no requests"
    );
    assert_eq!(
        call(node.control, &heartbeat("ready", 1)).await.unwrap().0,
        200,
        "an outdated heartbeat is acknowledged"
    );
    assert_eq!(
        call(node.front, request).await.unwrap().0,
        503,
        "an outdated heartbeat changes nothing"
    );
    assert_eq!(call(node.control, &post("Instances.Deregister/i-1", "", "")).await.unwrap().0, 200);
    assert_eq!(call(node.front, request).await.unwrap().0, 503);
    router.task.abort();
    controller.shut_down().await;
}
