//! Tests of `candidates`.

use super::*;
use fleet_core::wire::Member;

fn join(ip: &str, running_ms: u64) -> JoinRequest {
    let member = Member { ip: ip.into(), ..Default::default() };
    JoinRequest { member, observes: false, running_ms }
}

#[tokio::test(start_paused = true)]
async fn who_asks_no_more_or_is_a_member_does_not_wait() {
    let (mut candidates, begun) = (Candidates::default(), Instant::now());
    let members = vec![Member { ip: "b".into(), ..Default::default() }];
    let membership = Membership { epoch: 1, members };
    for ip in ["a", "b", "c"] {
        candidates.record(join(ip, 100), begun);
    }
    let later = begun + constants::JOIN_INTERVAL * 6;
    candidates.record(join("c", 100 + 2400), later);
    let mut at = |now| -> Vec<String> {
        candidates
            .waiting(&membership, now)
            .into_iter()
            .map(|candidate| candidate.member.ip)
            .collect()
    };
    assert_eq!(at(later - Duration::from_millis(1)), ["a", "c"]);
    assert_eq!(at(later), ["c"]);
}

#[tokio::test(start_paused = true)]
async fn a_joiner_has_run_since_it_said_so_for_longer() {
    let (mut candidates, begun) = (Candidates::default(), Instant::now());
    candidates.record(join("a", 1000), begun);
    let waiting = candidates.waiting(&Membership::default(), begun + Duration::from_millis(300));
    assert_eq!(waiting[0].running, Duration::from_millis(1300));
}
