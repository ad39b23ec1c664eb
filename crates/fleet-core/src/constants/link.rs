//! Connections between processes.

use std::time::Duration;

/// A connection within the fleet is either established within a few round trips or blocked by a network partition.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes that stay unacknowledged for longer than this indicate a network partition or a failed machine.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time before the first keep-alive probe; the minimum that the kernel accepts.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes; the minimum that the kernel accepts.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of lost keep-alive probes that close a connection; two lost in a row are rare without a partition.
pub const KEEPALIVE_PROBES: u32 = 2;
/// Connections in the accept queue: a burst of clients after a failover must not lose its SYN packets.
pub const LISTEN_BACKLOG: i32 = 1024;
/// Maximum frame size in bytes: the largest configuration with its history.
pub const FRAME_MAX_BYTES: usize = 8 << 20;
/// Largest frame that is received without a budget, in bytes; most messages are smaller.
pub const SMALL_FRAME_BYTES: usize = 4 << 10;
/// Largest handshake in bytes: a name, an address and a zone.
pub const HANDSHAKE_MAX_BYTES: usize = 4 << 10;
/// Limit on the frames that a process is receiving or handling, over all links, in bytes: two of the largest.
pub const RECEIVED_FRAMES_BUDGET_BYTES: usize = 2 * FRAME_MAX_BYTES;
/// Limit on the frames that wait for the reader of one link, in bytes: the largest, and some messages besides.
pub const LINK_QUEUE_BYTES: usize = FRAME_MAX_BYTES + (64 << 10);
/// Bytes that may wait for the reader of each link, whatever waits for others.
pub const LINK_MIN_QUEUE_BYTES: usize = 64 << 10;
/// Limit on the frames that wait for readers over all links, in bytes, beyond that minimum.
pub const QUEUED_FRAMES_BUDGET_BYTES: usize = 2 * FRAME_MAX_BYTES;
/// Interval at which a frame that waits for a budget looks at it again.
pub const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a peer that makes no progress within a frame is disconnected; longer than processes stand still.
pub const FRAME_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Slowest rate, in bytes per ms, at which a peer may send or read a frame: 4 Mbit/s.
pub const FRAME_MIN_BYTES_PER_MS: usize = 500;
/// Messages of one connection that are handled at the same time; more wait to be read.
pub const MESSAGES_IN_FLIGHT: usize = 64;
/// Messages pushed by a controller that wait to be applied by a router.
pub const PUSHED_QUEUE_FRAMES: usize = 16;
/// Maximum number of queued frames; a peer that reads more slowly is disconnected and starts again.
pub const LINK_QUEUE_FRAMES: usize = 256;
/// Pause before reconnecting a broken link.
pub const RECONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// A controller whose link is down for longer is considered lost: a connection that was only reset is up again after
/// `RECONNECT_BACKOFF`, and a process takes half a second to start.
pub const CONTROLLER_LOSS_TIMEOUT: Duration = Duration::from_millis(450);
/// Queued frames are written together up to this size in bytes, so that a connection buffers little beyond its queue.
pub const WRITE_BATCH_BYTES: usize = 64 << 10;
/// A reader with this many queued frames is sent no message that can be replaced by a newer one later.
pub const SLOW_READER_QUEUE_FRAMES: usize = 8;
/// Number of complete fleet states that a controller sends to routers concurrently; each takes 400 bytes of memory
/// per engine.
pub const COMPLETE_STATES_IN_FLIGHT: usize = 16;
/// A router that has not read a complete state by then gives up its place to another one: its network link transmits
/// a state of 240 engines in a fiftieth of this time.
pub const COMPLETE_STATE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which the queue of a slow reader is checked.
pub const SLOW_READER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Read buffer of a connection, in bytes; most messages are small and each connection has a buffer.
pub const LINK_READ_BUFFER_BYTES: usize = 4096;
/// A write buffer larger than this many bytes is freed after its frames have been sent, because a controller has a
/// link to each router.
pub const WRITE_BUFFER_RETAINED_BYTES: usize = 16 << 10;

/// Time in which a peer must send or read a frame of this many bytes.
pub fn frame_timeout(bytes: usize) -> Duration {
    FRAME_STALL_TIMEOUT + Duration::from_millis((bytes / FRAME_MIN_BYTES_PER_MS) as u64)
}
