//! Request handling: retry budget, loads, placement, engine connections and responses.

use std::time::Duration;

/// Interval of a router's heartbeats to the controllers.
pub const ROUTER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// A router without a heartbeat for this long is no longer counted.
pub const ROUTER_TIMEOUT: Duration = Duration::from_millis(4000);
/// Ratio of the retry budget that is used; the rest covers time windows that are not aligned.
pub const RETRY_BUDGET_USED_RATIO: f64 = 0.8;
/// Number of routers that may join before the other routers know of them.
pub const BUDGET_SPARE_ROUTERS: usize = 3;
/// Interval at which engine loads are forwarded, twice on their way; most prefills take longer.
pub const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which unchanged loads are reported again.
pub const LOAD_REPORT_REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Number of engines up to which a report is sent every `LOAD_REPORT_INTERVAL`: 18 KB per second, a seventieth of a
/// 10 Mbit/s network link. Reports of more engines are sent less often.
pub const LOAD_REPORT_ENGINES: usize = 256;
/// Maximum interval between two reports, which must not expire before the next one arrives.
pub const LOAD_REPORT_INTERVAL_MAX: Duration = Duration::from_millis(1000);
/// Loads that are older than this are ignored.
pub const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Unit, in tokens, in which loads are reported.
pub const LOAD_TOKEN_UNIT: u64 = 64;
/// Maximum number of idle connections kept to one engine.
pub const MAX_IDLE_CONNECTIONS: usize = 12;
/// Number of connections to one engine that a router may always open, whatever its share of them.
pub const MIN_CONNECTIONS: usize = 2;
/// How long the remaining body of a rejected request is read so that its connection can be reused.
pub const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// A longer rejection body, in bytes, is not read to its end; its connection is closed and the engine is ejected.
pub const REJECTION_BODY_MAX_BYTES: usize = 64 << 10;
/// Number of body chunks, of one event each, that are read ahead of the client, so that slow clients slow down the
/// engine.
pub const RESPONSE_QUEUE_CHUNKS: usize = 4;
/// Largest partial event of a resumable stream that is kept, in bytes; events are a few hundred bytes long.
pub const PARTIAL_EVENT_MAX_BYTES: usize = 256 << 10;
/// Limit on the partial events of all streams together, in bytes.
pub const PARTIAL_EVENTS_BUDGET_BYTES: usize = 4 << 20;
/// An event, or a body without events that has not ended at its deadline, that is longer than this many bytes counts as
/// endless, and its engine as faulty.
pub const ENDLESS_BODY_BYTES: usize = 8 << 20;
/// A response that has sent more than this many bytes takes turns with all others of that size.
pub const BULK_BODY_BYTES: usize = 256 << 10;
/// Requests that a router has in flight at a time; each keeps its body and what its client has not read of its response.
pub const MAX_REQUESTS_IN_FLIGHT: usize = 512;
/// Open connections of clients; each keeps a part of a request head.
pub const MAX_CLIENT_CONNECTIONS: usize = 2048;
/// Bytes of each request body that are received whatever other requests keep.
pub const SMALL_BODY_BYTES: usize = 16 << 10;
/// Limit on what all request bodies together have beyond [`SMALL_BODY_BYTES`] each, in bytes.
pub const REQUEST_BODIES_BUDGET_BYTES: usize = 16 << 20;
/// An idle connection is closed after this time, before engines usually close it.
pub const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time after which a request that must not be retried uses another connection, until a safe idle time has been
/// learned: half of the time that connections are kept.
pub const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);
/// A connection that was idle for less than this was in use: its failure is attributed to the engine, not to an idle
/// timeout.
pub const IDLE_TIMEOUT_MIN: Duration = Duration::from_millis(100);
/// Ratio of the shortest idle time after which a connection was found closed that counts as safe, because idle
/// timeouts vary.
pub const IDLE_TIMEOUT_MARGIN: f64 = 0.6;
/// Smoothing factor by which a response after a longer idle time raises the safe idle time.
pub const IDLE_TIMEOUT_GAIN: f64 = 0.125;
/// A learned short idle time is doubled at this interval, because engines change.
pub const IDLE_TIMEOUT_DOUBLING_PERIOD: Duration = Duration::from_secs(30);
/// Maximum number of doublings; more than are needed from the minimum to the default.
pub const IDLE_TIMEOUT_MAX_DOUBLINGS: f64 = 16.0;
/// Read buffer for an engine's response, in bytes: a few events of a stream.
pub const ENGINE_READ_BUFFER: usize = 32 << 10;
/// Largest part of an engine's response that is read at once, in bytes. Below the smallest step in which the HTTP library
/// enlarges its buffer, so that a response to a slow client keeps only a few parts of this size.
pub const ENGINE_READ_BYTES: usize = (8 << 10) - 1;
/// Largest number of bytes that an engine may send while its response makes no progress. Covers a head, and what is read
/// ahead of a slow client.
pub const IDLE_BYTES_MAX: usize = 4 * ENGINE_READ_BUFFER;
/// Prefill rate of an engine, in tokens per ms, until it has been measured.
pub const PREFILL_TOKENS_PER_MS: f64 = 35.0;
/// Cost, in ms, that one more running request adds to the others.
pub const RUNNING_REQUEST_COST_MS: f64 = 2.0;
/// Cost, in ms, of a request that is queued at an engine.
pub const QUEUED_REQUEST_COST_MS: f64 = 40.0;
/// How long an engine's report of its own load is used.
pub const REPORTED_LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Cost, in ms, of leaving the zone, for traffic and latency.
pub const ZONE_COST_MS: f64 = 4.0;
/// Cost, in ms, of a new connection to an engine: a round trip, its setup at the engine, its price, and sometimes a
/// slot.
pub const NEW_CONNECTION_COST_MS: f64 = 5.0;
/// Additional cost, in ms, of the last engine in a router's own preference order over the first: less than a KV
/// transfer, so that a router leaves its subset for a cached prefix, and as much as a few running requests.
pub const SUBSET_DISTANCE_COST_MS: f64 = 12.0;
/// Approximate number of routers that have an engine in their subsets: the requests that they send before they learn
/// of each other's load keep an engine busy for a few tenths of a second.
pub const SUBSET_ROUTERS_PER_ENGINE: usize = 16;
/// Minimum number of engines in a subset: enough for both groups, including some that are updating their weights or
/// fail.
pub const SUBSET_MIN_ENGINES: usize = 12;
/// Factor applied to the distance of engines in the router's own zone; with six zones, half of a subset is in the
/// router's zone.
pub const SAME_ZONE_DISTANCE_SCALE: f64 = 0.2;
/// Number of other routers at which a router's own preference order has half of its weight.
pub const SUBSET_HALF_WEIGHT_ROUTERS: f64 = 64.0;
/// Minimum transfer size in tokens; a smaller transfer costs about as much as the prefill.
pub const TRANSFER_MIN_TOKENS: u64 = 400;
/// Ratio of unshared to shared tokens that may be written to the store together.
pub const STORE_MAX_UNSHARED_RATIO: f64 = 0.25;
/// Number of holders of one depth that are considered as transfer sources; more of them hardly differ.
pub const MAX_SOURCES_PER_DEPTH: usize = 3;
/// Minimum size, in tokens, of a shared part that is written to the store.
pub const STORE_MIN_SHARED_TOKENS: u64 = 1500;
/// Ratio of prompt tokens to output tokens above which a request counts as prefill-heavy.
pub const PREFILL_HEAVY_RATIO: u64 = 10;
/// Share of a service's engines that is assigned to prefill-heavy requests while interactive requests need no more of
/// the rest.
pub const PREFILL_HEAVY_SHARE: f64 = 0.67;
/// Share of their slots that long streams may fill before more engines are reserved for them.
pub const INTERACTIVE_SLOT_UTILIZATION: f64 = 0.75;
/// Minimum share of a service's engines that is assigned to prefill-heavy requests.
pub const PREFILL_HEAVY_MIN_SHARE: f64 = 0.58;
/// Hysteresis of the division between the groups, as a share of all engines.
pub const PREFILL_HEAVY_HYSTERESIS: f64 = 0.05;
/// Smoothing factor of the request count that the division is based on; covers one or two seconds of reports.
pub const INTERACTIVE_SMOOTHING: f64 = 0.05;
/// Cost, in ms, of sending a request to an engine of the other group.
pub const WRONG_GROUP_COST_MS: f64 = 120.0;
/// An engine that is first seen with at most this many calls has just started.
pub const NEW_ENGINE_CALLS: u64 = 3;
/// How long a new engine is not considered the rendezvous home of parts that it is not known to cache.
pub const WARM_UP_PERIOD: Duration = Duration::from_secs(5);
/// Bonus, in ms, for sending a shared part to its new home while the new engine warms up.
pub const WARM_UP_AFFINITY_BONUS_MS: f64 = 30.0;
/// Number of responses to prefill-heavy requests over which a new engine's waits are compared with those of the
/// others.
pub const WARM_UP_RESPONSES: u64 = 8;
/// Setup cost of a KV transfer, in ms.
pub const TRANSFER_COST_MS: f64 = 3.0;
/// Ratio of a shared part that the first engine by rendezvous hashing is assumed to cache without confirmation.
pub const AFFINITY_HIT_RATE: f64 = 0.8;
/// An engine that broke a connection is ejected for this long; doubles.
pub const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);
/// An engine is ejected after this many responses in a row that were no answers to their requests; one alone may be an
/// answer that came late.
pub const MAX_INVALID_RESPONSES: u32 = 3;
/// Maximum ejection time.
pub const MAX_EJECTION_TIME: Duration = Duration::from_millis(3200);
/// A response to a client is sent this long before its deadline.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// A dispatch that waits with the salt of an earlier isolation is cancelled after this share of `applyMs`, counted from
/// when the router has the new configuration; the rest is for the way of the configuration to the router.
pub const ISOLATION_GRACE_RATIO: f64 = 0.5;
/// Deadline of a client that gives none.
pub const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// Value of `Retry-After`, in seconds, for rejected clients.
pub const RETRY_AFTER: &str = "0.3";
