use super::*;

fn engine() -> EngineHandle {
    EngineHandle::new(&Engine {
        id: "i".into(),
        address: "10.0.0.1:80".into(),
        ..Default::default()
    })
    .unwrap()
}

#[test]
fn ejections_grow_until_a_response_resets_them() {
    let engine = engine();
    let now = Instant::now();
    engine.record_failure(now);
    assert!(engine.is_ejected(now) && !engine.is_ejected(now + constants::BASE_EJECTION_TIME));
    let now = now + constants::BASE_EJECTION_TIME;
    engine.record_failure(now);
    assert!(engine.is_ejected(now + constants::BASE_EJECTION_TIME));
    engine.record_success();
    assert!(!engine.is_ejected(now));
    engine.record_failure(now);
    assert!(!engine.is_ejected(now + constants::BASE_EJECTION_TIME));
}

#[test]
fn engine_is_unproven_after_its_ejection_until_it_responds() {
    let (engine, start) = (engine(), Instant::now());
    assert_eq!(engine.health(start), Health::Healthy);
    engine.record_failure(start);
    assert_eq!(engine.health(start), Health::Ejected);
    assert_eq!(engine.health(start + constants::MAX_EJECTION_TIME * 9), Health::Unproven);
    engine.record_success();
    assert_eq!(engine.health(start), Health::Healthy);
}

#[tokio::test(start_paused = true)]
async fn new_engine_warms_up_and_reports_its_mean_latency_once() {
    let engine = engine();
    assert!(engine.is_warming_up(Instant::now()));
    tokio::time::advance(constants::WARM_UP_PERIOD).await;
    assert!(!engine.is_warming_up(Instant::now()));
    let ms = Duration::from_millis;
    let means: Vec<_> = (0..constants::WARM_UP_RESPONSES * 2)
        .filter_map(|i| engine.record_warm_up_latency(ms(10 * (i % 2) + 5)))
        .collect();
    assert_eq!(means, vec![ms(10)]);
    let old = Engine { call_seq: 99, address: "10.0.0.1:80".into(), ..Default::default() };
    assert!(!EngineHandle::new(&old).unwrap().is_warming_up(Instant::now()));
}

#[test]
fn malformed_load_reports_are_ignored() {
    let now = Instant::now();
    assert_eq!(ReportedLoad::parse("3, 1,8", now).unwrap().waiting, 1);
    for bad in ["", "3,1", "a,b,c", "-1,0,8", "3;1;8"] {
        assert!(ReportedLoad::parse(bad, now).is_none(), "{bad}");
    }
}
