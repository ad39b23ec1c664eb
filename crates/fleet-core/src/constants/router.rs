//! Requests: budget, loads, placement, connections to engines and answers.

use std::time::Duration;

/// ms; routers tell the controllers that they live this often.
pub const ROUTER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// ms; a router without a heartbeat for this long no longer counts.
pub const ROUTER_TIMEOUT: Duration = Duration::from_millis(4000);
/// share of a budget that is used; the rest covers windows that slide against each other.
pub const BUDGET_SHARE: f64 = 0.8;
/// routers; how many may join before the others hear of it.
pub const BUDGET_SPARES: usize = 3;
/// ms; loads of engines are passed on this often, twice on their way; most reads take longer.
pub const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// ms; loads that have not changed are reported again this often.
pub const LOAD_REPORT_REFRESH: Duration = Duration::from_millis(500);
/// engines in a report that goes out at each `LOAD_REPORT_INTERVAL`: 18 KB a second, a seventieth of a line of 10 Mbit/s. Of
/// more engines, reports go out less often.
pub const LOAD_REPORT_ENGINES: usize = 256;
/// ms; longest pause between two reports: they must not lapse before the next.
pub const LOAD_REPORT_INTERVAL_MAX: Duration = Duration::from_millis(1000);
/// ms; loads older than this count no more.
pub const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// tokens; unit in which loads are reported.
pub const LOAD_TOKENS: u64 = 64;
/// connections kept idle to one engine.
pub const IDLE_CONNECTIONS: usize = 12;
/// connections to one engine that a router may open, whatever its part of all of them.
pub const CONNECTIONS_LEAST: usize = 2;
/// ms; how long the body of a refusal is read, so that its connection may serve again.
pub const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// pieces of a body read ahead of its client; an event each, so that slow clients slow the engine.
pub const RELAY_BACKLOG: usize = 4;
/// s; an idle connection is given up before engines usually close it.
pub const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// s; rest after which a request that may run only once takes another connection, until more is
/// known: half of what is kept.
pub const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);
/// ms; a connection that rested for less was in use: its break is due to the engine, not to the rest.
pub const IDLE_TIMEOUT_MIN: Duration = Duration::from_millis(100);
/// share of the shortest rest seen forgotten that counts as safe, for rests vary.
pub const IDLE_TIMEOUT_MARGIN: f64 = 0.6;
/// share of the way to a longer rest by which one answer after it moves what counts as safe.
pub const IDLE_TIMEOUT_GAIN: f64 = 0.125;
/// s; what was learnt to be short is doubled this often, for engines change.
pub const IDLE_TIMEOUT_DOUBLING_PERIOD: Duration = Duration::from_secs(30);
/// doublings at the most; more than lead from the least to the unproven one.
pub const IDLE_TIMEOUT_MAX_DOUBLINGS: f64 = 16.0;
/// bytes; read ahead from an engine, a few events of a stream.
pub const ENGINE_READ_BUFFER: usize = 32 << 10;
/// tokens a ms; how fast an engine reads a prompt until more is known.
pub const READ_RATE: f64 = 35.0;
/// ms; what one more running request costs the others.
pub const RUN_COST_MS: f64 = 2.0;
/// ms; what a request waiting at an engine costs.
pub const WAIT_COST_MS: f64 = 40.0;
/// ms; what an engine reported of its own load counts this long.
pub const REPORTED_LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// ms; what leaving the zone costs in bytes and time.
pub const ZONE_COST_MS: f64 = 4.0;
/// ms; what a new connection to an engine costs: a round trip, its set-up there, its price, and at times a slot.
pub const NEW_CONNECTION_COST_MS: f64 = 5.0;
/// ms; what the last engine of a router's own order costs more than its first: less than a KV transfer, so that a router
/// leaves its subset for a cached prefix, and as much as a few running requests.
pub const SUBSET_SPREAD_MS: f64 = 12.0;
/// routers that have an engine in their subsets, about: what they send before they hear of each other keeps an engine busy
/// for some tenths of a second.
pub const SUBSET_ROUTERS: usize = 16;
/// engines in a subset at the least: of both groups, with some that change their weights or fail.
pub const SUBSET_ENGINES_LEAST: usize = 12;
/// what the distance of an engine in the router's own zone counts: half of a subset is there where there are six zones.
pub const NEAR_DISTANCE: f64 = 0.2;
/// other routers beside which a router's own order has half of its weight.
pub const SUBSET_HALF_ROUTERS: f64 = 64.0;
/// tokens; a move of fewer costs about as much as reading them.
pub const TRANSFER_MIN_TOKENS: u64 = 400;
/// own tokens that may go along to the store with shared ones, as their share.
pub const SINK_OWN_SHARE: f64 = 0.25;
/// holders of one depth that are weighed as sources; more hardly differ.
pub const SOURCES_WEIGHED: usize = 3;
/// tokens; shared parts of this size are worth a place in the store.
pub const SINK_TOKENS: u64 = 1500;
/// tokens read for each token put out, above which a request counts as heavy to read.
pub const PREFILL_HEAVY_RATIO: u64 = 10;
/// share of a service's engines that heavy requests settle at.
pub const PREFILL_HEAVY_SHARE: f64 = 0.67;
/// share of their slots that long streams may fill, before more engines are kept for them.
pub const LIGHT_FILL: f64 = 0.75;
/// share of a service's engines that heavy requests keep in any case.
pub const PREFILL_HEAVY_MIN_SHARE: f64 = 0.58;
/// engines by which the division has to be off before it moves, as a share of all.
pub const DIVISION_STEP: f64 = 0.05;
/// weight of the newest sum of runs in what the division goes by; a second or two of reports.
pub const DIVISION_WEIGHT: f64 = 0.05;
/// ms; what it costs to leave the half of the engines where one belongs.
pub const WRONG_GROUP_COST_MS: f64 = 120.0;
/// calls; an engine met with no more of them behind it has just started.
pub const NEW_ENGINE_CALLS: u64 = 3;
/// s; how long a newcomer is not taken for the home of parts that it was not seen to keep.
pub const WARM_UP_PERIOD: Duration = Duration::from_secs(5);
/// ms; what bringing a shared part to its new home is worth while the newcomer is taken in.
pub const WARM_UP_BONUS_MS: f64 = 30.0;
/// answers to heavy requests over which a newcomer's waits are set against all others'.
pub const WARM_UP_ANSWERS: u64 = 8;
/// ms; setting up a move.
pub const TRANSFER_COST_MS: f64 = 3.0;
/// share of a shared part that the first engine by rendezvous is taken to hold unseen.
pub const RENDEZVOUS_TRUST: f64 = 0.8;
/// ms; an engine that broke a connection is left alone this long; doubles.
pub const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);
/// ms; longest such rest.
pub const MAX_EJECTION_TIME: Duration = Duration::from_millis(3200);
/// ms; answer to a client goes out this long before its deadline.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// ms; what a client with no deadline waits.
pub const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// s; `Retry-After` of a client that is rejected.
pub const RETRY_AFTER: &str = "0.3";
