//! Tests of `duties`.

use super::*;

fn lease(incarnation: u64) -> Lease {
    Lease {
        duty: ROLL_OUT.into(),
        incarnation,
        ms: 3000,
        leave: false,
        node: format!("n{incarnation}"),
        membership: 1,
    }
}

const L: Duration = Duration::from_secs(3);

#[test]
fn one_incarnation_at_a_time_and_none_after_a_restart() {
    let t = Instant::now();
    let mut g = Grants { table: hashbrown::HashMap::new(), closed_until: Some(t + L) };
    assert!(!g.grant(&lease(1), t, L));
    assert!(g.grant(&Lease { duty: INDEX_KEEPER.into(), ..lease(1) }, t, L));
    assert!(g.grant(&lease(1), t + L, L));
    assert!(!g.grant(&lease(2), t + L, L));
    assert!(g.grant(&lease(1), t + L * 3 / 2, L));
    assert!(!g.grant(&lease(2), t + L * 2, L));
    assert!(g.grant(&lease(2), t + L * 5 / 2, L));
    assert!(g.grant(&Lease { leave: true, ..lease(2) }, t + L * 5 / 2, L));
    assert!(g.grant(&lease(3), t + L * 5 / 2, L));
    let again = Lease { incarnation: 9, ..lease(3) };
    assert!(g.grant(&again, t + L * 5 / 2, L), "a new incarnation of the holder's own node");
    assert!(!g.grant(&lease(2), t + L * 5 / 2, L));
}

/// {A,B,C} moves to {B,C,D} while A holds: neither C with D nor B with D may grant it to another.
#[test]
fn a_newcomer_grants_nothing_while_a_lease_of_former_members_may_run() {
    let t = Instant::now();
    let mut grants = Duties::new(true, L).grants.into_inner();
    assert!(grants.grant(&Lease { duty: INDEX_KEEPER.into(), ..lease(2) }, t, L));
    grants.close_until(t + L);
    grants.close_until(t + L / 2);
    assert!(!grants.grant(&lease(2), t + L * 3 / 4, L));
    assert!(grants.grant(&lease(2), t + L, L));
}

#[test]
fn a_pause_ends_the_holding_before_any_order() {
    let t = Instant::now();
    let h = Holding { until: Some(t + L * 3 / 4), from: Some(t), fence: 5 };
    assert_eq!(h.fence(t), Some(5));
    assert_eq!(h.fence(t + L * 3 / 4), None);
    let waits = Holding { from: Some(t + L), until: Some(t + L * 2), fence: 6 };
    assert_eq!(waits.fence(t), None);
    assert_eq!(waits.fence(t + L), Some(6));
}

proptest::proptest! {
    /// Whatever the pauses and the speed of asking, two holders never both may act.
    #[test]
    fn holders_never_overlap(steps in proptest::collection::vec((0u64..3, 0u64..900, 0u64..4000), 1..80)) {
        let t0 = Instant::now();
        let margin = L.mul_f64(constants::LEASE_MARGIN);
        let mut now = t0;
        let mut grants: Vec<Grants> = (0..3)
            .map(|_| Grants { table: hashbrown::HashMap::new(), closed_until: None })
            .collect();
        let mut held: Vec<Option<(Instant, Instant)>> = vec![None; 3];
        for (who, travel, pause) in steps {
            let before = now;
            now += Duration::from_millis(travel);
            let yes = grants.iter_mut().filter_map(|g| g.grant(&lease(who + 1), now, L).then_some(())).count();
            if yes >= 2 {
                held[who as usize] = Some((now, before + L - margin));
            }
            now += Duration::from_millis(pause);
            let active = held.iter().flatten().filter(|(_, until)| now < *until).count();
            proptest::prop_assert!(active <= 1);
        }
    }
}
