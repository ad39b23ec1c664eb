//! Membership of the controllers.

use std::time::Duration;

/// A member that is unreachable for this long may be replaced by a candidate of its own zone.
pub const MEMBER_TIMEOUT_SAME_ZONE: Duration = Duration::from_millis(3000);
/// Time reserved within `catchUpS` to replace a member and to transfer the state to the new one: half a second until
/// the check, two rank delays, a consensus round, and over a second for a large state.
pub const REPLACEMENT_DURATION: Duration = Duration::from_millis(2500);
/// A member that is unreachable for this long may be replaced by any candidate.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(7000);
/// Interval at which a joining controller repeats its request.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which a controller without a disk asks for a newer membership.
pub const OBSERVER_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// A member that is connected but has not voted for this long may be replaced: transferring a state of several MiB
/// over a slow network link takes a third of it.
pub const NON_VOTING_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay of a voter, for each voter with a lower address, before it changes the membership: a consensus round and its
/// commit notice take less.
pub const REPLACEMENT_RANK_DELAY: Duration = Duration::from_millis(400);
/// Interval at which the members are asked whether they vote while a candidate waits and no member is unreachable.
pub const VOTE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Chunk size in bytes for transferring a value to a member: a tenth of a second of a 10 Mbit/s network link.
pub const CHUNK_BYTES: usize = 128 << 10;
/// Timeout of one chunk over a busy network link, after which the next holder is asked.
pub const CHUNK_TIMEOUT: Duration = Duration::from_millis(1500);
/// After a reader's last request, a holder keeps a replaced value for this long so that the reader can continue.
pub const STATE_TRANSFER_RETENTION: Duration = Duration::from_secs(10);
