//! Rollout of weights.

use std::time::Duration;

/// Interval at which the rollout checks its engines.
pub const ROLLOUT_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between announcing an engine's update to the routers and ordering it.
pub const UPDATE_NOTICE_DELAY: Duration = Duration::from_millis(120);
/// Initial share of a service's engines that load new weights concurrently; adjusted by measurement afterwards.
pub const ROLLOUT_INITIAL_SHARE: f64 = 0.15;
/// Maximum share of a service's engines that load new weights concurrently while the version bound leaves enough
/// time.
pub const ROLLOUT_MAX_SHARE: f64 = 0.3;
/// Planned duration of a rollout, and not much less. Requests served with older weights lose a fifth of their value
/// after 1.5 seconds. But every shared part has to be prefilled again under the new weights, and in half of this time
/// the remaining engines could not do as much prefill: a late response is worth less than one with older weights.
pub const ROLLOUT_TARGET_DURATION: Duration = Duration::from_millis(7000);
/// Maximum share of a service's engines that load new weights concurrently when the version bound would otherwise be
/// missed.
pub const ROLLOUT_MAX_SHARE_LATE: f64 = 0.5;
/// Share of the interactive engines that may be draining long streams or updating at the same time; the other engines
/// take their requests.
pub const STREAM_DRAIN_SHARE: f64 = 0.34;
/// Long streams get this long to complete before their engine is ordered to update regardless.
pub const STREAM_DRAIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// Routers use the rollout state of an engine for this long; the controller that reported it may have failed since.
pub const ROLLOUT_STATE_TIMEOUT: Duration = Duration::from_millis(4000);
/// An update that takes longer than this is reported to the operator as stuck.
pub const UPDATE_STUCK_THRESHOLD: Duration = Duration::from_millis(4000);
/// Estimated duration of an update until some have been measured.
pub const UPDATE_INITIAL_ESTIMATE: Duration = Duration::from_millis(1000);
/// A load that is this many times slower than the fastest one reduces the number of concurrent loads.
pub const SLOW_LOAD_FACTOR: f64 = 1.8;
/// Factor by which the concurrency is reduced when loads become slow.
pub const CONCURRENCY_DECREASE: f64 = 0.7;
/// Minimum interval between two reductions of the concurrency, because loads in progress were started under the
/// previous one.
pub const CONCURRENCY_DECREASE_INTERVAL: Duration = Duration::from_millis(800);
/// Share of interactive requests among an engine's recent ones above which it counts as interactive.
pub const INTERACTIVE_SHARE: f64 = 0.4;
/// Factor by which the recorded request mix of an engine decays per `LOAD_REPORT_INTERVAL`; covers two seconds of
/// traffic.
pub const INTERACTIVE_SHARE_DECAY: f32 = 0.95;
/// Cost, in ms, of sending a long stream to an engine that is about to update.
pub const STREAM_DRAIN_COST_MS: f64 = 400.0;
/// For about this long after a new target version is set, responses with older weights keep their full value.
pub const OUTDATED_GRACE: Duration = Duration::from_millis(1200);
/// Cost, in ms, of using older weights after that: a fifth of the value of a request. An additional wait of this
/// length makes about one request in five late when engines are busy.
pub const OUTDATED_COST_MS: f64 = 80.0;
/// Cost, in ms, of each request beyond the slots of an engine: one of the running requests has to complete first.
pub const SLOT_OVERCOMMIT_COST_MS: f64 = 120.0;
/// Number of versions of a model's weights whose start times are kept: several minutes of a new version every few
/// seconds. Beyond that, the two oldest are merged.
pub const TARGET_VERSIONS_CAPACITY: usize = 16;
/// A rollout is planned to end this long before routers stop sending requests to engines with older weights.
pub const ROLLOUT_MARGIN: Duration = Duration::from_millis(500);
/// A request to an engine with older weights whose response has not begun is cancelled this long before the bound:
/// the engine has dropped it by then, after a round trip and one engine step.
pub const VERSION_CUTOFF_MARGIN: Duration = Duration::from_millis(150);
/// Routers stop sending requests to engines with older weights this long, plus the wait expected there, before the
/// bound.
pub const VERSION_MARGIN: Duration = Duration::from_millis(1500);
