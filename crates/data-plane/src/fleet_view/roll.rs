//! The engines of a service in dense rows, made anew only when something of them changes.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::EngineHandles;
use crate::pool::EngineHandle;
use fleet_core::constants;
use fleet_core::wire::{Engine, Standing};
use prompt_index::{At, Index};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

pub struct Row {
    pub engine: Arc<EngineHandle>,
    pub at: At,
    pub news: Engine,
    pub near: bool,
    /// heavy requests settle here: alike at all routers, and stable as engines come and go
    pub heavy: bool,
    rank: u64,
}

impl Row {
    /// Rendezvous of a part with this engine.
    pub fn rank(&self, part: u64) -> u64 {
        let x = (self.rank ^ part).wrapping_mul(0xff51_afd7_ed55_8ccd);
        let x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        x ^ (x >> 33)
    }
}

/// Engines that heavy requests settle at: two thirds, or fewer where long streams fill the others.
pub fn heavies(engines: usize, slots: u32, interactive: f64) -> usize {
    let all = engines as f64;
    let light = (interactive / (f64::from(slots.max(1)) * constants::LIGHT_FILL)).ceil();
    (all * constants::HEAVY_SHARE).min(all - light).max(all * constants::HEAVY_LEAST).ceil()
        as usize
}

const NONE: u16 = u16::MAX;

pub struct Roll {
    key: (u64, u64),
    pub rows: Vec<Row>,
    /// cell and holder's number, to the row
    numbers: Vec<[u16; 256]>,
}

impl Roll {
    pub fn new(
        engines: Vec<(Arc<EngineHandle>, Engine)>,
        zone: &str,
        index: &Index,
        interactive: f64,
        news: u64,
    ) -> Self {
        let mut rows: Vec<Row> = engines
            .into_iter()
            .map(|(engine, news)| Row {
                at: index.admit(&engine.id),
                near: news.zone == zone,
                heavy: false,
                rank: fleet_core::node::stable_hash(&[engine.id.as_bytes()]),
                engine,
                news,
            })
            .collect();
        let ready = |r: &Row| r.news.standing() == Standing::Ready && !r.news.silent;
        let mut order: Vec<(u64, usize)> =
            rows.iter().enumerate().filter(|(_, r)| ready(r)).map(|(i, r)| (r.rank, i)).collect();
        order.sort_unstable();
        let slots = rows.iter().map(|r| r.news.slots).max().unwrap_or(0);
        let heavies = heavies(order.len(), slots, interactive);
        for (_, i) in order.into_iter().take(heavies) {
            rows[i].heavy = true;
        }
        let cells = rows.iter().map(|r| r.at.cell + 1).max().unwrap_or(0);
        let mut numbers = vec![[NONE; 256]; cells];
        for (i, r) in rows.iter().enumerate() {
            numbers[r.at.cell][usize::from(r.at.no.index)] = i as u16;
        }
        Roll { key: (news, index.moves()), rows, numbers }
    }

    pub fn row(&self, cell: usize, number: u8) -> Option<usize> {
        let n = *self.numbers.get(cell)?.get(usize::from(number))?;
        (n != NONE).then_some(usize::from(n))
    }
}

/// The rolls in use; a count that rises with all news of engines tells when one is out of date.
#[derive(Default)]
pub struct Rolls {
    news: AtomicU64,
    /// runs that people wait for: as they are, and as the division goes by
    interactive: parking_lot::Mutex<(f64, f64)>,
    made: parking_lot::Mutex<hashbrown::HashMap<String, Arc<Roll>, ahash::RandomState>>,
}

impl Rolls {
    pub fn stale(&self) {
        self.news.fetch_add(1, Ordering::Release);
    }

    /// The newest sum of runs that people wait for, at so many engines.
    pub fn hear_interactive(&self, runs: u32, engines: usize, slots: u32) {
        let mut i = self.interactive.lock();
        i.0 += (f64::from(runs) - i.0) * constants::DIVISION_WEIGHT;
        let off = heavies(engines, slots, i.0).abs_diff(heavies(engines, slots, i.1));
        if off as f64 >= (engines as f64 * constants::DIVISION_STEP).max(1.0) {
            i.1 = i.0;
            drop(i);
            self.stale();
        }
    }

    pub fn of(
        &self,
        service: &str,
        zone: &str,
        handles: &parking_lot::RwLock<EngineHandles>,
        index: &Index,
    ) -> Arc<Roll> {
        let key = (self.news.load(Ordering::Acquire), index.moves());
        if let Some(r) = self.made.lock().get(service).filter(|r| r.key == key) {
            return r.clone();
        }
        let engines = handles
            .read()
            .values()
            .filter_map(|s| {
                let n = s.news();
                let wanted = n.service == service && n.standing() != Standing::Gone;
                wanted.then(|| (s.clone(), n.clone()))
            })
            .collect();
        let interactive = self.interactive.lock().1;
        let roll = Arc::new(Roll::new(engines, zone, index, interactive, key.0));
        self.made.lock().insert(service.to_owned(), roll.clone());
        roll
    }
}
