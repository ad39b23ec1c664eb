//! Composition root of a controller: builds its components and connects them. No other module depends on all of them.

use crate::cluster_state::{ClusterStateStore, StateChange};
use crate::config_distribution::{ConfigBodies, ConfigDistribution};
use crate::consensus::{
    Consensus, ConsensusDependencies, anti_entropy, quorum_contact, resignation,
};
use crate::engines::registry::{self, EngineRegistry};
use crate::environment::Environment;
use crate::index_owner::{self, IndexOwnership, IndexOwnershipDependencies};
use crate::leases::{INDEX_OWNER_LEASE, LeaseManager, ROLLOUT_LEASE, run_lease_holder};
use crate::membership::load_reports::{self, LoadReports};
use crate::membership::peer_links::PeerLinks;
use crate::membership::routers::Routers;
use crate::membership::{self, MembershipManager, PeerService, PeerServiceDependencies};
use crate::process::Process;
use crate::rollout::{self, Rollout, RolloutDependencies};
use crate::service::membership::ViewSources;
use crate::storage::monitor::MonitoredDisk;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::node::{Node, Role};
use fleet_core::settings::Settings;
use fleet_core::transport::{Listener, Transport};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The components of one controller. Each is constructed with the earlier ones that it depends on.
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

/// Components that all others depend on.
struct CoreComponents {
    process: Arc<Process>,
    transport: Arc<dyn Transport>,
    links: Arc<PeerLinks>,
    cluster_state: Arc<ClusterStateStore>,
    config_bodies: Arc<ConfigBodies>,
    consensus: Arc<Consensus>,
    /// Longest time for which a lease granted by a former incarnation may still run; `None` at the very first start.
    grant_block: Option<Duration>,
}

impl CoreComponents {
    fn new(settings: Settings, log: slog::Logger, environment: Environment) -> CoreComponents {
        let Environment { transport, disk, state, first_start, seed } = environment;
        let node = Node::seeded(&settings, Role::Controller, seed);
        let grant_block = (!first_start).then_some(settings.bounds.lease);
        let process = Arc::new(Process::new(node, settings, log.clone()));
        let links = Arc::new(PeerLinks::new(process.clone(), transport.clone()));
        let cluster_state = Arc::new(ClusterStateStore::new());
        let config_bodies = Arc::new(ConfigBodies::default());
        let consensus = Arc::new(Consensus::new(ConsensusDependencies {
            process: process.clone(),
            links: links.clone(),
            cluster_state: cluster_state.clone(),
            config_observer: config_bodies.clone(),
            disk: MonitoredDisk::new(disk, log),
            state,
        }));
        CoreComponents {
            process,
            transport,
            links,
            cluster_state,
            config_bodies,
            consensus,
            grant_block,
        }
    }
}

impl Controller {
    /// Builds all components without starting any task.
    pub(crate) fn new(
        settings: Settings,
        log: slog::Logger,
        environment: Environment,
    ) -> Arc<Controller> {
        Controller::wire(CoreComponents::new(settings, log, environment))
    }

    fn wire(base: CoreComponents) -> Arc<Controller> {
        let process = || base.process.clone();
        let consensus = || base.consensus.clone();
        let cluster_state = || base.cluster_state.clone();
        let routers = Arc::new(Routers::default());
        let leases = Arc::new(LeaseManager::new(process(), consensus(), base.grant_block));
        let membership =
            MembershipManager::new(process(), consensus(), base.links.clone(), leases.clone());
        let registry = Arc::new(EngineRegistry::new(
            process(),
            consensus(),
            base.links.clone(),
            cluster_state(),
        ));
        let load_reports = Arc::new(LoadReports::new(consensus(), routers.clone()));
        let rollout = Rollout::new(RolloutDependencies {
            process: process(),
            leases: leases.clone(),
            registry: registry.clone(),
            cluster_state: cluster_state(),
            load_reports: load_reports.clone(),
            transport: base.transport.clone(),
        });
        let index = IndexOwnership::new(IndexOwnershipDependencies {
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

    /// Puts the stored membership into force. At the very first start, the initial membership is written first.
    pub(crate) async fn load_membership(&self, first_start: bool) {
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

    /// Spawns the tasks of all components; they are aborted when the returned set is dropped.
    pub(crate) fn spawn_tasks(&self, listener: Box<dyn Listener>) -> JoinSet<()> {
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
        tasks.spawn(index_owner::run_ring_relay(self.index.clone()));
        tasks.spawn(index_owner::run_relay_announcements(self.index.clone()));
        tasks
    }

    fn peer_service_parts(&self) -> PeerServiceDependencies {
        PeerServiceDependencies {
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

    /// Applies reloaded settings.
    pub(crate) fn reconfigure(&self, settings: Settings) {
        self.process.reconfigure(settings);
        self.consensus.relink();
    }

    /// Shuts down gracefully: releases its leases and register ownership, sends the other controllers any engine state
    /// that they may lack, and waits until the router on the same machine has stopped. Until then it still votes and
    /// forwards requests, but owns nothing. Each step has a timeout.
    ///
    /// The supervisor restarts a process that has exited. If the controller exited at once, it would be restarted, and
    /// its machine would count as running while the router is still draining.
    pub(crate) async fn shut_down(&self) {
        fleet_core::log_event!(self.process.log, Event::Stopping);
        let grace = self.process.settings().bounds.grace;
        let deadline = Instant::now() + grace.saturating_sub(constants::CONTROLLER_GRACE_MARGIN);
        self.process.begin_shutdown();
        let share_engines = self.registry.share_all();
        let release_keys = resignation::release_keys(&self.consensus);
        tokio::join!(self.leases.release_all(), release_keys, share_engines);
        let router_stopped = self.routers.wait_until_disconnected(self.process.node.ip);
        let _ = tokio::time::timeout_at(deadline, router_stopped).await;
    }

    /// Closes the links to all other controllers for good.
    pub(crate) fn close_links(&self) {
        self.links.close();
    }

    /// State shared by all components: identity, settings, log and shutdown flag.
    pub(crate) fn process(&self) -> &Process {
        &self.process
    }

    /// Identity of this controller.
    pub fn node(&self) -> &Node {
        &self.process.node
    }

    /// This controller's consensus participant.
    pub fn consensus(&self) -> &Arc<Consensus> {
        &self.consensus
    }

    /// Registry of the engines known to this controller.
    pub fn registry(&self) -> &Arc<EngineRegistry> {
        &self.registry
    }

    /// This controller's view of the cluster.
    pub fn cluster_state(&self) -> &ClusterStateStore {
        &self.cluster_state
    }

    /// Leases granted and held by this controller.
    pub fn leases(&self) -> &LeaseManager {
        &self.leases
    }

    /// Rollout of target weights; active only while this controller holds the rollout lease.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Sources of the operator's view of the control plane.
    pub fn view_sources(&self) -> &ViewSources {
        &self.view_sources
    }
}
