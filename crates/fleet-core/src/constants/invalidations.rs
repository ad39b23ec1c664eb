//! The ring of invalidations and the prompt index.

use std::time::Duration;

/// own findings that a router remembers, to report to a new index owner.
pub const REPEATED_FINDINGS_CAPACITY: usize = 256;
/// ms; how long a call for events is held by an engine: the longest the protocol allows.
pub const EVENTS_WAIT_MS: u64 = 1000;
/// ms; pause after a call for events, so that busy engines don't make it a loop.
pub const EVENTS_INTERVAL: Duration = Duration::from_millis(250);
/// routers; with fewer, all of them read the index owner's ring: a relay's copy of the index costs more than it spares.
pub const RELAY_ROUTERS: usize = 32;
/// ms; a relay reads the owner's ring this often at least.
pub const RELAY_READ_INTERVAL: Duration = Duration::from_millis(1000);
/// ms; a relay that the owner has not answered for so long stops. A lost owner has a successor before: until then the relay
/// still tells the routers near it what they find.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(8000);
/// ms; how long routers wait for a relay of their own zone after another controller has become the owner: its warm-up and
/// a snapshot.
pub const RELAY_PATIENCE: Duration = Duration::from_millis(2000);
/// ms; a relay that didn't answer is left alone this long.
pub const RELAY_RETRY_INTERVAL: Duration = Duration::from_millis(3000);
/// ms; pause before a router looks again for a ring to read.
pub const RING_SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// holders that are called at that pace; with more, each is called less often. Some 500 calls a second take a tenth of a
/// core.
pub const EVENTS_HOLDERS: usize = 320;
/// slots of the ring of invalidations; a power of two.
pub const RING_SLOTS: usize = 4096;
/// entries published under one hold of the writer's lock.
pub const RING_BATCH: usize = 64;
/// entries; a reader behind by more than this is nudged once.
pub const RING_LAG: u64 = 2048;
/// findings remembered for readers; more than come between two fetches.
pub const FINDINGS_CAPACITY: usize = 4096;
/// parts that no router has named as shared yet, of each of two generations; a minute of traffic.
pub const UNSHARED_PARTS_CAPACITY: usize = 16_384;
/// shared parts that are remembered before those are forgotten that no holder keeps; 2 MB.
pub const SHARED_PARTS_CAPACITY: usize = 131_072;
/// bytes of digests that may be on their way at once; each is held three times until it has gone out.
pub const REFILL_UNDERWAY: usize = 4 << 20;
/// bytes a ms at which digests go out: a third of the index owner's line of 100 Mbit/s.
pub const REFILL_BYTES_PER_MS: usize = 4_000;
/// bytes of a holder's and a salt's names in a digest, about.
pub const SNAPSHOT_NAME_BYTES: usize = 64;
/// bytes of a part and its kept tokens in a digest, at the most.
pub const SNAPSHOT_PART_BYTES: usize = 14;
/// holders whose gathered events a new index owner reads at the same time; each may send `EVENTS_BYTES`.
pub const FIRST_READS: usize = 8;
/// bytes; largest answer to a call for events that is read: some 30,000 events.
pub const EVENTS_BYTES: usize = 2 << 20;
/// ms; how long the first call for events is held, the least that is not priced as a probe.
pub const EVENTS_FIRST_WAIT_MS: u64 = 200;
/// s; a digest may take this long on a busy line before it is asked for again.
pub const REFILL_TIMEOUT: Duration = Duration::from_secs(2);
/// ms; routers tell what their sends leave behind this often.
pub const FINDINGS_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// findings of own sends that wait to be reported; more are only slower to come by.
pub const PENDING_FINDINGS_CAPACITY: usize = 512;
/// s; a reader that has not come for so long loses its cursor.
pub const READER_TIMEOUT: Duration = Duration::from_secs(10);
/// ms; routers fetch published entries this long after they hear of a new head.
pub const RING_FETCH_DELAY: Duration = Duration::from_millis(20);
/// ms; the index owner notifies of a new head at most this often.
pub const RING_PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// blocks of a prompt that are looked up; deeper ones are read without the index.
pub const CHAIN_BLOCKS: usize = 64;
/// entries of the prompt index in a router, of chains and of blocks each; about 6 MB when full.
pub const INDEX_ENTRIES: usize = 32_768;
/// blocks of one holder that are remembered as kept in part.
pub const TIER_ENTRIES: usize = 256;
/// salts whose seeds are remembered; weights of a few versions for each isolation.
pub const SALTS_CAPACITY: usize = 4096;
/// entries that one turn of the scrub looks at.
pub const SCRUB_ENTRIES: usize = 2048;
/// ms; pause between two turns of the scrub while there is work.
pub const SCRUB_INTERVAL: Duration = Duration::from_millis(50);
