//! A controller's life: what it is started with, its tasks, and how it ends.

use crate::storage::RecordQueue;
use crate::storage::format::State;
use crate::storage::writer::{Disk, Files};
use crate::{
    Controller, ControllerError, api, cluster_state, consensus, engines, index_owner, leases,
    membership, rollout,
};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::node::{Node, Role};
use fleet_core::settings::Settings;
use fleet_core::transport::{Listener, Tcp, Transport};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

/// All that a controller gets from outside: the programs give TCP, files and a seed like no
/// other, a simulation gives its own.
pub struct Environment {
    /// where it listens, and reaches others
    pub transport: Arc<dyn Transport>,
    /// what it keeps records with
    pub disk: Arc<dyn RecordQueue>,
    /// what was on the disk at the start
    pub state: State,
    /// whether this is the first start of all, which founds the membership
    pub first_start: bool,
    /// all pseudo-random numbers and the incarnation follow from it; each start needs another
    pub seed: u64,
}

impl Environment {
    /// The environment of a program.
    fn of_program(settings: &Settings, log: &slog::Logger) -> Result<Environment, ControllerError> {
        let (disk, state, first_start) = open_disk(settings, log)?;
        let seed = fleet_core::node::fresh();
        Ok(Environment { transport: Tcp::shared(), disk: Arc::new(disk), state, first_start, seed })
    }
}

/// The disk, what it holds, and whether this is the first start of all.
fn open_disk(
    settings: &Settings,
    log: &slog::Logger,
) -> Result<(Disk, State, bool), ControllerError> {
    let Some(dir) = &settings.data_dir else {
        fleet_core::log_event!(log, Event::DiskAbsent);
        return Ok((Disk::absent(), State::default(), false));
    };
    let (files, state) = Files::open(dir).map_err(ControllerError::Disk)?;
    let seeded = settings.seeds.iter().any(|a| a.ip() == std::net::IpAddr::V4(settings.ip));
    let first = files.empty && !files.damaged && settings.bootstrap && seeded;
    if files.damaged {
        fleet_core::log_event!(log, Event::SlotDamaged);
    }
    fleet_core::log_event!(log, if files.empty && !first { Event::DiskEmpty } else { Event::DiskOpened },
        "registers" => state.registers.len());
    Ok((Disk::start(files, log.clone()), state, first))
}

/// A controller and its tasks. They end when it is dropped.
pub struct RunningController {
    /// the controller itself, for the functions of `service` and for looking into it
    pub controller: Arc<Controller>,
    tasks: tokio::task::JoinSet<()>,
}

impl Controller {
    fn new(settings: Settings, log: slog::Logger, environment: Environment) -> Arc<Controller> {
        let node = Node::seeded(&settings, Role::Controller, environment.seed);
        let rng_state = node.incarnation;
        let closed = (!environment.first_start).then_some(settings.bounds.lease);
        let cluster_state =
            fleet_core::journal::ChangeLog::new(cluster_state::ClusterState::default(), 512);
        let acceptor = consensus::acceptor::Acceptor::new(node.ip, environment.state);
        Arc::new(Controller {
            engines: engines::registry::Registry::default(),
            peers: membership::Peers::default(),
            leases: leases::Leases::new(closed, node.incarnation),
            contact: parking_lot::Mutex::default(),
            config_distribution: crate::config_distribution::ConfigDistribution::default(),
            started: tokio::time::Instant::now(),
            rng_state: AtomicU64::new(rng_state),
            latest_change: tokio::sync::watch::channel(0).0,
            shutting_down: tokio::sync::watch::channel(false).0,
            cluster_state: parking_lot::Mutex::new(cluster_state),
            learned: parking_lot::Mutex::default(),
            key_owners: consensus::key_owner::KeyOwners::default(),
            acceptor: parking_lot::Mutex::new(acceptor),
            settings: parking_lot::RwLock::new(Arc::new(settings)),
            disk: crate::storage::monitor::MonitoredDisk::new(environment.disk, log.clone()),
            transport: environment.transport,
            node,
            log,
        })
    }

    /// Starts all of a controller but its HTTP server.
    pub async fn start(
        settings: Settings,
        log: slog::Logger,
        environment: Environment,
    ) -> Result<RunningController, ControllerError> {
        let peer_at = settings.peer_addr(settings.ip.into());
        let listener = environment
            .transport
            .listen(peer_at)
            .map_err(|e| ControllerError::Listen(peer_at, e.kind()))?;
        let first_start = environment.first_start;
        let controller = Controller::new(settings, log, environment);
        controller.load_membership(first_start).await;
        let tasks = controller.spawn_tasks(listener);
        fleet_core::log_event!(controller.log, Event::Started, "incarnation" => controller.node.incarnation);
        Ok(RunningController { controller, tasks })
    }

    /// The membership on the disk comes into force; the first start of all founds it.
    async fn load_membership(&self, first_start: bool) {
        if first_start {
            let initial_membership = membership::initial_membership(&self.settings());
            self.persist(|a| a.bootstrap(&initial_membership)).await;
        }
        let membership = self.acceptor.lock().membership().clone();
        if membership.epoch > 0 {
            self.append(cluster_state::StateChange::Membership(membership));
        }
        self.peers.relink(self);
    }

    fn spawn_tasks(self: &Arc<Self>, listener: Box<dyn Listener>) -> tokio::task::JoinSet<()> {
        let mut tasks = tokio::task::JoinSet::new();
        let peer_service = Arc::new(membership::PeerService(self.clone()));
        tasks.spawn(fleet_core::link::serve_peers(listener, peer_service));
        tasks.spawn(membership::run_join(self.clone()));
        tasks.spawn(membership::run_replacement(self.clone()));
        tasks.spawn(consensus::anti_entropy::run_anti_entropy(self.clone()));
        tasks.spawn(membership::quorum_contact::run_contact_check(self.clone()));
        tasks.spawn(membership::load_reports::run_load_sharing(self.clone()));
        tasks.spawn(engines::registry::run_heartbeat_sharing(self.clone()));
        tasks.spawn(engines::registry::run_failure_detection(self.clone()));
        tasks.spawn(leases::run_lease_holder(self.clone(), leases::ROLLOUT_LEASE));
        tasks.spawn(leases::run_lease_holder(self.clone(), leases::INDEX_OWNER_LEASE));
        tasks.spawn(rollout::run_rollout(self.clone()));
        tasks.spawn(index_owner::run_index_owner(self.clone()));
        tasks
    }

    /// Takes settings that were read again.
    fn reconfigure(&self, settings: Settings) {
        *self.settings.write() = Arc::new(settings);
        self.peers.relink(self);
    }
}

impl RunningController {
    /// Ends in good order, as a program does when it is told to stop: gives its duties and keys back,
    /// and tells the others what they may not know of the engines.
    pub async fn leave(&self) {
        fleet_core::log_event!(self.controller.log, Event::Stopping);
        self.controller.shutting_down.send_replace(true);
        let share_engines = engines::registry::share_all(&self.controller);
        let release_keys = consensus::resignation::release_keys(&self.controller);
        tokio::join!(leases::release_all(&self.controller), release_keys, share_engines);
    }

    /// Ends at once, as in a crash: its tasks stop where they are, its connections close. Steps
    /// that it had already handed on (records, answers being made) end where transport and disk
    /// take no more of them.
    pub fn abort(self) {
        drop(self);
    }
}

impl Drop for RunningController {
    fn drop(&mut self) {
        self.tasks.abort_all();
        self.controller.peers.unlink();
    }
}

/// Runs a controller until it is told to stop.
pub async fn run(
    settings: Settings,
    log: slog::Logger,
    stop: tokio::sync::watch::Receiver<bool>,
    reread: tokio::sync::mpsc::Receiver<Settings>,
) -> Result<(), ControllerError> {
    let control = settings.control.ok_or(ControllerError::ParamMissing("bindAddrs.control"))?;
    let environment = Environment::of_program(&settings, &log)?;
    let running = Controller::start(settings, log, environment).await?;
    let server =
        api::serve(&running.controller, control).map_err(|e| ControllerError::Control(e.kind()))?;
    until_stopped(&running.controller, stop, reread).await;
    running.leave().await;
    let _ = tokio::time::timeout(constants::PHASE_TIMEOUT, server.close()).await;
    running.abort();
    Ok(())
}

async fn until_stopped(
    controller: &Controller,
    mut stop: tokio::sync::watch::Receiver<bool>,
    mut reread: tokio::sync::mpsc::Receiver<Settings>,
) {
    loop {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => return,
            Some(settings) = reread.recv() => controller.reconfigure(settings),
        }
    }
}
