//! Second sends, held in common by all routers: each uses its own share.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use fleet_core::constants;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug, Clone, Copy)]
pub struct Terms {
    pub ratio: f64,
    pub window: Duration,
    pub slack: f64,
    pub routers: usize,
    pub up: Duration,
}

impl Terms {
    /// The own part of the slack; none for who started less than a window ago.
    fn slack_share(&self) -> f64 {
        if self.up < self.window {
            return 0.0;
        }
        let n = (self.routers + constants::BUDGET_SPARES).max(1) as f64;
        (self.slack * constants::BUDGET_SHARE / n).floor()
    }
}

#[derive(Default)]
pub struct Budget {
    arrivals: VecDeque<Instant>,
    again: VecDeque<Instant>,
}

impl Budget {
    fn age(&mut self, now: Instant, window: Duration) {
        for q in [&mut self.arrivals, &mut self.again] {
            while q.front().is_some_and(|t| now.duration_since(*t) >= window) {
                q.pop_front();
            }
        }
    }

    pub fn arrived(&mut self, now: Instant, t: &Terms) {
        self.age(now, t.window);
        self.arrivals.push_back(now);
    }

    /// Charges one second send, or says that there is no room for it.
    pub fn charge(&mut self, now: Instant, t: &Terms) -> bool {
        self.age(now, t.window);
        let room = self.arrivals.len() as f64 * t.ratio * constants::BUDGET_SHARE + t.slack_share();
        if (self.again.len() + 1) as f64 > room {
            return false;
        }
        self.again.push_back(now);
        true
    }
}

#[derive(Default)]
pub struct Budgets {
    table: parking_lot::Mutex<hashbrown::HashMap<String, Budget, ahash::RandomState>>,
}

impl crate::Router {
    fn terms(&self) -> Terms {
        let p = self.settings();
        Terms {
            ratio: p.bounds.retry_ratio,
            window: p.bounds.retry_window,
            slack: p.bounds.retry_slack,
            routers: self.fleet_view.routers(),
            up: self.started.elapsed(),
        }
    }

    pub fn arrived(&self, service: &str) {
        let t = self.terms();
        let mut b = self.budgets.table.lock();
        b.entry_ref(service).or_default().arrived(Instant::now(), &t);
    }

    pub fn charge(&self, service: &str) -> bool {
        let t = self.terms();
        self.budgets.table.lock().entry_ref(service).or_default().charge(Instant::now(), &t)
    }
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
