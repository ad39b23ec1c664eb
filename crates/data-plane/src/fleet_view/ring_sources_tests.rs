//! Tests of `ring_sources`.

use super::*;

const OWNER: &str = "10.0.0.1";
const NEAR: &str = "10.0.0.2";
const FAR: &str = "10.0.0.3";

fn member(ip: &str, zone: &str) -> Member {
    Member { ip: ip.into(), zone: zone.into(), ..Default::default() }
}

fn members() -> Vec<Member> {
    vec![member(OWNER, "a"), member(NEAR, "b"), member(FAR, "c")]
}

fn head(address: &str, fencing_token: u64) -> RingHead {
    RingHead { fencing_token, incarnation: 1, head: 5, owner: address.into(), found: 0 }
}

fn reader(zone: &str, routers: usize) -> RingReader<'_> {
    RingReader { zone, name: "r", routers }
}

/// What a router of zone b reads among hundreds, so long after the owner was met.
fn chosen(sources: &RingSources, met: Instant, is_up: impl Fn(&Member) -> bool) -> Option<String> {
    let later = met + constants::RELAY_PATIENCE;
    sources.choose(&members(), &reader("b", 300), is_up, later)
}

fn sources(met: Instant) -> RingSources {
    let sources = RingSources::default();
    sources.update_owner(&head(OWNER, 4), met);
    sources
}

#[test]
fn a_relay_of_the_own_zone_is_read_by_one_of_many_routers() {
    let met = Instant::now();
    let sources = sources(met);
    sources.update_relay(&head(NEAR, 4));
    sources.update_relay(&head(FAR, 4));
    assert_eq!(chosen(&sources, met, |_| true).as_deref(), Some(NEAR));
    let few = sources.choose(&members(), &reader("b", 9), |_| true, met);
    assert_eq!(few.as_deref(), Some(OWNER), "few routers read the owner");
    let beside_owner = sources.choose(&members(), &reader("a", 300), |_| true, met);
    assert_eq!(beside_owner.as_deref(), Some(OWNER));
}

#[test]
fn a_relay_that_is_down_or_silent_or_behind_another_owner_is_left() {
    let met = Instant::now();
    let sources = sources(met);
    sources.update_relay(&head(NEAR, 4));
    let without_near = |member: &Member| member.ip != NEAR;
    assert_ne!(chosen(&sources, met, without_near).as_deref(), Some(NEAR));
    sources.avoid(NEAR, met + constants::RELAY_PATIENCE);
    assert_eq!(chosen(&sources, met, |_| true).as_deref(), Some(OWNER));
    let retried = met + constants::RELAY_PATIENCE + constants::RELAY_RETRY_INTERVAL;
    let choose = || sources.choose(&members(), &reader("b", 300), |_| true, retried);
    assert_eq!(choose().as_deref(), Some(NEAR));
    sources.update_owner(&head(OWNER, 5), met);
    assert_eq!(choose().as_deref(), Some(OWNER), "it relays a former owner");
    sources.update_relay(&head(NEAR, 5));
    assert_eq!(choose().as_deref(), Some(NEAR));
    sources.update_relay(&head(NEAR, 0));
    assert_eq!(choose().as_deref(), Some(OWNER), "it was withdrawn");
}

#[test]
fn routers_wait_for_the_relay_of_their_zone_before_they_all_read_the_owner() {
    let met = Instant::now();
    let sources = sources(met);
    let choose = |now| sources.choose(&members(), &reader("b", 300), |_| true, now);
    assert_eq!(choose(met), None);
    sources.update_relay(&head(FAR, 4));
    assert_eq!(choose(met), None, "another zone's relay has its own routers");
    assert!(choose(met + constants::RELAY_PATIENCE).is_some());
    sources.update_relay(&head(NEAR, 4));
    assert_eq!(choose(met).as_deref(), Some(NEAR));
}

#[test]
fn nothing_is_read_before_an_owner_is_known_and_heads_never_go_back() {
    let now = Instant::now();
    let sources = RingSources::default();
    sources.update_relay(&head(NEAR, 4));
    assert_eq!(chosen(&sources, now, |_| true), None);
    sources.update_owner(&head(FAR, 5), now);
    sources.update_owner(&head(OWNER, 4), now);
    assert_eq!(sources.owner().map(|head| head.owner).as_deref(), Some(FAR));
}
