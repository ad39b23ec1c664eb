//! Tests of `budget`.

use super::*;

fn policy(routers: usize, up: u64) -> BudgetPolicy {
    BudgetPolicy {
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
    assert!(!b.spend(t, &policy(1, 3)));
    for _ in 0..13 {
        b.arrived(t, &policy(1, 3));
    }
    assert!(b.spend(t, &policy(1, 3)) && b.spend(t, &policy(1, 3)));
    assert!(!b.spend(t, &policy(1, 3)));
    assert!(b.spend(t, &policy(1, 30)));
}

proptest::proptest! {
    /// Over all routers and any sliding window, second sends stay within the rule.
    #[test]
    fn all_routers_together_keep_the_budget(
        steps in proptest::collection::vec((0usize..6, 0u8..3, 0u64..700), 1..600)
    ) {
        let t0 = Instant::now();
        let mut now = t0;
        let t = policy(6, 100);
        let mut all: Vec<Budget> = (0..6).map(|_| Budget::default()).collect();
        let (mut arrivals, mut retries) = (Vec::new(), Vec::new());
        for (who, what, idle_for) in steps {
            now += Duration::from_millis(idle_for);
            if what == 0 {
                all[who].arrived(now, &t);
                arrivals.push(now);
            } else if all[who].spend(now, &t) {
                retries.push(now);
            }
        }
        let w = Duration::from_secs(10);
        for end in &retries {
            let start = *end - w;
            let sent = retries.iter().filter(|x| **x > start && **x <= *end).count() as f64;
            let count = |from: Instant, to: Instant| arrivals.iter().filter(|x| **x > from && **x <= to).count() as f64;
            let most = count(start, *end)
                .max(count(start - w, start))
                .max(count(start - w / 2, *end - w / 2));
            proptest::prop_assert!(sent <= 0.2 * most + 50.0);
        }
    }
}
