//! Event counters of a router: written to the log periodically and exported as metrics.

use crate::Router;
use fleet_core::log::Event;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the process started. They only grow.
#[derive(Default)]
pub struct Counters {
    /// Requests that were matched to a route and a service.
    pub requests: AtomicU64,
    /// Engine responses whose head was accepted.
    pub responses: AtomicU64,
    /// Requests rejected without an engine having run them.
    pub rejected: AtomicU64,
    /// Requests rejected because this router shuts down: they are not expected to complete in time, or found no
    /// engine before it had to answer.
    pub rejected_at_end: AtomicU64,
    /// Requests that may have run at an engine and got no usable response.
    pub failed: AtomicU64,
    /// Requests counted in `failed` that were still waiting for a response when this router shut down.
    pub failed_at_end: AtomicU64,
    /// Dispatches to engines whose weights are older than the target version.
    pub outdated_dispatches: AtomicU64,
    /// Dispatches to engines with outdated weights that were cancelled before the version bound.
    pub version_cutoffs: AtomicU64,
    /// Dispatches that were cancelled because the isolation of their cached prompt parts had changed.
    pub isolation_cutoffs: AtomicU64,
    /// Dispatches that an engine rejected with 421 Misdirected Request.
    pub version_mismatches: AtomicU64,
    /// Responses truncated by the engine.
    pub responses_broken_by_engine: AtomicU64,
    /// Responses truncated at their deadline.
    pub responses_past_deadline: AtomicU64,
    /// Responses whose client disconnected before the end.
    pub responses_abandoned: AtomicU64,
    /// Times that a controller was considered lost, after its link had been down for too long.
    pub controllers_lost: AtomicU64,
    /// Streams resumed at another engine after a break.
    pub resumed: AtomicU64,
    /// Requests dispatched again within the retry budget.
    pub retries: AtomicU64,
    /// Connections opened to engines.
    pub engine_connections: AtomicU64,
    /// Dispatches on a reused idle connection that was reset, perhaps because the engine had already closed it.
    pub idle_resets: AtomicU64,
    /// Prompt tokens that the chosen engine was known to have cached.
    pub cached_tokens: AtomicU64,
    /// Prompt tokens that the chosen engine was not known to have cached.
    pub missing_tokens: AtomicU64,
    /// Dispatches that name a KV source which is known to hold the missing prefix.
    pub known_source_dispatches: AtomicU64,
    /// Dispatches that name a KV source which is only presumed to hold the missing prefix.
    pub presumed_source_dispatches: AtomicU64,
    /// Dispatches that name a store for the engine to send KV blocks to.
    pub sink_dispatches: AtomicU64,
    /// Dispatches whose prompt is known to be at least partly in a KV store.
    pub stored_prefix_dispatches: AtomicU64,
    /// Tokens of shared prefix parts that were missing at the engine and had no known source.
    pub missing_shared_tokens: AtomicU64,
    /// Responses to prefill-heavy requests.
    pub prefill_heavy_responses: AtomicU64,
    /// Sum of the times to the head of these responses, in microseconds.
    pub prefill_heavy_latency_us: AtomicU64,
}

impl Router {
    /// Writes the counters to the log (event 105).
    pub(crate) fn log_counters(&self) {
        let counters = &self.counters;
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        fleet_core::log_event!(self.log, Event::Counters,
            "taken" => get(&counters.requests), "begun" => get(&counters.responses), "refused" => get(&counters.rejected),
            "failed" => get(&counters.failed), "resumed" => get(&counters.resumed), "again" => get(&counters.retries),
            "connections" => get(&counters.engine_connections), "forgotten" => get(&counters.idle_resets),
            "links_rejected" => self.fleet_view.links_rejected(),
            "parts_held" => get(&counters.cached_tokens),
            "parts_missing" => get(&counters.missing_tokens), "moves" => get(&counters.known_source_dispatches),
            "guesses" => get(&counters.presumed_source_dispatches), "sinks" => get(&counters.sink_dispatches),
            "stored" => get(&counters.stored_prefix_dispatches),
            "shared_missing" => get(&counters.missing_shared_tokens), "index" => self.fleet_view.prefix_view.current_index().entries());
    }
}
