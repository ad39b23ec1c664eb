//! A controller's life: what it is started with, its tasks, and how it ends.

use crate::disk::RecordQueue;
use crate::disk::format::State;
use crate::disk::writer::{Disk, Files};
use crate::{
    Controller, ControllerError, api, contact, control, duties, engines, facts, learner, members,
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
pub struct Running {
    /// the controller itself, for the functions of `service` and for looking into it
    pub controller: Arc<Controller>,
    tasks: tokio::task::JoinSet<()>,
}

impl Controller {
    fn new(settings: Settings, log: slog::Logger, environment: Environment) -> Arc<Controller> {
        let node = Node::seeded(&settings, Role::Controller, environment.seed);
        let rng_state = node.incarnation;
        let closed = (!environment.first_start).then_some(settings.bounds.lease);
        let known = fleet_core::journal::ChangeLog::new(facts::Known::default(), 512);
        let acceptor = control::acceptor::Acceptor::new(node.ip, environment.state);
        Arc::new(Controller {
            engines: engines::registry::Registry::default(),
            members: members::Members::default(),
            duties: duties::Duties::new(closed, node.incarnation),
            contact: parking_lot::Mutex::default(),
            distribution: crate::distribution::Distribution::default(),
            started: tokio::time::Instant::now(),
            rng_state: AtomicU64::new(rng_state),
            head: tokio::sync::watch::channel(0).0,
            leaving: tokio::sync::watch::channel(false).0,
            known: parking_lot::Mutex::new(known),
            learned: parking_lot::Mutex::default(),
            owners: control::owner::Owners::default(),
            acceptor: parking_lot::Mutex::new(acceptor),
            settings: parking_lot::RwLock::new(Arc::new(settings)),
            disk: crate::disk::monitor::MonitoredDisk::new(environment.disk, log.clone()),
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
    ) -> Result<Running, ControllerError> {
        let peer_at = settings.peer_addr(settings.ip.into());
        let listener = environment
            .transport
            .listen(peer_at)
            .map_err(|e| ControllerError::Listen(peer_at, e.kind()))?;
        let first_start = environment.first_start;
        let controller = Controller::new(settings, log, environment);
        controller.take_up_membership(first_start).await;
        let tasks = controller.spawn_tasks(listener);
        fleet_core::log_event!(controller.log, Event::Started, "incarnation" => controller.node.incarnation);
        Ok(Running { controller, tasks })
    }

    /// The membership on the disk comes into force; the first start of all founds it.
    async fn take_up_membership(&self, first_start: bool) {
        if first_start {
            let founding = members::founding(&self.settings());
            self.persist(|a| a.found(&founding)).await;
        }
        let membership = self.acceptor.lock().membership().clone();
        if membership.epoch > 0 {
            self.append(facts::Fact::Membership(membership));
        }
        self.members.relink(self);
    }

    fn spawn_tasks(self: &Arc<Self>, listener: Box<dyn Listener>) -> tokio::task::JoinSet<()> {
        let mut tasks = tokio::task::JoinSet::new();
        let peer_service = Arc::new(members::PeerService(self.clone()));
        tasks.spawn(fleet_core::link::serve_peers(listener, peer_service));
        tasks.spawn(members::joining(self.clone()));
        tasks.spawn(members::exchanging(self.clone()));
        tasks.spawn(learner::learning(self.clone()));
        tasks.spawn(contact::keeping(self.clone()));
        tasks.spawn(members::loads::sharing(self.clone()));
        tasks.spawn(engines::registry::sharing(self.clone()));
        tasks.spawn(engines::registry::watching(self.clone()));
        tasks.spawn(duties::holding(self.clone(), duties::ROLL_OUT));
        tasks.spawn(duties::holding(self.clone(), duties::INDEX_KEEPER));
        tasks.spawn(duties::rollout::rolling(self.clone()));
        tasks.spawn(duties::keeper::keeping(self.clone()));
        tasks
    }

    /// Takes settings that were read again.
    fn reconfigure(&self, settings: Settings) {
        *self.settings.write() = Arc::new(settings);
        self.members.relink(self);
    }
}

impl Running {
    /// Ends in good order, as a program does when it is told to stop: gives its duties and keys back,
    /// and tells the others what they may not know of the engines.
    pub async fn leave(&self) {
        fleet_core::log_event!(self.controller.log, Event::Stopping);
        self.controller.leaving.send_replace(true);
        let tell = engines::registry::tell_all(&self.controller);
        let give_back = control::leaving::give_keys_back(&self.controller);
        tokio::join!(duties::leave_all(&self.controller), give_back, tell);
    }

    /// Ends at once, as in a crash: its tasks stop where they are, its connections close. Steps
    /// that it had already handed on (records, answers being made) end where transport and disk
    /// take no more of them.
    pub fn abort(self) {
        drop(self);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.abort_all();
        self.controller.members.unlink();
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
    let _ = tokio::time::timeout(constants::PHASE_LIMIT, server.close()).await;
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
