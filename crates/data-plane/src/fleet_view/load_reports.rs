//! Exchanges the number of requests in flight at each engine: a router reports its own to one controller, and receives
//! the sum over all routers.

use super::FleetView;
use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::load::{self, LoadByEngine, ReportSchedule};
use fleet_core::wire::{Body, EngineState, LoadReport, Member};
use std::sync::Arc;
use tokio::time::Instant;

/// The controller that a node prefers, by rendezvous hashing among those that are up; controllers in the node's zone
/// come first.
pub fn preferred_controller<'a>(
    members: impl Iterator<Item = &'a Member>,
    zone: &str,
    name: &str,
    is_up: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    let rank =
        |member: &Member| fleet_core::node::stable_hash(&[member.ip.as_bytes(), name.as_bytes()]);
    members.filter(|member| is_up(member)).max_by_key(|member| (member.zone == zone, rank(member)))
}

impl FleetView {
    fn report_link(&self, zone: &str, name: &str) -> Option<Arc<Link>> {
        let membership = self.membership.lock().clone();
        let links = self.links.lock();
        let link = |member: &Member| links.get(&member.addr()?).cloned();
        let is_up = |member: &Member| link(member).is_some_and(|link| link.is_up());
        link(preferred_controller(membership.members.iter(), zone, name, is_up)?)
    }

    /// Applies the sum over all routers. This router's part, as it last reported it, is subtracted: its current load is
    /// known.
    pub fn update_loads(&self, message: &LoadReport) {
        let totals: LoadByEngine = load::decode_report(message).collect();
        let now = Instant::now();
        let (mut engines, mut slots) = (0, 0);
        for engine in self.engines.read().values() {
            let state = engine.state();
            if state.state() == EngineState::Ready && !state.heartbeat_missed {
                engines += 1;
                slots = state.slots.max(slots);
            }
            drop(state);
            let total = totals.get(&engine.key).copied().unwrap_or_default();
            let mut activity = engine.activity();
            activity.other_routers_load = total.saturating_sub(&activity.last_reported);
            activity.other_routers_load_at = Some(now);
        }
        let interactive = totals.values().map(|load| load.interactive).sum();
        self.endpoints.record_interactive(interactive, engines, slots);
    }

    fn own_loads(&self) -> LoadByEngine {
        let mut own = LoadByEngine::default();
        for engine in self.engines.read().values() {
            let mut activity = engine.activity();
            activity.last_reported = activity.own();
            own.entry(engine.key).or_default().add(&activity.last_reported);
        }
        own
    }
}

/// Reports this router's loads to one controller whenever a report is due.
pub async fn run_load_reporter(router: Arc<Router>) {
    let mut schedule = ReportSchedule::default();
    loop {
        tokio::time::sleep(constants::LOAD_REPORT_INTERVAL).await;
        let own = load::encode_report(&router.fleet_view.own_loads());
        if !schedule.is_due(Instant::now(), &own) {
            continue;
        }
        let node = &router.node;
        if let Some(link) = router.fleet_view.report_link(&node.zone, &node.name) {
            let _ = link.notify(Body::LoadReport(own));
        }
    }
}
