//! Acquisition and renewal of leases.

use std::time::Duration;

/// Ratio of a lease after which its holder renews it.
pub const LEASE_RENEWAL_RATIO: f64 = 0.3;
/// Ratio of a lease that its holder leaves unused at its end.
pub const LEASE_MARGIN_RATIO: f64 = 0.25;
/// Duration of the index owner's lease. It is short because the owner issues no orders and routers receive no updates
/// without one; it is long enough for three renewals, two of which may fail on a busy machine.
pub const INDEX_LEASE_DURATION: Duration = Duration::from_millis(2000);
/// A new index owner collects from holders and routers for this long before it serves a snapshot.
pub const INDEX_WARM_UP: Duration = Duration::from_millis(800);
/// Interval of the loop that acquires and renews leases.
pub const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two attempts to renew a lease: three fit into the remainder of the shortest lease.
pub const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(100);
/// A renewal without a majority by then is retried; members answer it from memory.
pub const LEASE_RENEWAL_TIMEOUT: Duration = Duration::from_millis(300);
