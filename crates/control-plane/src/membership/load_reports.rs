//! Loads of engines: each controller adds up what its routers report, and gives them the sum over all.
//!
//! A router reports to one controller only. Controllers exchange their sums, so that each can add up the whole,
//! without its routers' own parts counted twice.

use super::peer_links::MemberLink;
use super::routers::Routers;
use crate::consensus::Consensus;
use fleet_core::constants;
use fleet_core::link::Peer;
use fleet_core::load::{self, ByEngine, Load, LoadTable, ReportSchedule};
use fleet_core::node::Role;
use fleet_core::wire::{Body, LoadReport};
use hashbrown::HashMap;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::time::Instant;

/// An engine that has run less than this lately is dropped from the mix.
const MIX_FLOOR: f32 = 0.01;

/// Requests at an engine over the last seconds, as moving averages.
#[derive(Default)]
struct Mix {
    runs: f32,
    /// Of these, requests that somebody waits for.
    interactive: f32,
}

impl Mix {
    fn decay(&mut self) {
        self.runs *= constants::MIX_DECAY;
        self.interactive *= constants::MIX_DECAY;
    }

    fn add(&mut self, load: &Load) {
        self.runs += load.runs as f32 * (1.0 - constants::MIX_DECAY);
        self.interactive += load.interactive as f32 * (1.0 - constants::MIX_DECAY);
    }

    fn interactive_share(&self) -> f64 {
        f64::from(self.interactive / self.runs.max(MIX_FLOOR))
    }
}

/// The loads that were reported to this controller. Its locks are leaves.
pub struct LoadReports {
    consensus: Arc<Consensus>,
    routers: Arc<Routers>,
    from_routers: Mutex<LoadTable>,
    from_peers: Mutex<LoadTable>,
    /// By engine.
    mix: Mutex<HashMap<u32, Mix, ahash::RandomState>>,
}

impl LoadReports {
    /// Nothing was reported as yet.
    pub fn new(consensus: Arc<Consensus>, routers: Arc<Routers>) -> LoadReports {
        LoadReports {
            consensus,
            routers,
            from_routers: Mutex::default(),
            from_peers: Mutex::default(),
            mix: Mutex::default(),
        }
    }

    /// Takes in a report of a router, or the sum of another controller.
    pub fn record(&self, peer: &Peer, report: LoadReport) {
        let is_controller = peer.handshake.role == Role::Controller as u32;
        let table = if is_controller { &self.from_peers } else { &self.from_routers };
        table.lock().record(peer.handshake.incarnation, Instant::now(), report);
    }

    /// Share of an engine's recent requests that somebody waits for.
    pub fn interactive_share(&self, engine: u32) -> f64 {
        self.mix.lock().get(&engine).map_or(0.0, Mix::interactive_share)
    }

    /// Loads over all routers, as far as they were reported lately.
    pub fn total(&self) -> ByEngine {
        let now = Instant::now();
        let own = self.from_routers.lock().sum(now);
        self.with_peers(own, now)
    }

    fn with_peers(&self, mut total: ByEngine, now: Instant) -> ByEngine {
        for (engine, load) in self.from_peers.lock().sum(now) {
            total.entry(engine).or_default().add(&load);
        }
        total
    }

    fn update_mix(&self, total: &ByEngine) {
        let mut mix = self.mix.lock();
        mix.retain(|_, mix| {
            mix.decay();
            mix.runs > MIX_FLOOR
        });
        for (engine, load) in total {
            mix.entry(*engine).or_default().add(load);
        }
    }

    /// Sends the sum over the own routers to the other voters, if that is due.
    fn share_with_peers(&self, sum: &ByEngine, schedule: &mut ReportSchedule, now: Instant) {
        let report = load::pack(sum);
        if !schedule.is_due(now, &report) {
            return;
        }
        for MemberLink { link, .. } in self.consensus.links_to_voters() {
            let _ = link.notify(Body::LoadReport(report.clone()));
        }
    }

    /// Sends the sum over all to the own routers, if that is due.
    fn share_with_routers(&self, total: &ByEngine, schedule: &mut ReportSchedule, now: Instant) {
        let report = load::pack(total);
        if !schedule.is_due(now, &report) {
            return;
        }
        let reporters: Vec<u64> = self.from_routers.lock().reporters().collect();
        self.routers.push_to_prompt_readers(&reporters, &Body::LoadReport(report));
    }
}

/// Shares loads with the other controllers and with the own routers.
pub async fn run_load_sharing(reports: Arc<LoadReports>) {
    let (mut to_peers, mut to_routers) = (ReportSchedule::default(), ReportSchedule::default());
    loop {
        tokio::time::sleep(constants::LOAD_REPORT_INTERVAL).await;
        let now = Instant::now();
        let sum = reports.from_routers.lock().sum(now);
        reports.share_with_peers(&sum, &mut to_peers, now);
        let total = reports.with_peers(sum, now);
        reports.update_mix(&total);
        reports.share_with_routers(&total, &mut to_routers, now);
    }
}
