//! What a router counts, from its start on: written to the log now and then, and shown as metrics.

use crate::Router;
use fleet_core::log::Event;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start of the process.
#[derive(Default)]
pub struct Counters {
    /// Requests with a route and a service.
    pub requests: AtomicU64,
    /// Answers of engines that have begun.
    pub responses: AtomicU64,
    /// Requests rejected unsent.
    pub rejected: AtomicU64,
    /// Requests that came after SIGTERM and would not have been complete before this router ends.
    pub rejected_at_end: AtomicU64,
    /// Requests that were sent and got no answer of an engine.
    pub failed: AtomicU64,
    /// Those of them that waited at an engine when this router had to end.
    pub failed_at_end: AtomicU64,
    /// Dispatches to engines with older weights than the target.
    pub outdated_dispatches: AtomicU64,
    /// Dispatches to engines with older weights that were taken back before the bound.
    pub version_cutoffs: AtomicU64,
    /// Dispatches that an engine rejected with 421.
    pub version_mismatches: AtomicU64,
    /// Responses that an engine broke off.
    pub broken: AtomicU64,
    /// Responses cut at their deadline.
    pub past_deadline: AtomicU64,
    /// Responses that the client left.
    pub abandoned: AtomicU64,
    /// Controllers that were lost.
    pub controllers_lost: AtomicU64,
    /// Streams that went on at another engine.
    pub resumed: AtomicU64,
    /// Retries.
    pub retries: AtomicU64,
    /// New connections to engines.
    pub connections: AtomicU64,
    /// Sends on an idle connection that was reset: the engine had perhaps closed it already.
    pub idle_resets: AtomicU64,
    /// Tokens of prompts that the chosen engine was known to have cached.
    pub cached_tokens: AtomicU64,
    /// Tokens of prompts that it was not known to have cached.
    pub missing_tokens: AtomicU64,
    /// Sends with a source that is known to have cached what is missing.
    pub transfers: AtomicU64,
    /// Sends with a source that is only guessed.
    pub guesses: AtomicU64,
    /// Sends with a sink.
    pub sinks: AtomicU64,
    /// Sends whose prompt a store is known to have some of.
    pub stored: AtomicU64,
    /// Tokens of shared parts that were missing and had no known source.
    pub shared_missing: AtomicU64,
    /// Responses to requests that need much prefill.
    pub prefill_heavy_answers: AtomicU64,
    /// Their waits for a first event, added up, in microseconds.
    pub prefill_heavy_wait_us: AtomicU64,
}

impl Router {
    /// Writes the counters to the log (event 105).
    pub(crate) fn log_counters(&self) {
        let counters = &self.counters;
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        fleet_core::log_event!(self.log, Event::Counters,
            "taken" => get(&counters.requests), "begun" => get(&counters.responses), "refused" => get(&counters.rejected),
            "failed" => get(&counters.failed), "resumed" => get(&counters.resumed), "again" => get(&counters.retries),
            "connections" => get(&counters.connections), "forgotten" => get(&counters.idle_resets),
            "links_rejected" => self.fleet_view.links_rejected(),
            "parts_held" => get(&counters.cached_tokens),
            "parts_missing" => get(&counters.missing_tokens), "moves" => get(&counters.transfers),
            "guesses" => get(&counters.guesses), "sinks" => get(&counters.sinks), "stored" => get(&counters.stored),
            "shared_missing" => get(&counters.shared_missing), "index" => self.fleet_view.prefix_view.current_index().entries());
    }
}
