//! Real controllers in one process: a network of memory, disks of memory, and a clock that tokio
//! moves when all wait.

mod disk;
mod network;

use control_plane::storage::RecordQueue;
use control_plane::storage::format::State;
use control_plane::storage::writer::Disk;
use control_plane::{Controller, Environment, RunningController};
use disk::MemoryDisk;
use fleet_core::link::Link;
use fleet_core::node::{Node, Role};
use fleet_core::transport::{Listener, Transport};
use fleet_core::wire::Body;
use network::{Machine, Network};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Longest time of the clock that anything here may take.
const LIMIT: Duration = Duration::from_secs(30);
/// Time after which all nodes know what one was told, and duties have their holders.
const SETTLED: Duration = Duration::from_secs(10);

/// What happened, in its order: events, records written and bytes sent, each with time and node.
#[derive(Clone)]
pub struct Trace {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Trace {
    fn new() -> Trace {
        Trace { start: Instant::now(), lines: Arc::default() }
    }

    fn add(&self, node: usize, what: &str) {
        let line = format!("{:?} n{node} {what}", self.start.elapsed());
        self.lines.lock().unwrap().push(line);
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }
}

/// Puts the log's events into the trace.
struct Events {
    node: usize,
    trace: Trace,
}

impl slog::Drain for Events {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.trace.add(self.node, &record.msg().to_string());
        Ok(())
    }
}

struct Started {
    running: RunningController,
    machine: Machine,
    /// none on a machine without a disk
    disk: Option<Arc<MemoryDisk>>,
}

impl Started {
    fn disk(&self) -> &MemoryDisk {
        self.disk.as_ref().expect("it has a disk")
    }
}

pub struct Cluster {
    size: usize,
    network: Arc<Network>,
    started: BTreeMap<usize, Started>,
    images: BTreeMap<usize, State>,
    seeds_used: u64,
    write_time: Duration,
    pub trace: Trace,
}

fn settings(node: usize, size: usize) -> fleet_core::settings::Settings {
    let seeds: Vec<String> = (1..=size).map(|n| format!("10.0.0.{n}:7000")).collect();
    let text = format!(
        "nodeName=n{node}\nip=10.0.0.{node}\nzone=z{node}\nportRange=7100,7110\nseeds={}\n\
         bootstrap=true\nbindAddrs.control=10.0.0.{node}:7000\n",
        seeds.join(",")
    );
    fleet_core::settings::Settings::parse(&text).unwrap()
}

impl Cluster {
    /// Machines 1 to `size`; the seed is all that runs differ by.
    pub async fn found(size: usize, seed: u64) -> Cluster {
        Cluster::found_with_disks(size, seed, disk::WRITE).await
    }

    /// The same with disks that take no time, so that what waits for anything else shows.
    pub async fn found_with_instant_disks(size: usize, seed: u64) -> Cluster {
        Cluster::found_with_disks(size, seed, Duration::ZERO).await
    }

    async fn found_with_disks(size: usize, seed: u64, write_time: Duration) -> Cluster {
        let mut cluster = Cluster {
            size,
            network: Arc::default(),
            started: BTreeMap::new(),
            images: BTreeMap::new(),
            seeds_used: seed * 1000,
            write_time,
            trace: Trace::new(),
        };
        for node in 1..=size {
            cluster.start(node).await;
        }
        cluster
    }

    /// Starts a node with what its disk holds; with none, it is the first start of all.
    pub async fn start(&mut self, node: usize) {
        let image = self.images.get(&node).cloned();
        let first_start = image.is_none();
        let state = image.unwrap_or_default();
        let disk = MemoryDisk::start(node, state.clone(), self.write_time, self.trace.clone());
        self.start_with(node, state, first_start, Some(Arc::new(disk))).await;
    }

    /// Starts a node on a machine without a disk: it serves, and never votes.
    pub async fn start_without_disk(&mut self, node: usize) {
        self.start_with(node, State::default(), false, None).await;
    }

    async fn start_with(
        &mut self,
        node: usize,
        state: State,
        first_start: bool,
        disk: Option<Arc<MemoryDisk>>,
    ) {
        let queue: Arc<dyn RecordQueue> = match &disk {
            Some(disk) => disk.clone(),
            None => Arc::new(Disk::absent()),
        };
        let machine = Machine::new(node, self.network.clone(), self.trace.clone());
        self.seeds_used += 1;
        let environment = Environment {
            transport: Arc::new(machine.clone()),
            disk: queue,
            state,
            first_start,
            seed: self.seeds_used,
        };
        let log = slog::Logger::root(Events { node, trace: self.trace.clone() }, slog::o!());
        let started = Controller::start(settings(node, self.size), log, environment).await;
        let running = started.unwrap();
        self.started.insert(node, Started { running, machine, disk });
    }

    /// Ends a node at once; its disk keeps what was written.
    pub fn crash(&mut self, node: usize) {
        let dead = self.started.remove(&node).unwrap();
        dead.machine.end();
        dead.running.abort();
        if let Some(disk) = &dead.disk {
            self.images.insert(node, disk.end());
        }
        self.trace.add(node, "crashed");
    }

    /// A node hands back what it holds, up to where the program would stop its tasks.
    pub async fn leave(&self, node: usize) {
        self.started[&node].running.leave().await;
    }

    /// Ends a node in good order, as SIGTERM does.
    pub async fn stop(&mut self, node: usize) {
        self.leave(node).await;
        self.crash(node);
    }

    /// The node comes back, or comes at all, with an empty disk and no right to found anything.
    pub async fn start_empty(&mut self, node: usize) {
        self.images.insert(node, State::default());
        self.start(node).await;
    }

    /// The node runs and is linked, but nothing more is kept, so that it answers no vote.
    pub fn stop_disk(&self, node: usize) {
        self.started[&node].disk().end();
        self.trace.add(node, "disk stopped");
    }

    /// The node's disk hangs: records wait, and none is refused. Or it works again.
    pub fn hang_disk(&self, node: usize, hangs: bool) {
        self.started[&node].disk().hang(hangs);
        self.trace.add(node, if hangs { "disk hangs" } else { "disk works" });
    }

    /// Nodes in the membership as this one knows it.
    pub fn members(&self, node: usize) -> Vec<usize> {
        let membership = self.controller(node).consensus().membership();
        let last = |ip: &str| ip.rsplit('.').next().and_then(|n| n.parse().ok());
        membership.members.iter().filter_map(|m| last(&m.ip)).collect()
    }

    pub fn controller(&self, node: usize) -> &Arc<Controller> {
        self.started[&node].running.controller()
    }

    /// A router's link to a node; what is pushed to it goes to `pushed`.
    pub fn router_link(
        &self,
        router: usize,
        to: usize,
        pushed: Option<mpsc::Sender<Body>>,
    ) -> Arc<Link> {
        let machine = Machine::new(router, self.network.clone(), self.trace.clone());
        let node = Node::seeded(&settings(router, self.size), Role::Router, router as u64);
        let node_settings = settings(to, self.size);
        let peer_service = node_settings.peer_addr(node_settings.ip.into());
        Link::keep_over(Arc::new(machine), &node, peer_service, pushed)
    }

    /// Listens at an address that is no controller's.
    pub fn listen(&self, at: SocketAddr) -> Box<dyn Listener> {
        let machine = Machine::new(0, self.network.clone(), self.trace.clone());
        machine.listen(at).unwrap()
    }

    /// Lets all that goes on in turns go on for a while.
    pub async fn wait_until_settled(&self) {
        tokio::time::sleep(SETTLED).await;
    }

    /// Asks again until the answer is a good one, as an operator does.
    pub async fn retry_until_ok<T, E: std::fmt::Debug, F: Future<Output = Result<T, E>>>(
        &self,
        node: usize,
        call: impl Fn(Arc<Controller>) -> F,
    ) -> T {
        let end = Instant::now() + LIMIT;
        loop {
            let answer = call(self.controller(node).clone()).await;
            match answer {
                Ok(good) => return good,
                Err(error) => assert!(Instant::now() < end, "n{node}: {error:?}"),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
