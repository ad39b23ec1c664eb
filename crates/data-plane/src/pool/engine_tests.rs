//! Tests of `engine`.

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
fn rests_grow_until_it_serves_again() {
    let s = engine();
    let t = Instant::now();
    s.record_failure(t);
    assert!(s.is_ejected(t) && !s.is_ejected(t + constants::BASE_EJECTION_TIME));
    let t = t + constants::BASE_EJECTION_TIME;
    s.record_failure(t);
    assert!(s.is_ejected(t + constants::BASE_EJECTION_TIME));
    s.record_success();
    assert!(!s.is_ejected(t));
    s.record_failure(t);
    assert!(!s.is_ejected(t + constants::BASE_EJECTION_TIME));
}

#[test]
fn unproven_from_a_break_until_it_serves() {
    let (engine, start) = (engine(), Instant::now());
    assert_eq!(engine.health(start), Health::Sound);
    engine.record_failure(start);
    assert_eq!(engine.health(start), Health::Ejected);
    assert_eq!(engine.health(start + constants::MAX_EJECTION_TIME * 9), Health::Unproven);
    engine.record_success();
    assert_eq!(engine.health(start), Health::Sound);
}

#[tokio::test(start_paused = true)]
async fn newcomer_is_warm_after_a_while_and_reports_its_first_answers_once() {
    let s = engine();
    assert!(s.is_warming(Instant::now()));
    tokio::time::advance(constants::WARM_UP_PERIOD).await;
    assert!(!s.is_warming(Instant::now()));
    let ms = Duration::from_millis;
    let means: Vec<_> = (0..constants::WARM_UP_ANSWERS * 2)
        .filter_map(|i| s.record_warm_up_wait(ms(10 * (i % 2) + 5)))
        .collect();
    assert_eq!(means, vec![ms(10)]);
    let old = Engine { call: 99, address: "10.0.0.1:80".into(), ..Default::default() };
    assert!(!EngineHandle::new(&old).unwrap().is_warming(Instant::now()));
}

#[test]
fn malformed_burdens_tell_nothing() {
    let t = Instant::now();
    assert_eq!(ReportedLoad::parse("3, 1,8", t).unwrap().waiting, 1);
    for bad in ["", "3,1", "a,b,c", "-1,0,8", "3;1;8"] {
        assert!(ReportedLoad::parse(bad, t).is_none(), "{bad}");
    }
}
