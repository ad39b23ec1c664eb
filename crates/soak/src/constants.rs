//! Figures of the soak, with their units. The bounds are those of the deployments.

use std::time::Duration;

/// s; from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(4);
/// s; a machine is in touch once nothing has disturbed it and the controllers for so long.
pub const CONTACT: Duration = Duration::from_secs(3);
/// s; an engine serves on for so long after its drain was acknowledged.
pub const DRAIN: Duration = Duration::from_secs(2);
/// ms; a request that a router read and passed on to nobody is answered within this.
pub const LOSS_SLACK: Duration = Duration::from_millis(200);
/// s; requests that are sent later than this after SIGTERM are to be answered in any case.
pub const LATE_AFTER_SIGTERM: Duration = Duration::from_secs(3);
/// ms; interval of an engine's heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// s; callers of controllers go on to another one after this.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// ms; the deadline of every request.
pub const DEADLINE_MS: u64 = 25_000;
/// s; a client gives a request up after this.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(26);
/// s; the fleet comes up within this.
pub const START_TIMEOUT: Duration = Duration::from_secs(30);
/// s; calm before the first disruption.
pub const WARM_UP: Duration = Duration::from_secs(2);
/// s; calm behind the last disruption, in which what was acknowledged is looked at.
pub const COOL_DOWN: Duration = Duration::from_secs(8);
/// s; the longest that an engine leaves a request in its queue.
pub const QUEUE_MAX: Duration = Duration::from_secs(7);
/// s; a heartbeat that comes late comes within this.
pub const LATE_HEARTBEAT: Duration = Duration::from_secs(5);
/// machines with a controller.
pub const CORE_MACHINES: usize = 3;
/// engines that serve at a time.
pub const ENGINES: usize = 4;
/// events of a stream, one each `EVENT_INTERVAL`.
pub const STREAM_EVENTS: u64 = 20;
/// ms; pause between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// ms; how often a process that was told to end is looked at.
pub const EXIT_POLL: Duration = Duration::from_millis(10);
/// Name of the service.
pub const SERVICE: &str = "s";
/// Host of the routes.
pub const HOST: &str = "h.example";
