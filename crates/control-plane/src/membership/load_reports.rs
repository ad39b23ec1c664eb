//! Loads of engines: each controller adds up its routers', and gives them the sum over all.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::Controller;
use fleet_core::constants;
use fleet_core::link::Peer;
use fleet_core::load::{self, ByEngine, LoadTable, ReportSchedule};
use fleet_core::wire::{Body, LoadReport};
use std::sync::Arc;
use tokio::time::Instant;

#[derive(Default)]
pub struct LoadReports {
    routers: parking_lot::Mutex<LoadTable>,
    peers: parking_lot::Mutex<LoadTable>,
    /// by engine, recent runs and those that somebody waits for
    mix: parking_lot::Mutex<hashbrown::HashMap<u32, (f32, f32), ahash::RandomState>>,
}

impl LoadReports {
    pub fn record(&self, peer: &Peer, l: LoadReport) {
        let from_peer = peer.handshake.role == fleet_core::node::Role::Controller as u32;
        let table = if from_peer { &self.peers } else { &self.routers };
        table.lock().record(peer.handshake.incarnation, Instant::now(), l);
    }

    fn remember(&self, all: &ByEngine) {
        let mut mix = self.mix.lock();
        mix.retain(|_, (runs, waits)| {
            *runs *= constants::MIX_DECAY;
            *waits *= constants::MIX_DECAY;
            *runs > 0.01
        });
        for (key, l) in all {
            let m = mix.entry(*key).or_insert((0.0, 0.0));
            m.0 += l.runs as f32 * (1.0 - constants::MIX_DECAY);
            m.1 += l.interactive as f32 * (1.0 - constants::MIX_DECAY);
        }
    }

    /// Share of an engine's recent runs that somebody waits for.
    pub fn interactive_share(&self, key: u32) -> f64 {
        self.mix.lock().get(&key).map_or(0.0, |(runs, waits)| f64::from(waits / runs.max(0.01)))
    }

    /// Over all routers, as far as they are heard of.
    pub fn total(&self) -> ByEngine {
        let now = Instant::now();
        let own = self.routers.lock().sum(now);
        self.with_peers(own, now)
    }

    fn with_peers(&self, mut all: ByEngine, now: Instant) -> ByEngine {
        for (key, l) in self.peers.lock().sum(now) {
            all.entry(key).or_default().add(&l);
        }
        all
    }
}

pub async fn run_load_sharing(controller: Arc<Controller>) {
    let (mut to_peers, mut to_routers) = (ReportSchedule::default(), ReportSchedule::default());
    loop {
        tokio::time::sleep(constants::LOAD_REPORT_INTERVAL).await;
        let now = Instant::now();
        let load_reports = &controller.peers.load_reports;
        let sum = load_reports.routers.lock().sum(now);
        let own = load::pack(&sum);
        if to_peers.is_due(now, &own) {
            let members = controller.acceptor.lock().membership().members.clone();
            for (_, link) in controller.links_to(&members) {
                let _ = link.notify(Body::LoadReport(own.clone()));
            }
        }
        let total = load_reports.with_peers(sum, now);
        load_reports.remember(&total);
        let all = load::pack(&total);
        if !to_routers.is_due(now, &all) {
            continue;
        }
        let router_links = controller.peers.router_links.lock();
        for incarnation in load_reports.routers.lock().reporters() {
            // a slow reader gets the newest sum later
            let link = router_links.get(&incarnation);
            if let Some(o) = link.filter(|o| o.backlog() < constants::SLOW_READER_BACKLOG) {
                let _ = o.push(Body::LoadReport(all.clone()));
            }
        }
    }
}
