//! Parameters of the soak test. The bounds are those of the deployments.

use std::time::Duration;

/// Time from SIGTERM to SIGKILL.
pub const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// A machine counts as connected if neither it nor any controller was disrupted for this time.
pub const CONTACT_PERIOD: Duration = Duration::from_secs(3);
/// Time for which an engine may receive requests after its departure was acknowledged.
pub const DRAIN_PERIOD: Duration = Duration::from_secs(2);
/// A router answers a request that it has read but not forwarded within this time. If a connection closes without
/// a response sooner, the request may have crossed the close, and does not count as lost.
pub const UNFORWARDED_RESPONSE_LIMIT: Duration = Duration::from_millis(200);
/// Requests sent later than this after SIGTERM must get a complete response in any case.
pub const LATE_REQUEST_THRESHOLD: Duration = Duration::from_secs(3);
/// Interval between two heartbeats of an engine.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Timeout after which a caller tries another controller.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that every request gives as its deadline.
pub const DEADLINE_MS: u64 = 25_000;
/// A client abandons a request after this time.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(26);
/// The fleet must become ready, and pending disruptions must complete, within this time.
pub const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Undisturbed time before the first disruption.
pub const WARM_UP: Duration = Duration::from_secs(2);
/// Undisturbed time after the last disruption, in which requests show whether acknowledged changes persist.
pub const COOL_DOWN: Duration = Duration::from_secs(8);
/// Maximum time of a request in an engine's queue.
pub const MAX_QUEUE_TIME: Duration = Duration::from_secs(7);
/// Maximum delay of a delayed heartbeat.
pub const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(5);
/// Number of machines with a controller.
pub const CONTROLLER_MACHINES: usize = 3;
/// Number of engines that serve at a time.
pub const ENGINES: usize = 4;
/// Number of events in a stream, one every [`EVENT_INTERVAL`].
pub const STREAM_EVENTS: u64 = 20;
/// Interval between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which a process that was sent SIGTERM is polled for its exit.
pub const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Memory of the smallest machines that are deployed, in bytes; no process may use more.
pub const MACHINE_MEMORY_BYTES: u64 = 160_000_000;
/// Interval at which the memory of the processes is sampled.
pub const MEMORY_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes that a faulty engine sends at a time.
pub const FLOOD_PART_BYTES: usize = 64 << 10;
/// Pause of a faulty engine between them, so that one connection takes 64 MB a second.
pub const FLOOD_PART_INTERVAL: Duration = Duration::from_millis(1);
/// Bytes of a message that a client keeps; it reads and discards the rest.
pub const MESSAGE_MAX_BYTES: usize = 1 << 20;
/// Time after which a request sent earlier may no longer be handled by an older configuration.
pub const APPLY_PERIOD: Duration = Duration::from_secs(2);
/// Time after which no request may begin on weights that are older than an acknowledged version. Shorter than
/// [`MAX_QUEUE_TIME`], so that it passes while requests wait.
pub const VERSION_PERIOD: Duration = Duration::from_secs(4);
/// Time that new weights take an engine.
pub const WEIGHTS_LOAD_TIME: Duration = Duration::from_millis(100);
/// Name of the engines' model.
pub const MODEL: &str = "m";
/// Version of the weights that engines have at first.
pub const FIRST_WEIGHTS: u64 = 1;
/// The tenants. Each configuration isolates others of them.
pub const TENANTS: [&str; 3] = ["t0", "t1", "t2"];
/// Number of prompt parts that requests of all tenants have in common; each request has one of them.
pub const SHARED_PARTS: usize = 3;
/// Name of the engines' service.
pub const SERVICE: &str = "s";
/// Host name of all routes.
pub const HOST: &str = "h.example";
