//! Roll-out of weights.

use std::time::Duration;

/// ms; the roll-out looks at its engines this often.
pub const ROLLOUT_INTERVAL: Duration = Duration::from_millis(100);
/// ms; routers know that an engine changes before it is ordered to.
pub const ROLLOUT_NOTICE: Duration = Duration::from_millis(120);
/// engines' share of a service that turn to new weights together at first; learnt from there.
pub const ROLLOUT_INITIAL_SHARE: f64 = 0.15;
/// engines' share of a service that turn together at the most, while the bound leaves the time.
pub const ROLLOUT_MAX_SHARE: f64 = 0.3;
/// ms; a roll-out means to end by then, and not much sooner. Older weights are worth a fifth less from a second and a half on;
/// but each shared part is read anew under the new weights, and in half of this time the engines that are left could not
/// read as much: a late response is worth less than one under older weights.
pub const ROLLOUT_GOAL: Duration = Duration::from_millis(7000);
/// engines' share of a service that turn together when the bound would else be missed.
pub const ROLLOUT_MAX_SHARE_LATE: f64 = 0.5;
/// share of the interactive engines that get no more long streams, or turn: the others take theirs.
pub const STREAM_DRAIN_SHARE: f64 = 0.34;
/// ms; long streams get this long to end before their engine is ordered all the same.
pub const STREAM_DRAIN_TIMEOUT: Duration = Duration::from_millis(2500);
/// ms; routers heed what the roll-out said of an engine this long; who said it may have died since.
pub const ROLLOUT_STATE_TIMEOUT: Duration = Duration::from_millis(4000);
/// ms; a turn longer than this is shown to the operator as stuck.
pub const UPDATE_SLOW: Duration = Duration::from_millis(4000);
/// ms; what a turn is taken to last until some were seen.
pub const UPDATE_INITIAL_ESTIMATE: Duration = Duration::from_millis(1000);
/// times the fastest load: slower than this, and fewer engines load together.
pub const SLOW_LOAD_FACTOR: f64 = 1.8;
/// share of the width that is left when loads turn slow.
pub const CONCURRENCY_DECREASE: f64 = 0.7;
/// ms; the width is cut at most this often, since loads under way were begun under the old one.
pub const CONCURRENCY_DECREASE_INTERVAL: Duration = Duration::from_millis(800);
/// share of an engine's recent runs that somebody waits for, above which it counts as interactive.
pub const INTERACTIVE_SHARE: f64 = 0.4;
/// what is left of the memory of an engine's mix after a `LOAD_REPORT_INTERVAL`; two seconds of traffic.
pub const MIX_DECAY: f32 = 0.95;
/// ms; what it costs a long stream to go to an engine that is about to turn.
pub const STREAM_DRAIN_COST_MS: f64 = 400.0;
/// ms; after the naming of a version, older weights are worth as much as before for about this long.
pub const OUTDATED_GRACE: Duration = Duration::from_millis(1200);
/// ms; what older weights cost from then on: a fifth of what the request is worth. A wait as long makes about one request in
/// five late where engines are busy.
pub const OUTDATED_COST_MS: f64 = 80.0;
/// ms; what each run beyond an engine's slots costs: one of them has to end first.
pub const SLOT_COST_MS: f64 = 120.0;
/// versions of a model's weights whose moments are remembered; several minutes of new ones each few seconds. Of more, the
/// oldest are taken for one.
pub const TARGET_VERSIONS_CAPACITY: usize = 16;
/// ms; the roll-out means to end this long before routers stop offering to old weights.
pub const ROLLOUT_MARGIN: Duration = Duration::from_millis(500);
/// ms; a request to an engine with older weights whose response has not begun is taken back this long before the bound:
/// the engine has dropped it by then, a round trip and a step later.
pub const VERSION_CUTOFF: Duration = Duration::from_millis(150);
/// ms; routers stop offering to old weights this long before the bound, and the wait expected there besides.
pub const VERSION_MARGIN: Duration = Duration::from_millis(1500);
