//! One simulated machine, and the starts of the controller on it.

use crate::constants;
use crate::disk::{Queue, SimulatedDisk};
use crate::injected_bug::InjectedBug;
use crate::network::Network;
use crate::transport::ProcessTransport;
use control_plane::storage::format::Record;
use control_plane::storage::{DiskError, RecordQueue};
use control_plane::{Controller, Environment, RunningController};
use fleet_core::settings::Settings;
use fleet_core::transport::BoxFuture;
use parking_lot::Mutex;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

impl RecordQueue for Queue {
    fn append(&self, record: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        Box::pin(Queue::append(self, record))
    }

    fn is_broken(&self) -> bool {
        self.is_refused()
    }

    fn is_absent(&self) -> bool {
        false
    }
}

/// What is the same over all starts of a machine's process.
pub struct Machine {
    /// Its number in plans and histories.
    pub number: usize,
    /// Its address, which nobody else is ever given.
    pub ip: Ipv4Addr,
    /// What its disk holds.
    pub disk: SimulatedDisk,
    /// Its zone; a machine that stands in for another has that one's.
    pub zone: u8,
    /// True once another machine stands in for it.
    pub removed: AtomicBool,
    network: Network,
    seeds: Mutex<Vec<Ipv4Addr>>,
    losses: usize,
    injected_bug: Option<InjectedBug>,
    seed: u64,
    starts: AtomicU64,
    process: Mutex<Option<Process>>,
}

/// One start of the process.
struct Process {
    start: u64,
    controller: Arc<Controller>,
    /// taken out by whoever ends it in good order
    running: Option<RunningController>,
    ends: Ends,
}

/// What a process reaches the world through, to be taken from it at its death.
#[derive(Clone)]
struct Ends {
    transport: ProcessTransport,
    queue: Queue,
}

impl Ends {
    fn close_connections(&self) {
        self.transport.end();
        self.queue.end();
    }
}

/// What all machines of a run have alike.
pub struct Common {
    /// The network they are on.
    pub network: Network,
    /// Addresses of the seeds.
    pub seeds: Vec<Ipv4Addr>,
    /// Members that may be lost at once.
    pub losses: usize,
    /// The run's seed.
    pub seed: u64,
    /// A defect of the world.
    pub injected_bug: Option<InjectedBug>,
}

/// The address of a machine that was there from the beginning.
pub fn address(number: usize) -> Ipv4Addr {
    address_in(zone_of(number), number)
}

fn address_in(zone: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, constants::INSIDE, zone, number as u8 + 1)
}

/// The zone of a machine that was there from the beginning.
pub fn zone_of(number: usize) -> u8 {
    number as u8 % constants::ZONES
}

impl Machine {
    /// A machine with an empty disk whose process has not been started.
    pub fn new(number: usize, zone: u8, common: &Common) -> Machine {
        let seed = fleet_core::node::stable_hash(&[
            b"machine",
            &common.seed.to_le_bytes(),
            &number.to_le_bytes(),
        ]);
        Machine {
            number,
            ip: address_in(zone, number),
            zone,
            disk: SimulatedDisk::new(seed, common.injected_bug == Some(InjectedBug::LyingDisk)),
            removed: AtomicBool::new(false),
            network: common.network.clone(),
            seeds: Mutex::new(common.seeds.clone()),
            losses: common.losses,
            injected_bug: common.injected_bug,
            seed,
            starts: AtomicU64::new(0),
            process: Mutex::new(None),
        }
    }

    /// The controller that runs, and which start it is.
    pub fn controller(&self) -> Option<(u64, Arc<Controller>)> {
        let process = self.process.lock();
        process.as_ref().map(|process| (process.start, process.controller.clone()))
    }

    /// Whether a start of the process still runs.
    pub fn runs(&self, start: u64) -> bool {
        self.process.lock().as_ref().is_some_and(|process| process.start == start)
    }

    /// Changes the seeds that the next start reads.
    pub fn reseed(&self, seeds: Vec<Ipv4Addr>) {
        *self.seeds.lock() = seeds;
    }

    /// Starts the process anew; `bootstrap` only when the whole system starts for the first time.
    pub async fn start(&self, bootstrap: bool) {
        self.kill();
        let start = self.starts.load(Ordering::Relaxed);
        let ends = Ends {
            transport: ProcessTransport::new(self.network.clone()),
            queue: self.disk.open(),
        };
        let environment = self.environment(&ends, bootstrap, start);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let begun = Controller::start(self.settings(bootstrap), log, environment).await;
        let Ok(running) = begun else { return };
        if self.starts.load(Ordering::Relaxed) != start {
            ends.close_connections();
            return;
        }
        let controller = running.controller().clone();
        *self.process.lock() = Some(Process { start, controller, running: Some(running), ends });
    }

    fn environment(&self, ends: &Ends, bootstrap: bool, start: u64) -> Environment {
        let is_seed = self.seeds.lock().contains(&self.ip);
        let founds_again = self.injected_bug == Some(InjectedBug::SecondFounding) && start > 1;
        Environment {
            transport: Arc::new(ends.transport.clone()),
            disk: Arc::new(ends.queue.clone()),
            state: self.disk.state(),
            first_start: self.disk.is_empty() && (bootstrap && is_seed || founds_again),
            seed: self.seed.wrapping_add(start),
        }
    }

    fn settings(&self, bootstrap: bool) -> Settings {
        let founds_alone = self.injected_bug == Some(InjectedBug::SecondFounding)
            && !bootstrap
            && self.disk.is_empty();
        let seeds: Vec<String> = if founds_alone {
            vec![control_at(self.ip).to_string()]
        } else {
            self.seeds.lock().iter().map(|ip| control_at(*ip).to_string()).collect()
        };
        let counts_longer = self.injected_bug == Some(InjectedBug::LongLease) && self.number == 0;
        let lease = if counts_longer { constants::LONG_LEASE_MS } else { constants::LEASE_MS };
        let text = format!(
            "nodeName=machine-{}\nip={}\nzone=zone-{}\nportRange={},{}\nseeds={}\n\
             bindAddrs.control={}\nbootstrap={bootstrap}\nheartbeatMs={}\n\
             tolerance.machines={}\nbounds.leaseMs={lease}\n",
            self.number,
            self.ip,
            self.zone,
            constants::PEER_PORT,
            constants::PEER_PORT + 9,
            seeds.join(","),
            control_at(self.ip),
            constants::HEARTBEAT_MS,
            self.losses,
        );
        Settings::parse(&text).expect("the simulation writes settings that can be read")
    }

    /// Ends the process at once; what it had queued for the disk is not written.
    pub fn kill(&self) {
        self.abort_process();
        self.network.drop_machine(self.ip);
    }

    /// Ends the process without a word to anybody: its connections hang.
    pub fn lose_power(&self) {
        self.network.power_off(self.ip);
        self.abort_process();
    }

    fn abort_process(&self) {
        self.starts.fetch_add(1, Ordering::Relaxed);
        let ended = self.process.lock().take();
        if let Some(process) = ended {
            process.ends.close_connections();
            if let Some(running) = process.running {
                running.abort();
            }
        }
    }

    /// Tells the process to end, and ends it once it has done so or its grace is over.
    pub async fn leave(&self) {
        let ended = self.process.lock().as_mut().and_then(|process| {
            let running = process.running.take()?;
            Some((process.start, running))
        });
        let Some((start, running)) = ended else { return };
        let _ = tokio::time::timeout(constants::GRACE, running.leave()).await;
        running.abort();
        if self.runs(start) {
            self.kill();
        }
    }
}

fn control_at(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(ip.into(), constants::CONTROL_PORT)
}
