//! Startup, shutdown and resources of a process.

use std::time::Duration;

/// Time after SIGTERM by which the platform has seen two failed readiness probes.
pub const PROBE_FAILURE_DELAY: Duration = Duration::from_millis(2600);
/// A process ends this long before the end of its grace period.
pub const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// A router answers the requests that still wait this long before the end of its grace period, so that the responses
/// are sent before it ends.
pub const SHUTDOWN_RESPONSE_MARGIN: Duration = Duration::from_millis(600);
/// Interval at which a router that shuts down checks for open client connections.
pub const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A controller waits for its machine's router until this long before the end of its grace period: the router has
/// ended by then, and closing the controller's own server takes less.
pub const CONTROLLER_GRACE_MARGIN: Duration = Duration::from_millis(280);
/// Time that pending calls of engines and operators get when a controller ends.
pub const SERVER_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which the settings file is read again without a signal.
pub const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which counters are logged.
pub const COUNTERS_INTERVAL: Duration = Duration::from_secs(20);
/// Stack size of a thread in bytes; call chains are short and memory is limited.
pub const STACK_BYTES: usize = 512 << 10;
