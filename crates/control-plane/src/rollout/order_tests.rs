use super::*;

fn report_of(model: &str, revision: u64, call_seq: u64, active: u32) -> Report {
    let models = vec![LoadedModel { name: model.to_owned(), revision }];
    Report { models, busy: false, call_seq, active }
}

fn response(status: http::StatusCode, body: bytes::Bytes) -> HttpResponse {
    HttpResponse { status, body, location: None, reservation: None }
}

fn engine(id: &str, state: EngineState) -> Engine {
    let mut engine = Engine { id: id.into(), address: "10.0.0.1:80".into(), ..Default::default() };
    engine.set_state(state);
    engine
}

#[test]
fn an_order_is_sent_once_and_completes_when_the_weights_are_loaded() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut progress = Progress::new("m", 2);
    assert_eq!(progress.on_report(&report_of("m", 1, 4, 3), start), Ok(NextStep::Order(4)));
    progress.on_order_accepted(3, start);
    assert_eq!(progress.on_report(&report_of("m", 1, 5, 1), start + second), Ok(NextStep::Wait));
    assert_eq!(
        progress.on_report(&report_of("m", 1, 5, 0), start + second * 2),
        Ok(NextStep::Wait)
    );
    assert_eq!(
        progress.on_report(&report_of("m", 2, 5, 0), start + second * 5),
        Ok(NextStep::Done(second * 3))
    );
}

#[test]
fn reports_of_another_engine_at_the_address_are_rejected() {
    let start = Instant::now();
    let progress = || {
        let mut initial = Progress::new("m", 3);
        initial.on_report(&report_of("m", 2, 4, 0), start).unwrap();
        initial
    };
    assert_eq!(
        progress().on_report(&report_of("other", 9, 4, 0), start),
        Err(OrderError::WrongEngine)
    );
    assert_eq!(
        progress().on_report(&report_of("m", 3, 0, 0), start),
        Err(OrderError::WrongEngine),
        "lower order count"
    );
    assert_eq!(
        progress().on_report(&report_of("m", 1, 5, 0), start),
        Err(OrderError::WrongEngine),
        "older weights"
    );
    let status = http::StatusCode::MISDIRECTED_REQUEST;
    let misdirected = response(status, bytes::Bytes::new());
    assert!(matches!(parse_report(Ok(misdirected)), Err(OrderError::WrongEngine)));
    let body = br#"{"models":[{"name":"m","revision":3}]}"#.as_slice().into();
    let not_found = response(http::StatusCode::NOT_FOUND, body);
    assert!(matches!(parse_report(Ok(not_found)), Ok(None)), "only a 200 is a report");
}

#[test]
fn an_engine_is_at_its_address_only_while_it_is_the_only_live_one_there() {
    let engine_a = engine("a", EngineState::Ready);
    let engine_b = engine("b", EngineState::Ready);
    assert!(is_at_its_address(&engine_a, [&engine_a].into_iter()));
    assert!(is_at_its_address(
        &engine_a,
        [&engine_a, &engine("b", EngineState::Deregistered)].into_iter()
    ));
    assert!(!is_at_its_address(&engine_a, [&engine_a, &engine_b].into_iter()));
    assert!(!is_at_its_address(&engine_a, [&engine_b].into_iter()));
    assert!(!is_at_its_address(&engine_a, [&engine("a", EngineState::Deregistered)].into_iter()));
    let heartbeat_missed = Engine { heartbeat_missed: true, ..engine_a.clone() };
    assert!(!is_at_its_address(&engine_a, [&heartbeat_missed].into_iter()));
}

#[test]
fn an_order_times_out_before_the_lease_ends() {
    let now = Instant::now();
    let lease = |ms| FencedLease { fencing_token: 1, expires_at: now + Duration::from_millis(ms) };
    let timeout = |ms| order_timeout(lease(ms), now);
    assert_eq!(timeout(5000), Some(constants::ENGINE_CALL_TIMEOUT));
    assert_eq!(timeout(500), Some(Duration::from_millis(500) - constants::ORDER_DELIVERY_TIME));
    let minimum = constants::ORDER_DELIVERY_TIME + constants::ORDER_MIN_LEASE_LEFT;
    assert_eq!(timeout(minimum.as_millis() as u64 - 1), None);
    assert_eq!(timeout(0), None);
}
