//! Engine loads, aggregated by routers and controllers.

use crate::constants;
use crate::wire::LoadReport;

/// Load of one engine from requests in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens of requests whose response has not begun.
    pub pending_prefill_tokens: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Number of these that are interactive: a client waits for the response.
    pub interactive: u32,
}

impl Load {
    /// Adds another load to this one.
    pub fn add(&mut self, other: &Load) {
        self.pending_prefill_tokens += other.pending_prefill_tokens;
        self.in_flight += other.in_flight;
        self.interactive += other.interactive;
    }

    /// Subtracts another load; each field is at least 0.
    pub fn saturating_sub(&self, other: &Load) -> Load {
        Load {
            pending_prefill_tokens: self
                .pending_prefill_tokens
                .saturating_sub(other.pending_prefill_tokens),
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            interactive: self.interactive.saturating_sub(other.interactive),
        }
    }
}

/// Loads by engine key ([`engine_key`]).
pub type LoadByEngine = hashbrown::HashMap<u32, Load, ahash::RandomState>;

/// Short key of an engine in load reports. Two engines whose keys collide only appear busier than they are.
pub fn engine_key(id: &str) -> u32 {
    (crate::node::stable_hash(&[id.as_bytes()]) >> 32) as u32
}

/// Builds a report of these loads: without idle engines, sorted by key, with tokens rounded up to units of
/// `LOAD_TOKEN_UNIT`.
pub fn encode_report(loads: &LoadByEngine) -> LoadReport {
    let mut engines: Vec<(&u32, &Load)> =
        loads.iter().filter(|(_, load)| **load != Load::default()).collect();
    engines.sort_unstable_by_key(|(key, _)| **key);
    let mut message = LoadReport::default();
    for (key, load) in engines {
        let units = load
            .pending_prefill_tokens
            .div_ceil(constants::LOAD_TOKEN_UNIT)
            .min(u64::from(u32::MAX));
        message.keys.push(*key);
        message.pending_prefill_units.push(units as u32);
        message.in_flight.push(load.in_flight);
        message.interactive.push(load.interactive);
    }
    message
}

/// Iterates over the loads of a report. If the lists differ in length, entries beyond the shortest are ignored.
pub fn decode_report(message: &LoadReport) -> impl Iterator<Item = (u32, Load)> + '_ {
    let engines = message
        .keys
        .iter()
        .zip(&message.pending_prefill_units)
        .zip(&message.in_flight)
        .zip(&message.interactive);
    engines.map(|(((key, units), in_flight), interactive)| {
        let pending_prefill_tokens = u64::from(*units) * constants::LOAD_TOKEN_UNIT;
        (*key, Load { pending_prefill_tokens, in_flight: *in_flight, interactive: *interactive })
    })
}

/// The latest load report of each sender, until it expires.
#[derive(Default)]
pub struct LoadTable {
    reports: std::collections::BTreeMap<u64, (tokio::time::Instant, LoadReport)>,
}

impl LoadTable {
    /// Replaces the report of this sender.
    pub fn record(&mut self, reporter: u64, now: tokio::time::Instant, loads: LoadReport) {
        self.reports.insert(reporter, (now, loads));
    }

    /// Sums the reports received within `LOAD_REPORT_TIMEOUT`; removes older ones.
    pub fn sum(&mut self, now: tokio::time::Instant) -> LoadByEngine {
        self.reports.retain(|_, (at, _)| now.duration_since(*at) < constants::LOAD_REPORT_TIMEOUT);
        let mut sum = LoadByEngine::default();
        for (_, message) in self.reports.values() {
            for (key, load) in decode_report(message) {
                sum.entry(key).or_default().add(&load);
            }
        }
        sum
    }

    /// The senders whose reports are kept.
    pub fn reporters(&self) -> impl Iterator<Item = u64> + '_ {
        self.reports.keys().copied()
    }
}

/// Decides whether a report is sent now: when it has changed, and every `LOAD_REPORT_REFRESH_INTERVAL` so that it does
/// not expire. Larger reports are sent less often, which bounds the bytes per second for each receiver regardless of
/// the number of engines.
#[derive(Default)]
pub struct ReportSchedule {
    sent: Option<(tokio::time::Instant, LoadReport)>,
}

/// Minimum interval between two reports of this many engines.
fn report_interval(engines: usize) -> std::time::Duration {
    let multiples = engines.div_ceil(constants::LOAD_REPORT_ENGINES).max(1) as u32;
    (constants::LOAD_REPORT_INTERVAL * multiples).min(constants::LOAD_REPORT_INTERVAL_MAX)
}

impl ReportSchedule {
    /// Whether these loads are to be sent now; if so, they are recorded as sent.
    pub fn is_due(&mut self, now: tokio::time::Instant, loads: &LoadReport) -> bool {
        let due = match &self.sent {
            Some((at, previous)) => {
                let age = now.duration_since(*at);
                let is_new = previous != loads || age >= constants::LOAD_REPORT_REFRESH_INTERVAL;
                // Tolerates a task that wakes up slightly early.
                is_new
                    && age + constants::LOAD_REPORT_INTERVAL / 2
                        >= report_interval(previous.keys.len())
            }
            None => true,
        };
        if due {
            self.sent = Some((now, loads.clone()));
        }
        due
    }
}

#[cfg(test)]
#[path = "load_tests.rs"]
mod tests;
