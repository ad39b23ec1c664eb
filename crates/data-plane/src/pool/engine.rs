//! The state that this router keeps for one engine: load, health and idle connections.

use super::connection::IdleConnection;
use fleet_core::constants;
use fleet_core::load::Load;
use fleet_core::wire::{Engine, EngineState};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::time::Duration;
use tokio::time::Instant;

/// The load that an engine reported with a response.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// When it was reported.
    pub at: Instant,
}

impl ReportedLoad {
    /// Parses the `X-Instance-Load` header; `None` if it is malformed.
    pub fn parse(text: &str, at: Instant) -> Option<ReportedLoad> {
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>());
        let (Some(Ok(running)), Some(Ok(waiting)), Some(Ok(slots))) =
            (numbers.next(), numbers.next(), numbers.next())
        else {
            return None;
        };
        Some(ReportedLoad { running, waiting, slots, at })
    }
}

/// The load of one engine and its idle connections, as far as this router knows.
#[derive(Default)]
pub struct EngineActivity {
    /// Dispatches of this router that have not ended.
    pub in_flight: u32,
    /// Prompt tokens of this router's dispatches that are not yet prefilled.
    pub pending_prefill_tokens: u64,
    /// Prompt and output tokens of this router's dispatches that have not ended.
    pub tokens: u64,
    /// KV transfers from this engine that this router's dispatches caused and that have not ended.
    pub transfers: u32,
    /// Dispatches of this router to interactive routes that have not ended.
    pub interactive: u32,
    /// This router's load as it last reported it.
    pub last_reported: Load,
    /// Load of all other routers.
    pub other_routers_load: Load,
    /// When the load of the other routers was received.
    pub other_routers_load_at: Option<Instant>,
    /// Idle connections, the most recently used one at the back.
    idle: VecDeque<IdleConnection>,
    /// Shortest idle time after which the engine closed a connection; cleared when it responds again.
    suspected_idle_close: Option<Duration>,
    /// The load that the engine itself last reported.
    pub reported: Option<ReportedLoad>,
    /// End of the ejection; kept afterwards until the engine responds.
    ejected_until: Option<Instant>,
    /// Length of the last ejection; zero once the engine responds.
    ejection_time: Duration,
    /// Whether a body of it had no end; such an engine sends valid heads, so that only a complete body clears it.
    had_endless_body: bool,
    /// Invalid responses since the last valid one.
    invalid_responses: u32,
    /// For an engine that has just started: number of responses to prefill-heavy requests, and the sum of their
    /// latencies.
    warm_up_latencies: (u64, Duration),
}

impl EngineActivity {
    /// Load from this router.
    pub fn own(&self) -> Load {
        Load {
            pending_prefill_tokens: self.pending_prefill_tokens,
            in_flight: self.in_flight,
            interactive: self.interactive,
        }
    }

    /// Load from all routers; other routers' part counts only while its report is recent.
    pub fn total_load(&self, now: Instant) -> Load {
        let mut total = self.own();
        if self
            .other_routers_load_at
            .is_some_and(|at| now.duration_since(at) < constants::LOAD_REPORT_TIMEOUT)
        {
            total.add(&self.other_routers_load);
        }
        total
    }

    /// Begins an ejection, twice as long as the last one; false if one is under way.
    fn eject(&mut self, now: Instant) -> bool {
        if self.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        self.ejection_time = (self.ejection_time * 2)
            .clamp(constants::BASE_EJECTION_TIME, constants::MAX_EJECTION_TIME);
        self.ejected_until = Some(now + self.ejection_time);
        true
    }

    fn clear_failures(&mut self) {
        self.ejection_time = Duration::ZERO;
        self.ejected_until = None;
    }

    /// Whether there is an open connection that has been idle for at most `max_idle_time`.
    pub fn has_idle_connection(&self, now: Instant, max_idle_time: Duration) -> bool {
        self.idle
            .back()
            .is_some_and(|idle| idle.is_open(now) && idle.idle_time(now) <= max_idle_time)
    }
}

/// One engine instance and what this router knows about it.
pub struct EngineHandle {
    /// Id of this run of the engine process.
    pub id: String,
    /// Key that identifies it in load reports.
    pub key: u32,
    /// The address on which it listens.
    pub address: SocketAddr,
    first_seen: Instant,
    is_new: bool,
    state: parking_lot::RwLock<Engine>,
    /// When the rollout last changed its state.
    rollout_state_changed_at: parking_lot::Mutex<Instant>,
    activity: parking_lot::Mutex<EngineActivity>,
    /// Open connections, in use or idle. Not in `activity`, since connections are also dropped while that lock is held.
    pub(super) open_connections: AtomicU32,
}

/// Health of an engine, judged by this router's connections to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It has responded since its last connection failure, or never had one.
    Healthy,
    /// A connection failed, and its ejection has ended; it has not responded since.
    Unproven,
    /// A connection failed recently, and the engine is ejected: it gets no requests.
    Ejected,
}

impl EngineHandle {
    /// Creates the state of an engine that is not yet known; `None` if its address is malformed.
    pub fn new(engine: &Engine) -> Option<EngineHandle> {
        Some(EngineHandle {
            id: engine.id.clone(),
            key: fleet_core::load::engine_key(&engine.id),
            address: engine.address.parse().ok()?,
            first_seen: Instant::now(),
            is_new: engine.call_seq <= constants::NEW_ENGINE_CALLS,
            state: parking_lot::RwLock::new(engine.clone()),
            rollout_state_changed_at: parking_lot::Mutex::new(Instant::now()),
            activity: parking_lot::Mutex::default(),
            open_connections: AtomicU32::new(0),
        })
    }

    /// Merges a state from the controllers; returns whether anything but its call number changed.
    pub fn update(&self, state: &Engine) -> bool {
        let mut known = self.state.write();
        let before = (known.drain_seq, known.update_seq);
        let is_changed = fleet_core::fleet::merge(&mut known, state);
        if (known.drain_seq, known.update_seq) != before {
            *self.rollout_state_changed_at.lock() = Instant::now();
        }
        drop(known);
        if state.state() == EngineState::Deregistered {
            self.activity().idle.clear();
        }
        is_changed
    }

    /// Whether its rollout state is recent. Older ones are ignored, since the controller that set them may have
    /// failed.
    pub fn has_recent_rollout_state(&self, now: Instant) -> bool {
        now.duration_since(*self.rollout_state_changed_at.lock()) < constants::ROLLOUT_STATE_TIMEOUT
    }

    /// The state from the controllers.
    pub fn state(&self) -> parking_lot::RwLockReadGuard<'_, Engine> {
        self.state.read()
    }

    /// Records a weight version seen in a response; true if it is newer than the known one.
    pub fn record_weights(&self, model: &str, version: u64) -> bool {
        fleet_core::fleet::version_of(&self.state(), model).is_some_and(|s| s < version)
            && fleet_core::fleet::raise_version(&mut self.state.write(), model, version)
    }

    /// Whether it has started recently: it is then not assumed to hold prompt parts that it was not seen to cache.
    pub fn is_warming_up(&self, now: Instant) -> bool {
        self.is_new && now < self.first_seen + constants::WARM_UP_PERIOD
    }

    /// Records the latency of a response to a prefill-heavy request, if the engine has just started. Returns the mean
    /// with the last of the first few responses, otherwise `None`.
    pub fn record_warm_up_latency(&self, latency: Duration) -> Option<Duration> {
        if !self.is_new {
            return None;
        }
        let mut activity = self.activity();
        if activity.warm_up_latencies.0 >= constants::WARM_UP_RESPONSES {
            return None;
        }
        activity.warm_up_latencies.0 += 1;
        activity.warm_up_latencies.1 += latency;
        (activity.warm_up_latencies.0 == constants::WARM_UP_RESPONSES)
            .then(|| activity.warm_up_latencies.1 / constants::WARM_UP_RESPONSES as u32)
    }

    /// Its load and idle connections, locked.
    pub fn activity(&self) -> parking_lot::MutexGuard<'_, EngineActivity> {
        self.activity.lock()
    }

    /// Whether it is ejected at this time.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.activity().ejected_until.is_some_and(|until| now < until)
    }

    /// Its health at this time.
    pub fn health(&self, now: Instant) -> Health {
        let activity = self.activity();
        match activity.ejected_until {
            None => Health::Healthy,
            Some(until) if now < until => Health::Ejected,
            Some(_) => Health::Unproven,
        }
    }

    /// Ejects it after a connection failure; the ejection time doubles each time up to a limit.
    pub fn record_failure(&self, now: Instant) {
        self.activity().eject(now);
    }

    /// Ejects it while a body of it goes on without an end; true if it was not ejected before.
    pub fn record_endless_body(&self, now: Instant) -> bool {
        let mut activity = self.activity();
        activity.had_endless_body = true;
        activity.eject(now)
    }

    /// Clears its failures after a response with a complete body.
    pub fn record_complete_body(&self) {
        let mut activity = self.activity();
        if std::mem::take(&mut activity.had_endless_body) {
            activity.clear_failures();
        }
    }

    /// Clears its failures after a valid response head, unless a body of it had no end. Returns the shortest idle time
    /// after which it closed a connection, if it did: the engine is alive, so its idle timeout was the cause.
    pub fn record_success(&self) -> Option<Duration> {
        let mut activity = self.activity();
        activity.invalid_responses = 0;
        if !activity.had_endless_body {
            activity.clear_failures();
        }
        activity.suspected_idle_close.take()
    }

    /// Records a response that was no answer to its request; true if there were so many in a row that the engine is to be
    /// ejected.
    pub fn record_invalid_response(&self) -> bool {
        let mut activity = self.activity();
        activity.invalid_responses += 1;
        activity.invalid_responses >= constants::MAX_INVALID_RESPONSES
    }

    /// Records that it closed a connection after `idle_time`. Ignored if the connection was hardly idle, so that the
    /// engine's failure is the likely cause, and for an engine that is not ready, which closes its connections
    /// because it exits.
    pub fn suspect_idle_close(&self, idle_time: Duration) {
        if idle_time < constants::IDLE_TIMEOUT_MIN || self.state().state() != EngineState::Ready {
            return;
        }
        let mut activity = self.activity();
        activity.suspected_idle_close =
            Some(activity.suspected_idle_close.map_or(idle_time, |known| known.min(idle_time)));
    }

    /// Takes the most recently used connection, unless it has been idle for longer than `max_idle_time`.
    pub(super) fn checkout_idle(
        &self,
        now: Instant,
        max_idle_time: Duration,
    ) -> Option<IdleConnection> {
        let mut activity = self.activity();
        activity.idle.retain(|idle| idle.is_open(now));
        let newest = activity.idle.iter().rposition(IdleConnection::is_ready)?;
        if activity.idle[newest].idle_time(now) > max_idle_time {
            return None;
        }
        activity.idle.remove(newest)
    }

    pub(super) fn put_idle(&self, idle: IdleConnection) {
        let mut activity = self.activity();
        if activity.idle.len() >= constants::MAX_IDLE_CONNECTIONS {
            activity.idle.pop_front();
        }
        activity.idle.push_back(idle);
    }

    /// Closes the oldest idle connection; false if there is none.
    pub(super) fn drop_oldest_idle(&self) -> bool {
        self.activity().idle.pop_front().is_some()
    }

    pub(super) fn drop_all_idle(&self) {
        self.activity().idle.clear();
    }

    pub(super) fn drop_expired_idle(&self, now: Instant) {
        self.activity().idle.retain(|idle| idle.is_open(now));
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
