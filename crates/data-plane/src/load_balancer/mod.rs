//! Selects the engine for a request: the one with the lowest cost to this request and to others, in milliseconds.
//!
//! [`candidates`] filters out engines that must not or should not serve the request, [`cache_isolation`] decides whose
//! cached prompt parts it may use, [`prefix_cache`] and [`kv_transfer`] determine what each engine has cached or could
//! receive, and [`cost`] computes the total (docs/load-balancing.md). Selection only reads the fleet view and the engine
//! handles, and never waits. A stale index or load costs time and breaks no rule. The isolation, the version of the
//! weights and the state of the engine do matter: what changes of them until the engine begins the request is handled
//! by `proxy::dispatch_cutoff`.

pub mod cache_isolation;
pub mod candidates;
pub mod cost;
pub mod kv_transfer;
pub mod prefix_cache;
pub mod prompt;
pub mod request_profile;

use crate::fleet_view::FleetView;
use crate::fleet_view::endpoints::{Endpoint, Viewpoint};
use crate::fleet_view::routing_table::RoutingTable;
use crate::fleet_view::tenants::Tenant;
use crate::pool::EngineHandle;
use crate::{Counters, Router};
use cache_isolation::CacheIsolation;
use candidates::{AllowedWeights, Candidate};
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

/// The engine selected for one dispatch, and the model weights and KV cache that it uses.
pub struct Choice {
    /// The selected engine.
    pub engine: Arc<EngineHandle>,
    /// Version of the weights that the request runs under; none if the engine reports none for the model.
    pub version: Option<u64>,
    /// Salt of the block hashes in the KV cache; none if no version is known.
    pub salt: Option<String>,
    /// The isolation that the salt names.
    pub isolation: CacheIsolation,
    /// Number of prompt tokens that the engine is expected to compute itself.
    pub prefill_tokens: u64,
    /// Address from which the engine may fetch KV blocks that it lacks.
    pub source: Option<String>,
    /// The engine at `source`; none if `source` is a KV store.
    pub source_engine: Option<Arc<EngineHandle>>,
    /// Address of the KV store to which the engine writes its blocks.
    pub sink: Option<String>,
}

/// Reason why no engine was selected.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum NoEndpoint {
    /// No known engine of the service may run the request.
    Unknown,
    /// All candidates are full.
    Full,
}

/// Selects an engine for a request, excluding the instance ids in `attempted`. `routing_table` is the configuration in
/// force, which may be newer than the one under which the request was accepted; `tenant` is from the latter.
///
/// # Errors
///
/// Returns [`NoEndpoint::Unknown`] if no known engine may run the request, and [`NoEndpoint::Full`] if all that may are
/// full.
pub fn choose_engine(
    router: &Router,
    routing_table: &RoutingTable,
    service: &str,
    tenant: Option<&Tenant>,
    prompt: &Prompt,
    attempted: &[String],
) -> Result<Choice, NoEndpoint> {
    let now = Instant::now();
    let index = router.fleet_view.prefix_view.current_index();
    let viewpoint = Viewpoint { zone: &router.node.zone, router: &router.node.name };
    let endpoint_set = router.fleet_view.endpoints_of(service, viewpoint);
    let weights = AllowedWeights::new(&router.fleet_view, prompt, router.settings().bounds.version);
    let candidates = candidates::candidates(&weights, &endpoint_set, attempted, now);
    if candidates.is_empty() {
        return Err(NoEndpoint::Unknown);
    }
    let max_idle = router.idle_timeouts.for_service(service).safe_idle_time(now);
    let subset = Subset::new(router.fleet_view.routers(), max_idle);
    let request =
        RequestProfile::new(routing_table, service, prompt, index, viewpoint.zone, subset);
    let context = SelectionContext { request, endpoint_set: &endpoint_set, index, now };
    let isolation = CacheIsolation::new(tenant, routing_table);
    let selection = Selection {
        prefix_caches: prefix_cache::prefix_caches(&context, &candidates, &isolation),
        affinity_target: affinity_target(&context, &candidates),
        newest: candidates.iter().filter_map(|candidate| candidate.version).max(),
        outdated_cost_ms: outdated_cost_ms(&router.fleet_view, prompt, now),
        max_distance: max_distance(&context, &candidates),
        isolation,
        context,
    };
    let best = selection.best(&candidates)?;
    Ok(selection.build_choice(&router.counters, &best))
}

/// Cost of running under outdated weights: zero if no target version is known, or within
/// [`constants::OUTDATED_GRACE`] of its announcement.
fn outdated_cost_ms(view: &FleetView, prompt: &Prompt, now: Instant) -> f64 {
    let model = prompt.model.as_deref();
    let since = model.and_then(|model| view.target_announced_at(model));
    let is_charged = since.is_some_and(|since| now >= since + constants::OUTDATED_GRACE);
    if is_charged { constants::OUTDATED_COST_MS } else { 0.0 }
}

/// Distance of the last candidate in this router's subset.
fn max_distance(context: &SelectionContext, candidates: &[Candidate]) -> f64 {
    let endpoints = &context.endpoint_set.endpoints;
    let distance = |candidate: &Candidate| endpoints[candidate.endpoint].distance;
    context.request.subset.max_distance(candidates.iter().map(distance).collect())
}

/// The engine to which the deepest shared prompt part is routed, by rendezvous hashing; all routers agree on it.
/// Engines that prefer requests of this kind, prefill-heavy or not, come first.
fn affinity_target(context: &SelectionContext, candidates: &[Candidate]) -> Option<usize> {
    let part = context.request.prompt.deepest_shared()?;
    let prefill_heavy = context.request.prompt.is_prefill_heavy();
    let rank = |endpoint: &Endpoint| (endpoint.prefill_heavy == prefill_heavy, endpoint.rank(part));
    candidates
        .iter()
        .map(|candidate| candidate.endpoint)
        .max_by_key(|endpoint| rank(&context.endpoint_set.endpoints[*endpoint]))
}

/// State of one engine selection.
struct Selection<'a> {
    context: SelectionContext<'a>,
    prefix_caches: SmallVec<[PrefixCache; 2]>,
    isolation: CacheIsolation,
    affinity_target: Option<usize>,
    /// The newest version of the weights among the candidates.
    newest: Option<u64>,
    /// Cost added to candidates with weights older than `newest`, in milliseconds.
    outdated_cost_ms: f64,
    /// Distance of the last engine in this router's subset.
    max_distance: f64,
}

/// An evaluated candidate, and the source of KV blocks that would save it the most time.
struct BestCandidate<'a> {
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

    /// Number of prompt tokens that the index reports as cached at a candidate.
    fn cached_tokens(&self, candidate: &Candidate) -> u64 {
        self.prefix_cache(candidate)
            .map_or(0, |prefix_cache| prefix_cache.cached_tokens(candidate.endpoint))
    }

    /// The cheapest candidate within the subset or with the prefix cached; if these are full, the cheapest of all.
    fn best<'b>(&'b self, candidates: &'b [Candidate]) -> Result<BestCandidate<'b>, NoEndpoint> {
        let considered = candidates.iter().filter(|candidate| self.is_considered(candidate));
        let best = match self.cheapest(considered) {
            Some(best) if !best.cost.is_full => return Ok(best),
            Some(_) | None => self.cheapest(candidates.iter()).ok_or(NoEndpoint::Unknown)?,
        };
        if best.cost.is_full { Err(NoEndpoint::Full) } else { Ok(best) }
    }

    fn is_considered(&self, candidate: &Candidate) -> bool {
        self.endpoint(candidate).distance <= self.max_distance
            || self.affinity_target == Some(candidate.endpoint)
            || self.cached_tokens(candidate) >= constants::TRANSFER_MIN_TOKENS
    }

    fn cheapest<'b>(
        &'b self,
        candidates: impl Iterator<Item = &'b Candidate>,
    ) -> Option<BestCandidate<'b>> {
        let mut best: Option<BestCandidate> = None;
        for candidate in candidates {
            let next = self.evaluate(candidate);
            let key = |evaluated: &BestCandidate| (evaluated.cost.is_full, evaluated.cost.ms);
            if best.as_ref().is_none_or(|best| key(&next) < key(best)) {
                best = Some(next);
            }
        }
        best
    }

    fn evaluate<'b>(&'b self, candidate: &'b Candidate) -> BestCandidate<'b> {
        let (endpoint, request, now) =
            (self.endpoint(candidate), &self.context.request, self.context.now);
        let cached = self.cached_tokens(candidate);
        let is_affinity_target = self.affinity_target == Some(candidate.endpoint);
        let source = self
            .prefix_cache(candidate)
            .and_then(|prefix_cache| prefix_cache.sources.best_for(request, endpoint, cached));
        let assume_cached = is_affinity_target && !endpoint.engine.is_warming_up(now);
        let tokens = CachedTokens {
            indexed: cached,
            assumed: if assume_cached { request.prompt.shared() } else { 0 },
        };
        let transfer = source.map(|source| source.estimate_transfer(request, endpoint, cached));
        let mut cost = cost::evaluate(request, endpoint, &tokens, transfer.as_ref(), now);
        if candidate.version < self.newest {
            cost.ms += self.outdated_cost_ms;
        }
        if candidate.draining_streams && !request.prompt.is_prefill_heavy() {
            cost.ms += constants::STREAM_DRAIN_COST_MS;
        }
        if is_affinity_target && source.is_some() && endpoint.engine.is_warming_up(now) {
            cost.ms -= constants::WARM_UP_AFFINITY_BONUS_MS;
        }
        BestCandidate { candidate, cost, source }
    }

    fn build_choice(&self, counters: &Counters, best: &BestCandidate) -> Choice {
        let prefix_cache = self.prefix_cache(best.candidate);
        let chosen_source = self.choose_source(best);
        let sink = prefix_cache.and_then(|prefix_cache| {
            kv_transfer::choose_sink(&self.context.request, &prefix_cache.sources)
        });
        self.record_counters(counters, best, chosen_source.is_some(), sink.is_some());
        let (source, source_engine) = chosen_source.unzip();
        Choice {
            engine: self.endpoint(best.candidate).engine.clone(),
            version: best.candidate.version,
            salt: prefix_cache.map(|prefix_cache| prefix_cache.salt.clone()),
            isolation: self.isolation.clone(),
            prefill_tokens: best.cost.prefill_tokens,
            source,
            source_engine: source_engine.flatten(),
            sink,
        }
    }

    /// Where the engine fetches missing KV blocks from: the best source, else another known holder, else the affinity
    /// target, which may have them.
    fn choose_source(&self, best: &BestCandidate) -> Option<(String, Option<Arc<EngineHandle>>)> {
        if let Some(source) = best.source {
            return Some((source.address.clone(), source.engine.clone()));
        }
        let prefix_cache = self.prefix_cache(best.candidate)?;
        if let Some(holder) = prefix_cache.sources.alternative(self.endpoint(best.candidate)) {
            return Some((holder.address.clone(), holder.engine.clone()));
        }
        let affinity_target = self
            .affinity_target
            .filter(|affinity_target| *affinity_target != best.candidate.endpoint);
        let affinity_target = affinity_target
            .map(|affinity_target| &self.context.endpoint_set.endpoints[affinity_target]);
        kv_transfer::guess_source(
            &self.context.request,
            self.cached_tokens(best.candidate),
            affinity_target,
        )
    }

    fn record_counters(
        &self,
        counters: &Counters,
        best: &BestCandidate,
        has_source: bool,
        has_sink: bool,
    ) {
        let prompt = self.context.request.prompt;
        let prefill_tokens = best.cost.prefill_tokens;
        let cached = prompt.tokens().saturating_sub(prefill_tokens);
        let is_stored = self
            .prefix_cache(best.candidate)
            .is_some_and(|prefix_cache| prefix_cache.sources.is_stored());
        counters.missing_tokens.fetch_add(prefill_tokens, Ordering::Relaxed);
        counters.cached_tokens.fetch_add(cached, Ordering::Relaxed);
        counters
            .known_source_dispatches
            .fetch_add(u64::from(best.source.is_some()), Ordering::Relaxed);
        counters.stored_prefix_dispatches.fetch_add(u64::from(is_stored), Ordering::Relaxed);
        counters.sink_dispatches.fetch_add(u64::from(has_sink), Ordering::Relaxed);
        if has_source && best.source.is_none() {
            let shared = prompt.shared().saturating_sub(self.cached_tokens(best.candidate));
            counters.presumed_source_dispatches.fetch_add(1, Ordering::Relaxed);
            counters.missing_shared_tokens.fetch_add(shared, Ordering::Relaxed);
        }
    }
}
