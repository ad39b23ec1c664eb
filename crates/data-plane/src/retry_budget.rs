//! The retry budget, common to all routers: each uses its own share.

use fleet_core::constants;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// What a budget is reckoned from.
#[derive(Debug, Clone, Copy)]
pub struct BudgetPolicy {
    /// Second sends allowed for each arrival within the window.
    pub ratio: f64,
    /// The sliding window.
    pub window: Duration,
    /// Second sends allowed besides, by all routers together.
    pub slack: f64,
    /// Live routers.
    pub routers: usize,
    /// Time since this router started.
    pub up: Duration,
}

impl BudgetPolicy {
    /// The own part of the slack; none for who started less than a window ago.
    fn slack_share(&self) -> f64 {
        if self.up < self.window {
            return 0.0;
        }
        let sharers = (self.routers + constants::BUDGET_SPARES).max(1) as f64;
        (self.slack * constants::BUDGET_SHARE / sharers).floor()
    }
}

/// This router's share of one service's budget.
#[derive(Default)]
pub struct Budget {
    arrivals: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    fn age(&mut self, now: Instant, window: Duration) {
        for queue in [&mut self.arrivals, &mut self.retries] {
            while queue.front().is_some_and(|at| now.duration_since(*at) >= window) {
                queue.pop_front();
            }
        }
    }

    /// Counts a request of a client.
    pub fn arrived(&mut self, now: Instant, policy: &BudgetPolicy) {
        self.age(now, policy.window);
        self.arrivals.push_back(now);
    }

    /// Charges one retry; false, and nothing is charged, if the budget is used up.
    pub fn spend(&mut self, now: Instant, policy: &BudgetPolicy) -> bool {
        self.age(now, policy.window);
        let earned = self.arrivals.len() as f64 * policy.ratio * constants::BUDGET_SHARE;
        let allowed = earned + policy.slack_share();
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

/// Budgets of all services.
#[derive(Default)]
pub struct Budgets {
    table: parking_lot::Mutex<hashbrown::HashMap<String, Budget, ahash::RandomState>>,
}

impl crate::Router {
    fn policy(&self) -> BudgetPolicy {
        let settings = self.settings();
        BudgetPolicy {
            ratio: settings.bounds.retry_ratio,
            window: settings.bounds.retry_window,
            slack: settings.bounds.retry_slack,
            routers: self.fleet_view.routers(),
            up: self.started.elapsed(),
        }
    }

    /// Counts a request of a client for this service.
    pub fn arrived(&self, service: &str) {
        let policy = self.policy();
        let mut budgets = self.budgets.table.lock();
        budgets.entry_ref(service).or_default().arrived(Instant::now(), &policy);
    }

    /// Charges one retry to the budget of this service; false if it is used up.
    pub fn spend(&self, service: &str) -> bool {
        let policy = self.policy();
        let mut budgets = self.budgets.table.lock();
        budgets.entry_ref(service).or_default().spend(Instant::now(), &policy)
    }
}

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
