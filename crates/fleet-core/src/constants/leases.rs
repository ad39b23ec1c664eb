//! Leases.

use std::time::Duration;

/// share of a lease after which its holder renews it.
pub const LEASE_RENEW: f64 = 0.3;
/// share of a lease that its holder leaves unused at its end.
pub const LEASE_MARGIN: f64 = 0.25;
/// ms; lease of the index owner, which orders nothing: short, since routers miss what it would send, and
/// long enough for three renewals of which two fail on a busy machine.
pub const INDEX_LEASE_DURATION: Duration = Duration::from_millis(2000);
/// ms; a new index owner collects from holders and routers this long before it gives a digest.
pub const INDEX_WARM_UP: Duration = Duration::from_millis(800);
/// ms; pause of the loop that acquires and renews leases.
pub const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// ms; pause between two tries to renew a lease: three fit into what is left of the shortest one.
pub const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(100);
/// ms; a renewal without a majority by then is tried again; members answer it from memory.
pub const LEASE_RENEWAL_TIMEOUT: Duration = Duration::from_millis(300);
