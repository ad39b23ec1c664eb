//! Distribution of the configuration to routers.

use std::time::Duration;

/// Largest accepted configuration body, in bytes; larger than any body limit that an operator sets.
pub const CONFIG_MAX_BYTES: usize = 6 << 20;
/// Deflate level for configuration bodies. For a configuration of 1,600 routes it takes 1.5 ms instead of the 2.7 ms
/// of the default level and produces 6% more bytes.
pub const COMPRESSION_LEVEL: u32 = 3;
/// Number of previous configuration bodies that a controller keeps compressed to compute deltas for routers: more
/// than are committed while a router is disconnected for a few seconds.
pub const PREVIOUS_CONFIGS_CAPACITY: usize = 32;
/// Limit on the total size of these compressed bodies, in bytes.
pub const PREVIOUS_CONFIGS_CAPACITY_BYTES: usize = 4 << 20;
/// Number of computed deltas that a controller caches for routers that request the same one.
pub const DELTA_CACHE_CAPACITY: usize = 8;
/// A router asks another controller for the configuration after this time. A confirming consensus round takes tens of
/// milliseconds, and three attempts have to fit well within the time in which a change must be in force.
pub const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// The same timeout for a configuration that has to be sent in full: all routers may then share a few network links.
pub const CONFIG_FULL_FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// Upper bound of this timeout, for a large configuration over a slow network link.
pub const CONFIG_FETCH_TIMEOUT_MAX: Duration = Duration::from_millis(4000);
/// Initial upper bound, in ms, of the randomized delay before a failed configuration fetch is retried; doubles with
/// each failure.
pub const CONFIG_FETCH_BACKOFF_MS: u64 = 50;
/// Controllers answer a router's heartbeat every second; a controller that has not answered for longer than this is
/// asked last.
pub const CONTROLLER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
