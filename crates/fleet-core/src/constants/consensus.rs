//! Consensus on the control state.

use std::time::Duration;

/// Timeout of one phase of a register round: two syncs of a slow disk and a round trip.
pub const PHASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a change that was forwarded to the owner of its key, after which the forwarding node proposes it
/// itself; well below the one second that callers wait.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of a change, so that its caller learns of the failure within its own timeout of one second.
pub const CHANGE_TIMEOUT: Duration = Duration::from_millis(900);
/// How often a controller compares its registers with those of its peers.
pub const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of committed configurations that are remembered to detect a repeated change: several days with hundreds of
/// changes each. Each entry adds 17 bytes or slightly more to every later value, 35 KB in total.
pub const COMMITTED_CONFIGS_CAPACITY: usize = 2048;
/// A controller counts as in contact for this long after it asked a majority of the voters: two anti-entropy rounds
/// with one member unreachable, plus a margin.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest allowed ratio of our contact timeout to the platform's bound (`bounds.contactMs`).
pub const CONTACT_MAX_BOUND_RATIO: f64 = 0.5;
/// Interval between checks of whether quorum contact is still established.
pub const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// When less than this ratio of the contact timeout is left, the voters are asked without waiting for the next
/// anti-entropy round.
pub const CONTACT_RENEWAL_RATIO: f64 = 0.34;
/// Minimum rate, in bytes per ms, at which a value reaches all other voters. Four copies share the sender's network
/// link of 100 Mbit/s with other traffic, and the disk has to write the value too.
pub const VALUE_BYTES_PER_MS: u64 = 2_000;
/// An owner that changed its key more recently than this is not challenged.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Initial upper bound, in ms, of the randomized delay before an election is retried; doubles with each attempt.
pub const ELECTION_BACKOFF_MS: u64 = 60;
/// A ballot whose epoch is further ahead of the voter's than this cannot result from elections and is rejected: a key
/// sees at most a few elections per second, and a voter is offline for days at most.
pub const MAX_EPOCH_ADVANCE: u64 = 1 << 24;
/// Maximum number of times a change is forwarded; the last receiver has to decide it.
pub const MAX_CHANGE_FORWARDS: u32 = 2;
/// Number of times a read queries a quorum before it asks the owner to complete a pending round.
pub const MAX_READ_ATTEMPTS: u32 = 4;
/// Initial upper bound, in ms, of the randomized delay between two queries of a read; doubles. A round takes two
/// syncs and a round trip.
pub const READ_BACKOFF_MS: u64 = 20;

/// Timeout of one round that carries a value of this many bytes.
pub fn phase_timeout(bytes: usize) -> Duration {
    PHASE_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}

/// Timeout of a change that carries this many bytes; callers wait longer for large bodies.
pub fn change_timeout(bytes: usize) -> Duration {
    CHANGE_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}

/// Timeout of a change of this many bytes that was forwarded to the owner of its key.
pub fn owner_timeout(bytes: usize) -> Duration {
    OWNER_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}
