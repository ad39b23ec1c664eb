use super::*;

fn policy(routers: usize, uptime_s: u64) -> BudgetPolicy {
    BudgetPolicy {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 50.0,
        routers,
        uptime: Duration::from_secs(uptime_s),
    }
}

#[test]
fn a_router_up_for_less_than_the_window_has_no_slack() {
    let now = Instant::now();
    let mut budget = Budget::default();
    assert!(!budget.try_spend(now, &policy(1, 3)));
    for _ in 0..13 {
        budget.record_request(now, &policy(1, 3));
    }
    assert!(budget.try_spend(now, &policy(1, 3)) && budget.try_spend(now, &policy(1, 3)));
    assert!(!budget.try_spend(now, &policy(1, 3)));
    assert!(budget.try_spend(now, &policy(1, 30)));
}

proptest::proptest! {
    /// In any sliding window, the retries of all routers together stay within the budget.
    #[test]
    fn retries_of_all_routers_stay_within_the_budget(
        steps in proptest::collection::vec((0usize..6, 0u8..3, 0u64..700), 1..600)
    ) {
        let first = Instant::now();
        let mut now = first;
        let shared_policy = policy(6, 100);
        let mut budgets: Vec<Budget> = (0..6).map(|_| Budget::default()).collect();
        let (mut arrivals, mut retries) = (Vec::new(), Vec::new());
        for (router, action, pause_ms) in steps {
            now += Duration::from_millis(pause_ms);
            if action == 0 {
                budgets[router].record_request(now, &shared_policy);
                arrivals.push(now);
            } else if budgets[router].try_spend(now, &shared_policy) {
                retries.push(now);
            }
        }
        let window = Duration::from_secs(10);
        for end in &retries {
            let start = *end - window;
            let sent = retries.iter().filter(|at| **at > start && **at <= *end).count() as f64;
            let count = |from: Instant, to: Instant| arrivals.iter().filter(|at| **at > from && **at <= to).count() as f64;
            let requests = count(start, *end)
                .max(count(start - window, start))
                .max(count(start - window / 2, *end - window / 2));
            proptest::prop_assert!(sent <= 0.2 * requests + 50.0);
        }
    }
}
