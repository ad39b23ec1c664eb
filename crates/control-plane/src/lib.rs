//! The control plane: what the controller program is made of.

pub mod api;
pub mod contact;
pub mod control;
pub mod disk;
pub mod duties;
pub mod engines;
pub mod facts;
pub mod learner;
pub mod members;

use fleet_core::log::Event;
use fleet_core::wire::{Ballot, Membership};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ControllerError {
    /// {0}: not in the settings, which a controller needs
    ParamMissing(&'static str),
    /// the disk can't be used: {0}
    Disk(disk::DiskError),
    /// cannot listen at {0}: {1}
    Listen(std::net::SocketAddr, std::io::ErrorKind),
    /// cannot serve control: {0}
    Control(std::io::ErrorKind),
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
/// All state of a controller. Lock order: acceptor, learned, known, then the rest one at a time.
pub struct Controller {
    pub node: fleet_core::node::Node,
    pub log: slog::Logger,
    settings: parking_lot::RwLock<Arc<fleet_core::settings::Settings>>,
    pub acceptor: parking_lot::Mutex<control::acceptor::Acceptor>,
    disk: disk::writer::Disk,
    pub owners: control::owner::Owners,
    learned: parking_lot::Mutex<hashbrown::HashMap<String, (Ballot, bytes::Bytes)>>,
    known: parking_lot::Mutex<fleet_core::journal::Journal<facts::Known>>,
    head: tokio::sync::watch::Sender<u64>,
    pub engines: engines::registry::Registry,
    pub members: members::Members,
    pub duties: duties::Duties,
    contact: parking_lot::Mutex<contact::Contact>,
    pub started: tokio::time::Instant,
    leaving: tokio::sync::watch::Sender<bool>,
    rng_state: AtomicU64,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
impl Controller {
    pub fn settings(&self) -> Arc<fleet_core::settings::Settings> {
        self.settings.read().clone()
    }

    pub fn chance(&self, below: u64) -> u64 {
        let x = self.rng_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        fleet_core::node::stable_hash(&[&x.to_le_bytes()]) % below.max(1)
    }

    pub fn disk_broken(&self) -> bool {
        self.disk.is_broken()
    }

    /// Serves without a vote: what it is told it passes on.
    pub fn disk_absent(&self) -> bool {
        self.disk.is_absent()
    }

    pub fn leaving(&self) -> tokio::sync::watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// A step of the own vote; its answer may be told once it is on the disk.
    pub async fn vote<T>(
        &self,
        f: impl FnOnce(&mut control::acceptor::Acceptor) -> control::acceptor::Step<T>,
    ) -> Option<T> {
        let (kept, answer) = {
            let mut a = self.acceptor.lock();
            let step = f(&mut a);
            (self.disk.keep(step.record), step.answer)
        };
        kept.await.ok()?;
        Some(answer)
    }

    async fn persist(
        &self,
        f: impl FnOnce(&mut control::acceptor::Acceptor) -> Option<disk::format::Record>,
    ) -> bool {
        let kept = {
            let mut a = self.acceptor.lock();
            let Some(r) = f(&mut a) else { return false };
            self.disk.keep(r)
        };
        kept.await.is_ok()
    }

    pub async fn adopt(&self, membership: &Membership) {
        if membership.epoch <= self.acceptor.lock().membership().epoch {
            return;
        }
        if self.persist(|a| a.adopt(membership)).await {
            fleet_core::log_event!(self.log, Event::MembershipMoved, "epoch" => membership.epoch);
        }
        self.members.relink(self);
        self.append(facts::Fact::Membership(membership.clone()));
    }

    pub fn append(&self, fact: facts::Fact) {
        let head = self.known.lock().append(fact);
        self.head.send_replace(head);
    }

    pub fn look<T>(&self, f: impl FnOnce(&facts::Known) -> T) -> T {
        f(self.known.lock().view())
    }

    pub fn news(&self) -> tokio::sync::watch::Receiver<u64> {
        self.head.subscribe()
    }
}

/// The disk, what it holds, and whether this is the first start of all.
fn open_disk(
    settings: &fleet_core::settings::Settings,
    log: &slog::Logger,
) -> Result<(disk::writer::Disk, disk::format::State, bool), ControllerError> {
    let Some(dir) = &settings.data_dir else {
        fleet_core::log_event!(log, Event::DiskAbsent);
        return Ok((disk::writer::Disk::absent(), disk::format::State::default(), false));
    };
    let (files, state) = disk::writer::Files::open(dir).map_err(ControllerError::Disk)?;
    let seeded = settings.seeds.iter().any(|a| a.ip() == std::net::IpAddr::V4(settings.ip));
    let first = files.empty && !files.damaged && settings.bootstrap && seeded;
    if files.damaged {
        fleet_core::log_event!(log, Event::SlotDamaged);
    }
    fleet_core::log_event!(log, if files.empty && !first { Event::DiskEmpty } else { Event::DiskOpened },
        "registers" => state.registers.len());
    Ok((disk::writer::Disk::start(files, log.clone()), state, first))
}

#[expect(
    clippy::too_many_lines,
    reason = "older than the lint; mended when the file is next changed"
)]
/// Runs a controller until it is told to stop.
pub async fn run(
    settings: fleet_core::settings::Settings,
    log: slog::Logger,
    mut stop: tokio::sync::watch::Receiver<bool>,
    mut reread: tokio::sync::mpsc::Receiver<fleet_core::settings::Settings>,
) -> Result<(), ControllerError> {
    let control = settings.control.ok_or(ControllerError::ParamMissing("bindAddrs.control"))?;
    let node = fleet_core::node::Node::start(&settings, fleet_core::node::Role::Controller);
    let (disk, state, first) = open_disk(&settings, &log)?;
    let peer_at = settings.peer_addr(node.ip.into());
    let listener = fleet_core::link::listen(peer_at)
        .map_err(|e| ControllerError::Listen(peer_at, e.kind()))?;
    let acceptor = control::acceptor::Acceptor::new(node.ip, state);
    let s = Arc::new(Controller {
        engines: engines::registry::Registry::default(),
        members: members::Members::default(),
        duties: duties::Duties::new(first, node.incarnation),
        contact: parking_lot::Mutex::default(),
        started: tokio::time::Instant::now(),
        rng_state: AtomicU64::new(node.incarnation),
        head: tokio::sync::watch::channel(0).0,
        leaving: tokio::sync::watch::channel(false).0,
        known: parking_lot::Mutex::new(fleet_core::journal::Journal::new(
            facts::Known::default(),
            512,
        )),
        learned: parking_lot::Mutex::default(),
        owners: control::owner::Owners::default(),
        acceptor: parking_lot::Mutex::new(acceptor),
        settings: parking_lot::RwLock::new(Arc::new(settings)),
        disk,
        node,
        log: log.clone(),
    });
    if first {
        let membership = members::founding(&s.settings());
        s.persist(|a| a.found(&membership)).await;
    }
    let membership = s.acceptor.lock().membership().clone();
    if membership.epoch > 0 {
        s.append(facts::Fact::Membership(membership));
    }
    s.members.relink(&s);
    let server = api::serve(&s, control).map_err(|e| ControllerError::Control(e.kind()))?;
    let tasks = [
        tokio::spawn(fleet_core::link::host(listener, Arc::new(members::PeerService(s.clone())))),
        tokio::spawn(members::joining(s.clone())),
        tokio::spawn(members::exchanging(s.clone())),
        tokio::spawn(learner::learning(s.clone())),
        tokio::spawn(contact::keeping(s.clone())),
        tokio::spawn(members::loads::sharing(s.clone())),
        tokio::spawn(engines::registry::sharing(s.clone())),
        tokio::spawn(engines::registry::watching(s.clone())),
        tokio::spawn(duties::holding(s.clone(), duties::ROLL_OUT)),
        tokio::spawn(duties::holding(s.clone(), duties::INDEX_KEEPER)),
        tokio::spawn(duties::rollout::rolling(s.clone())),
        tokio::spawn(duties::keeper::keeping(s.clone())),
    ];
    fleet_core::log_event!(log, Event::Started, "incarnation" => s.node.incarnation);
    loop {
        tokio::select! {
            _ = stop.wait_for(|s| *s) => break,
            Some(p) = reread.recv() => {
                *s.settings.write() = Arc::new(p);
                s.members.relink(&s);
            }
        }
    }
    fleet_core::log_event!(log, Event::Stopping);
    s.leaving.send_replace(true);
    duties::leave_all(&s).await;
    let _ = tokio::time::timeout(fleet_core::constants::PHASE_LIMIT, server.close()).await;
    for t in tasks {
        t.abort();
    }
    Ok(())
}
