//! Which controller a router tells its loads, and what it makes of the sum it hears.

use data_plane::fleet_view::load_reports::chosen;
use fleet_core::wire::{Engine, FleetUpdate, Member};

fn members() -> Vec<Member> {
    [("10.0.0.1", "a"), ("10.0.0.2", "b"), ("10.0.0.3", "b"), ("10.0.0.4", "c")]
        .map(|(ip, zone)| Member { ip: ip.into(), zone: zone.into(), ..Default::default() })
        .into()
}

#[test]
fn own_zone_first_and_another_when_it_is_lost() {
    let all = members();
    let ip = |zone: &str, down: &[&str]| {
        let up = |m: &Member| !down.contains(&m.ip.as_str());
        chosen(all.iter(), zone, "n1", up).map(|m| m.ip.clone())
    };
    assert_eq!(ip("a", &[]).as_deref(), Some("10.0.0.1"));
    assert!(["10.0.0.2", "10.0.0.3"].contains(&ip("b", &[]).unwrap().as_str()));
    let first = ip("b", &[]).unwrap();
    let second = ip("b", &[&first]).unwrap();
    assert!(second != first && ["10.0.0.2", "10.0.0.3"].contains(&second.as_str()));
    assert_ne!(ip("a", &["10.0.0.1"]), None);
    assert_eq!(ip("a", &["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]), None);
}

#[test]
fn long_streams_get_more_engines_when_they_fill_a_third() {
    use data_plane::fleet_view::endpoints::prefill_heavy_count;
    assert_eq!(prefill_heavy_count(18, 48, 0.0), 13);
    assert_eq!(prefill_heavy_count(18, 48, 100.0), 13, "a few engines are enough");
    assert_eq!(prefill_heavy_count(140, 12, 500.0), 84);
    assert_eq!(prefill_heavy_count(140, 12, 9000.0), 82, "heavy requests keep their half");
    assert_eq!(prefill_heavy_count(0, 0, 5.0), 0);
}

#[test]
fn own_sends_are_counted_once_in_the_sum() {
    let fleet_view = data_plane::fleet_view::FleetView::new();
    let e = Engine { id: "e".into(), address: "10.0.0.9:80".into(), ..Default::default() };
    fleet_view.apply(&FleetUpdate { engines: vec![e], ..Default::default() });
    let engine = fleet_view.engines.read()["e"].clone();
    {
        let mut w = engine.work();
        w.runs = 2;
        w.last_published = w.own();
        w.runs = 3;
    }
    let reported = fleet_core::load::Load { unread: 640, runs: 5, interactive: 0 };
    let sum = std::iter::once((engine.key, reported)).collect();
    fleet_view.update_loads(&fleet_core::load::pack(&sum));
    let now = tokio::time::Instant::now();
    let all = engine.work().all(now);
    assert_eq!((all.runs, all.unread), (6, 640));
    let late = engine.work().all(now + fleet_core::constants::LOAD_REPORT_TIMEOUT);
    assert_eq!((late.runs, late.unread), (3, 0), "old news of others count no more");
}
