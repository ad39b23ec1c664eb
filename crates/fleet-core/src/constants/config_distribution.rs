//! The configuration on its way to routers.

use std::time::Duration;

/// bytes; largest configuration read, above any limit an operator sets on bodies.
pub const CONFIG_BYTES: usize = 6 << 20;
/// level of deflate for bodies of configurations: on one of 1,600 routes it takes 1.5 ms in place of
/// the usual level's 2.7 ms, for 6 in 100 more bytes.
pub const PACKING_LEVEL: u32 = 3;
/// bodies; former configurations that a controller keeps packed, to tell routers only what changed:
/// more than come into force while a router is cut off for a few seconds.
pub const BODIES_CAPACITY: usize = 32;
/// bytes; bound of all these packed bodies together.
pub const BODIES_CAPACITY_BYTES: usize = 4 << 20;
/// deltas; those that a controller keeps for the next router that asks for the same.
pub const DELTAS_CAPACITY: usize = 8;
/// ms; a router asks another controller for a configuration after this; a confirming round takes
/// tens of ms, and three tries have to fit well inside the time in which a change is to be in force.
pub const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// ms; the same for a configuration that has to come whole: all routers may share a few lines then.
pub const CONFIG_FULL_FETCH_TIMEOUT: Duration = Duration::from_millis(1000);
/// ms; longest such wait: a large configuration over a slow line.
pub const CONFIG_FETCH_TIMEOUT_MAX: Duration = Duration::from_millis(4000);
/// ms; pause before a failed fetch of a configuration is tried again, at random up to this; doubles.
pub const CONFIG_FETCH_BACKOFF_MS: u64 = 50;
/// ms; a controller answers a router's heartbeat each second: one without an answer for longer is asked last.
pub const CONTROLLER_FRESH: Duration = Duration::from_millis(1500);
