//! Three nodes on loopback addresses, each with a controller and a router, started by the commands of the deploy file.

use crate::http;
use crate::record::Record;
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONTROL_PORT: u16 = 8169;
const FRONT_PORT: u16 = 8167;
const READINESS_PORT: u16 = 8162;
const NODES: usize = 3;

/// Programs of a node, with the arguments that the deploy file gives them.
const ROLES: [(&str, &[&str]); 2] = [
    ("controller", &["target/release/controller", "--metrics", "9465"]),
    ("router", &["target/release/router", "--metrics", "9464"]),
];

/// The processes of all nodes.
pub struct Fleet {
    /// What happened.
    pub record: Arc<Record>,
    network: [u8; 2],
    folder: PathBuf,
    processes: Mutex<Vec<(usize, &'static str, Child)>>,
}

impl Fleet {
    /// Starts all processes on empty disks.
    pub fn start(record: Arc<Record>) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("anisedyke-probe-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let fleet = Fleet { record, network: free_network()?, folder, processes: Mutex::default() };
        for node in 0..NODES {
            for (role, command) in ROLES {
                fleet.start_process(node, role, command)?;
            }
        }
        Ok(fleet)
    }

    /// The address of a node.
    fn ip(&self, node: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], 11 + node as u8)
    }

    /// The address at which a node takes clients.
    pub fn front(&self, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(node), FRONT_PORT)
    }

    /// The address of a node for calls of engines and the operator.
    pub fn control(&self, node: usize) -> SocketAddr {
        SocketAddr::new(self.ip(node % NODES).into(), CONTROL_PORT)
    }

    /// The address of an engine.
    pub fn engine_address(&self, number: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network[0], self.network[1], 101 + number as u8);
        SocketAddr::new(ip.into(), 8688)
    }

    fn start_process(&self, node: usize, role: &'static str, command: &[&str]) -> io::Result<()> {
        let folder = self.folder.join(format!("{role}-{node}"));
        std::fs::create_dir_all(folder.join("data"))?;
        let settings = folder.join("boot.conf");
        std::fs::write(&settings, self.settings(node, role))?;
        let log = File::create(folder.join("log"))?;
        let child = Command::new(command[0])
            .args(&command[1..])
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
            )
            .env("ANISEDYKE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Ok(list) = std::env::var("PROBE_PIDS") {
            let mut pids = std::fs::read_to_string(&list).unwrap_or_default();
            pids.push_str(&format!("{}\n", child.id()));
            std::fs::write(&list, pids)?;
        }
        self.processes.lock().expect("not poisoned").push((node, role, child));
        Ok(())
    }

    /// The settings file of one process: those that `fleetbench wire` prints for a small deployment.
    fn settings(&self, node: usize, role: &str) -> String {
        let ip = self.ip(node);
        let seeds: Vec<String> = (0..NODES).map(|seed| self.control(seed).to_string()).collect();
        let (serves, addresses) = if role == "controller" {
            let data = self.folder.join(format!("{role}-{node}")).join("data");
            let data = data.display();
            ("control", format!("bindAddrs.control={ip}:{CONTROL_PORT}\ndataDir={data}\n"))
        } else {
            let front = format!("bindAddrs.frontHttp={ip}:{FRONT_PORT}\n");
            ("edge", format!("{front}bindAddrs.readiness={ip}:{READINESS_PORT}\n"))
        };
        let zone = node + 1;
        format!(
            "nodeName=edge-z{zone}-1\nrole={role}\nmachineClass=edge\nserves={serves}\nip={ip}\nzone=z{zone}\n\
             region=r\nzones.z1=r\nzones.z2=r\nzones.z3=r\n{addresses}portRange=7640,7655\nseeds={}\n\
             bootstrap=true\ncounted=true\nlimits.cpuShare=0.45\nlimits.cores=1\nlimits.memoryMb=260\n\
             limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=64\ndiscovery=self_register\n\
             entry=virtual_ip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants\n\
             tolerance.machines=1\ntolerance.zones=0\ntolerance.regions=0\nbounds.seedLagS=3\n\
             bounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
             bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.applyMs=2000\n\
             bounds.rewindSlackMs=250\nbounds.stretchMs=5000\nbounds.revocation=false\n\
             bounds.revokeMs=5000\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=58\n\
             bounds.recoveryS=12\nbounds.transitMs=120\nbounds.fenced=true\nbounds.leaseMs=3000\n\
             bounds.thawMs=300\nbounds.versionMs=8000\n",
            seeds.join(","),
        )
    }

    /// Sends the first configuration until it is taken, and waits until all nodes are ready.
    pub fn configure(&self, configuration: &str) -> bool {
        let acknowledged = self.order("Config.Replace", "X-Base-Revision: 0\r\n", configuration);
        let is_ready = |node| {
            let readiness = SocketAddr::new(self.ip(node).into(), READINESS_PORT);
            let head = "GET /anisedyke/readyz HTTP/1.1\r\n";
            let answer = http::call(readiness, head, "", Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        let ready =
            acknowledged && wait_until(Duration::from_secs(15), |_| (0..NODES).all(is_ready));
        self.record.add(&format!("platform: all nodes are ready: {ready}"));
        ready
    }

    /// Sends an order of the operator until it is acknowledged; false if it never was.
    pub fn order(&self, name: &str, headers: &str, body: &str) -> bool {
        let head = format!(
            "POST /anisedyke/{name} HTTP/1.1\r\n{headers}Content-Type: application/json\r\n"
        );
        let acknowledged = wait_until(Duration::from_secs(15), |attempt| {
            let answer = http::call(self.control(attempt), &head, body, Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        });
        self.record.add(&format!("operator: {name} acknowledged: {acknowledged}"));
        acknowledged
    }

    /// Ends all processes and removes their folder, whoever still holds this.
    pub fn end(&self) {
        for (_, _, child) in self.processes.lock().expect("not poisoned").iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Sends a signal to both processes of a node.
    pub fn signal(&self, node: usize, name: &str) {
        for (_, role, child) in
            self.processes.lock().expect("not poisoned").iter().filter(|(at, ..)| *at == node)
        {
            let pid = child.id();
            let _ = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status();
            self.record.add(&format!("platform: SIG{name} to the {role} of node {node}"));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// The second and third octet of loopback addresses that nobody listens on.
fn free_network() -> io::Result<[u8; 2]> {
    let pid = std::process::id();
    for attempt in 0..50 {
        let network = [64 + ((pid + attempt) % 150) as u8, (pid / 150 % 250) as u8];
        let is_free = |node: usize| {
            let ip = Ipv4Addr::new(127, network[0], network[1], 11 + node as u8);
            [CONTROL_PORT, FRONT_PORT, READINESS_PORT, 7640, 9464, 9465]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        };
        if (0..NODES).all(is_free) {
            return Ok(network);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Repeats a check each 0.1 s until it holds; false if it never did in time.
pub fn wait_until(limit: Duration, mut holds: impl FnMut(usize) -> bool) -> bool {
    let end = Instant::now() + limit;
    for attempt in 0.. {
        if holds(attempt) {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
