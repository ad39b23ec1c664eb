//! The invalidation ring and the prompt index.

use std::time::Duration;

/// Number of its own findings that a router keeps to report to a new index owner.
pub const RECENT_FINDINGS_CAPACITY: usize = 256;
/// How long, in ms, an engine holds an events request open: the maximum that the protocol allows.
pub const EVENTS_WAIT_MS: u64 = 1000;
/// Pause after an events request, so that requests to busy engines, which answer at once, do not become a busy loop.
pub const EVENTS_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the processor that reading and applying the events of all holders may take.
pub const EVENTS_MAX_CPU_SHARE: f64 = 0.2;
/// Longest pause of a holder whose events take more than its part of that share.
pub const EVENTS_MAX_PAUSE: Duration = Duration::from_secs(10);
/// With fewer routers than this, all of them read the index owner's ring: a relay's copy of the index costs more than
/// it saves.
pub const RELAY_MIN_ROUTERS: usize = 32;
/// Maximum interval between two reads of the owner's ring by a relay.
pub const RELAY_READ_INTERVAL: Duration = Duration::from_millis(1000);
/// A relay stops when the owner has not answered for this long. A lost owner has a successor before that; until then
/// the relay still distributes the findings of the routers near it.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(8000);
/// How long routers wait for a relay in their own zone after another controller has become the owner: its warm-up
/// plus a snapshot.
pub const RELAY_START_TIMEOUT: Duration = Duration::from_millis(2000);
/// A relay that did not answer is not asked again for this long.
pub const RELAY_RETRY_INTERVAL: Duration = Duration::from_millis(3000);
/// Pause before a router searches again for a ring to read.
pub const RING_SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Number of holders that are polled at the full rate; with more, each is polled less often. About 500 requests per
/// second use a tenth of a core.
pub const EVENTS_FULL_RATE_HOLDERS: usize = 320;
/// Slots of the invalidation ring; a power of two.
pub const RING_SLOTS: usize = 4096;
/// Number of entries published while the writer's lock is held once.
pub const RING_BATCH: usize = 64;
/// A reader that is behind by more entries than this is notified once.
pub const RING_LAG_THRESHOLD: u64 = 2048;
/// Number of findings kept for readers; more than occur between two fetches.
pub const FINDINGS_CAPACITY: usize = 4096;
/// Longest salt that the index takes from a holder, in bytes: it names a model, a version and an isolation.
pub const SALT_MAX_BYTES: usize = 256;
/// Parts that the index of a controller keeps for all holders, with 16 for each salt; about 20 MB.
pub const INDEX_CAPACITY: usize = 512 << 10;
/// Most parts that the index keeps for one holder: more than there are blocks in a store.
pub const MAX_HOLDER_CAPACITY: usize = 64 << 10;
/// Parts that the index may keep for each holder, however many holders there are.
pub const MIN_HOLDER_CAPACITY: usize = 2 << 10;
/// Shared parts of one response that are invalidated one by one; with more, their holder is invalidated as a whole, so
/// that no holder can overrun the readers of the ring.
pub const HOLDER_INVALIDATIONS_MAX: usize = 1024;
/// Locations that are kept of a part that no router has reported as shared yet.
pub const UNSHARED_LOCATIONS_PER_PART: usize = 64;
/// Capacity, in locations, of each of two generations of parts that no router has reported as shared yet; one minute of
/// traffic.
pub const UNSHARED_PARTS_CAPACITY: usize = 16_384;
/// Number of shared parts kept before those without a holder are removed; 2 MB.
pub const SHARED_PARTS_CAPACITY: usize = 131_072;
/// Limit on snapshot bytes in flight; each snapshot is held in memory three times until it has been sent.
pub const SNAPSHOT_BYTES_IN_FLIGHT: usize = 4 << 20;
/// Rate, in bytes per ms, at which snapshots are sent: a third of the index owner's network link of 100 Mbit/s.
pub const SNAPSHOT_BYTES_PER_MS: usize = 4_000;
/// Approximate size, in bytes, of the names of a holder and a salt in a snapshot.
pub const SNAPSHOT_NAME_BYTES: usize = 64;
/// Maximum size, in bytes, of a part and its cached token count in a snapshot.
pub const SNAPSHOT_PART_BYTES: usize = 14;
/// Number of holders whose buffered events a new index owner reads concurrently; each may send `EVENTS_MAX_BYTES`.
pub const INITIAL_READ_CONCURRENCY: usize = 8;
/// Maximum response size of an events request, in bytes: about 30,000 events.
pub const EVENTS_MAX_BYTES: usize = 2 << 20;
/// How long, in ms, the first events request is held open; the shortest time that is not charged as a probe.
pub const EVENTS_FIRST_WAIT_MS: u64 = 200;
/// Time that a snapshot may take over a busy network link before it is requested again.
pub const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often routers report the prompt parts that their requests leave cached at holders.
pub const FINDINGS_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of a router's own findings that wait to be reported; findings beyond that are dropped and only become known
/// later.
pub const PENDING_FINDINGS_CAPACITY: usize = 512;
/// A reader that has not fetched for this long loses its cursor.
pub const READER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between a router's notification of a new ring head and its fetch of the published entries.
pub const RING_FETCH_DELAY: Duration = Duration::from_millis(20);
/// Minimum interval between two notifications of a new head by the index owner.
pub const RING_PUBLISH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of prompt blocks that are looked up; deeper ones are not covered by the index.
pub const MAX_LOOKUP_BLOCKS: usize = 64;
/// Entries of a router's prompt index, for chains and for blocks each; about 6 MB when full.
pub const INDEX_ENTRIES: usize = 32_768;
/// Number of blocks of one holder that are remembered as partially cached.
pub const PARTIAL_BLOCKS_CAPACITY: usize = 256;
/// Number of salts whose seeds are cached: the weights of a few versions for each isolation.
pub const SALTS_CAPACITY: usize = 4096;
/// Number of entries checked in one pass of the scrub.
pub const SCRUB_BATCH: usize = 2048;
/// Pause between two passes of the scrub while there is work.
pub const SCRUB_INTERVAL: Duration = Duration::from_millis(50);
