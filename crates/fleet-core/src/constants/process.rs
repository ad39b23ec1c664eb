//! The life of a process.

use std::time::Duration;

/// s; after SIGTERM, the platform has seen two missed probes by then.
pub const PROBES_MISSED: Duration = Duration::from_millis(2600);
/// ms; a process ends this long before its grace does.
pub const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// ms; a router answers what still waits this long before its grace ends: the answers are on their way when it ends.
pub const ANSWERS_DUE_MARGIN: Duration = Duration::from_millis(600);
/// ms; a router that ends looks this often whether a client still has a connection.
pub const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// ms; a controller waits for its machine's router until this long before its grace ends: the router has ended by then, and
/// closing its own server takes less.
pub const CONTROLLER_GRACE_MARGIN: Duration = Duration::from_millis(280);
/// ms; calls of engines and operators that are under way when a controller ends get this long.
pub const SERVER_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// s; the settings file is read again this often without a signal.
pub const SETTINGS_REREAD_INTERVAL: Duration = Duration::from_secs(5);
/// s; counters are written out this often.
pub const COUNTERS_INTERVAL: Duration = Duration::from_secs(20);
/// bytes of stack of a thread; calls are shallow and memory is dear.
pub const STACK_BYTES: usize = 512 << 10;
