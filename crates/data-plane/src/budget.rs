//! Second sends, held in common by all routers: each uses its own share.

use fleet_core::constants as k;
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
        let n = (self.routers + k::BUDGET_SPARES).max(1) as f64;
        (self.slack * k::BUDGET_SHARE / n).floor()
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
        let room = self.arrivals.len() as f64 * t.ratio * k::BUDGET_SHARE + t.slack_share();
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

impl crate::Delivery {
    fn terms(&self) -> Terms {
        let p = self.params();
        Terms {
            ratio: p.bounds.retry_ratio,
            window: p.bounds.retry_window,
            slack: p.bounds.retry_slack,
            routers: self.sight.routers(),
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
mod tests {
    use super::*;

    fn terms(routers: usize, up: u64) -> Terms {
        Terms {
            ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 50.0,
            routers,
            up: Duration::from_secs(up),
        }
    }

    #[test]
    fn young_router_has_no_slack() {
        let t = Instant::now();
        let mut b = Budget::default();
        assert!(!b.charge(t, &terms(1, 3)));
        for _ in 0..13 {
            b.arrived(t, &terms(1, 3));
        }
        assert!(b.charge(t, &terms(1, 3)) && b.charge(t, &terms(1, 3)));
        assert!(!b.charge(t, &terms(1, 3)));
        assert!(b.charge(t, &terms(1, 30)));
    }

    proptest::proptest! {
        /// Over all routers and any sliding window, second sends stay within the rule.
        #[test]
        fn all_routers_together_keep_the_budget(
            steps in proptest::collection::vec((0usize..6, 0u8..3, 0u64..700), 1..600)
        ) {
            let t0 = Instant::now();
            let mut now = t0;
            let t = terms(6, 100);
            let mut all: Vec<Budget> = (0..6).map(|_| Budget::default()).collect();
            let (mut arrivals, mut again) = (Vec::new(), Vec::new());
            for (who, what, pause) in steps {
                now += Duration::from_millis(pause);
                if what == 0 {
                    all[who].arrived(now, &t);
                    arrivals.push(now);
                } else if all[who].charge(now, &t) {
                    again.push(now);
                }
            }
            let w = Duration::from_secs(10);
            for end in &again {
                let start = *end - w;
                let sent = again.iter().filter(|x| **x > start && **x <= *end).count() as f64;
                let count = |from: Instant, to: Instant| arrivals.iter().filter(|x| **x > from && **x <= to).count() as f64;
                let most = count(start, *end)
                    .max(count(start - w, start))
                    .max(count(start - w / 2, *end - w / 2));
                proptest::prop_assert!(sent <= 0.2 * most + 50.0);
            }
        }
    }
}
