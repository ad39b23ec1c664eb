//! Stand-ins and checks of the scripts in `review/6` to `review/10`.
//!
//! `probes CASE RECORD` starts the fleet, plays one case and writes the record. It exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod early_answer;
mod engine;
mod fleet;
mod gone_client;
mod http;
mod late_version;
mod read_ahead;
mod record;
mod slow_reader;
mod socket;
mod stale_wall;

use fleet::Fleet;
use record::Record;
use std::process::ExitCode;
use std::sync::Arc;

/// What became of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case couldn't run.
pub type CaseError = Box<dyn std::error::Error>;

/// The first part of every prompt.
const SHARED_PART: &str = "5c1e07a2";
/// Key of the tenant `nowu640`, which is never isolated.
const KEY: &str = "3d3zji9n73hh2b9wu3fe";
/// Key of the tenant `pibo212`, which a second configuration isolates.
const OTHER_KEY: &str = "xd9dnn2ctnfzs989anu6";

/// A configuration of a small deployment: streams that may be resumed, streams that may not, and unsafe requests.
fn configuration(revision: u64, isolates: bool) -> String {
    let route = |name: &str, kind: &str, priority: u64, attempts: u64, resumable: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":15000,\"targetMs\":800,\"priority\":{priority},\"service\":\"oracle\",\
             \"maxAttempts\":{attempts},\"public\":false,\"sticky\":true,\"resumable\":{resumable},\"gapTargetMs\":400}}"
        )
    };
    let routes = [
        route("hint", "streaming", 0, 1, false),
        route("ruling", "streaming", 1, 2, true),
        route("match", "unsafe", 0, 1, false),
    ];
    format!(
        "{{\"revision\":{revision},\"routes\":[{}],\"services\":[{{\"name\":\"oracle\",\"healthPath\":\"/healthz\",\
         \"maxConns\":310,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\"kvCapacity\":105065,\
         \"kvTokenBytes\":327680,\"linkMbps\":1100000.0,\"stride\":4,\"maxInflight\":12,\"models\":[{{\"name\":\"m0\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"nowu640\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"isolated\":false}},\
         {{\"name\":\"pibo212\",\"apiKeys\":[\"{OTHER_KEY}\"],\"priority\":1,\"isolated\":{isolates}}}]}}",
        routes.join(",")
    )
}

/// A client's request with a body of this length, of the tenant that is never isolated.
fn request(path: &str, attempt: &str, body_length: usize) -> Vec<u8> {
    request_of(KEY, path, attempt, body_length)
}

/// A request of the tenant with this key. The first two parts of the prompt are the same for all requests.
fn request_of(key: &str, path: &str, attempt: &str, body_length: usize) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m0\r\n\
         X-Token-Count: 747,73\r\nX-Prompt-Prefix: {SHARED_PART}:119,91bd3f06:79,{attempt}:549\r\n\
         X-Deadline-Ms: 15000\r\nX-Key: {key}\r\nContent-Length: {body_length}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + body_length, b'b');
    request
}

/// Sets the end of the process, whatever hangs: the caller ends what this one leaves.
fn limit_run_time() {
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(100));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: probes CASE RECORD");
        return ExitCode::from(2);
    };
    limit_run_time();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new());
    let play = match case.as_str() {
        "slow-reader" => slow_reader::play,
        "early-answer" => early_answer::play,
        "gone-client" => gone_client::play,
        "late-version" => late_version::play,
        "read-ahead" => read_ahead::play,
        "stale-wall" => stale_wall::play,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    let played = Fleet::start(record.clone()).map_err(CaseError::from).and_then(|fleet| {
        let fleet = Arc::new(fleet);
        let is_ready = fleet.configure(&configuration(7, false));
        let played = if is_ready {
            play(&fleet, has_trouble)
        } else {
            Err("the fleet did not become ready".into())
        };
        // The threads of engines hold the fleet to the end of this process.
        fleet.end();
        played
    });
    let (code, line) = match played {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.add(&line);
    println!("{case}: {line}");
    if let Err(error) = record.save(path) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
