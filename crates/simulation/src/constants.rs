//! Figures of the simulated world, with unit and reason.

use std::time::Duration;

/// us; least time of a chunk of bytes between two machines, a hop inside a zone.
pub const DELAY_LEAST_US: u64 = 200;
/// us; what a chunk of bytes may take beyond that, so that messages of several links cross.
pub const DELAY_SPREAD_US: u64 = 1800;
/// us; what a chunk may take on a slow link, long enough for calls to be given up before.
pub const SLOW_SPREAD_US: u64 = 400_000;
/// bytes; a stream holds so much on its way before its writer waits.
pub const STREAM_BYTES: usize = 64 << 10;
/// connections; what a listener holds before it accepts them.
pub const BACKLOG: usize = 256;
/// ms; bytes held up by a cut for so long end their connection, as the kernel's user timeout does.
pub const BLOCKED_STREAM_TIMEOUT: Duration = fleet_core::constants::TCP_USER_TIMEOUT;
/// us; least time of a synced write.
pub const SYNC_LEAST_US: u64 = 300;
/// us; what a synced write may take beyond that.
pub const SYNC_SPREAD_US: u64 = 2700;
/// ms; what each synced write of a slow disk takes besides.
pub const SLOW_SYNC: Duration = Duration::from_millis(150);
/// s; the silence after which a caller of `control` tries another node.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// ms; an operator's first pause before it sends an order again; grows.
pub const RESEND_BACKOFF_MS: u64 = 60;
/// ms; an operator's longest pause before it sends an order again.
pub const RESEND_BACKOFF_MAX_MS: u64 = 1000;
/// sendings; an operator gives an order up after so many without a clear answer.
pub const SENDINGS_MOST: usize = 12;
/// ms; the pause between two orders of one operator.
pub const ORDER_INTERVAL_MS: u64 = 250;
/// ms; the pause between two reads of one reader.
pub const READ_INTERVAL_MS: u64 = 120;
/// ms; how often duties and memberships are looked at.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// s; the machines found their membership, and grow it to five, in this time before the first fault.
pub const WARM_UP: Duration = Duration::from_secs(8);
/// s; faults begin within this time after the warm-up.
pub const FAULTS_SPAN: Duration = Duration::from_secs(25);
/// s; a change is acknowledged within this time after the last fault: an election, a recovery and
/// a link that comes up again, several times over.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(12);
/// s; the longest that one fault lasts.
pub const FAULT_MAX_DURATION: Duration = Duration::from_secs(12);
/// port; where controllers hear each other.
pub const PEER_PORT: u16 = 7100;
/// port; where callers of `control` would reach a controller.
pub const CONTROL_PORT: u16 = 8080;
/// ms; a machine that is back or new counts as lost for this long, as the platform's time of
/// catching up.
pub const CATCH_UP_MS: u64 = 4000;
/// machines; how many addresses the settings name as seeds.
pub const SEEDS: usize = 3;
/// ms; all machines start within this time.
pub const START_SPREAD_MS: u64 = 300;
/// ms; the pause between two heartbeats of an engine.
pub const HEARTBEAT_MS: u64 = 1000;
/// of 100; heartbeats of engines that come late.
pub const LATE_IN_100: u64 = 30;
/// ms; a late heartbeat comes within this time.
pub const LATE_HEARTBEAT_MS: u64 = 10_000;
/// ms; the longest time until an engine begins to drain.
pub const DRAIN_WITHIN_MS: u64 = 30_000;
/// s; a reader tries so long for the last read at one node.
pub const LAST_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// s; an operator's last order may be under way for so long when the run ends.
pub const LAST_ORDER_TIMEOUT: Duration = Duration::from_secs(3);
/// of 100; orders that must be refused as invalid.
pub const INVALID_IN_100: u64 = 8;
/// of 100; acknowledged orders that are sent again later.
pub const AGAIN_IN_100: u64 = 15;
/// second part of the addresses of machines.
pub const INSIDE: u8 = 0;
/// second part of the addresses of those who call from outside.
pub const OUTSIDE: u8 = 9;
/// zones; machines are spread over so many.
pub const ZONES: u8 = 3;
/// port; where the test service of the link's own calls listens.
pub const ECHO_PORT: u16 = 7300;
/// ms; the link's own calls are given up after this.
pub const ECHO_TIMEOUT: Duration = Duration::from_millis(300);
/// ms; the test service takes up to this long for an answer, so that some come too late.
pub const ECHO_LONGEST_MS: u64 = 400;
/// ms; the pause between two of the link's own calls.
pub const ECHO_INTERVAL_MS: u64 = 40;
/// ms; a router changes the controller that it is linked with after at most this long.
pub const ROUTER_STAYS_MS: u64 = 6000;
/// s; a leaving process ends after this at the latest, as the platform's grace.
pub const GRACE: Duration = Duration::from_secs(8);
/// ms; the lease of a duty.
pub const LEASE_MS: u64 = 3000;
/// ms; the lease as the defect of a long lease has it at one node.
pub const LONG_LEASE_MS: u64 = 30_000;
/// reads; an operator asks so often which version is current before it goes on.
pub const RESOLVES_MOST: usize = 6;
