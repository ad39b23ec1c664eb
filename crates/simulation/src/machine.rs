//! A simulated machine, which starts and stops a controller process.

use crate::constants;
use crate::disk::{SimulatedDisk, WriteQueue};
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

impl RecordQueue for WriteQueue {
    fn append(&self, record: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        Box::pin(WriteQueue::append(self, record))
    }

    fn is_broken(&self) -> bool {
        self.is_refused()
    }

    fn is_absent(&self) -> bool {
        false
    }
}

/// A machine, which persists across restarts of its process.
pub struct Machine {
    /// Number in plans and histories.
    pub number: usize,
    /// Address, never reused by another machine.
    pub ip: Ipv4Addr,
    /// Disk, which survives restarts.
    pub disk: SimulatedDisk,
    /// Zone; a replacement machine has the zone of the machine that it replaces.
    pub zone: u8,
    /// True once another machine has replaced it.
    pub removed: AtomicBool,
    network: Network,
    seeds: Mutex<Vec<Ipv4Addr>>,
    max_losses: usize,
    injected_bug: Option<InjectedBug>,
    seed: u64,
    starts: AtomicU64,
    process: Mutex<Option<Process>>,
}

/// One start of the process.
struct Process {
    start: u64,
    controller: Arc<Controller>,
    /// `None` once `shut_down` has taken it for a graceful shutdown.
    running: Option<RunningController>,
    io: ProcessIo,
}

/// A process's access to the network and the disk, which is closed when the process ends.
#[derive(Clone)]
struct ProcessIo {
    transport: ProcessTransport,
    queue: WriteQueue,
}

impl ProcessIo {
    fn close(&self) {
        self.transport.end();
        self.queue.end();
    }
}

/// The configuration that all machines of a run share.
pub struct MachineConfig {
    /// The simulated network.
    pub network: Network,
    /// Addresses of the initial seeds.
    pub seeds: Vec<Ipv4Addr>,
    /// Number of members that may be lost at once.
    pub max_losses: usize,
    /// The run's seed.
    pub seed: u64,
    /// The injected bug, if any.
    pub injected_bug: Option<InjectedBug>,
}

/// The address of one of the initial machines.
pub fn address(number: usize) -> Ipv4Addr {
    address_in(zone_of(number), number)
}

fn address_in(zone: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, constants::MACHINE_OCTET, zone, number as u8 + 1)
}

/// The zone of one of the initial machines.
pub fn zone_of(number: usize) -> u8 {
    number as u8 % constants::ZONE_COUNT
}

impl Machine {
    /// Creates a machine with an empty disk and no running process.
    pub fn new(number: usize, zone: u8, machine_config: &MachineConfig) -> Machine {
        let seed = fleet_core::node::stable_hash(&[
            b"machine",
            &machine_config.seed.to_le_bytes(),
            &number.to_le_bytes(),
        ]);
        Machine {
            number,
            ip: address_in(zone, number),
            zone,
            disk: SimulatedDisk::new(
                seed,
                machine_config.injected_bug == Some(InjectedBug::LyingDisk),
            ),
            removed: AtomicBool::new(false),
            network: machine_config.network.clone(),
            seeds: Mutex::new(machine_config.seeds.clone()),
            max_losses: machine_config.max_losses,
            injected_bug: machine_config.injected_bug,
            seed,
            starts: AtomicU64::new(0),
            process: Mutex::new(None),
        }
    }

    /// The running controller, with the number of its start.
    pub fn controller(&self) -> Option<(u64, Arc<Controller>)> {
        let process = self.process.lock();
        process.as_ref().map(|process| (process.start, process.controller.clone()))
    }

    /// Whether the process with this start number is still running.
    pub fn is_running(&self, start: u64) -> bool {
        self.process.lock().as_ref().is_some_and(|process| process.start == start)
    }

    /// Sets the seeds for the next start.
    pub fn set_seeds(&self, seeds: Vec<Ipv4Addr>) {
        *self.seeds.lock() = seeds;
    }

    /// Restarts the process; `bootstrap` is true only when the whole system starts for the first time.
    pub async fn start(&self, bootstrap: bool) {
        self.kill();
        let start = self.starts.load(Ordering::Relaxed);
        let io = ProcessIo {
            transport: ProcessTransport::new(self.network.clone()),
            queue: self.disk.open(),
        };
        let environment = self.environment(&io, bootstrap, start);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let started = Controller::start(self.settings(bootstrap), log, environment).await;
        let Ok(running) = started else { return };
        if self.starts.load(Ordering::Relaxed) != start {
            io.close();
            return;
        }
        let controller = running.controller().clone();
        *self.process.lock() = Some(Process { start, controller, running: Some(running), io });
    }

    fn environment(&self, io: &ProcessIo, bootstrap: bool, start: u64) -> Environment {
        let is_seed = self.seeds.lock().contains(&self.ip);
        let bootstraps_again = self.injected_bug == Some(InjectedBug::SecondFounding) && start > 1;
        Environment {
            transport: Arc::new(io.transport.clone()),
            disk: Arc::new(io.queue.clone()),
            state: self.disk.state(),
            first_start: self.disk.is_empty() && (bootstrap && is_seed || bootstraps_again),
            seed: self.seed.wrapping_add(start),
        }
    }

    fn settings(&self, bootstrap: bool) -> Settings {
        let bootstraps_alone = self.injected_bug == Some(InjectedBug::SecondFounding)
            && !bootstrap
            && self.disk.is_empty();
        let seeds: Vec<String> = if bootstraps_alone {
            vec![control_address(self.ip).to_string()]
        } else {
            self.seeds.lock().iter().map(|ip| control_address(*ip).to_string()).collect()
        };
        let has_long_lease = self.injected_bug == Some(InjectedBug::LongLease) && self.number == 0;
        let lease = if has_long_lease { constants::LONG_LEASE_MS } else { constants::LEASE_MS };
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
            control_address(self.ip),
            constants::HEARTBEAT_MS,
            self.max_losses,
        );
        Settings::parse(&text).expect("generated settings are valid")
    }

    /// Kills the process; records queued for the disk are not written.
    pub fn kill(&self) {
        self.abort_process();
        self.network.drop_machine(self.ip);
    }

    /// Kills the process and powers the machine off, so that its connections hang instead of being closed.
    pub fn lose_power(&self) {
        self.network.power_off(self.ip);
        self.abort_process();
    }

    fn abort_process(&self) {
        self.starts.fetch_add(1, Ordering::Relaxed);
        let ended = self.process.lock().take();
        if let Some(process) = ended {
            process.io.close();
            if let Some(running) = process.running {
                running.abort();
            }
        }
    }

    /// Shuts the process down gracefully, and kills it once it is done or the grace period is over.
    pub async fn shut_down(&self) {
        let ended = self.process.lock().as_mut().and_then(|process| {
            let running = process.running.take()?;
            Some((process.start, running))
        });
        let Some((start, running)) = ended else { return };
        let _ = tokio::time::timeout(constants::GRACE_PERIOD, running.shut_down()).await;
        running.abort();
        if self.is_running(start) {
            self.kill();
        }
    }
}

fn control_address(ip: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(ip.into(), constants::CONTROL_PORT)
}
