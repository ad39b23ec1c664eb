//! Where the parts of a prompt that an engine lacks can be had cheaper than by reading them.

use super::ask::{Ask, Offer, Scene};
use crate::fleet_view::roll::Row;
use crate::pool::EngineHandle;
use fleet_core::constants;
use prompt_index::{Chain, Depths};
use smallvec::SmallVec;
use std::sync::Arc;
use tokio::time::Instant;

/// A model and one version of its weights.
#[derive(Clone, Copy)]
pub struct Weights<'a> {
    /// the model
    pub model: &'a str,
    /// the version
    pub version: u64,
}

impl Weights<'_> {
    /// An engine that answers and has these weights, so that its parts may be taken.
    fn usable_from(&self, row: &Row, now: Instant) -> bool {
        let answers = !row.news.heartbeat_missed && !row.engine.is_resting(now);
        answers && fleet_core::fleet::version_of(&row.news, self.model) == Some(self.version)
    }
}

/// A holder that keeps more of the prompt than some engines do.
pub struct Source {
    /// where engines reach it
    pub address: String,
    /// none for a store
    pub engine: Option<Arc<EngineHandle>>,
    zone: String,
    mbps: f64,
    tokens: u64,
    moves: u32,
}

impl Source {
    /// What it offers an engine that keeps so much of the prompt itself.
    pub fn for_row(&self, ask: &Ask, row: &Row, known: u64) -> Offer {
        let tokens = self.tokens.saturating_sub(known);
        let one = ask.move_ms(tokens, self.mbps, self.zone == row.news.zone);
        Offer { tokens, ms: one * f64::from(1 + self.moves) }
    }
}

/// The holders found for one prompt under one version of the weights.
#[derive(Default)]
pub struct Sources {
    found: SmallVec<[Source; 8]>,
    /// tokens that the store where the prompt belongs keeps of it
    stored: u64,
}

impl Sources {
    /// Takes in the holders of one cell of the index, a few of each depth.
    pub fn take(
        &mut self,
        scene: &Scene,
        weights: Weights,
        cell: usize,
        found: &Depths,
        chain: &Chain,
    ) {
        self.take_stores(&scene.ask, cell, found, chain);
        for (depth, holders) in &found.groups {
            let tokens = chain.tokens(*depth);
            if tokens < constants::MOVE_TOKENS {
                break;
            }
            let rows = holders.iter().filter_map(|holder| scene.roll.row(cell, holder));
            let rows = rows.map(|row| &scene.roll.rows[row]);
            let usable = rows.filter(|row| weights.usable_from(row, scene.now)).collect();
            self.take_engines(&scene.ask, usable, tokens);
        }
    }

    fn take_stores(&mut self, ask: &Ask, cell: usize, found: &Depths, chain: &Chain) {
        for (rank, store) in ask.stores.iter().enumerate().filter(|(_, s)| s.at.cell == cell) {
            let tokens = chain.tokens(found.of(store.at.no.index));
            if rank == 0 {
                self.stored = tokens;
            }
            if tokens < constants::MOVE_TOKENS {
                continue;
            }
            self.found.push(Source {
                address: store.address.to_owned(),
                engine: None,
                zone: store.zone.to_owned(),
                mbps: store.mbps.min(ask.link_mbps),
                tokens,
                moves: 0,
            });
        }
    }

    /// The least busy holders of one depth, near ones first.
    fn take_engines(&mut self, ask: &Ask, mut rows: SmallVec<[&Row; 16]>, tokens: u64) {
        rows.sort_by_key(|row| (row.engine.work().moves, !row.near));
        for row in rows.into_iter().take(constants::SOURCES_WEIGHED) {
            self.found.push(Source {
                address: row.engine.address.to_string(),
                engine: Some(row.engine.clone()),
                zone: row.news.zone.clone(),
                mbps: ask.link_mbps,
                tokens,
                moves: row.engine.work().moves,
            });
        }
    }

    /// Another holder of as much, for the case that the engine has dropped what it is believed to keep.
    pub fn second(&self, row: &Row) -> Option<&Source> {
        self.found
            .iter()
            .filter(|s| s.engine.as_ref().is_none_or(|x| x.id != row.engine.id))
            .max_by_key(|s| {
                (s.tokens, s.engine.is_none(), s.zone == row.news.zone, u32::MAX - s.moves)
            })
    }

    /// A store keeps some of it.
    pub fn is_stored(&self) -> bool {
        self.found.iter().any(|s| s.engine.is_none())
    }

    /// The source worth most to an engine, if any is worth a move.
    pub fn best(&self, ask: &Ask, row: &Row, known: u64) -> Option<&Source> {
        self.found
            .iter()
            .map(|s| (s, s.for_row(ask, row, known)))
            .filter(|(_, o)| o.tokens >= constants::MOVE_TOKENS && o.gain() > 0.0)
            .max_by(|a, b| a.1.gain().total_cmp(&b.1.gain()))
            .map(|(s, _)| s)
    }
}

/// Nobody is known to keep what is missing: the part's home may, and a miss costs little. A store is
/// never guessed at: its one line is shared by all engines.
pub fn unseen(
    ask: &Ask,
    known: u64,
    home: Option<&Row>,
) -> Option<(String, Option<Arc<EngineHandle>>)> {
    if ask.prompt.shared().saturating_sub(known) < constants::MOVE_TOKENS {
        return None;
    }
    home.map(|r| (r.engine.address.to_string(), Some(r.engine.clone())))
}

/// Large shared parts that their store lacks are worth a place there, unless too much of what would
/// go along is this request's own: that would only push others out.
pub fn sink(ask: &Ask, sources: &Sources) -> Option<String> {
    let shared = ask.prompt.shared();
    let own = ask.prompt.tokens().saturating_sub(shared) as f64;
    let s = ask.stores.first()?;
    let worth =
        shared >= constants::SINK_TOKENS && own <= shared as f64 * constants::SINK_OWN_SHARE;
    (worth && sources.stored < shared).then(|| s.address.to_owned())
}
