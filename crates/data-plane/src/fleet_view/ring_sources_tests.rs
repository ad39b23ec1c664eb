use super::*;

const OWNER: &str = "10.0.0.1";
const SAME_ZONE: &str = "10.0.0.2";
const OTHER_ZONE: &str = "10.0.0.3";

fn member(ip: &str, zone: &str) -> Member {
    Member { ip: ip.into(), zone: zone.into(), ..Default::default() }
}

fn members() -> Vec<Member> {
    vec![member(OWNER, "a"), member(SAME_ZONE, "b"), member(OTHER_ZONE, "c")]
}

fn head(address: &str, fencing_token: u64) -> RingHead {
    RingHead { fencing_token, incarnation: 1, head: 5, owner: address.into(), finding_count: 0 }
}

fn reader(zone: &str, routers: usize) -> RingReader<'_> {
    RingReader { zone, name: "r", routers }
}

/// The address that a router in zone b, one of 300, reads from once it no longer waits for a relay.
fn choose_in_zone_b(
    sources: &RingSources,
    owner_since: Instant,
    is_up: impl Fn(&Member) -> bool,
) -> Option<String> {
    let now = owner_since + constants::RELAY_START_TIMEOUT;
    sources.choose(&members(), &reader("b", 300), is_up, now)
}

fn sources(owner_since: Instant) -> RingSources {
    let sources = RingSources::default();
    sources.update_owner(&head(OWNER, 4), owner_since);
    sources
}

#[test]
fn with_many_routers_the_relay_in_the_same_zone_is_read() {
    let owner_since = Instant::now();
    let sources = sources(owner_since);
    sources.update_relay(&head(SAME_ZONE, 4));
    sources.update_relay(&head(OTHER_ZONE, 4));
    assert_eq!(choose_in_zone_b(&sources, owner_since, |_| true).as_deref(), Some(SAME_ZONE));
    let few = sources.choose(&members(), &reader("b", 9), |_| true, owner_since);
    assert_eq!(few.as_deref(), Some(OWNER), "few routers read from the owner");
    let in_owner_zone = sources.choose(&members(), &reader("a", 300), |_| true, owner_since);
    assert_eq!(in_owner_zone.as_deref(), Some(OWNER));
}

#[test]
fn a_relay_that_is_down_or_unresponsive_or_of_a_former_owner_is_not_read() {
    let owner_since = Instant::now();
    let sources = sources(owner_since);
    sources.update_relay(&head(SAME_ZONE, 4));
    let is_up = |member: &Member| member.ip != SAME_ZONE;
    assert_ne!(choose_in_zone_b(&sources, owner_since, is_up).as_deref(), Some(SAME_ZONE));
    sources.avoid(SAME_ZONE, owner_since + constants::RELAY_START_TIMEOUT);
    assert_eq!(choose_in_zone_b(&sources, owner_since, |_| true).as_deref(), Some(OWNER));
    let retry_at = owner_since + constants::RELAY_START_TIMEOUT + constants::RELAY_RETRY_INTERVAL;
    let choose = || sources.choose(&members(), &reader("b", 300), |_| true, retry_at);
    assert_eq!(choose().as_deref(), Some(SAME_ZONE));
    sources.update_owner(&head(OWNER, 5), owner_since);
    assert_eq!(choose().as_deref(), Some(OWNER), "the relay has the ring of a former owner");
    sources.update_relay(&head(SAME_ZONE, 5));
    assert_eq!(choose().as_deref(), Some(SAME_ZONE));
    sources.update_relay(&head(SAME_ZONE, 0));
    assert_eq!(choose().as_deref(), Some(OWNER), "the relay was withdrawn");
}

#[test]
fn routers_wait_for_the_relay_in_their_zone_before_they_read_from_the_owner() {
    let owner_since = Instant::now();
    let sources = sources(owner_since);
    let choose = |now| sources.choose(&members(), &reader("b", 300), |_| true, now);
    assert_eq!(choose(owner_since), None);
    sources.update_relay(&head(OTHER_ZONE, 4));
    assert_eq!(choose(owner_since), None, "the relay of another zone serves the routers there");
    assert!(choose(owner_since + constants::RELAY_START_TIMEOUT).is_some());
    sources.update_relay(&head(SAME_ZONE, 4));
    assert_eq!(choose(owner_since).as_deref(), Some(SAME_ZONE));
}

#[test]
fn nothing_is_read_before_an_owner_is_known_and_older_heads_are_ignored() {
    let now = Instant::now();
    let sources = RingSources::default();
    sources.update_relay(&head(SAME_ZONE, 4));
    assert_eq!(choose_in_zone_b(&sources, now, |_| true), None);
    sources.update_owner(&head(OTHER_ZONE, 5), now);
    sources.update_owner(&head(OWNER, 4), now);
    assert_eq!(sources.owner().map(|head| head.owner).as_deref(), Some(OTHER_ZONE));
}
