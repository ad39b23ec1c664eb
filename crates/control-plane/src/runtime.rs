//! A controller's life: what it is started with, its tasks, and how it ends.

use crate::cluster_state::{ClusterStateStore, StateChange};
use crate::config_distribution::{ConfigBodies, ConfigDistribution};
use crate::consensus::{Consensus, ConsensusParts, anti_entropy, quorum_contact, resignation};
use crate::engines::registry::{self, EngineRegistry};
use crate::index_owner::{self, IndexOwnership, IndexOwnershipParts};
use crate::leases::{INDEX_OWNER_LEASE, LeaseManager, ROLLOUT_LEASE, run_lease_holder};
use crate::membership::load_reports::{self, LoadReports};
use crate::membership::peer_links::PeerLinks;
use crate::membership::routers::Routers;
use crate::membership::{self, MembershipManager, PeerService, PeerServiceParts};
use crate::process::Process;
use crate::rollout::{self, Rollout, RolloutParts};
use crate::service::membership::ViewSources;
use crate::storage::RecordQueue;
use crate::storage::format::State;
use crate::storage::monitor::MonitoredDisk;
use crate::storage::writer::{Disk, Files};
use crate::{ControllerError, api};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::node::{Node, Role};
use fleet_core::settings::Settings;
use fleet_core::transport::{Listener, Tcp, Transport};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

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

/// The areas of one controller, wired. Each is built with those before it that it needs.
pub struct Controller {
    process: Arc<Process>,
    links: Arc<PeerLinks>,
    routers: Arc<Routers>,
    cluster_state: Arc<ClusterStateStore>,
    consensus: Arc<Consensus>,
    distribution: Arc<ConfigDistribution>,
    leases: Arc<LeaseManager>,
    membership: Arc<MembershipManager>,
    registry: Arc<EngineRegistry>,
    load_reports: Arc<LoadReports>,
    rollout: Arc<Rollout>,
    index: Arc<IndexOwnership>,
    view_sources: ViewSources,
}

/// What all other areas are built on.
struct Foundation {
    process: Arc<Process>,
    transport: Arc<dyn Transport>,
    links: Arc<PeerLinks>,
    cluster_state: Arc<ClusterStateStore>,
    config_bodies: Arc<ConfigBodies>,
    consensus: Arc<Consensus>,
    /// How long a former incarnation may have granted a lease for; none at the first start of all.
    closed_for: Option<Duration>,
}

impl Foundation {
    fn new(settings: Settings, log: slog::Logger, environment: Environment) -> Foundation {
        let Environment { transport, disk, state, first_start, seed } = environment;
        let node = Node::seeded(&settings, Role::Controller, seed);
        let closed_for = (!first_start).then_some(settings.bounds.lease);
        let process = Arc::new(Process::new(node, settings, log.clone()));
        let links = Arc::new(PeerLinks::new(process.clone(), transport.clone()));
        let cluster_state = Arc::new(ClusterStateStore::new());
        let config_bodies = Arc::new(ConfigBodies::default());
        let consensus = Arc::new(Consensus::new(ConsensusParts {
            process: process.clone(),
            links: links.clone(),
            cluster_state: cluster_state.clone(),
            config_observer: config_bodies.clone(),
            disk: MonitoredDisk::new(disk, log),
            state,
        }));
        Foundation {
            process,
            transport,
            links,
            cluster_state,
            config_bodies,
            consensus,
            closed_for,
        }
    }
}

impl Controller {
    fn wire(base: Foundation) -> Arc<Controller> {
        let process = || base.process.clone();
        let consensus = || base.consensus.clone();
        let cluster_state = || base.cluster_state.clone();
        let routers = Arc::new(Routers::default());
        let leases = Arc::new(LeaseManager::new(process(), consensus(), base.closed_for));
        let membership =
            MembershipManager::new(process(), consensus(), base.links.clone(), leases.clone());
        let registry = Arc::new(EngineRegistry::new(
            process(),
            consensus(),
            base.links.clone(),
            cluster_state(),
        ));
        let load_reports = Arc::new(LoadReports::new(consensus(), routers.clone()));
        let rollout = Rollout::new(RolloutParts {
            process: process(),
            leases: leases.clone(),
            registry: registry.clone(),
            cluster_state: cluster_state(),
            load_reports: load_reports.clone(),
            transport: base.transport.clone(),
        });
        let index = IndexOwnership::new(IndexOwnershipParts {
            process: process(),
            leases: leases.clone(),
            consensus: consensus(),
            cluster_state: cluster_state(),
            config_bodies: base.config_bodies.clone(),
            routers: routers.clone(),
            transport: base.transport.clone(),
        });
        let view_sources = ViewSources {
            consensus: consensus(),
            links: base.links.clone(),
            leases: leases.clone(),
        };
        Arc::new(Controller {
            distribution: Arc::new(ConfigDistribution::new(consensus(), base.config_bodies)),
            process: base.process,
            links: base.links,
            routers,
            cluster_state: base.cluster_state,
            consensus: base.consensus,
            leases,
            membership: Arc::new(membership),
            registry,
            load_reports,
            rollout: Arc::new(rollout),
            index: Arc::new(index),
            view_sources,
        })
    }

    /// Starts all of a controller but its HTTP server.
    ///
    /// # Errors
    /// [`ControllerError::Listen`] where the port for peers can't be listened at.
    pub async fn start(
        settings: Settings,
        log: slog::Logger,
        environment: Environment,
    ) -> Result<RunningController, ControllerError> {
        let address = settings.peer_addr(settings.ip.into());
        let listener = environment
            .transport
            .listen(address)
            .map_err(|error| ControllerError::Listen(address, error.kind()))?;
        let first_start = environment.first_start;
        let controller = Controller::wire(Foundation::new(settings, log, environment));
        controller.load_membership(first_start).await;
        let tasks = controller.spawn_tasks(listener);
        let process = &controller.process;
        let incarnation = process.node.incarnation;
        fleet_core::log_event!(process.log, Event::Started, "incarnation" => incarnation);
        Ok(RunningController { controller, tasks })
    }

    /// Puts the membership that is on the disk in force; the first start of all founds it.
    async fn load_membership(&self, first_start: bool) {
        if first_start {
            let initial = membership::initial_membership(&self.process.settings());
            self.consensus.persist(|acceptor| acceptor.bootstrap(&initial)).await;
        }
        let membership = self.consensus.membership();
        if membership.epoch > 0 {
            self.cluster_state.append(StateChange::Membership(membership));
        }
        self.consensus.relink();
    }

    fn spawn_tasks(&self, listener: Box<dyn Listener>) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let peer_service = Arc::new(PeerService::new(self.peer_service_parts()));
        tasks.spawn(fleet_core::link::serve_peers(listener, peer_service));
        tasks.spawn(membership::run_join(self.membership.clone()));
        tasks.spawn(membership::run_replacement(self.membership.clone()));
        tasks.spawn(anti_entropy::run_anti_entropy(self.consensus.clone()));
        tasks.spawn(quorum_contact::run_contact_check(self.consensus.clone()));
        tasks.spawn(load_reports::run_load_sharing(self.load_reports.clone()));
        tasks.spawn(registry::run_heartbeat_sharing(self.registry.clone()));
        tasks.spawn(registry::run_failure_detection(self.registry.clone()));
        tasks.spawn(run_lease_holder(self.leases.clone(), ROLLOUT_LEASE));
        tasks.spawn(run_lease_holder(self.leases.clone(), INDEX_OWNER_LEASE));
        tasks.spawn(rollout::run_rollout(self.rollout.clone()));
        tasks.spawn(index_owner::run_index_owner(self.index.clone()));
        tasks
    }

    fn peer_service_parts(&self) -> PeerServiceParts {
        PeerServiceParts {
            process: self.process.clone(),
            links: self.links.clone(),
            routers: self.routers.clone(),
            consensus: self.consensus.clone(),
            membership: self.membership.clone(),
            leases: self.leases.clone(),
            registry: self.registry.clone(),
            cluster_state: self.cluster_state.clone(),
            distribution: self.distribution.clone(),
            load_reports: self.load_reports.clone(),
            index: self.index.clone(),
        }
    }

    /// Puts settings that were read again in force.
    fn reconfigure(&self, settings: Settings) {
        self.process.reconfigure(settings);
        self.consensus.relink();
    }

    /// Who this controller is.
    pub fn node(&self) -> &Node {
        &self.process.node
    }

    /// Its part in the agreement.
    pub fn consensus(&self) -> &Arc<Consensus> {
        &self.consensus
    }

    /// The engines that it knows.
    pub fn registry(&self) -> &Arc<EngineRegistry> {
        &self.registry
    }

    /// What it knows of the cluster.
    pub fn cluster_state(&self) -> &ClusterStateStore {
        &self.cluster_state
    }

    /// The leases that it granted and holds.
    pub fn leases(&self) -> &LeaseManager {
        &self.leases
    }

    /// Its part in roll-outs.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// What an operator's view of the control plane is made of.
    pub fn view_sources(&self) -> &ViewSources {
        &self.view_sources
    }
}

/// A controller and its tasks, which are aborted when this is dropped.
pub struct RunningController {
    controller: Arc<Controller>,
    tasks: JoinSet<()>,
}

impl RunningController {
    /// The controller itself, for the functions of [`crate::service`].
    pub fn controller(&self) -> &Arc<Controller> {
        &self.controller
    }

    /// Ends in good order, as a program does on SIGTERM: releases its leases and keys, and sends the
    /// others what they may not know of the engines.
    pub async fn leave(&self) {
        let controller = &self.controller;
        fleet_core::log_event!(controller.process.log, Event::Stopping);
        controller.process.begin_shutdown();
        let share_engines = controller.registry.share_all();
        let release_keys = resignation::release_keys(&controller.consensus);
        tokio::join!(controller.leases.release_all(), release_keys, share_engines);
    }

    /// Ends at once, as in a crash: its tasks stop where they are, its connections close. Steps that it had
    /// already handed on (records, answers being made) end where transport and disk take no more of them.
    pub fn abort(self) {
        drop(self);
    }
}

impl Drop for RunningController {
    fn drop(&mut self) {
        self.tasks.abort_all();
        self.controller.links.close();
    }
}

/// Runs a controller until it is stopped.
pub async fn run(
    settings: Settings,
    log: slog::Logger,
    stop: tokio::sync::watch::Receiver<bool>,
    reread: tokio::sync::mpsc::Receiver<Settings>,
) -> Result<(), ControllerError> {
    let control = settings.control.ok_or(ControllerError::SettingMissing("bindAddrs.control"))?;
    let environment = Environment::of_program(&settings, &log)?;
    let running = Controller::start(settings, log, environment).await?;
    let server = api::serve(running.controller(), control)
        .map_err(|e| ControllerError::Control(e.kind()))?;
    until_stopped(running.controller(), stop, reread).await;
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
