//! Tests to which controller a router reports its loads, and how it applies the sum that it receives.

use data_plane::fleet_view::load_reports::preferred_controller;
use fleet_core::wire::{Engine, FleetUpdate, Member};

fn members() -> Vec<Member> {
    [("10.0.0.1", "a"), ("10.0.0.2", "b"), ("10.0.0.3", "b"), ("10.0.0.4", "c")]
        .map(|(ip, zone)| Member { ip: ip.into(), zone: zone.into(), ..Default::default() })
        .into()
}

#[test]
fn controllers_in_the_same_zone_are_preferred_while_they_are_up() {
    let members = members();
    let ip = |zone: &str, down: &[&str]| {
        let is_up = |member: &Member| !down.contains(&member.ip.as_str());
        preferred_controller(members.iter(), zone, "n1", is_up).map(|member| member.ip.clone())
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
fn interactive_requests_get_more_engines_once_they_need_more_than_a_third() {
    use data_plane::fleet_view::endpoints::prefill_heavy_count;
    assert_eq!(prefill_heavy_count(18, 48, 0.0), 13);
    assert_eq!(
        prefill_heavy_count(18, 48, 100.0),
        13,
        "a few engines are enough for interactive requests"
    );
    assert_eq!(prefill_heavy_count(140, 12, 500.0), 84);
    assert_eq!(
        prefill_heavy_count(140, 12, 9000.0),
        82,
        "prefill-heavy requests keep more than half of the engines"
    );
    assert_eq!(prefill_heavy_count(0, 0, 5.0), 0);
}

#[test]
fn own_requests_are_counted_once_in_the_sum() {
    let fleet_view = data_plane::fleet_view::FleetView::new();
    let engine_update =
        Engine { id: "e".into(), address: "10.0.0.9:80".into(), ..Default::default() };
    fleet_view.apply_update(&FleetUpdate { engines: vec![engine_update], ..Default::default() });
    let engine = fleet_view.engines.read()["e"].clone();
    {
        let mut activity = engine.activity();
        activity.in_flight = 2;
        activity.last_reported = activity.own();
        activity.in_flight = 3;
    }
    let reported_load =
        fleet_core::load::Load { pending_prefill_tokens: 640, in_flight: 5, interactive: 0 };
    let sum = std::iter::once((engine.key, reported_load)).collect();
    fleet_view.update_loads(&fleet_core::load::encode_report(&sum));
    let now = tokio::time::Instant::now();
    let total = engine.activity().total_load(now);
    assert_eq!((total.in_flight, total.pending_prefill_tokens), (6, 640));
    let expired = engine.activity().total_load(now + fleet_core::constants::LOAD_REPORT_TIMEOUT);
    assert_eq!(
        (expired.in_flight, expired.pending_prefill_tokens),
        (3, 0),
        "an expired report of other routers is ignored"
    );
}
