//! Connections between processes.

use std::time::Duration;

/// ms; a connection inside the fleet either comes up in a few round trips or is behind a cut.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// ms; unacknowledged bytes older than this mean a cut or a dark machine.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// s; first keep-alive probe of an idle connection, the least the kernel takes.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// s; pause between keep-alive probes, the least the kernel takes.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// probes; two lost in a row are rare without a cut.
pub const KEEPALIVE_PROBES: u32 = 2;
/// connections; a burst of clients after a failover must not lose its opening packets.
pub const LISTEN_BACKLOG: i32 = 1024;
/// bytes; a frame holds a configuration at the most, with room for its history.
pub const FRAME_MAX: usize = 8 << 20;
/// frames; a peer that reads slower than this is cut off and starts anew.
pub const LINK_BACKLOG: usize = 256;
/// ms; pause before a broken link is tried again.
pub const RECONNECT_BACKOFF: Duration = Duration::from_millis(250);
/// ms; a controller whose link stays down for longer is lost: a connection that was only reset is up again a
/// `RECONNECT_BACKOFF` later, and a process takes half a second to start.
pub const CONTROLLER_LOSS_TIMEOUT: Duration = Duration::from_millis(450);
/// bytes; frames that wait are written together up to this, so that a connection holds little beside its queue.
pub const WRITE_BATCH: usize = 64 << 10;
/// frames; a reader with so many waiting gets nothing that can be sent later in a newer form.
pub const SLOW_READER_BACKLOG: usize = 8;
/// complete states of the fleet that a controller has on their way to routers at once: 400 bytes an engine each in memory.
pub const COMPLETE_STATES_IN_FLIGHT: usize = 16;
/// ms; a router that has not read a complete state by then makes room for another: its line carries that of 240 engines in
/// a fiftieth of this.
pub const COMPLETE_STATE_TIMEOUT: Duration = Duration::from_millis(1000);
/// ms; pause before a slow reader's queue is looked at again.
pub const SLOW_READER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// bytes; most messages are small, and each connection has a buffer to read them from.
pub const LINK_READ_BUFFER: usize = 4096;
/// bytes; a larger buffer of written frames is given back once they have gone: a controller has a link to each router.
pub const WRITE_BUFFER_RETAINED: usize = 16 << 10;
