//! Limits retries by a budget per service. All routers together keep within the budget: each uses only its own share.

use fleet_core::constants;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// The parameters of a budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetPolicy {
    /// Retries allowed per client request within the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed within the window in addition, summed over all routers.
    pub slack: f64,
    /// Number of live routers.
    pub routers: usize,
    /// Time since this router started.
    pub uptime: Duration,
}

impl BudgetPolicy {
    /// This router's share of the slack; 0 until it has run for a full window.
    fn slack_share(&self) -> f64 {
        if self.uptime < self.window {
            return 0.0;
        }
        let shares = (self.routers + constants::BUDGET_SPARE_ROUTERS).max(1) as f64;
        (self.slack * constants::RETRY_BUDGET_USED_RATIO / shares).floor()
    }
}

/// This router's share of one service's budget.
#[derive(Default)]
pub struct Budget {
    arrivals: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Removes events that are older than the window.
    fn expire(&mut self, now: Instant, window: Duration) {
        for queue in [&mut self.arrivals, &mut self.retries] {
            while queue.front().is_some_and(|at| now.duration_since(*at) >= window) {
                queue.pop_front();
            }
        }
    }

    /// Records a request of a client.
    pub fn record_request(&mut self, now: Instant, policy: &BudgetPolicy) {
        self.expire(now, policy.window);
        self.arrivals.push_back(now);
    }

    /// Charges one retry. Returns false, and charges nothing, if the budget is exhausted.
    pub fn try_spend(&mut self, now: Instant, policy: &BudgetPolicy) -> bool {
        self.expire(now, policy.window);
        let earned = self.arrivals.len() as f64 * policy.ratio * constants::RETRY_BUDGET_USED_RATIO;
        let allowed = earned + policy.slack_share();
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

/// The budgets of all services, created on first use.
#[derive(Default)]
pub struct Budgets {
    by_service: parking_lot::Mutex<hashbrown::HashMap<String, Budget, ahash::RandomState>>,
}

impl crate::Router {
    fn retry_budget_policy(&self) -> BudgetPolicy {
        let settings = self.settings();
        BudgetPolicy {
            ratio: settings.bounds.retry_ratio,
            window: settings.bounds.retry_window,
            slack: settings.bounds.retry_slack,
            routers: self.fleet_view.routers(),
            uptime: self.started.elapsed(),
        }
    }

    /// Records a request of a client for this service.
    pub fn record_request(&self, service: &str) {
        let policy = self.retry_budget_policy();
        let mut budgets = self.budgets.by_service.lock();
        budgets.entry_ref(service).or_default().record_request(Instant::now(), &policy);
    }

    /// Charges one retry to the budget of this service. Returns false, and charges nothing, if the budget is exhausted.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        let policy = self.retry_budget_policy();
        let mut budgets = self.budgets.by_service.lock();
        budgets.entry_ref(service).or_default().try_spend(Instant::now(), &policy)
    }
}

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
