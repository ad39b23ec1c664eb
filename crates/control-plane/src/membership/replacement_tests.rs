//! Tests of `replacement` and `failure_domains`.

use super::*;

/// As settings have it.
const CATCH_UP: Duration = Duration::from_secs(4);

fn at(n: u8, zone: &str) -> Member {
    Member { ip: format!("10.0.0.{n}"), zone: zone.into(), ..Default::default() }
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

/// Silent and without a vote for this long.
fn unreachable(member: &Member, ms: u64) -> MemberStatus {
    let unreachable_for = Duration::from_millis(ms);
    MemberStatus {
        unreachable_for,
        votes: false,
        not_voting_for: unreachable_for,
        ..voting(member)
    }
}

/// Linked, but without a vote for this long.
fn not_voting_for(member: &Member, ms: u64) -> MemberStatus {
    MemberStatus { votes: false, not_voting_for: Duration::from_millis(ms), ..voting(member) }
}

fn bears(machines: usize, zones: usize) -> Tolerance {
    Tolerance { machines, zones, ..Default::default() }
}

/// Stood by before anything happened.
fn standby(member: &Member) -> Candidate {
    Candidate { member: member.clone(), running: Duration::from_secs(3600) }
}

/// Started this long ago.
fn newcomer(member: &Member, ms: u64) -> Candidate {
    Candidate { member: member.clone(), running: Duration::from_millis(ms) }
}

fn next(members: &[MemberStatus], candidates: &[Member], tolerance: &Tolerance) -> Option<Vec<u8>> {
    let candidates: Vec<Candidate> = candidates.iter().map(standby).collect();
    next_with(members, &candidates, tolerance)
}

fn next_with(
    members: &[MemberStatus],
    candidates: &[Candidate],
    tolerance: &Tolerance,
) -> Option<Vec<u8>> {
    let all: Vec<Member> = members.iter().map(|status| status.member.clone()).collect();
    let membership = membership(&all);
    let successor_wait = successor_wait(CATCH_UP);
    let situation =
        Situation { membership: &membership, members, candidates, tolerance, successor_wait };
    let next = situation.next()?;
    assert_eq!(next.epoch, 2);
    let joined: Vec<&Member> = next.members.iter().filter(|m| m.joined_epoch == 2).collect();
    assert_eq!(joined.len(), 1, "one at a time, with the epoch that took it in");
    Some(next.members.iter().map(|m| m.ip.rsplit('.').next().unwrap().parse().unwrap()).collect())
}

#[test]
fn joiner_stands_in_for_the_silent_one_of_its_zone_first() {
    let j = [at(9, "b")];
    let all = |a, b| {
        [
            unreachable(&at(1, "a"), a),
            unreachable(&at(2, "b"), b),
            voting(&at(3, "c")),
            voting(&at(4, "d")),
            voting(&at(5, "e")),
        ]
    };
    let two = bears(2, 0);
    assert_eq!(next(&all(0, 0), &j, &two), None);
    assert_eq!(next(&all(3500, 500), &j, &two), None);
    assert_eq!(next(&all(9000, 3500), &j, &two), Some(vec![1, 3, 4, 5, 9]));
    assert_eq!(next(&all(9000, 500), &j, &two), Some(vec![2, 3, 4, 5, 9]));
}

#[test]
fn a_membership_grows_one_at_a_time_into_the_emptiest_zone_then_stands() {
    let founders = [voting(&at(1, "a")), voting(&at(2, "b")), voting(&at(3, "c"))];
    let candidates = [at(4, "a"), at(5, "d"), at(6, "b")];
    assert_eq!(next(&founders, &candidates, &bears(1, 0)), None, "whole for one loss");
    assert_eq!(next(&founders, &candidates, &bears(2, 0)), Some(vec![1, 2, 3, 5]));
    let [a, b, c] = founders;
    let two = bears(2, 0);
    let newcomer = not_voting_for(&at(5, "d"), 400);
    let four = [a.clone(), b.clone(), c.clone(), newcomer];
    assert_eq!(next(&four, &candidates, &two), None, "the newcomer reads first");
    let four = [a.clone(), b.clone(), c.clone(), voting(&at(5, "d"))];
    assert_eq!(next(&four, &candidates, &two), Some(vec![1, 2, 3, 4, 5]));
    let five = [a, b, c, voting(&at(4, "a")), voting(&at(5, "d"))];
    assert_eq!(next(&five, &candidates, &two), None, "whole");
}

/// Formerly a membership that was not whole only grew, and only while all of it voted.
#[test]
fn a_lost_member_is_replaced_at_any_size() {
    let [a, b, c] = [voting(&at(1, "a")), voting(&at(2, "b")), voting(&at(3, "c"))];
    let candidates = [at(7, "d"), at(8, "e")];
    let two = bears(2, 0);
    let three = [unreachable(&at(1, "a"), 7000), b.clone(), c.clone()];
    assert_eq!(next(&three, &candidates, &two), Some(vec![2, 3, 7]));
    let four = [a.clone(), b.clone(), c.clone(), unreachable(&at(4, "f"), 7000)];
    assert_eq!(next(&four, &candidates, &two), Some(vec![1, 2, 3, 7]));
    let stuck = [a, b, c, not_voting_for(&at(4, "f"), 7000)];
    assert_eq!(next(&stuck, &candidates, &two), Some(vec![1, 2, 3, 4, 7]), "grows past it");
}

#[test]
fn no_membership_follows_that_lacks_a_quorum_with_the_state() {
    let [a, b, c] = [voting(&at(1, "a")), voting(&at(2, "b")), voting(&at(3, "c"))];
    let candidates = [at(7, "d"), at(8, "e")];
    let reading = not_voting_for(&at(3, "c"), 100);
    let two_vote = [unreachable(&at(1, "a"), 1000), b.clone(), c.clone()];
    assert_eq!(next(&two_vote, &candidates, &bears(2, 0)), None, "two of four hold it");
    let stuck = [not_voting_for(&at(1, "a"), 8000), b.clone(), c.clone()];
    assert_eq!(next(&stuck, &candidates, &bears(2, 0)), None, "two of four hold it");
    let one_votes = [unreachable(&at(1, "a"), 9000), b.clone(), reading];
    assert_eq!(next(&one_votes, &candidates, &bears(1, 0)), None);
    let five = [
        a,
        b,
        unreachable(&at(3, "c"), 9000),
        unreachable(&at(4, "d"), 9000),
        not_voting_for(&at(5, "e"), 10),
    ];
    assert_eq!(next(&five, &candidates, &bears(2, 0)), None, "two vote of five");
}

#[test]
fn a_member_that_is_linked_but_never_votes_is_replaced_late() {
    let full_disk =
        |ms| [not_voting_for(&at(1, "a"), ms), voting(&at(2, "b")), voting(&at(3, "c"))];
    let candidates = [at(7, "a")];
    let one = bears(1, 0);
    assert_eq!(next(&full_disk(9000), &candidates, &one), None, "it may be reading back");
    let late = constants::NON_VOTING_TIMEOUT.as_millis() as u64;
    assert_eq!(next(&full_disk(late), &candidates, &one), Some(vec![2, 3, 7]));
}

#[test]
fn a_lost_zone_or_region_leaves_a_quorum_where_the_machines_allow_it() {
    let crowded = [voting(&at(1, "a")), voting(&at(2, "a")), voting(&at(3, "b"))];
    let candidates = [at(6, "b"), at(7, "c"), at(8, "a")];
    assert_eq!(next(&crowded, &candidates, &bears(1, 0)), None, "zones need not be borne");
    assert_eq!(next(&crowded, &candidates, &bears(1, 1)), Some(vec![2, 3, 7]));
    assert_eq!(next(&crowded, &candidates[2..], &bears(1, 1)), None, "nothing is gained");
    let lost = [voting(&at(1, "a")), voting(&at(2, "b")), unreachable(&at(3, "c"), 8000)];
    assert_eq!(next(&lost, &candidates, &bears(1, 1)), Some(vec![1, 2, 7]), "keeps the spread");
    let regions_of_zones =
        [("a", "n"), ("b", "n"), ("c", "s"), ("d", "w")].map(|(z, r)| (z.into(), r.into())).into();
    let regions = Tolerance { regions: 1, regions_of_zones, ..bears(1, 0) };
    let failure_domains = [voting(&at(1, "a")), voting(&at(2, "b")), voting(&at(3, "c"))];
    assert_eq!(next(&failure_domains, &[at(6, "b"), at(9, "d")], &regions), Some(vec![2, 3, 9]));
}

#[test]
fn a_newcomer_replaces_a_member_that_fell_silent_before_it_started() {
    let lost = |ms| [unreachable(&at(1, "a"), ms), voting(&at(2, "b")), voting(&at(3, "c"))];
    let one = bears(1, 0);
    let [stands_by, successor] = [standby(&at(8, "d")), newcomer(&at(9, "e"), 700)];
    let both = [stands_by.clone(), successor.clone()];
    assert_eq!(next_with(&lost(2999), &both, &one), None);
    assert_eq!(next_with(&lost(3000), &both, &one), Some(vec![2, 3, 9]));
    assert_eq!(next_with(&lost(6999), &[stands_by], &one), None, "it may be a restart");
    let earlier = newcomer(&at(9, "e"), 3000);
    assert_eq!(next_with(&lost(3000), &[earlier], &one), None, "it ran before");
    let [first, second, third] = lost(6999);
    let unheard = [MemberStatus { was_reachable: false, ..first }, second, third];
    assert_eq!(next_with(&unheard, &[successor], &one), None, "who knows when it fell silent");
}

#[test]
fn a_successor_waits_for_what_the_settings_leave_and_no_shorter_than_one_of_the_zone() {
    let wait = |seconds| successor_wait(Duration::from_secs(seconds));
    assert_eq!(wait(6), Duration::from_millis(3500));
    assert_eq!([wait(4), wait(1)], [constants::MEMBER_TIMEOUT_SAME_ZONE; 2]);
}

proptest::proptest! {
    /// Whatever is gone, mute or waiting: a quorum of the next membership votes already.
    #[test]
    fn every_next_membership_has_a_quorum_that_votes(
        status in proptest::collection::vec((0u64..25_000, 0u8..4, 0usize..3), 3..6),
        run_join in proptest::collection::vec(0usize..4, 0..4),
        zones in 0usize..2,
    ) {
        let names = ["a", "b", "c", "d"];
        let members: Vec<MemberStatus> = status.iter().zip(1..).map(|((ms, votes, zone), n)| {
            let member = at(n, names[*zone]);
            match votes {
                0 => unreachable(&member, *ms),
                1 => not_voting_for(&member, *ms),
                _ => voting(&member),
            }
        }).collect();
        let candidates: Vec<Member> = run_join.iter().zip(10..).map(|(z, n)| at(n, names[*z])).collect();
        let candidates: Vec<Candidate> = candidates.iter().zip([500, 4000, 9000, 90_000])
            .map(|(candidate, ms)| newcomer(candidate, ms)).collect();
        if let Some(next) = next_with(&members, &candidates, &bears(2, zones)) {
            let votes = |n: &&u8| usize::from(**n) <= status.len() && status[usize::from(**n) - 1].1 > 1;
            proptest::prop_assert!(next.iter().filter(votes).count() > next.len() / 2);
            proptest::prop_assert!(next.len() <= 5 && next.len() >= members.len());
        }
    }
}
