use super::*;
use fleet_core::wire::Member;

fn join_request(ip: &str, running_ms: u64) -> JoinRequest {
    let member = Member { ip: ip.into(), ..Default::default() };
    JoinRequest { member, is_observer: false, running_ms }
}

#[tokio::test(start_paused = true)]
async fn members_and_expired_requests_are_not_candidates() {
    let (mut candidates, start) = (Candidates::default(), Instant::now());
    let members = vec![Member { ip: "b".into(), ..Default::default() }];
    let membership = Membership { epoch: 1, members };
    for ip in ["a", "b", "c"] {
        candidates.record(join_request(ip, 100), start);
    }
    let expiry = start + constants::JOIN_INTERVAL * 6;
    candidates.record(join_request("c", 100 + 2400), expiry);
    let mut waiting_at = |now| -> Vec<String> {
        candidates
            .waiting(&membership, now)
            .into_iter()
            .map(|candidate| candidate.member.ip)
            .collect()
    };
    assert_eq!(waiting_at(expiry - Duration::from_millis(1)), ["a", "c"]);
    assert_eq!(waiting_at(expiry), ["c"]);
}

#[tokio::test(start_paused = true)]
async fn uptime_of_a_candidate_includes_the_time_since_its_request() {
    let (mut candidates, start) = (Candidates::default(), Instant::now());
    candidates.record(join_request("a", 1000), start);
    let waiting = candidates.waiting(&Membership::default(), start + Duration::from_millis(300));
    assert_eq!(waiting[0].uptime, Duration::from_millis(1300));
}
