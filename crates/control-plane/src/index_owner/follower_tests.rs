use super::*;

fn engine(id: &str, address: &str, heartbeat_missed: bool) -> Engine {
    Engine { id: id.into(), address: address.into(), heartbeat_missed, ..Default::default() }
}

fn events(epoch: u64, next_token: u64, lost: bool) -> KvEvents {
    KvEvents { epoch, next_token, lost, events: Vec::new() }
}

#[test]
fn holder_that_takes_more_of_the_processor_is_called_less_often() {
    use crate::index_owner::events_pause;
    let interval = constants::EVENTS_INTERVAL;
    assert_eq!(events_pause(9, Duration::ZERO), interval);
    assert_eq!(events_pause(9, Duration::from_millis(1)), interval);
    let slow = Duration::from_millis(20);
    for holders in [9, 64] {
        let pause = events_pause(holders, slow);
        let share = slow.as_secs_f64() * holders as f64 / (slow + pause).as_secs_f64();
        assert!(share <= constants::EVENTS_MAX_CPU_SHARE, "{holders} of them take {share}");
    }
    assert_eq!(events_pause(9, Duration::from_secs(60)), constants::EVENTS_MAX_PAUSE);
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
fn a_new_incarnation_or_a_gap_voids_what_was_learned() {
    let position = Position { epoch: 7, next: 5 };
    let continued = advance(Some(position), &events(7, 9, false));
    assert_eq!(
        continued,
        PositionUpdate {
            position: Position { epoch: 7, next: 9 },
            is_invalid: false,
            accepts_events: true
        }
    );
    let gap = advance(Some(position), &events(7, 9, true));
    assert!(gap.is_invalid && gap.accepts_events);
    let restarted = advance(Some(position), &events(8, 3, false));
    assert_eq!(
        restarted,
        PositionUpdate {
            position: Position { epoch: 8, next: 0 },
            is_invalid: true,
            accepts_events: false
        }
    );
    let first = advance(None, &events(8, 3, true));
    assert!(!first.is_invalid && first.accepts_events, "nothing was learned before");
}
