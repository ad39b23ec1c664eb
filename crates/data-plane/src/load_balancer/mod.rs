//! The choice of an engine for a request: the one that costs it and the others least, in milliseconds.
//!
//! [`candidates`] drops engines that may not or should not get it, [`prefix_cache`] and [`kv_transfer`] say what each has
//! cached or could receive, [`cost`] adds it up (docs/load-balancing.md). It reads the fleet view and the engines' handles,
//! changes nothing, and never waits. Safety doesn't depend on it: a stale view costs time, never a rule.

pub mod candidates;
pub mod cost;
pub mod kv_transfer;
pub mod prefix_cache;
pub mod prompt;
pub mod request_profile;

use crate::fleet_view::FleetView;
use crate::fleet_view::endpoints::{Endpoint, Viewpoint};
use crate::fleet_view::routing_table::{Table, Tenant};
use crate::pool::EngineHandle;
use crate::{Counters, Router};
use candidates::{Candidate, WantedWeights};
use cost::{CachedTokens, Cost};
use fleet_core::constants;
use kv_transfer::Source;
use prefix_cache::PrefixCache;
use prompt::Prompt;
use request_profile::{RequestProfile, SelectionContext, Subset};
use smallvec::SmallVec;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// One engine for one send, and under what memory it may run.
pub struct Choice {
    /// the engine
    pub engine: Arc<EngineHandle>,
    /// the weights that it may run under
    pub version: Option<u64>,
    /// The salt under which its blocks are cached.
    pub salt: Option<String>,
    /// tokens that the engine is expected to read
    pub prefill_tokens: u64,
    /// where it may take parts from
    pub source: Option<String>,
    /// the engine there, if it is none of the stores
    pub source_engine: Option<Arc<EngineHandle>>,
    /// the store that it sends its parts to
    pub sink: Option<String>,
}

/// Why no engine was chosen.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum NoEndpoint {
    /// no engine of the service is known that may run it
    Unknown,
    /// all are full
    Full,
}

/// Chooses an engine for a request, none of those that were tried.
///
/// # Errors
///
/// No engine that may run the request is known, or all are full.
pub fn choose_engine(
    router: &Router,
    routing_table: &Table,
    service: &str,
    tenant: Option<&Tenant>,
    prompt: &Prompt,
    attempted: &[String],
) -> Result<Choice, NoEndpoint> {
    let now = Instant::now();
    let index = router.fleet_view.prefix_view.current_index();
    let viewpoint = Viewpoint { zone: &router.node.zone, router: &router.node.name };
    let endpoint_set = router.fleet_view.endpoints_of(service, viewpoint);
    let weights = WantedWeights::new(&router.fleet_view, prompt, router.settings().bounds.version);
    let candidates = candidates::candidates(&weights, &endpoint_set, attempted, now);
    if candidates.is_empty() {
        return Err(NoEndpoint::Unknown);
    }
    let longest_idle = router.idle_timeouts.of(service).safe_idle_time(now);
    let subset = Subset::among(router.fleet_view.routers(), longest_idle);
    let request =
        RequestProfile::new(routing_table, service, prompt, index, viewpoint.zone, subset);
    let context = SelectionContext { request, endpoint_set: &endpoint_set, index, now };
    let isolation = prefix_cache::isolation(tenant, routing_table.isolation);
    let selection = Selection {
        prefix_caches: prefix_cache::prefix_caches(&context, &candidates, &isolation),
        affinity_target: affinity_target(&context, &candidates),
        newest: candidates.iter().filter_map(|candidate| candidate.version).max(),
        outdated_ms: outdated_ms(&router.fleet_view, prompt, now),
        border: border(&context, &candidates),
        context,
    };
    let best = selection.best(&candidates)?;
    Ok(selection.choose(&router.counters, &best))
}

/// What older weights cost now: nothing while a version has just been named, or none was.
fn outdated_ms(view: &FleetView, prompt: &Prompt, now: Instant) -> f64 {
    let model = prompt.model.as_deref();
    let since = model.and_then(|model| view.target_named_at(model));
    let is_priced = since.is_some_and(|since| now >= since + constants::OUTDATED_GRACE);
    if is_priced { constants::OUTDATED_COST_MS } else { 0.0 }
}

/// Where this router's subset of the candidates ends.
fn border(context: &SelectionContext, candidates: &[Candidate]) -> f64 {
    let endpoints = &context.endpoint_set.endpoints;
    let distance = |candidate: &Candidate| endpoints[candidate.endpoint].distance;
    context.request.subset.border(candidates.iter().map(distance).collect())
}

/// Where the deepest shared part settles, alike at all routers.
fn affinity_target(context: &SelectionContext, candidates: &[Candidate]) -> Option<usize> {
    let part = context.request.prompt.deepest_shared()?;
    let prefill_heavy = context.request.prompt.is_prefill_heavy();
    let rank = |endpoint: &Endpoint| (endpoint.prefill_heavy == prefill_heavy, endpoint.rank(part));
    candidates
        .iter()
        .map(|candidate| candidate.endpoint)
        .max_by_key(|endpoint| rank(&context.endpoint_set.endpoints[*endpoint]))
}

/// One placement under way.
struct Selection<'a> {
    context: SelectionContext<'a>,
    prefix_caches: SmallVec<[PrefixCache; 2]>,
    affinity_target: Option<usize>,
    /// the newest weights that any candidate has
    newest: Option<u64>,
    /// what weights older than those cost
    outdated_ms: f64,
    /// the distance at which the subset ends
    border: f64,
}

/// A candidate that was weighed, and the source that would spare it most.
struct Best<'a> {
    candidate: &'a Candidate,
    cost: Cost,
    source: Option<&'a Source>,
}

impl<'a> Selection<'a> {
    fn endpoint(&self, candidate: &Candidate) -> &'a Endpoint {
        &self.context.endpoint_set.endpoints[candidate.endpoint]
    }

    fn prefix_cache(&self, candidate: &Candidate) -> Option<&PrefixCache> {
        let version = candidate.version?;
        self.prefix_caches.iter().find(|prefix_cache| prefix_cache.version == version)
    }

    /// Tokens of the prompt that a candidate was seen to keep.
    fn cached(&self, candidate: &Candidate) -> u64 {
        self.prefix_cache(candidate)
            .map_or(0, |prefix_cache| prefix_cache.cached(candidate.endpoint))
    }

    /// The cheapest of the subset and of those that have the prefix; of all, if these are full.
    fn best<'b>(&'b self, candidates: &'b [Candidate]) -> Result<Best<'b>, NoEndpoint> {
        let weighed = candidates.iter().filter(|candidate| self.is_weighed(candidate));
        let best = match self.cheapest(weighed) {
            Some(best) if !best.cost.is_full => return Ok(best),
            Some(_) | None => self.cheapest(candidates.iter()).ok_or(NoEndpoint::Unknown)?,
        };
        if best.cost.is_full { Err(NoEndpoint::Full) } else { Ok(best) }
    }

    fn is_weighed(&self, candidate: &Candidate) -> bool {
        self.endpoint(candidate).distance <= self.border
            || self.affinity_target == Some(candidate.endpoint)
            || self.cached(candidate) >= constants::TRANSFER_MIN_TOKENS
    }

    fn cheapest<'b>(&'b self, candidates: impl Iterator<Item = &'b Candidate>) -> Option<Best<'b>> {
        let mut best: Option<Best> = None;
        for candidate in candidates {
            let next = self.evaluate(candidate);
            let key = |b: &Best| (b.cost.is_full, b.cost.ms);
            if best.as_ref().is_none_or(|best| key(&next) < key(best)) {
                best = Some(next);
            }
        }
        best
    }

    fn evaluate<'b>(&'b self, candidate: &'b Candidate) -> Best<'b> {
        let (endpoint, request, now) =
            (self.endpoint(candidate), &self.context.request, self.context.now);
        let cached = self.cached(candidate);
        let is_affinity_target = self.affinity_target == Some(candidate.endpoint);
        let source = self
            .prefix_cache(candidate)
            .and_then(|prefix_cache| prefix_cache.sources.best(request, endpoint, cached));
        let settled = is_affinity_target && !endpoint.engine.is_warming(now);
        let tokens = CachedTokens {
            known: cached,
            guessed: if settled { request.prompt.shared() } else { 0 },
        };
        let offer = source.map(|source| source.for_endpoint(request, endpoint, cached));
        let mut cost = cost::evaluate(request, endpoint, &tokens, offer.as_ref(), now);
        if candidate.version < self.newest {
            cost.ms += self.outdated_ms;
        }
        if candidate.draining_streams && !request.prompt.is_prefill_heavy() {
            cost.ms += constants::STREAM_DRAIN_COST_MS;
        }
        if is_affinity_target && source.is_some() && endpoint.engine.is_warming(now) {
            cost.ms -= constants::WARM_UP_BONUS_MS;
        }
        Best { candidate, cost, source }
    }

    fn choose(&self, counters: &Counters, best: &Best) -> Choice {
        let prefix_cache = self.prefix_cache(best.candidate);
        let chosen = self.choose_source(best);
        let sink = prefix_cache.and_then(|prefix_cache| {
            kv_transfer::sink(&self.context.request, &prefix_cache.sources)
        });
        self.count(counters, best, chosen.is_some(), sink.is_some());
        let (source, source_engine) = chosen.unzip();
        Choice {
            engine: self.endpoint(best.candidate).engine.clone(),
            version: best.candidate.version,
            salt: prefix_cache.map(|prefix_cache| prefix_cache.salt.clone()),
            prefill_tokens: best.cost.prefill_tokens,
            source,
            source_engine: source_engine.flatten(),
            sink,
        }
    }

    /// Where to fetch what is missing from: the best source, another holder, or the affinity target.
    fn choose_source(&self, best: &Best) -> Option<(String, Option<Arc<EngineHandle>>)> {
        if let Some(source) = best.source {
            return Some((source.address.clone(), source.engine.clone()));
        }
        let prefix_cache = self.prefix_cache(best.candidate)?;
        if let Some(holder) = prefix_cache.sources.second(self.endpoint(best.candidate)) {
            return Some((holder.address.clone(), holder.engine.clone()));
        }
        let affinity_target = self
            .affinity_target
            .filter(|affinity_target| *affinity_target != best.candidate.endpoint);
        let affinity_target = affinity_target
            .map(|affinity_target| &self.context.endpoint_set.endpoints[affinity_target]);
        kv_transfer::guess(&self.context.request, self.cached(best.candidate), affinity_target)
    }

    fn count(&self, counters: &Counters, best: &Best, asks: bool, sinks: bool) {
        let prompt = self.context.request.prompt;
        let prefill_tokens = best.cost.prefill_tokens;
        let cached = prompt.tokens().saturating_sub(prefill_tokens);
        let stored = self
            .prefix_cache(best.candidate)
            .is_some_and(|prefix_cache| prefix_cache.sources.is_stored());
        counters.missing_tokens.fetch_add(prefill_tokens, Ordering::Relaxed);
        counters.cached_tokens.fetch_add(cached, Ordering::Relaxed);
        counters.transfers.fetch_add(u64::from(best.source.is_some()), Ordering::Relaxed);
        counters.stored.fetch_add(u64::from(stored), Ordering::Relaxed);
        counters.sinks.fetch_add(u64::from(sinks), Ordering::Relaxed);
        if asks && best.source.is_none() {
            let shared = prompt.shared().saturating_sub(self.cached(best.candidate));
            counters.guesses.fetch_add(1, Ordering::Relaxed);
            counters.shared_missing.fetch_add(shared, Ordering::Relaxed);
        }
    }
}
