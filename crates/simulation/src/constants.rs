//! Parameters of the simulation, with their reasons.

use std::time::Duration;

/// Minimum delay of a chunk of bytes between two machines, that of a hop inside a zone.
pub const MIN_DELAY_US: u64 = 200;
/// Maximum additional delay of a chunk, so that messages on different links overtake each other.
pub const DELAY_JITTER_US: u64 = 1800;
/// Maximum additional delay of a chunk on a slow link, long enough for callers to time out first.
pub const SLOW_LINK_JITTER_US: u64 = 400_000;
/// Capacity of a stream's buffer; a writer waits while the buffer is full.
pub const STREAM_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of connections that wait for a listener to accept them.
pub const BACKLOG: usize = 256;
/// A connection that is blocked for this long is closed, as by the kernel's TCP user timeout.
pub const BLOCKED_STREAM_TIMEOUT: Duration = fleet_core::constants::TCP_USER_TIMEOUT;
/// Minimum duration of a synced write.
pub const MIN_SYNC_US: u64 = 300;
/// Maximum additional duration of a synced write.
pub const SYNC_JITTER_US: u64 = 2700;
/// Additional duration of each synced write on a slow disk.
pub const SLOW_DISK_DELAY: Duration = Duration::from_millis(150);
/// A caller of `control` tries another node if it got no response within this time.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// An operator's first pause before it resends an update; doubles with each attempt.
pub const RESEND_BACKOFF_MS: u64 = 60;
/// An operator's longest pause before it resends an update.
pub const MAX_RESEND_BACKOFF_MS: u64 = 1000;
/// An operator abandons an update after this many attempts without a definite response.
pub const MAX_SEND_ATTEMPTS: usize = 12;
/// Mean pause between two updates of one operator.
pub const UPDATE_INTERVAL_MS: u64 = 250;
/// Base of the random pause between two reads of one reader.
pub const READ_INTERVAL_MS: u64 = 120;
/// Interval at which leases and memberships are sampled.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the first fault, in which the machines bootstrap the membership and grow it to five.
pub const WARM_UP: Duration = Duration::from_secs(8);
/// Faults begin within this time after the warm-up.
pub const FAULT_WINDOW: Duration = Duration::from_secs(25);
/// A change must be acknowledged within this time after the last fault: several times the duration
/// of an election, a recovery and a link's reconnection together.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum duration of one fault.
pub const MAX_FAULT_DURATION: Duration = Duration::from_secs(12);
/// Port on which controllers accept links from each other.
pub const PEER_PORT: u16 = 7100;
/// Port of the `control` address in the settings. Simulated callers call the controller directly.
pub const CONTROL_PORT: u16 = 8080;
/// A restarted or new machine counts as lost for this long, the time that the platform allows for
/// catching up.
pub const CATCH_UP_MS: u64 = 4000;
/// Number of seed addresses in the settings.
pub const SEED_COUNT: usize = 3;
/// All machines start within this time.
pub const MAX_START_DELAY_MS: u64 = 300;
/// Interval between two heartbeats of an engine.
pub const HEARTBEAT_MS: u64 = 1000;
/// Share of engine heartbeats that are delayed.
pub const DELAYED_HEARTBEAT_PERCENT: u64 = 30;
/// Maximum delay of a delayed heartbeat.
pub const MAX_HEARTBEAT_DELAY_MS: u64 = 10_000;
/// An engine announces its departure within this time from the start of the run.
pub const MAX_DEPARTURE_MS: u64 = 30_000;
/// Time limit for the final read at one node.
pub const FINAL_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that each workload has to finish its last call at the end of the run.
pub const WORKLOAD_STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// Share of updates with a body that must be rejected as invalid.
pub const INVALID_UPDATE_PERCENT: u64 = 8;
/// Share of updates that repeat an earlier acknowledged one.
pub const REPEATED_UPDATE_PERCENT: u64 = 15;
/// Second octet of the addresses of machines.
pub const MACHINE_OCTET: u8 = 0;
/// Second octet of the addresses of clients outside the cluster.
pub const CLIENT_OCTET: u8 = 9;
/// Number of zones that the machines are distributed over.
pub const ZONE_COUNT: u8 = 3;
/// Port on which the echo service for link calls listens.
pub const ECHO_PORT: u16 = 7300;
/// Timeout of a call to the echo service.
pub const ECHO_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum delay of the echo service's response; longer than the timeout, so that some responses come
/// too late.
pub const MAX_ECHO_DELAY_MS: u64 = 400;
/// Interval between two calls to the echo service.
pub const ECHO_INTERVAL_MS: u64 = 40;
/// A router switches to another controller after at most this time.
pub const MAX_ROUTER_LINK_MS: u64 = 6000;
/// A process that is shutting down is killed after this time, the platform's grace period.
pub const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Duration of a lease.
pub const LEASE_MS: u64 = 3000;
/// Duration of a lease on the node with the injected bug `LongLease`.
pub const LONG_LEASE_MS: u64 = 30_000;
/// Maximum number of reads in which an operator tries to find out the current version before it goes on.
pub const MAX_RESOLVE_ATTEMPTS: usize = 6;
