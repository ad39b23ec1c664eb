//! One engine as this router sees it.

use super::connection::IdleConnection;
use fleet_core::constants;
use fleet_core::load::Load;
use fleet_core::wire::{Engine, EngineState};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::time::Duration;
use tokio::time::Instant;

/// What an engine reported of itself with a response.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLoad {
    /// requests that it runs
    pub running: u32,
    /// requests that wait there
    pub waiting: u32,
    /// requests that it runs at once
    pub slots: u32,
    /// when it reported so
    pub at: Instant,
}

impl ReportedLoad {
    /// Reads the header; none if it is malformed.
    pub fn parse(text: &str, at: Instant) -> Option<ReportedLoad> {
        let mut it = text.split(',').map(|x| x.trim().parse::<u32>());
        let (Some(Ok(running)), Some(Ok(waiting)), Some(Ok(slots))) =
            (it.next(), it.next(), it.next())
        else {
            return None;
        };
        Some(ReportedLoad { running, waiting, slots, at })
    }
}

/// What goes on at one engine, as far as this router knows.
#[derive(Default)]
pub struct Work {
    /// own sends that have no end yet
    pub runs: u32,
    /// tokens of own sends that have not begun
    pub unread: u64,
    /// tokens of own sends that have no end yet
    pub tokens: u64,
    /// moves of own sends that take from here and have no end yet
    pub transfers: u32,
    /// own sends in flight that somebody waits for
    pub interactive: u32,
    /// own load as it was reported last
    pub last_published: Load,
    /// load of all other routers
    pub others: Load,
    /// when that was reported
    pub others_at: Option<Instant>,
    /// the one used last is the last
    idle: VecDeque<IdleConnection>,
    /// shortest rest after which it dropped a connection, as long as it has not answered since
    suspected_idle_close: Option<Duration>,
    /// what the engine reported last
    pub reported: Option<ReportedLoad>,
    /// left alone until then
    ejected_until: Option<Instant>,
    /// how long it was left alone last
    ejection_time: Duration,
    /// heavy answers of a newcomer, and their waits
    warm_up_waits: (u64, Duration),
}

impl Work {
    /// Load of this router.
    pub fn own(&self) -> Load {
        Load { unread: self.unread, runs: self.runs, interactive: self.interactive }
    }

    /// Load of all routers, as far as it is known now.
    pub fn all(&self, now: Instant) -> Load {
        let mut out = self.own();
        if self.others_at.is_some_and(|t| now.duration_since(t) < constants::LOAD_REPORT_TIMEOUT) {
            out.add(&self.others);
        }
        out
    }

    /// Whether a connection is there that idled for no longer than this.
    pub fn has_idle_connection(&self, now: Instant, max_idle_time: Duration) -> bool {
        self.idle
            .back()
            .is_some_and(|idle| idle.is_open(now) && idle.idle_time(now) <= max_idle_time)
    }
}

/// One instance of an engine.
pub struct EngineHandle {
    /// names this life of the engine
    pub id: String,
    /// names it among loads
    pub key: u32,
    /// where it listens
    pub address: SocketAddr,
    first_seen: Instant,
    is_new: bool,
    state: parking_lot::RwLock<Engine>,
    /// when the roll-out last said something new of it
    rollout_state_changed_at: parking_lot::Mutex<Instant>,
    work: parking_lot::Mutex<Work>,
    /// connections open, used or not; outside the lock, for they also end under it
    pub(super) open_connections: AtomicU32,
}

/// What the connections of this router tell of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It served since it last broke a connection, or never broke one.
    Sound,
    /// It broke a connection or let none come up, and was left alone since; it has served nothing yet.
    Unproven,
    /// It broke a connection or let none come up a short time ago, and is left alone.
    Ejected,
}

impl EngineHandle {
    /// An engine that is new; none if its address is none.
    pub fn new(e: &Engine) -> Option<EngineHandle> {
        Some(EngineHandle {
            id: e.id.clone(),
            key: fleet_core::load::key_of(&e.id),
            address: e.address.parse().ok()?,
            first_seen: Instant::now(),
            is_new: e.call <= constants::NEW_ENGINE_CALLS,
            state: parking_lot::RwLock::new(e.clone()),
            rollout_state_changed_at: parking_lot::Mutex::new(Instant::now()),
            work: parking_lot::Mutex::default(),
            open_connections: AtomicU32::new(0),
        })
    }

    /// Takes in what the controllers know of it; whether anything but the number of its call is new.
    pub fn update(&self, state: &Engine) -> bool {
        let mut known = self.state.write();
        let before = (known.drain_seq, known.update_seq);
        let is_changed = fleet_core::fleet::merge(&mut known, state);
        if (known.drain_seq, known.update_seq) != before {
            *self.rollout_state_changed_at.lock() = Instant::now();
        }
        drop(known);
        if state.state() == EngineState::Deregistered {
            self.work().idle.clear();
        }
        is_changed
    }

    /// States of the roll-out count only so long: who set them may have failed.
    pub fn has_rollout_mark(&self, now: Instant) -> bool {
        now.duration_since(*self.rollout_state_changed_at.lock()) < constants::ROLLOUT_STATE_TIMEOUT
    }

    /// What the controllers know of it.
    pub fn state(&self) -> parking_lot::RwLockReadGuard<'_, Engine> {
        self.state.read()
    }

    /// Weights seen in an answer; true if they are new.
    pub fn saw_weights(&self, model: &str, version: u64) -> bool {
        fleet_core::fleet::version_of(&self.state(), model).is_some_and(|s| s < version)
            && fleet_core::fleet::raise(&mut self.state.write(), model, version)
    }

    /// Just started: what it was not seen to keep, it does not keep.
    pub fn is_warming(&self, now: Instant) -> bool {
        self.is_new && now < self.first_seen + constants::WARM_UP_PERIOD
    }

    /// Counts the wait of a heavy answer; gives the mean once the first few have come.
    pub fn record_warm_up_wait(&self, wait: Duration) -> Option<Duration> {
        if !self.is_new {
            return None;
        }
        let mut w = self.work();
        if w.warm_up_waits.0 >= constants::WARM_UP_ANSWERS {
            return None;
        }
        w.warm_up_waits.0 += 1;
        w.warm_up_waits.1 += wait;
        (w.warm_up_waits.0 == constants::WARM_UP_ANSWERS)
            .then(|| w.warm_up_waits.1 / constants::WARM_UP_ANSWERS as u32)
    }

    /// What goes on there.
    pub fn work(&self) -> parking_lot::MutexGuard<'_, Work> {
        self.work.lock()
    }

    /// Is it left alone for now?
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.work().ejected_until.is_some_and(|t| now < t)
    }

    /// What its connections tell of it.
    pub fn health(&self, now: Instant) -> Health {
        let work = self.work();
        match work.ejected_until {
            None => Health::Sound,
            Some(until) if now < until => Health::Ejected,
            Some(_) => Health::Unproven,
        }
    }

    /// Broke a connection or let none come up: left alone for a while, longer each time.
    pub fn record_failure(&self, now: Instant) {
        let mut w = self.work();
        if w.ejected_until.is_some_and(|t| now < t) {
            return;
        }
        w.ejection_time = (w.ejection_time * 2)
            .clamp(constants::BASE_EJECTION_TIME, constants::MAX_EJECTION_TIME);
        w.ejected_until = Some(now + w.ejection_time);
    }

    /// It answers: what it dropped before was not lost by its end. Gives the shortest rest after
    /// which that happened.
    pub fn record_success(&self) -> Option<Duration> {
        let mut w = self.work();
        w.ejection_time = Duration::ZERO;
        w.ejected_until = None;
        w.suspected_idle_close.take()
    }

    /// Dropped a connection after this rest: forgotten, unless the engine ended.
    pub fn suspect_idle_close(&self, ejection_time: Duration) {
        if ejection_time < constants::IDLE_TIMEOUT_MIN || self.state().state() != EngineState::Ready
        {
            return;
        }
        let mut w = self.work();
        w.suspected_idle_close =
            Some(w.suspected_idle_close.map_or(ejection_time, |known| known.min(ejection_time)));
    }

    /// The connection that was used last, unless it has been idle for too long.
    pub(super) fn checkout_idle(
        &self,
        now: Instant,
        max_idle_time: Duration,
    ) -> Option<IdleConnection> {
        let mut w = self.work();
        w.idle.retain(|i| i.is_open(now));
        let newest = w.idle.iter().rposition(IdleConnection::is_ready)?;
        if w.idle[newest].idle_time(now) > max_idle_time {
            return None;
        }
        w.idle.remove(newest)
    }

    pub(super) fn put_idle(&self, i: IdleConnection) {
        let mut w = self.work();
        if w.idle.len() >= constants::IDLE_CONNECTIONS {
            w.idle.pop_front();
        }
        w.idle.push_back(i);
    }

    /// False if there was none.
    pub(super) fn drop_oldest_idle(&self) -> bool {
        self.work().idle.pop_front().is_some()
    }

    pub(super) fn drop_all_idle(&self) {
        self.work().idle.clear();
    }

    pub(super) fn drop_expired_idle(&self, now: Instant) {
        self.work().idle.retain(|i| i.is_open(now));
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
