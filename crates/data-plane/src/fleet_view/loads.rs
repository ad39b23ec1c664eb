//! What all routers have in flight at each engine: told to one controller, heard back as a sum.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::FleetView;
use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::load::{self, ByEngine, Last};
use fleet_core::wire::{Body, Loads, Member, Standing};
use std::sync::Arc;
use tokio::time::Instant;

/// The controller to tell: one of the own zone before others, by rendezvous among those that are up.
pub fn chosen<'a>(
    members: impl Iterator<Item = &'a Member>,
    zone: &str,
    name: &str,
    is_up: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    let rank = |m: &Member| fleet_core::node::stable_hash(&[m.ip.as_bytes(), name.as_bytes()]);
    members.filter(|m| is_up(m)).max_by_key(|m| (m.zone == zone, rank(m)))
}

impl FleetView {
    fn load_link(&self, zone: &str, name: &str) -> Option<Arc<Link>> {
        let membership = self.membership.lock().clone();
        let links = self.links.lock();
        let link = |m: &Member| links.get(&m.addr()?).cloned();
        let m =
            chosen(membership.members.iter(), zone, name, |m| link(m).is_some_and(|l| l.is_up()));
        link(m?)
    }

    /// The sum over all routers; the own part is counted as it is now, not as it was told.
    pub fn hear_loads(&self, l: &Loads) {
        let all: ByEngine = load::unpack(l).collect();
        let now = Instant::now();
        let (mut engines, mut slots) = (0, 0);
        for engine in self.engines.read().values() {
            let news = engine.news();
            if news.standing() == Standing::Ready && !news.silent {
                engines += 1;
                slots = news.slots.max(slots);
            }
            drop(news);
            let total = all.get(&engine.key).copied().unwrap_or_default();
            let mut w = engine.work();
            w.others = total.less(&w.reported);
            w.others_at = Some(now);
        }
        let runs = all.values().map(|l| l.interactive).sum();
        self.rolls.hear_interactive(runs, engines, slots);
    }

    fn own_loads(&self) -> ByEngine {
        let mut out = ByEngine::default();
        for engine in self.engines.read().values() {
            let mut w = engine.work();
            w.reported = w.own();
            out.entry(engine.key).or_default().add(&w.reported);
        }
        out
    }
}

pub async fn telling(d: Arc<Router>) {
    let mut last = Last::default();
    loop {
        tokio::time::sleep(constants::LOAD_PAUSE).await;
        let own = load::pack(&d.fleet_view.own_loads());
        if !last.is_due(Instant::now(), &own) {
            continue;
        }
        if let Some(l) = d.fleet_view.load_link(&d.node.zone, &d.node.name) {
            let _ = l.tell(Body::Loads(own));
        }
    }
}
