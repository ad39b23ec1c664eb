//! Tests of `tail`.

use super::*;

fn engine(id: &str, address: &str, heartbeat_missed: bool) -> Engine {
    Engine { id: id.into(), address: address.into(), heartbeat_missed, ..Default::default() }
}

fn events(epoch: u64, next_token: u64, lost: bool) -> Events {
    Events { epoch, next_token, lost, events: Vec::new() }
}

#[test]
fn an_address_that_two_engines_claim_is_not_followed() {
    let all = [
        engine("a", "10.0.0.1:80", false),
        engine("b", "10.0.0.2:80", false),
        engine("c", "10.0.0.2:80", false),
        engine("d", "10.0.0.3:80", true),
        engine("e", "10.0.0.3:80", false),
    ];
    let followed: Vec<String> = engines(all.iter()).into_keys().collect();
    assert_eq!(followed, ["a", "e"]);
}

#[test]
fn another_incarnation_or_a_gap_voids_what_was_told() {
    let at = Position { epoch: 7, next: 5 };
    let goes_on = advance(Some(at), &events(7, 9, false));
    assert_eq!(
        goes_on,
        PositionUpdate { at: Position { epoch: 7, next: 9 }, void: false, accept: true }
    );
    let gap = advance(Some(at), &events(7, 9, true));
    assert!(gap.void && gap.accept);
    let other = advance(Some(at), &events(8, 3, false));
    assert_eq!(
        other,
        PositionUpdate { at: Position { epoch: 8, next: 0 }, void: true, accept: false }
    );
    let first = advance(None, &events(8, 3, true));
    assert!(!first.void && first.accept, "nothing was told before");
}
