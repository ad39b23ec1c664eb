//! Where the parts of a prompt that an engine lacks can be had cheaper than by reading them.

use super::ask::{Ask, Offer};
use crate::fleet_view::roll::{Roll, Row};
use crate::pool::EngineHandle;
use fleet_core::constants;
use prompt_index::{Chain, Depths};
use smallvec::SmallVec;
use std::sync::Arc;
use tokio::time::Instant;

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
    /// The holders of one cell under these weights, a few of each depth.
    #[allow(clippy::too_many_arguments)]
    pub fn take(
        &mut self,
        found: &Depths,
        chain: &Chain,
        cell: usize,
        roll: &Roll,
        version: u64,
        model: &str,
        ask: &Ask,
        now: Instant,
    ) {
        for (i, s) in ask.stores.iter().enumerate().filter(|(_, s)| s.at.cell == cell) {
            let tokens = chain.tokens(found.of(s.at.no.index));
            if i == 0 {
                self.stored = tokens;
            }
            if tokens >= constants::MOVE_TOKENS {
                self.found.push(Source {
                    address: s.address.to_owned(),
                    engine: None,
                    zone: s.zone.to_owned(),
                    mbps: s.mbps.min(ask.link_mbps),
                    tokens,
                    moves: 0,
                });
            }
        }
        for (depth, holders) in &found.groups {
            let tokens = chain.tokens(*depth);
            if tokens < constants::MOVE_TOKENS {
                break;
            }
            let usable = |r: &&Row| {
                !r.news.silent
                    && !r.engine.is_resting(now)
                    && fleet_core::fleet::version_of(&r.news, model) == Some(version)
            };
            let mut rows: SmallVec<[&Row; 16]> = holders
                .iter()
                .filter_map(|h| roll.row(cell, h).map(|r| &roll.rows[r]))
                .filter(usable)
                .collect();
            rows.sort_by_key(|r| (r.engine.work().moves, !r.near));
            for r in rows.into_iter().take(constants::SOURCES_WEIGHED) {
                self.found.push(Source {
                    address: r.engine.address.to_string(),
                    engine: Some(r.engine.clone()),
                    zone: r.news.zone.clone(),
                    mbps: ask.link_mbps,
                    tokens,
                    moves: r.engine.work().moves,
                });
            }
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
