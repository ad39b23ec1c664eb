//! Engines as the controllers know them.

use std::time::Duration;

/// bytes; what a heartbeat of an engine may hold.
pub const HEARTBEAT_MAX_BYTES: usize = 4096;
/// ms; routine heartbeats are shared with the other controllers this often.
pub const HEARTBEAT_SHARE_INTERVAL: Duration = Duration::from_millis(300);
/// ms; a drain is replicated to a majority within this, inside the second engines wait.
pub const HEARTBEAT_SHARE_TIMEOUT: Duration = Duration::from_millis(700);
/// heartbeats; an engine that missed so many is suspected.
pub const MISSED_HEARTBEATS: f64 = 3.5;
/// s; the departure of an instance is remembered this long at least, so that no late call brings it back.
pub const DEPARTURE_RETENTION: Duration = Duration::from_secs(300);
/// records; departures that are kept at the most: a whole fleet leaves within the retention, and some more.
pub const DEPARTURES_CAPACITY: usize = 1024;
/// bytes; a value with that many records of ids of a dozen characters.
pub const DEPARTURES_VALUE_BYTES: usize = DEPARTURES_CAPACITY * 26;
/// bytes; an id of an engine is at most this long, so that the records of departures are bounded.
pub const ENGINE_ID_MAX_BYTES: usize = 128;
/// ms; an engine under order is asked for its report this often.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// s; an order that the engine doesn't report to be under way is given up and looked at anew.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(6);
/// s; an order is given up after this even if it is under way: the runs that the engine ends first have passed their
/// deadlines by then.
pub const ORDER_LONGEST: Duration = Duration::from_secs(20);
/// bytes; read from an engine or store at once: the index owner has a connection to each, and the HTTP library takes no less.
pub const ENGINE_CLIENT_BUFFER: usize = 8 << 10;
/// ms; answers to orders and reports come within a round trip and a step.
pub const ENGINE_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// ms; an order has reached its engine this long after it was sent, on a link that is not in trouble.
pub const ORDER_TRAVEL: Duration = Duration::from_millis(100);
/// ms; with less of the lease than this left, an order waits for the renewal: it would only be given up.
pub const ORDER_LEAST: Duration = Duration::from_millis(100);
