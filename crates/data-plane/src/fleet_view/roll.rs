//! The engines of a service in dense rows, made anew only when something of them changes.

use super::EngineHandles;
use crate::pool::EngineHandle;
use fleet_core::constants;
use fleet_core::wire::{Engine, EngineState};
use prompt_index::{At, Index};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// One engine, with what placement asks of it.
pub struct Row {
    /// The engine.
    pub engine: Arc<EngineHandle>,
    /// Where the prompt index has it.
    pub at: At,
    /// What was known of it when the row was made.
    pub news: Engine,
    /// Whether it stands in the router's zone.
    pub near: bool,
    /// heavy requests settle here: alike at all routers, and stable as engines come and go
    pub heavy: bool,
    rank: u64,
}

impl Row {
    /// Rendezvous of a part with this engine.
    pub fn rank(&self, part: u64) -> u64 {
        let mixed = (self.rank ^ part).wrapping_mul(0xff51_afd7_ed55_8ccd);
        let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        mixed ^ (mixed >> 33)
    }
}

/// Engines that heavy requests settle at: two thirds, or fewer where long streams fill the others.
/// `interactive` is the sum of runs that people wait for.
pub fn heavies(engines: usize, slots: u32, interactive: f64) -> usize {
    let all = engines as f64;
    let light = (interactive / (f64::from(slots.max(1)) * constants::LIGHT_FILL)).ceil();
    (all * constants::HEAVY_SHARE).min(all - light).max(all * constants::HEAVY_LEAST).ceil()
        as usize
}

/// No row has this number.
const NONE: u16 = u16::MAX;

/// What a roll was made from: it is out of date once one of them has risen.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Key {
    /// news of engines
    news: u64,
    /// moves of the index
    moves: u64,
}

/// The engines of one service, one row each.
pub struct Roll {
    key: Key,
    /// All engines that are not gone.
    pub rows: Vec<Row>,
    /// cell and holder's number, to the row
    numbers: Vec<[u16; 256]>,
}

impl Roll {
    /// Rows for these engines; `news` tells how new they are.
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
        Self::divide(&mut rows, interactive);
        let cells = rows.iter().map(|row| row.at.cell + 1).max().unwrap_or(0);
        let mut numbers = vec![[NONE; 256]; cells];
        for (i, row) in rows.iter().enumerate() {
            numbers[row.at.cell][usize::from(row.at.no.index)] = i as u16;
        }
        Roll { key: Key { news, moves: index.moves() }, rows, numbers }
    }

    /// Marks the engines that heavy requests settle at.
    fn divide(rows: &mut [Row], interactive: f64) {
        let ready =
            |row: &Row| row.news.state() == EngineState::Ready && !row.news.heartbeat_missed;
        let mut order: Vec<usize> = (0..rows.len()).filter(|i| ready(&rows[*i])).collect();
        order.sort_unstable_by_key(|i| (rows[*i].rank, *i));
        let slots = rows.iter().map(|row| row.news.slots).max().unwrap_or(0);
        let heavies = heavies(order.len(), slots, interactive);
        for i in order.into_iter().take(heavies) {
            rows[i].heavy = true;
        }
    }

    /// The row of a holder, by its cell and its number there.
    pub fn row(&self, cell: usize, number: u8) -> Option<usize> {
        let row = *self.numbers.get(cell)?.get(usize::from(number))?;
        (row != NONE).then_some(usize::from(row))
    }
}

/// Sums of runs that people wait for.
#[derive(Default)]
struct Interactive {
    /// as they are, smoothed
    smoothed: f64,
    /// as the division between engines goes by
    applied: f64,
}

/// The rolls in use; a count that rises with all news of engines tells when one is out of date.
#[derive(Default)]
pub struct Rolls {
    news: AtomicU64,
    interactive: parking_lot::Mutex<Interactive>,
    made: parking_lot::Mutex<hashbrown::HashMap<String, Arc<Roll>, ahash::RandomState>>,
}

impl Rolls {
    /// Something of the engines has changed.
    pub fn stale(&self) {
        self.news.fetch_add(1, Ordering::Release);
    }

    /// The newest sum of runs that people wait for, at so many engines.
    pub fn hear_interactive(&self, runs: u32, engines: usize, slots: u32) {
        let mut sums = self.interactive.lock();
        sums.smoothed += (f64::from(runs) - sums.smoothed) * constants::DIVISION_WEIGHT;
        let wanted = heavies(engines, slots, sums.smoothed);
        let off = wanted.abs_diff(heavies(engines, slots, sums.applied));
        if off as f64 >= (engines as f64 * constants::DIVISION_STEP).max(1.0) {
            sums.applied = sums.smoothed;
            drop(sums);
            self.stale();
        }
    }

    /// The roll of a service, made anew if it is out of date.
    pub fn of(
        &self,
        service: &str,
        zone: &str,
        handles: &parking_lot::RwLock<EngineHandles>,
        index: &Index,
    ) -> Arc<Roll> {
        let key = Key { news: self.news.load(Ordering::Acquire), moves: index.moves() };
        if let Some(roll) = self.made.lock().get(service).filter(|roll| roll.key == key) {
            return roll.clone();
        }
        let engines = handles
            .read()
            .values()
            .filter_map(|engine| {
                let news = engine.news();
                let wanted = news.service == service && news.state() != EngineState::Deregistered;
                wanted.then(|| (engine.clone(), news.clone()))
            })
            .collect();
        let interactive = self.interactive.lock().applied;
        let roll = Arc::new(Roll::new(engines, zone, index, interactive, key.news));
        self.made.lock().insert(service.to_owned(), roll.clone());
        roll
    }
}
