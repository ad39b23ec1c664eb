//! Tests of `replacement` and `failure_domains`: which member is added or replaced next, and by which candidate.

use super::*;

/// Value of the setting `bounds.catchUpS`.
const CATCH_UP: Duration = Duration::from_secs(4);

fn member_at(host: u8, zone: &str) -> Member {
    Member { ip: format!("10.0.0.{host}"), zone: zone.into(), ..Default::default() }
}

fn membership(members: &[Member]) -> Membership {
    Membership { epoch: 1, members: members.to_vec() }
}

fn voting(member: &Member) -> MemberStatus {
    let (unreachable_for, not_voting_for) = (Duration::ZERO, Duration::ZERO);
    MemberStatus {
        member: member.clone(),
        unreachable_for,
        was_reachable: true,
        votes: true,
        not_voting_for,
    }
}

/// Unreachable and not voting for this long.
fn unreachable(member: &Member, ms: u64) -> MemberStatus {
    let unreachable_for = Duration::from_millis(ms);
    MemberStatus {
        unreachable_for,
        votes: false,
        not_voting_for: unreachable_for,
        ..voting(member)
    }
}

/// Reachable, but not voting for this long.
fn not_voting(member: &Member, ms: u64) -> MemberStatus {
    MemberStatus { votes: false, not_voting_for: Duration::from_millis(ms), ..voting(member) }
}

fn tolerating(machines: usize, zones: usize) -> Tolerance {
    Tolerance { machines, zones, ..Default::default() }
}

/// A candidate that started long before any member was lost.
fn standby(member: &Member) -> Candidate {
    Candidate { member: member.clone(), uptime: Duration::from_secs(3600) }
}

/// A candidate that started this long ago.
fn started(member: &Member, ms: u64) -> Candidate {
    Candidate { member: member.clone(), uptime: Duration::from_millis(ms) }
}

/// Host numbers of the members that follow if all candidates are standbys.
fn next(members: &[MemberStatus], candidates: &[Member], tolerance: &Tolerance) -> Option<Vec<u8>> {
    let candidates: Vec<Candidate> = candidates.iter().map(standby).collect();
    next_with(members, &candidates, tolerance)
}

/// Host numbers of the members that follow.
fn next_with(
    members: &[MemberStatus],
    candidates: &[Candidate],
    tolerance: &Tolerance,
) -> Option<Vec<u8>> {
    let all: Vec<Member> = members.iter().map(|status| status.member.clone()).collect();
    let membership = membership(&all);
    let successor_wait = successor_wait(CATCH_UP);
    let planner = MembershipPlanner {
        membership: &membership,
        members,
        candidates,
        tolerance,
        successor_wait,
    };
    let next = planner.next()?;
    assert_eq!(next.epoch, 2);
    let joined: Vec<&Member> =
        next.members.iter().filter(|member| member.joined_epoch == 2).collect();
    assert_eq!(joined.len(), 1, "one member is added, with the epoch in which it joined");
    Some(
        next.members
            .iter()
            .map(|member| member.ip.rsplit('.').next().unwrap().parse().unwrap())
            .collect(),
    )
}

#[test]
fn candidate_replaces_an_unreachable_member_of_its_own_zone_first() {
    let candidates = [member_at(9, "b")];
    let members = |first_ms, second_ms| {
        [
            unreachable(&member_at(1, "a"), first_ms),
            unreachable(&member_at(2, "b"), second_ms),
            voting(&member_at(3, "c")),
            voting(&member_at(4, "d")),
            voting(&member_at(5, "e")),
        ]
    };
    let two = tolerating(2, 0);
    assert_eq!(next(&members(0, 0), &candidates, &two), None);
    assert_eq!(next(&members(3500, 500), &candidates, &two), None);
    assert_eq!(next(&members(9000, 3500), &candidates, &two), Some(vec![1, 3, 4, 5, 9]));
    assert_eq!(next(&members(9000, 500), &candidates, &two), Some(vec![2, 3, 4, 5, 9]));
}

#[test]
fn membership_grows_by_one_into_the_emptiest_zone_up_to_its_target_size() {
    let founders =
        [voting(&member_at(1, "a")), voting(&member_at(2, "b")), voting(&member_at(3, "c"))];
    let candidates = [member_at(4, "a"), member_at(5, "d"), member_at(6, "b")];
    assert_eq!(
        next(&founders, &candidates, &tolerating(1, 0)),
        None,
        "already at the target size for one loss"
    );
    assert_eq!(next(&founders, &candidates, &tolerating(2, 0)), Some(vec![1, 2, 3, 5]));
    let [a, b, c] = founders;
    let two = tolerating(2, 0);
    let new_member = not_voting(&member_at(5, "d"), 400);
    let four = [a.clone(), b.clone(), c.clone(), new_member];
    assert_eq!(next(&four, &candidates, &two), None, "the new member still reads the state");
    let four = [a.clone(), b.clone(), c.clone(), voting(&member_at(5, "d"))];
    assert_eq!(next(&four, &candidates, &two), Some(vec![1, 2, 3, 4, 5]));
    let five = [a, b, c, voting(&member_at(4, "a")), voting(&member_at(5, "d"))];
    assert_eq!(next(&five, &candidates, &two), None, "at the target size");
}

/// Guards against an earlier rule by which a membership below its target size could only grow, and only while all of
/// its members voted, so that a lost member blocked every change.
#[test]
fn a_lost_member_is_replaced_at_any_size() {
    let [a, b, c] =
        [voting(&member_at(1, "a")), voting(&member_at(2, "b")), voting(&member_at(3, "c"))];
    let candidates = [member_at(7, "d"), member_at(8, "e")];
    let two = tolerating(2, 0);
    let three = [unreachable(&member_at(1, "a"), 7000), b.clone(), c.clone()];
    assert_eq!(next(&three, &candidates, &two), Some(vec![2, 3, 7]));
    let four = [a.clone(), b.clone(), c.clone(), unreachable(&member_at(4, "f"), 7000)];
    assert_eq!(next(&four, &candidates, &two), Some(vec![1, 2, 3, 7]));
    let stuck = [a, b, c, not_voting(&member_at(4, "f"), 7000)];
    assert_eq!(
        next(&stuck, &candidates, &two),
        Some(vec![1, 2, 3, 4, 7]),
        "it is not replaced yet, so the membership grows"
    );
}

#[test]
fn next_membership_always_has_a_quorum_with_the_state() {
    let [a, b, c] =
        [voting(&member_at(1, "a")), voting(&member_at(2, "b")), voting(&member_at(3, "c"))];
    let candidates = [member_at(7, "d"), member_at(8, "e")];
    let reading = not_voting(&member_at(3, "c"), 100);
    let two_vote = [unreachable(&member_at(1, "a"), 1000), b.clone(), c.clone()];
    assert_eq!(next(&two_vote, &candidates, &tolerating(2, 0)), None, "two of four hold it");
    let stuck = [not_voting(&member_at(1, "a"), 8000), b.clone(), c.clone()];
    assert_eq!(next(&stuck, &candidates, &tolerating(2, 0)), None, "two of four hold it");
    let one_votes = [unreachable(&member_at(1, "a"), 9000), b.clone(), reading];
    assert_eq!(next(&one_votes, &candidates, &tolerating(1, 0)), None);
    let five = [
        a,
        b,
        unreachable(&member_at(3, "c"), 9000),
        unreachable(&member_at(4, "d"), 9000),
        not_voting(&member_at(5, "e"), 10),
    ];
    assert_eq!(next(&five, &candidates, &tolerating(2, 0)), None, "two vote of five");
}

#[test]
fn reachable_member_that_never_votes_is_replaced_after_the_longer_timeout() {
    let members = |ms| {
        [not_voting(&member_at(1, "a"), ms), voting(&member_at(2, "b")), voting(&member_at(3, "c"))]
    };
    let candidates = [member_at(7, "a")];
    let one = tolerating(1, 0);
    assert_eq!(next(&members(9000), &candidates, &one), None, "it may be in recovery");
    let timeout_ms = constants::NON_VOTING_TIMEOUT.as_millis() as u64;
    assert_eq!(next(&members(timeout_ms), &candidates, &one), Some(vec![2, 3, 7]));
}

#[test]
fn members_are_redistributed_to_survive_the_loss_of_a_zone_or_region() {
    let crowded =
        [voting(&member_at(1, "a")), voting(&member_at(2, "a")), voting(&member_at(3, "b"))];
    let candidates = [member_at(6, "b"), member_at(7, "c"), member_at(8, "a")];
    assert_eq!(
        next(&crowded, &candidates, &tolerating(1, 0)),
        None,
        "the loss of a zone need not be tolerated"
    );
    assert_eq!(next(&crowded, &candidates, &tolerating(1, 1)), Some(vec![2, 3, 7]));
    assert_eq!(
        next(&crowded, &candidates[2..], &tolerating(1, 1)),
        None,
        "the exposure would not decrease"
    );
    let lost = [
        voting(&member_at(1, "a")),
        voting(&member_at(2, "b")),
        unreachable(&member_at(3, "c"), 8000),
    ];
    assert_eq!(
        next(&lost, &candidates, &tolerating(1, 1)),
        Some(vec![1, 2, 7]),
        "the distribution is kept"
    );
    let regions_of_zones = [("a", "n"), ("b", "n"), ("c", "s"), ("d", "w")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into();
    let regions = Tolerance { regions: 1, regions_of_zones, ..tolerating(1, 0) };
    let one_per_zone =
        [voting(&member_at(1, "a")), voting(&member_at(2, "b")), voting(&member_at(3, "c"))];
    assert_eq!(
        next(&one_per_zone, &[member_at(6, "b"), member_at(9, "d")], &regions),
        Some(vec![2, 3, 9])
    );
}

#[test]
fn successor_replaces_a_member_that_became_unreachable_before_it_started() {
    let members = |ms| {
        [
            unreachable(&member_at(1, "a"), ms),
            voting(&member_at(2, "b")),
            voting(&member_at(3, "c")),
        ]
    };
    let one = tolerating(1, 0);
    let [standby_candidate, successor] =
        [standby(&member_at(8, "d")), started(&member_at(9, "e"), 700)];
    let both = [standby_candidate.clone(), successor.clone()];
    assert_eq!(next_with(&members(2999), &both, &one), None);
    assert_eq!(next_with(&members(3000), &both, &one), Some(vec![2, 3, 9]));
    assert_eq!(
        next_with(&members(6999), &[standby_candidate], &one),
        None,
        "the member may be restarting"
    );
    let earlier = started(&member_at(9, "e"), 3000);
    assert_eq!(
        next_with(&members(3000), &[earlier], &one),
        None,
        "it started before the member became unreachable"
    );
    let [first, second, third] = members(6999);
    let never_reachable = [MemberStatus { was_reachable: false, ..first }, second, third];
    assert_eq!(
        next_with(&never_reachable, &[successor], &one),
        None,
        "it is unknown since when the member has been unreachable"
    );
}

#[test]
fn successor_wait_follows_from_the_settings_and_is_never_below_the_same_zone_timeout() {
    let wait = |seconds| successor_wait(Duration::from_secs(seconds));
    assert_eq!(wait(6), Duration::from_millis(3500));
    assert_eq!([wait(4), wait(1)], [constants::MEMBER_TIMEOUT_SAME_ZONE; 2]);
}

proptest::proptest! {
    /// Whichever members are unreachable or not voting, and whichever candidates there are, a quorum of the next
    /// membership votes already.
    #[test]
    fn every_next_membership_has_a_voting_quorum(
        states in proptest::collection::vec((0u64..25_000, 0u8..4, 0usize..3), 3..6),
        candidate_zones in proptest::collection::vec(0usize..4, 0..4),
        lost_zones in 0usize..2,
    ) {
        let names = ["a", "b", "c", "d"];
        let members: Vec<MemberStatus> = states.iter().zip(1..).map(|((ms, kind, zone), host)| {
            let member = member_at(host, names[*zone]);
            match kind {
                0 => unreachable(&member, *ms),
                1 => not_voting(&member, *ms),
                _ => voting(&member),
            }
        }).collect();
        let candidates: Vec<Member> = candidate_zones.iter().zip(10..).map(|(zone, host)| member_at(host, names[*zone])).collect();
        let candidates: Vec<Candidate> = candidates.iter().zip([500, 4000, 9000, 90_000])
            .map(|(candidate, ms)| started(candidate, ms)).collect();
        if let Some(next) = next_with(&members, &candidates, &tolerating(2, lost_zones)) {
            let votes = |host: &&u8| usize::from(**host) <= states.len() && states[usize::from(**host) - 1].1 > 1;
            proptest::prop_assert!(next.iter().filter(votes).count() > next.len() / 2);
            proptest::prop_assert!(next.len() <= 5 && next.len() >= members.len());
        }
    }
}
