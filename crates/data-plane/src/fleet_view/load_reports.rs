//! What all routers have in flight at each engine: reported to one controller, received back as a sum.

use super::FleetView;
use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::load::{self, ByEngine, ReportSchedule};
use fleet_core::wire::{Body, EngineState, LoadReport, Member};
use std::sync::Arc;
use tokio::time::Instant;

/// The controller to tell: one of the own zone before others, by rendezvous among those that are up.
pub fn chosen<'a>(
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
    fn load_link(&self, zone: &str, name: &str) -> Option<Arc<Link>> {
        let membership = self.membership.lock().clone();
        let links = self.links.lock();
        let link = |member: &Member| links.get(&member.addr()?).cloned();
        let is_up = |member: &Member| link(member).is_some_and(|link| link.is_up());
        link(chosen(membership.members.iter(), zone, name, is_up)?)
    }

    /// The sum over all routers; the own part is counted as it is now, not as it was reported.
    pub fn update_loads(&self, message: &LoadReport) {
        let all: ByEngine = load::unpack(message).collect();
        let now = Instant::now();
        let (mut engines, mut slots) = (0, 0);
        for engine in self.engines.read().values() {
            let state = engine.state();
            if state.state() == EngineState::Ready && !state.heartbeat_missed {
                engines += 1;
                slots = state.slots.max(slots);
            }
            drop(state);
            let total = all.get(&engine.key).copied().unwrap_or_default();
            let mut work = engine.work();
            work.others = total.less(&work.last_published);
            work.others_at = Some(now);
        }
        let runs = all.values().map(|load| load.interactive).sum();
        self.endpoints.record_interactive(runs, engines, slots);
    }

    fn own_loads(&self) -> ByEngine {
        let mut own = ByEngine::default();
        for engine in self.engines.read().values() {
            let mut work = engine.work();
            work.last_published = work.own();
            own.entry(engine.key).or_default().add(&work.last_published);
        }
        own
    }
}

/// Tells one controller the own loads whenever they are due.
pub async fn run_load_reporter(router: Arc<Router>) {
    let mut last = ReportSchedule::default();
    loop {
        tokio::time::sleep(constants::LOAD_REPORT_INTERVAL).await;
        let own = load::pack(&router.fleet_view.own_loads());
        if !last.is_due(Instant::now(), &own) {
            continue;
        }
        let node = &router.node;
        if let Some(link) = router.fleet_view.load_link(&node.zone, &node.name) {
            let _ = link.notify(Body::LoadReport(own));
        }
    }
}
