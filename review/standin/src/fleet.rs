//! Three nodes, each with a controller and a router, as separate processes; the operator; clients.

use crate::http;
use crate::record::Record;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "3d3zji9n73hh2b9wu3fe";
pub const MODEL: &str = "daka510000";
pub const SERVICE: &str = "huvo11a";

pub struct Node {
    pub ip: Ipv4Addr,
    pub controller: Option<Child>,
    pub router: Option<Child>,
    folder: PathBuf,
    name: String,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub folder: PathBuf,
    pub record: Arc<Record>,
}

/// Notes a process for `run.sh`, which ends what is left however the run ended.
fn note(pid: u32) {
    let Ok(path) = std::env::var("REVIEW_PIDS") else { return };
    if let Ok(mut file) = std::fs::OpenOptions::new().create(true).append(true).open(path) {
        let _ = writeln!(file, "{pid}");
    }
}

/// An address of this run alone.
pub fn ip(last: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 30 + (pid % 200) as u8, 1 + (pid / 200 % 250) as u8, last)
}

impl Node {
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), 8169)
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), 8167)
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), 8162)
    }

    /// As the deploy file has it.
    fn start_program(&self, role: &str, port: &str) -> Child {
        let log = std::fs::File::create(self.folder.join(format!("{role}.log"))).unwrap();
        let child = Command::new(format!("target/release/{role}"))
            .args(["--metrics", port])
            .env("ANISEDYKE_SETTINGS", self.folder.join(format!("{role}.conf")))
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .expect("the program is built");
        note(child.id());
        child
    }

    pub fn start(&mut self) {
        self.controller = Some(self.start_program("controller", "9465"));
        self.router = Some(self.start_program("router", "9464"));
    }

    /// SIGKILL to both processes, and their end.
    pub fn kill(&mut self) {
        for child in [&mut self.controller, &mut self.router] {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Writes the settings; `bootstrap` only at the first start of all.
    pub fn write_settings(&self, seeds: &str, bootstrap: bool) {
        for role in ["controller", "router"] {
            let data = self.folder.join(format!("data-{role}"));
            std::fs::create_dir_all(&data).unwrap();
            let (ip, name, data) = (self.ip, &self.name, data.display());
            let text = format!(
                "nodeName={name}\nrole={role}\nmachineClass=edge\nserves=edge,control\nip={ip}\nzone=z1\nregion=r\nzones.z1=r\nzones.z2=r\nzones.z3=r\nbindAddrs.frontHttp={ip}:8167\nbindAddrs.readiness={ip}:8162\nbindAddrs.control={ip}:8169\nportRange=7640,7655\nseeds={seeds}\nbootstrap={bootstrap}\ncounted=true\nlimits.cpuShare=0.45\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=64\ndataDir={data}\ndiscovery=self_register\nentry=virtual_ip\nheartbeatMs=1200\ncontracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\ntolerance.machines=1\ntolerance.zones=0\ntolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.applyMs=2000\nbounds.rewindSlackMs=250\nbounds.stretchMs=5000\nbounds.revocation=false\nbounds.revokeMs=5000\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=60\nbounds.recoveryS=12\nbounds.transitMs=120\nbounds.fenced=true\nbounds.leaseMs=3000\nbounds.thawMs=300\nbounds.versionMs=8000\n"
            );
            std::fs::write(self.folder.join(format!("{role}.conf")), text).unwrap();
        }
    }
}

impl Fleet {
    /// Three nodes on empty disks, started together.
    pub fn start(record: &Arc<Record>) -> Fleet {
        let folder = std::env::temp_dir().join(format!("anisedyke-review-{}", std::process::id()));
        let seeds = seeds();
        let mut nodes = Vec::new();
        for number in 1..=3u8 {
            let name = format!("edge-z1-{number}");
            let folder = folder.join(&name);
            std::fs::create_dir_all(&folder).unwrap();
            let ip = ip(10 + number);
            let mut node = Node { ip, controller: None, router: None, folder, name };
            node.write_settings(&seeds, true);
            node.start();
            nodes.push(node);
        }
        Fleet { nodes, folder, record: record.clone() }
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::control).collect()
    }

    /// The operator: a call to one node after the other until one acknowledges it; when it did.
    pub fn operate(
        &self,
        path: &str,
        base: Option<u64>,
        body: &str,
        limit: Duration,
    ) -> Option<f64> {
        let begun = self.record.now();
        let mut turn = 0;
        while self.record.now() - begun < limit.as_secs_f64() {
            let to = self.nodes[turn % self.nodes.len()].control();
            turn += 1;
            let mut headers = vec![("Content-Type", "application/json".to_owned())];
            headers.extend(base.map(|base| ("X-Base-Revision", base.to_string())));
            let limit = Duration::from_secs(1);
            let answer = http::call(to, "POST", path, &headers, body.as_bytes(), limit);
            let status = answer.map(|answer| answer.status()).unwrap_or(0);
            self.record.line(&format!("operator {path} at {to}: {status}"));
            if status == 200 {
                return Some(self.record.now());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// SIGTERM to both processes of a node.
    pub fn terminate(&self, node: usize) {
        let node = &self.nodes[node];
        for child in [&node.controller, &node.router].into_iter().flatten() {
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -TERM {}", child.id())])
                .status();
        }
    }

    pub fn is_ready(&self, node: usize) -> bool {
        let to = self.nodes[node].readiness();
        let limit = Duration::from_millis(500);
        let answer = http::call(to, "GET", "/anisedyke/readyz", &[], b"", limit);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let begun = self.record.now();
        while self.record.now() - begun < limit.as_secs_f64() {
            if (0..self.nodes.len()).all(|node| self.is_ready(node)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn end(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn seeds() -> String {
    let seeds: Vec<String> = (1..=3u8).map(|n| format!("{}:8169", ip(10 + n))).collect();
    seeds.join(",")
}

/// The one route of a configuration.
pub struct Route {
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

/// A configuration with one route.
pub fn configuration(revision: u64, route: &Route, slots: usize) -> String {
    let Route { kind, timeout_ms, target_ms, attempts, resumable } = route;
    format!(
        "{{\"revision\":{revision},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetMs\":{target_ms},\"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\"public\":false,\"sticky\":true,\"resumable\":{resumable},\"gapTargetMs\":400}}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConns\":380,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{slots},\"kvCapacity\":109184,\"kvTokenBytes\":327680,\"linkMbps\":1100000.0,\"stride\":4,\"maxInflight\":12,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"nowu640\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"isolated\":true}}]}}"
    )
}

/// One request of a client; the status, or 0 where none came, and whether the answer was complete.
///
/// A client of a stream gives it up after a silence; one that waits for a whole answer waits until its deadline.
pub fn request(
    record: &Record,
    to: SocketAddr,
    attempt: &str,
    deadline_ms: u64,
    silence: Duration,
    tokens: &str,
) -> (u16, bool) {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Count", tokens.to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:200,{:x}:600", fnv(attempt))),
        ("X-Deadline-Ms", deadline_ms.to_string()),
        ("X-Key", KEY.to_owned()),
    ];
    record.line(&format!("client sends {attempt} to {to}"));
    let limit = silence.min(Duration::from_millis(deadline_ms));
    let answer = http::call(to, "POST", "/lohu930/2f", &headers, b"prompt", limit);
    let (status, is_complete) = match &answer {
        Ok(answer) => (answer.status(), true),
        Err(_) => (0, false),
    };
    record.line(&format!("client gets {status} for {attempt}, complete: {is_complete}"));
    (status, is_complete)
}

fn fnv(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
