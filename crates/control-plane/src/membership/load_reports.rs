//! Aggregation of engine loads: each controller sums up the reports of its routers, and sends the routers the total
//! over all controllers.
//!
//! A router reports to only one controller. The controllers exchange the sums over their own routers, so that each can
//! compute the total without counting a router twice.

use super::peer_links::MemberLink;
use super::routers::Routers;
use crate::consensus::Consensus;
use fleet_core::constants;
use fleet_core::link::Peer;
use fleet_core::load::{self, Load, LoadByEngine, LoadTable, ReportSchedule};
use fleet_core::node::Role;
use fleet_core::wire::{Body, LoadReport};
use hashbrown::HashMap;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::time::Instant;

/// An engine whose average number of running requests falls below this is no longer tracked.
const MIN_TRACKED_RUNNING: f32 = 0.01;

/// Exponential moving averages of the requests at an engine over the last seconds.
#[derive(Default)]
struct RequestMix {
    running: f32,
    /// Those of them that are interactive.
    interactive: f32,
}

impl RequestMix {
    fn decay(&mut self) {
        self.running *= constants::INTERACTIVE_SHARE_DECAY;
        self.interactive *= constants::INTERACTIVE_SHARE_DECAY;
    }

    fn add(&mut self, load: &Load) {
        self.running += load.in_flight as f32 * (1.0 - constants::INTERACTIVE_SHARE_DECAY);
        self.interactive += load.interactive as f32 * (1.0 - constants::INTERACTIVE_SHARE_DECAY);
    }

    fn interactive_share(&self) -> f64 {
        f64::from(self.interactive / self.running.max(MIN_TRACKED_RUNNING))
    }
}

/// Engine loads reported to this controller. No other lock is taken while one of its locks is held.
pub struct LoadReports {
    consensus: Arc<Consensus>,
    routers: Arc<Routers>,
    from_routers: Mutex<LoadTable>,
    from_peers: Mutex<LoadTable>,
    /// Averages by engine.
    request_mixes: Mutex<HashMap<u32, RequestMix, ahash::RandomState>>,
}

impl LoadReports {
    /// Creates tables without reports.
    pub fn new(consensus: Arc<Consensus>, routers: Arc<Routers>) -> LoadReports {
        LoadReports {
            consensus,
            routers,
            from_routers: Mutex::default(),
            from_peers: Mutex::default(),
            request_mixes: Mutex::default(),
        }
    }

    /// Records a report of a router, or the sum reported by another controller.
    pub fn record(&self, peer: &Peer, report: LoadReport) {
        let is_controller = peer.handshake.role == Role::Controller as u32;
        let table = if is_controller { &self.from_peers } else { &self.from_routers };
        table.lock().record(peer.handshake.incarnation, Instant::now(), report);
    }

    /// Fraction of an engine's recent requests that are interactive; 0 if the engine had hardly any.
    pub fn interactive_share(&self, engine: u32) -> f64 {
        self.request_mixes.lock().get(&engine).map_or(0.0, RequestMix::interactive_share)
    }

    /// Loads by engine, summed over all routers with recent reports.
    pub fn total(&self) -> LoadByEngine {
        let now = Instant::now();
        let own = self.from_routers.lock().sum(now);
        self.with_peers(own, now)
    }

    fn with_peers(&self, mut total: LoadByEngine, now: Instant) -> LoadByEngine {
        for (engine, load) in self.from_peers.lock().sum(now) {
            total.entry(engine).or_default().add(&load);
        }
        total
    }

    fn update_request_mixes(&self, total: &LoadByEngine) {
        let mut request_mixes = self.request_mixes.lock();
        request_mixes.retain(|_, mix| {
            mix.decay();
            mix.running > MIN_TRACKED_RUNNING
        });
        for (engine, load) in total {
            request_mixes.entry(*engine).or_default().add(load);
        }
    }

    /// Sends the sum over this controller's routers to the other voters, if a report is due.
    fn share_with_peers(&self, sum: &LoadByEngine, schedule: &mut ReportSchedule, now: Instant) {
        let report = load::encode_report(sum);
        if !schedule.is_due(now, &report) {
            return;
        }
        for MemberLink { link, .. } in self.consensus.links_to_voters() {
            let _ = link.notify(Body::LoadReport(report.clone()));
        }
    }

    /// Sends the total over all routers to this controller's routers, if a report is due.
    fn share_with_routers(
        &self,
        total: &LoadByEngine,
        schedule: &mut ReportSchedule,
        now: Instant,
    ) {
        let report = load::encode_report(total);
        if !schedule.is_due(now, &report) {
            return;
        }
        let reporters: Vec<u64> = self.from_routers.lock().reporters().collect();
        self.routers.push_to_prompt_readers(&reporters, &Body::LoadReport(report));
    }
}

/// Periodically shares loads with the other controllers and with this controller's routers.
pub async fn run_load_sharing(reports: Arc<LoadReports>) {
    let (mut to_peers, mut to_routers) = (ReportSchedule::default(), ReportSchedule::default());
    loop {
        tokio::time::sleep(constants::LOAD_REPORT_INTERVAL).await;
        let now = Instant::now();
        let sum = reports.from_routers.lock().sum(now);
        reports.share_with_peers(&sum, &mut to_peers, now);
        let total = reports.with_peers(sum, now);
        reports.update_request_mixes(&total);
        reports.share_with_routers(&total, &mut to_routers, now);
    }
}
