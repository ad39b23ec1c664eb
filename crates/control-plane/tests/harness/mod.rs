//! Runs real controllers in one process, with an in-memory network, in-memory disks, and tokio's paused clock, which
//! advances when all tasks wait.

mod disk;
mod network;

use control_plane::storage::RecordQueue;
use control_plane::storage::format::State;
use control_plane::storage::writer::DiskWriter;
use control_plane::{Controller, Environment, RunningController};
use disk::MemoryDisk;
use fleet_core::link::{Link, Pushed};
use fleet_core::node::{Node, Role};
use fleet_core::transport::{Listener, Transport};
use network::{Machine, Network};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum time for a call to succeed.
const LIMIT: Duration = Duration::from_secs(30);
/// Time after which a change at one node has reached all nodes, and all leases are held.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The history of a run, in order: log events, records written and bytes sent, each with its time and node.
#[derive(Clone)]
pub struct Trace {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Trace {
    fn new() -> Trace {
        Trace { start: Instant::now(), lines: Arc::default() }
    }

    fn add(&self, node: usize, text: &str) {
        let line = format!("{:?} n{node} {text}", self.start.elapsed());
        self.lines.lock().unwrap().push(line);
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }
}

/// Adds log events to the trace.
struct TraceDrain {
    node: usize,
    trace: Trace,
}

impl slog::Drain for TraceDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        self.trace.add(self.node, &record.msg().to_string());
        Ok(())
    }
}

struct RunningNode {
    running: RunningController,
    machine: Machine,
    /// `None` on a machine without a disk.
    disk: Option<Arc<MemoryDisk>>,
}

impl RunningNode {
    fn disk(&self) -> &MemoryDisk {
        self.disk.as_ref().expect("the node has a disk")
    }
}

pub struct Cluster {
    size: usize,
    network: Arc<Network>,
    nodes: BTreeMap<usize, RunningNode>,
    disk_states: BTreeMap<usize, State>,
    last_seed: u64,
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
    /// Bootstraps a cluster of nodes 1 to `size`. Runs with the same seed are identical.
    pub async fn bootstrap(size: usize, seed: u64) -> Cluster {
        Cluster::bootstrap_with_disks(size, seed, disk::WRITE_TIME).await
    }

    /// Like [`bootstrap`](Self::bootstrap), with disks that write instantly, so that any other wait can be measured.
    pub async fn bootstrap_with_instant_disks(size: usize, seed: u64) -> Cluster {
        Cluster::bootstrap_with_disks(size, seed, Duration::ZERO).await
    }

    async fn bootstrap_with_disks(size: usize, seed: u64, write_time: Duration) -> Cluster {
        let mut cluster = Cluster {
            size,
            network: Arc::default(),
            nodes: BTreeMap::new(),
            disk_states: BTreeMap::new(),
            last_seed: seed * 1000,
            write_time,
            trace: Trace::new(),
        };
        for node in 1..=size {
            cluster.start(node).await;
        }
        cluster
    }

    /// Starts a node with the state on its disk. A node that has no disk image yet is in its first start.
    pub async fn start(&mut self, node: usize) {
        let image = self.disk_states.get(&node).cloned();
        let first_start = image.is_none();
        let state = image.unwrap_or_default();
        let disk = MemoryDisk::start(node, state.clone(), self.write_time, self.trace.clone());
        self.start_node(node, state, first_start, Some(Arc::new(disk))).await;
    }

    /// Starts a node on a machine without a disk. It serves requests but never votes.
    pub async fn start_without_disk(&mut self, node: usize) {
        self.start_node(node, State::default(), false, None).await;
    }

    async fn start_node(
        &mut self,
        node: usize,
        state: State,
        first_start: bool,
        disk: Option<Arc<MemoryDisk>>,
    ) {
        let queue: Arc<dyn RecordQueue> = match &disk {
            Some(disk) => disk.clone(),
            None => Arc::new(DiskWriter::absent()),
        };
        let machine = Machine::new(node, self.network.clone(), self.trace.clone());
        self.last_seed += 1;
        let environment = Environment {
            transport: Arc::new(machine.clone()),
            disk: queue,
            state,
            first_start,
            seed: self.last_seed,
        };
        let log = slog::Logger::root(TraceDrain { node, trace: self.trace.clone() }, slog::o!());
        let started = Controller::start(settings(node, self.size), log, environment).await;
        let running = started.unwrap();
        self.nodes.insert(node, RunningNode { running, machine, disk });
    }

    /// Stops a node abruptly; its disk keeps what was durable.
    pub fn crash(&mut self, node: usize) {
        let crashed = self.nodes.remove(&node).unwrap();
        crashed.machine.stop();
        crashed.running.abort();
        if let Some(disk) = &crashed.disk {
            self.disk_states.insert(node, disk.stop());
        }
        self.trace.add(node, "crashed");
    }

    /// Makes a node give up its leases and keys, up to the point at which the program would stop its tasks.
    pub async fn leave(&self, node: usize) {
        self.nodes[&node].running.shut_down().await;
    }

    /// Stops a node gracefully, as SIGTERM does.
    pub async fn stop(&mut self, node: usize) {
        self.leave(node).await;
        self.crash(node);
    }

    /// Starts a node with an empty disk, as a restart or as a new node; it may not bootstrap a cluster.
    pub async fn start_empty(&mut self, node: usize) {
        self.disk_states.insert(node, State::default());
        self.start(node).await;
    }

    /// Stops the node's disk. The node keeps running with its links up, but stores nothing, so it answers no vote.
    pub fn stop_disk(&self, node: usize) {
        self.nodes[&node].disk().stop();
        self.trace.add(node, "disk stopped");
    }

    /// Sets whether the node's disk hangs. While it hangs, records wait and none is refused.
    pub fn hang_disk(&self, node: usize, is_hung: bool) {
        self.nodes[&node].disk().hang(is_hung);
        self.trace.add(node, if is_hung { "disk hangs" } else { "disk works" });
    }

    /// The members of the cluster in the view of this node.
    pub fn members(&self, node: usize) -> Vec<usize> {
        let membership = self.controller(node).consensus().membership();
        let node_number = |ip: &str| ip.rsplit('.').next().and_then(|n| n.parse().ok());
        membership.members.iter().filter_map(|member| node_number(&member.ip)).collect()
    }

    pub fn controller(&self, node: usize) -> &Arc<Controller> {
        self.nodes[&node].running.controller()
    }

    /// A router's link to a node; messages that the node pushes go to `pushed`.
    pub fn router_link(
        &self,
        router: usize,
        to: usize,
        pushed: Option<mpsc::Sender<Pushed>>,
    ) -> Arc<Link> {
        let machine = Machine::new(router, self.network.clone(), self.trace.clone());
        let node = Node::seeded(&settings(router, self.size), Role::Router, router as u64);
        let node_settings = settings(to, self.size);
        let peer_service = node_settings.peer_addr(node_settings.ip.into());
        Link::maintain_over(Arc::new(machine), &node, peer_service, pushed)
    }

    /// Listens at an address that belongs to no controller.
    pub fn listen(&self, at: SocketAddr) -> Box<dyn Listener> {
        let machine = Machine::new(0, self.network.clone(), self.trace.clone());
        machine.listen(at).unwrap()
    }

    /// Waits until periodic exchanges have reached all nodes.
    pub async fn wait_until_settled(&self) {
        tokio::time::sleep(SETTLE_TIME).await;
    }

    /// Repeats a call until it succeeds, as an operator does; panics if that takes too long.
    pub async fn retry_until_ok<T, E: std::fmt::Debug, F: Future<Output = Result<T, E>>>(
        &self,
        node: usize,
        call: impl Fn(Arc<Controller>) -> F,
    ) -> T {
        let end = Instant::now() + LIMIT;
        loop {
            let answer = call(self.controller(node).clone()).await;
            match answer {
                Ok(value) => return value,
                Err(error) => assert!(Instant::now() < end, "n{node}: {error:?}"),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
