//! Tests of `order`.

use super::*;

fn report_of(model: &str, revision: u64, call_seq: u64, active: u32) -> Report {
    let models = vec![Loaded { name: model.to_owned(), revision }];
    Report { models, busy: false, call_seq, active }
}

fn engine(id: &str, state: EngineState) -> Engine {
    let mut e = Engine { id: id.into(), address: "10.0.0.1:80".into(), ..Default::default() };
    e.set_state(state);
    e
}

#[test]
fn an_order_is_given_once_and_ends_with_the_weights() {
    let t = Instant::now();
    let s = Duration::from_secs(1);
    let mut p = Progress::new("m", 2);
    assert_eq!(p.on_report(&report_of("m", 1, 4, 3), t), Ok(Next::Order(4)));
    p.ordered(3, t);
    assert_eq!(p.on_report(&report_of("m", 1, 5, 1), t + s), Ok(Next::Wait));
    assert_eq!(p.on_report(&report_of("m", 1, 5, 0), t + s * 2), Ok(Next::Wait));
    assert_eq!(p.on_report(&report_of("m", 2, 5, 0), t + s * 5), Ok(Next::Done(s * 3)));
}

#[test]
fn another_engine_at_the_address_is_not_believed() {
    let t = Instant::now();
    let progress = || {
        let mut p = Progress::new("m", 3);
        p.on_report(&report_of("m", 2, 4, 0), t).unwrap();
        p
    };
    assert_eq!(progress().on_report(&report_of("other", 9, 4, 0), t), Err(OrderError::WrongEngine));
    assert_eq!(
        progress().on_report(&report_of("m", 3, 0, 0), t),
        Err(OrderError::WrongEngine),
        "fewer orders"
    );
    assert_eq!(
        progress().on_report(&report_of("m", 1, 5, 0), t),
        Err(OrderError::WrongEngine),
        "older weights"
    );
    let status = http::StatusCode::MISDIRECTED_REQUEST;
    let turned_away = Answer { status, body: bytes::Bytes::new(), location: None };
    assert!(matches!(read_report(Ok(turned_away)), Err(OrderError::WrongEngine)));
    let body = br#"{"models":[{"name":"m","revision":3}]}"#.as_slice().into();
    let failing = Answer { status: http::StatusCode::NOT_FOUND, body, location: None };
    assert!(matches!(read_report(Ok(failing)), Ok(None)), "only a 200 is a report");
}

#[test]
fn an_address_belongs_to_the_one_engine_that_is_heard_there() {
    let e = engine("a", EngineState::Ready);
    let next = engine("b", EngineState::Ready);
    assert!(is_at_its_address(&e, [&e].into_iter()));
    assert!(is_at_its_address(&e, [&e, &engine("b", EngineState::Deregistered)].into_iter()));
    assert!(!is_at_its_address(&e, [&e, &next].into_iter()));
    assert!(!is_at_its_address(&e, [&next].into_iter()));
    assert!(!is_at_its_address(&e, [&engine("a", EngineState::Deregistered)].into_iter()));
    let heartbeat_missed = Engine { heartbeat_missed: true, ..e.clone() };
    assert!(!is_at_its_address(&e, [&heartbeat_missed].into_iter()));
}

#[test]
fn an_order_is_over_before_the_lease_is() {
    let now = Instant::now();
    let remaining = |ms| FencedLease { fencing_token: 1, until: now + Duration::from_millis(ms) };
    let limit = |ms| order_timeout(remaining(ms), now);
    assert_eq!(limit(5000), Some(constants::ENGINE_CALL_TIMEOUT));
    assert_eq!(limit(500), Some(Duration::from_millis(500) - constants::ORDER_TRAVEL));
    let least = constants::ORDER_TRAVEL + constants::ORDER_LEAST;
    assert_eq!(limit(least.as_millis() as u64 - 1), None);
    assert_eq!(limit(0), None);
}
