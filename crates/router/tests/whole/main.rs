//! A controller, a router and a stand-in engine on loopback: the whole path, and what is kept on disk.

mod stopping;
mod support;

use std::net::SocketAddr;
use support::{Place, call, get, post, replace, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Sends bytes, ends its own direction, and gives the status of the answer if there is one.
async fn call_and_end(to: SocketAddr, rq: &str) -> Option<u16> {
    let mut s = TcpStream::connect(to).await.ok()?;
    s.write_all(rq.as_bytes()).await.ok()?;
    s.shutdown().await.ok()?;
    let mut out = Vec::new();
    let _ = s.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).split(' ').nth(1)?.parse().ok()
}

fn sheet(revision: u64, timeout: u64) -> String {
    serde_json::json!({
        "revision": revision,
        "routes": [{"host": "h.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": timeout, "service": "s"}],
        "services": [{"name": "s", "maxConns": 50, "engine": {"slots": 8}}],
    })
    .to_string()
}

/// A change as one chunk; without its last bytes the body has no end.
fn chunked(base: u64, body: &str) -> String {
    format!(
        "POST /anisedyke/Config.Replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Base-Revision: {base}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    )
}

#[tokio::test]
async fn configurations_are_taken_refused_and_kept_over_a_restart() {
    let p = Place::new("config");
    let running = p.controller(true);
    assert_eq!(until(p.control, &get("Config.Fetch"), 503).await.0, 503);
    assert_eq!(until(p.control, &replace(0, &sheet(5, 100)), 200).await.0, 200);
    let truncated = sheet(9, 100);
    let table = vec![
        ("resent", replace(0, &sheet(5, 100)), 200, ""),
        ("stale base", replace(3, &sheet(9, 100)), 412, "stale_base"),
        ("version not above", replace(5, &sheet(5, 200)), 400, "version_not_above"),
        ("no time", replace(5, &sheet(9, 0)), 400, "out_of_bounds"),
        ("cut short", replace(5, &truncated[..truncated.len() / 2]), 400, "unreadable"),
        ("no base", post("Config.Replace", "", &sheet(9, 100)), 400, "no_base"),
        ("negative base", replace("-5", &sheet(9, 100)), 400, "no_base"),
        ("base with a sign", replace("+5", &sheet(9, 100)), 400, "no_base"),
        ("no number as base", replace("five", &sheet(9, 100)), 400, "no_base"),
        ("empty base", replace("", &sheet(9, 100)), 400, "no_base"),
        ("base ahead of all", replace(8, &sheet(9, 100)), 503, "unknown"),
        ("beat too large", post("Instances.Heartbeat/i", "", &" ".repeat(5000)), 413, "too_large"),
        ("malformed beat", post("Instances.Heartbeat/i", "", "{}"), 400, "malformed"),
        ("malformed weights", post("version-put", "", "{\"model\":3}"), 400, "malformed"),
        ("wrong method", get("version-put"), 405, ""),
        ("wrong path", get("nothing"), 404, ""),
        ("weights", post("version-put", "", "{\"model\":\"m\",\"revision\":4}"), 200, ""),
    ];
    for (what, rq, want, code) in table {
        let (status, text) = call(p.control, &rq).await.unwrap();
        assert_eq!(status, want, "{what}: {text}");
        assert!(text.contains(code), "{what}: {text}");
    }
    for breaks_off in [replace(5, &sheet(9, 100)), chunked(5, &sheet(9, 100))] {
        let truncated = &breaks_off[..breaks_off.len() - 5];
        assert_ne!(call_and_end(p.control, truncated).await, Some(200), "a body that ends early");
    }
    let (_, before) = call(p.control, &get("Config.Fetch")).await.unwrap();
    assert!(before.ends_with(&sheet(5, 100)), "what was refused changed nothing: {before}");
    running.end().await;
    let running = p.controller(false);
    let (status, after) = until(p.control, &get("Config.Fetch"), 200).await;
    assert_eq!(status, 200);
    assert!(after.ends_with(&sheet(5, 100)));
    assert_eq!(call(p.control, &replace(5, &sheet(8, 100))).await.unwrap().0, 200);
    running.end().await;
}

/// A configuration of many routes; the host of the last one follows from its revision.
fn large_sheet(revision: u64) -> String {
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
async fn every_change_of_a_large_configuration_reaches_the_router() {
    let p = Place::new("large");
    let controller = p.controller(true);
    let router = p.router();
    assert_eq!(until(p.control, &replace(0, &large_sheet(1)), 200).await.0, 200);
    assert_eq!(until(p.probe, &get("readyz"), 200).await.0, 200);
    for revision in 1..6 {
        let ask = |host: u64| {
            format!(
                "POST /1/x HTTP/1.1\r\nHost: new{host}.example\r\nX-Attempt-Id: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            )
        };
        assert_eq!(until(p.front, &ask(revision), 503).await.0, 503, "a route without an engine");
        assert_eq!(call(p.front, &ask(revision + 1)).await.unwrap().0, 404, "a route to come");
        let next = replace(revision, &large_sheet(revision + 1));
        assert_eq!(call(p.control, &next).await.unwrap().0, 200);
    }
    router.task.abort();
    controller.end().await;
}

async fn stub_engine() -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = l.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = l.accept().await {
            tokio::spawn(async move {
                let mut b = vec![0u8; 8192];
                while let Ok(n) = s.read(&mut b).await {
                    if n == 0 {
                        return;
                    }
                    let head = String::from_utf8_lossy(&b[..n]).to_ascii_lowercase();
                    let answer = if head.contains("kv-events") {
                        "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
                    } else {
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nwell"
                    };
                    if s.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

#[tokio::test]
async fn a_request_finds_its_engine_through_the_whole_system() {
    let p = Place::new("path");
    let controller = p.controller(true);
    let router = p.router();
    assert_eq!(until(p.probe, &get("readyz"), 503).await.0, 503, "no configuration as yet");
    assert_eq!(until(p.control, &replace(0, &sheet(5, 5000)), 200).await.0, 200);
    assert_eq!(until(p.probe, &get("readyz"), 200).await.0, 200);
    let rq = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (status, text) = call(p.front, rq).await.unwrap();
    assert_eq!(status, 503, "no engine as yet");
    assert!(text.to_ascii_lowercase().contains("retry-after"));
    let engine = stub_engine().await;
    let heartbeat = |state: &str, call: u64| {
        let beat = serde_json::json!({"service": "s", "address": engine.to_string(), "zone": "z", "revision": "v1",
            "slots": 8, "state": state, "coldLeftMs": 0, "models": [], "callSeq": call});
        post("Instances.Heartbeat/i-1", "", &beat.to_string())
    };
    assert_eq!(call(p.control, &heartbeat("ready", 1)).await.unwrap().0, 200);
    let (status, text) = until(p.front, rq, 200).await;
    assert_eq!(status, 200);
    assert!(text.ends_with("well"));
    assert_eq!(call(p.control, &heartbeat("draining", 2)).await.unwrap().0, 200);
    assert_eq!(until(p.front, rq, 503).await.0, 503, "a draining engine gets nothing");
    assert_eq!(
        call(p.control, &heartbeat("ready", 1)).await.unwrap().0,
        200,
        "a late beat is acknowledged"
    );
    assert_eq!(call(p.front, rq).await.unwrap().0, 503, "and changes nothing");
    assert_eq!(call(p.control, &post("Instances.Deregister/i-1", "", "")).await.unwrap().0, 200);
    assert_eq!(call(p.front, rq).await.unwrap().0, 503);
    router.task.abort();
    controller.end().await;
}
