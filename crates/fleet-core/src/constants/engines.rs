//! Engine heartbeats, departures, orders and reports, as the controllers handle them.

use std::time::Duration;

/// Maximum size of an engine's heartbeat, in bytes.
pub const HEARTBEAT_MAX_BYTES: usize = 4096;
/// Limit on the configurations that wait for callers to read them, in bytes: one of the largest.
pub const ANSWERS_BUDGET_BYTES: usize = super::CONFIG_MAX_BYTES;
/// Part of an answer that is handed to a connection at a time, in bytes.
pub const ANSWER_PART_BYTES: usize = 64 << 10;
/// Time in which a caller must send the body of its call; it gives up after a second, or some more for a large body.
pub const CALL_BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Limit on what the bodies of all calls that a controller is receiving have beyond a heartbeat's size each, in bytes:
/// two of the largest configurations.
pub const CALL_BODIES_BUDGET_BYTES: usize = 2 * super::CONFIG_MAX_BYTES;
/// How often routine heartbeats are sent to the other controllers.
pub const HEARTBEAT_REPLICATION_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for sending heartbeats to the other controllers. A drain is replicated to a majority within this time,
/// which is below the one second that engines wait.
pub const DRAIN_REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Heartbeat periods without a heartbeat after which an engine is suspected.
pub const MISSED_HEARTBEAT_PERIODS: f64 = 3.5;
/// Minimum time that the departure of an instance is remembered, so that no delayed call makes it ready again.
pub const DEPARTURE_RETENTION: Duration = Duration::from_secs(300);
/// Maximum number of departure records: a whole fleet departing within the retention period, plus a margin.
pub const DEPARTURES_CAPACITY: usize = 1024;
/// Size in bytes of a value with that many records, for ids of a dozen characters.
pub const DEPARTURES_VALUE_BYTES: usize = DEPARTURES_CAPACITY * 26;
/// Maximum length of an engine id in bytes; bounds the size of the departure records.
pub const ENGINE_ID_MAX_BYTES: usize = 128;
/// How often an engine with a pending order is asked for its report.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// An order that the engine does not report as in progress is abandoned after this time and evaluated again.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(6);
/// An order is abandoned after this time even if it is in progress: the requests that the engine completes first have
/// passed their deadlines by then.
pub const ORDER_MAX_DURATION: Duration = Duration::from_secs(20);
/// Read buffer, in bytes, of a connection to an engine or store. The index owner has a connection to each, and this
/// is the smallest buffer that the HTTP library accepts.
pub const ENGINE_CLIENT_BUFFER: usize = 8 << 10;
/// Largest report of an engine, and largest answer to an order, in bytes.
pub const REPORT_MAX_BYTES: usize = 64 << 10;
/// Bytes of each response to a controller's call that are received whatever other responses keep.
pub const SMALL_RESPONSE_BYTES: usize = 64 << 10;
/// Limit on what all responses that a controller is receiving have beyond [`SMALL_RESPONSE_BYTES`] each, in bytes.
pub const RESPONSES_BUDGET_BYTES: usize = 16 << 20;
/// Timeout of orders and reports; an engine answers within a round trip and one engine step.
pub const ENGINE_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which an order has reached its engine over a healthy network link.
pub const ORDER_DELIVERY_TIME: Duration = Duration::from_millis(100);
/// With less of the lease left than this, an order waits for the renewal, because it would only be abandoned.
pub const ORDER_MIN_LEASE_LEFT: Duration = Duration::from_millis(100);
