//! Requests of a controller to engines: paths, headers and fields of orders, reports and event reads.

mod program;

use program::Program;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Timeout of each wait, generous for busy machines.
const LIMIT: Duration = Duration::from_secs(30);

/// A request as the engine received it.
#[derive(Debug)]
struct Request {
    /// Method and path.
    line: String,
    /// Names are in lower case.
    headers: Vec<(String, String)>,
    body: String,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    fn parse(text: &str) -> Option<(Request, usize)> {
        let (head, after_head) = text.split_once("\r\n\r\n")?;
        let mut lines = head.lines();
        let line = lines.next()?.trim_end_matches(" HTTP/1.1").to_owned();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers: Vec<_> = lines.filter_map(header).collect();
        let mut request = Request { line, headers, body: String::new() };
        let length = request.header("content-length").map_or(0, |value| value.parse().unwrap());
        request.body = after_head.get(..length)?.to_owned();
        Some((request, head.len() + 4 + length))
    }
}

/// Serves a connection of an engine that has version 4 of the weights until it receives an order, then version 5.
async fn serve(mut stream: TcpStream, requests: mpsc::UnboundedSender<Request>) {
    let mut text = String::new();
    let mut revision = 4;
    let mut chunk = [0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut chunk).await {
        text.push_str(std::str::from_utf8(&chunk[..read]).unwrap());
        while let Some((request, length_read)) = Request::parse(&text) {
            text.drain(..length_read);
            let (status, body) = match request.line.as_str() {
                "GET /anisedyke/report" => {
                    let models = json!([{"name": "m", "revision": revision}]);
                    (200, json!({"models": models, "busy": false, "callSeq": 3, "active": 0}))
                }
                "POST /anisedyke/order" => (202, json!({})),
                _ => (200, json!({"epoch": 1, "nextToken": 1, "lost": false, "events": []})),
            };
            if status == 202 {
                revision = 5;
            }
            let body = body.to_string();
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).await.is_err()
                || requests.send(request).is_err()
            {
                return;
            }
        }
    }
}

async fn engine(requests: mpsc::UnboundedSender<Request>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, requests.clone()));
        }
    });
    address
}

/// Repeats a POST request until the status is 200.
async fn post(program: &Program, path: &str, body: &str) {
    let acknowledged =
        async { while program.call(http::Method::POST, path, "", body).await.0 != 200 {} };
    let in_time = tokio::time::timeout(LIMIT, acknowledged).await;
    assert!(in_time.is_ok(), "{path} was never acknowledged");
}

/// Requests that the engine received. Their order depends on the tasks of the controller.
struct ReceivedRequests {
    inbox: mpsc::UnboundedReceiver<Request>,
    received: Vec<Request>,
}

impl ReceivedRequests {
    /// Waits for a request whose method and path start with `line`, and returns the first one.
    async fn first(&mut self, line: &str) -> &Request {
        let is_match = |request: &Request| request.line.starts_with(line);
        while !self.received.iter().any(is_match) {
            let request = tokio::time::timeout(LIMIT, self.inbox.recv()).await;
            self.received.push(
                request.unwrap_or_else(|_| panic!("no request {line}")).expect("the engine serves"),
            );
        }
        self.received.iter().find(|request| is_match(request)).unwrap()
    }
}

#[tokio::test]
async fn orders_reports_and_event_reads_have_the_expected_format() {
    let program = Arc::new(Program::start(31, 1));
    let (sent, inbox) = mpsc::unbounded_channel();
    let mut requests = ReceivedRequests { inbox, received: Vec::new() };
    let address = engine(sent).await;
    let heartbeat = json!({"service": "s", "address": address.to_string(), "zone": "z", "slots": 3,
        "state": "ready", "models": [{"name": "m", "revision": 4}], "callSeq": 3});
    post(&program, "Instances.Heartbeat/e1", &heartbeat.to_string()).await;
    post(&program, "version-put", r#"{"model":"m","revision":5}"#).await;
    // Heartbeats keep the engine ready while the controller acquires the lease.
    let heartbeat_program = program.clone();
    let heartbeats = tokio::spawn(async move {
        for call_seq in 4.. {
            let mut heartbeat = heartbeat.clone();
            heartbeat["callSeq"] = call_seq.into();
            post(&heartbeat_program, "Instances.Heartbeat/e1", &heartbeat.to_string()).await;
        }
    });

    let events = requests.first("GET /anisedyke/kv-events").await;
    assert_eq!(events.line, "GET /anisedyke/kv-events?since=0");
    assert!(events.header("wait-ms").is_some_and(|ms| ms.parse::<u64>().is_ok()));
    assert_eq!(events.header("x-target-instance"), Some("e1"));
    let report = requests.first("GET /anisedyke/report").await;
    assert_eq!((report.line.as_str(), report.body.as_str()), ("GET /anisedyke/report", ""));
    assert_eq!(report.header("x-target-instance"), Some("e1"));
    let order = requests.first("POST /anisedyke/order").await;
    assert_eq!(order.header("x-target-instance"), Some("e1"));
    assert_eq!(order.header("content-type"), Some("application/json"));
    let mut body: Value = serde_json::from_str(&order.body).unwrap();
    assert!(body["fence"].take().as_u64().is_some_and(|fencing_token| fencing_token > 0));
    let expected = json!({"operation": "revision", "model": "m", "revision": 5, "method": "defer",
        "holder": "a", "fence": null, "expected": 3});
    assert_eq!(body, expected);
    heartbeats.abort();
}
