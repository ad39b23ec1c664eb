//! Control state and its disk.

use std::time::Duration;

/// ms; one phase of a register round: two syncs of a slowed disk and a round trip.
pub const PHASE_TIMEOUT: Duration = Duration::from_millis(400);
/// ms; a change given to its owner is taken over after this, well inside the second callers wait.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(350);
/// ms; a call gives up here, so that its caller hears of it inside its second of silence.
pub const CHANGE_TIMEOUT: Duration = Duration::from_millis(900);
/// ms; longest first pause of a duel between two owners; doubles.
pub const DUEL_PAUSE_MS: u64 = 40;
/// ms; how often a controller compares what it knows with what its peers hold.
pub const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(500);
/// ms; a record that waits longer counts as one that hangs: below the limit of a phase, so that an owner
/// whose own vote didn't come in time knows why. A slowed disk takes half of it for the sync under way and
/// half for the record's own.
pub const DISK_TIMEOUT: Duration = Duration::from_millis(350);
/// ms; how often a refused disk is tried again.
pub const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// bytes; a slot is laid down in full at first start so that a full disk stops nothing; it is laid
/// down to twice the state once the state fills two thirds of it.
pub const SLOT_BYTES: usize = 1 << 20;
/// bytes; zeros written at once while a file is laid down.
pub const PREALLOCATE_CHUNK_BYTES: usize = 64 << 10;
/// bytes; the log between two slots, laid down at first start; small so that recovery is short.
pub const LOG_BYTES: usize = 2 << 20;
/// entries; taken configurations that are remembered, so that an order sent again is known: several
/// days of hundreds of changes. Each costs 17 bytes or a few more in every later value, 35 KB in all.
pub const COMMITTED_CONFIGS_CAPACITY: usize = 2048;
/// bytes; largest configuration read, above any limit an operator sets on bodies.
pub const CONFIG_BYTES: usize = 6 << 20;
/// ms; a controller counts as in contact this long after it asked a majority of the voters: two rounds of
/// the learner with one member silent, and some more.
pub const CONTACT_SPAN: Duration = Duration::from_millis(1500);
/// share of the platform's own bound of contact that ours may take at the most.
pub const CONTACT_SHARE: f64 = 0.5;
/// ms; pause between two looks whether contact stands.
pub const CONTACT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// share of the span: with less of it left, the voters are asked without waiting for the learner.
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

/// ms; longest that a working disk takes for this many bytes of queued records.
pub fn disk_timeout(bytes: usize) -> Duration {
    DISK_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}

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
/// ms; a controller answers a router's heartbeat each second: one silent for longer is asked last.
pub const CONTROLLER_FRESH: Duration = Duration::from_millis(1500);
/// bytes; part of a value that a member reads back at once: a tenth of a second of a 10 Mbit/s line.
pub const CHUNK_BYTES: usize = 128 << 10;
/// ms; one part of a value over a busy line; the next holder is asked after that.
pub const CHUNK_TIMEOUT: Duration = Duration::from_millis(1500);
/// s; a holder keeps a value that has been replaced for a reader that asks on, this long after it asked.
pub const STATE_TRANSFER_RETENTION: Duration = Duration::from_secs(10);
