//! Loads of engines, as routers and controllers add them up.

use crate::constants;
use crate::wire::LoadReport;

/// Load of one engine by sends in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Tokens of sends whose answer has not begun.
    pub unread: u64,
    /// Sends in flight.
    pub runs: u32,
    /// Of these, sends that somebody waits for.
    pub interactive: u32,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: &Load) {
        self.unread += other.unread;
        self.runs += other.runs;
        self.interactive += other.interactive;
    }

    /// What is left without another load; never below 0.
    pub fn less(&self, other: &Load) -> Load {
        Load {
            unread: self.unread.saturating_sub(other.unread),
            runs: self.runs.saturating_sub(other.runs),
            interactive: self.interactive.saturating_sub(other.interactive),
        }
    }
}

/// Loads by the engine's key ([`key_of`]).
pub type ByEngine = hashbrown::HashMap<u32, Load, ahash::RandomState>;

/// Short name of an engine among loads. Two engines that share one only look busier than they are.
pub fn key_of(id: &str) -> u32 {
    (crate::node::stable_hash(&[id.as_bytes()]) >> 32) as u32
}

/// The report of these loads: without idle engines, ordered by key, tokens rounded up to
/// `LOAD_TOKENS`.
pub fn pack(loads: &ByEngine) -> LoadReport {
    let mut engines: Vec<(&u32, &Load)> =
        loads.iter().filter(|(_, load)| **load != Load::default()).collect();
    engines.sort_unstable_by_key(|(key, _)| **key);
    let mut message = LoadReport::default();
    for (key, load) in engines {
        let unread = load.unread.div_ceil(constants::LOAD_TOKENS).min(u64::from(u32::MAX));
        message.keys.push(*key);
        message.unread.push(unread as u32);
        message.runs.push(load.runs);
        message.interactive.push(load.interactive);
    }
    message
}

/// The loads in a report. Lists of unequal length are read as far as all reach.
pub fn unpack(message: &LoadReport) -> impl Iterator<Item = (u32, Load)> + '_ {
    let engines =
        message.keys.iter().zip(&message.unread).zip(&message.runs).zip(&message.interactive);
    engines.map(|(((key, unread), runs), interactive)| {
        let unread = u64::from(*unread) * constants::LOAD_TOKENS;
        (*key, Load { unread, runs: *runs, interactive: *interactive })
    })
}

/// What each sender reported last, for as long as it keeps reporting.
#[derive(Default)]
pub struct LoadTable {
    reports: std::collections::BTreeMap<u64, (tokio::time::Instant, LoadReport)>,
}

impl LoadTable {
    /// Takes in the report of a sender.
    pub fn record(&mut self, reporter: u64, now: tokio::time::Instant, loads: LoadReport) {
        self.reports.insert(reporter, (now, loads));
    }

    /// The sum over all senders that reported within `LOAD_REPORT_TIMEOUT`; forgets the others.
    pub fn sum(&mut self, now: tokio::time::Instant) -> ByEngine {
        self.reports.retain(|_, (at, _)| now.duration_since(*at) < constants::LOAD_REPORT_TIMEOUT);
        let mut sum = ByEngine::default();
        for (_, message) in self.reports.values() {
            for (key, load) in unpack(message) {
                sum.entry(key).or_default().add(&load);
            }
        }
        sum
    }

    /// The senders that are remembered.
    pub fn reporters(&self) -> impl Iterator<Item = u64> + '_ {
        self.reports.keys().copied()
    }
}

/// Decides whether a message goes out now: when it has changed, and every `LOAD_REPORT_REFRESH` so that it
/// still counts. A large one goes out less often, so that the bytes of a second stay the same for each reader however
/// many engines there are.
#[derive(Default)]
pub struct ReportSchedule {
    sent: Option<(tokio::time::Instant, LoadReport)>,
}

/// Shortest time between two reports of so many engines.
fn report_interval(engines: usize) -> std::time::Duration {
    let sizes = engines.div_ceil(constants::LOAD_REPORT_ENGINES).max(1) as u32;
    (constants::LOAD_REPORT_INTERVAL * sizes).min(constants::LOAD_REPORT_INTERVAL_MAX)
}

impl ReportSchedule {
    /// Whether these loads go out now; they are then the ones sent last.
    pub fn is_due(&mut self, now: tokio::time::Instant, loads: &LoadReport) -> bool {
        let due = match &self.sent {
            Some((at, was)) => {
                let age = now.duration_since(*at);
                let is_new = was != loads || age >= constants::LOAD_REPORT_REFRESH;
                // a task that wakes a little early counts as in time
                is_new
                    && age + constants::LOAD_REPORT_INTERVAL / 2 >= report_interval(was.keys.len())
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
