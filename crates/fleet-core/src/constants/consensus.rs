//! Agreement on the control state.

use std::time::Duration;

/// ms; one phase of a register round: two syncs of a slowed disk and a round trip.
pub const PHASE_TIMEOUT: Duration = Duration::from_millis(400);
/// ms; a change given to its owner is taken over after this, well inside the second callers wait.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(350);
/// ms; a call gives up here, so that its caller learns of it inside its time-out of a second.
pub const CHANGE_TIMEOUT: Duration = Duration::from_millis(900);
/// ms; how often a controller compares what it knows with what its peers hold.
pub const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(500);
/// entries; committed configurations that are remembered, so that a repeated change is known: several
/// days of hundreds of changes. Each costs 17 bytes or a few more in every later value, 35 KB in all.
pub const COMMITTED_CONFIGS_CAPACITY: usize = 2048;
/// ms; a controller counts as in contact this long after it asked a majority of the voters: two rounds of
/// the anti-entropy with one member unreachable, and some more.
pub const CONTACT_SPAN: Duration = Duration::from_millis(1500);
/// share of the platform's own bound of contact that ours may take at the most.
pub const CONTACT_SHARE: f64 = 0.5;
/// ms; pause between two looks whether contact stands.
pub const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// share of the span: with less of it left, the voters are asked without waiting for the anti-entropy.
pub const CONTACT_RENEW: f64 = 0.34;
/// bytes a ms; rate at which a value reaches all other voters at least. Four copies share the sender's line of
/// 100 Mbit/s, other traffic takes a part of it, and the disk writes the value too.
pub const VALUE_BYTES_PER_MS: u64 = 2_000;
/// ms; an owner that moved its key more recently is left alone.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// ms; longest first pause before an election is tried again; doubles.
pub const ELECTION_BACKOFF_MS: u64 = 60;
/// epochs; a ballot further ahead of what a voter knows is not one that elections brought about: a key sees a few
/// elections a second at the worst, and a voter is away for days at the most.
pub const EPOCH_LEAD_MAX: u64 = 1 << 24;
/// times that a change is passed on before it is decided where it is.
pub const CHANGE_HOPS: u32 = 2;
/// times that a read looks at a quorum before it asks the owner to complete what is open.
pub const READ_ATTEMPTS: u32 = 4;
/// ms; longest first pause between two looks of a read; doubles. A round takes two syncs and a round trip.
pub const READ_BACKOFF_MS: u64 = 20;

/// ms; limit of one round that carries a value of so many bytes.
pub fn phase_timeout(bytes: usize) -> Duration {
    PHASE_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}

/// ms; limit of a change that carries so many bytes: its caller waits longer for large bodies.
pub fn change_timeout(bytes: usize) -> Duration {
    CHANGE_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}

/// ms; limit of a change that is passed to its owner.
pub fn owner_timeout(bytes: usize) -> Duration {
    OWNER_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}
