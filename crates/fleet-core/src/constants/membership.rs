//! Membership of the controllers.

use std::time::Duration;

/// ms; a member unreachable for this long may be replaced by a candidate of its own zone.
pub const MEMBER_TIMEOUT_SAME_ZONE: Duration = Duration::from_millis(3000);
/// ms; what is left of `catchUpS` for an exchange and for the newcomer's reading back: half a second until
/// it is looked for, two pauses by rank, a round, and over a second for a large state.
pub const REPLACEMENT_TIME: Duration = Duration::from_millis(2500);
/// ms; a member unreachable for this long may be replaced by any candidate.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(7000);
/// ms; a joiner asks again this often.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// s; a controller without a disk looks for a newer membership this often.
pub const OBSERVE_INTERVAL: Duration = Duration::from_secs(2);
/// s; a member that is linked but hasn't voted for this long may be replaced: reading back some MiB over a
/// slow line takes a third of it.
pub const NON_VOTING_TIMEOUT: Duration = Duration::from_secs(20);
/// ms; a voter waits this long for each voter of a lower address before it moves the membership: a round
/// and its notice take less.
pub const REPLACEMENT_RANK_DELAY: Duration = Duration::from_millis(400);
/// s; who votes is asked this often while a candidate waits and nobody is unreachable.
pub const VOTE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// bytes; part of a value that a member reads back at once: a tenth of a second of a 10 Mbit/s line.
pub const CHUNK_BYTES: usize = 128 << 10;
/// ms; one part of a value over a busy line; the next holder is asked after that.
pub const CHUNK_TIMEOUT: Duration = Duration::from_millis(1500);
/// s; a holder keeps a value that has been replaced for a reader that asks on, this long after it asked.
pub const STATE_TRANSFER_RETENTION: Duration = Duration::from_secs(10);
