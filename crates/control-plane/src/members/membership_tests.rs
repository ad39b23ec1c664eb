//! Tests of `membership`.

use super::*;
use std::time::Duration;

fn member(ip: &str, zone: &str) -> Member {
    Member { ip: ip.into(), zone: zone.into(), ..Default::default() }
}

#[test]
fn joiner_stands_in_for_the_silent_one_of_its_zone_first() {
    let j = member("10.0.0.9", "b");
    let all = |a: u64, b: u64| {
        vec![
            (member("10.0.0.1", "a"), Duration::from_millis(a)),
            (member("10.0.0.2", "b"), Duration::from_millis(b)),
        ]
    };
    assert_eq!(lost_member(&all(0, 0), &j), None);
    assert_eq!(lost_member(&all(3500, 500), &j), None);
    assert_eq!(lost_member(&all(9000, 3500), &j).unwrap().ip, "10.0.0.2");
    assert_eq!(lost_member(&all(9000, 500), &j).unwrap().ip, "10.0.0.1");
}

#[test]
fn membership_grows_one_at_a_time_into_the_emptiest_zone_then_stands() {
    let mut r = Membership { epoch: 1, members: Vec::new() };
    let at = |n: u8, z: &str| member(&format!("10.0.0.{n}"), z);
    r.members = vec![at(1, "a"), at(2, "b"), at(3, "c")];
    let quiet = |r: &Membership| -> Vec<(Member, Duration)> {
        r.members.iter().map(|m| (m.clone(), Duration::ZERO)).collect()
    };
    let joiners = [at(4, "a"), at(5, "d"), at(6, "b")];
    let next = |r: &Membership, voters| next_membership(r, &quiet(r), &joiners, voters, 2);
    assert_eq!(next(&r, 2), None, "not before all vote");
    assert_eq!(next_membership(&r, &quiet(&r), &joiners, 3, 1), None, "whole for one loss");
    let four = next(&r, 3).unwrap();
    assert!(four.epoch == 2 && four.members.iter().any(|m| m.ip == "10.0.0.5"));
    assert_eq!(next(&four, 3), None, "the newcomer has to vote first");
    let five = next(&four, 4).unwrap();
    assert_eq!((five.members.len(), five.epoch), (5, 3));
    assert_eq!(next(&five, 5), None, "whole");
    let mut silent = quiet(&five);
    silent[0].1 = constants::MEMBER_SILENT;
    let moved = next_membership(&five, &silent, &joiners, 4, 2).unwrap();
    assert!(moved.members.len() == 5 && moved.members.iter().all(|m| m.ip != "10.0.0.1"));
    assert_eq!(next_membership(&five, &silent, &joiners, 2, 2), None, "too few vote");
}

#[test]
fn exchange_moves_one_member_and_the_epoch() {
    let r =
        Membership { epoch: 4, members: vec![member("10.0.0.1", "a"), member("10.0.0.2", "b")] };
    let n = exchanged(&r, &r.members[0], &member("10.0.0.9", "a"));
    assert_eq!(n.epoch, 5);
    let ips: Vec<_> = n.members.iter().map(|m| m.ip.as_str()).collect();
    assert_eq!(ips, ["10.0.0.2", "10.0.0.9"]);
}
