//! Reads the body of a rejection, only so that its connection can be reused.

use super::passive_health;
use crate::pool::connection::RespondingConnection;
use crate::pool::{EngineBody, EngineHandle};
use fleet_core::constants;
use http_body::Body;
use http_body_util::BodyExt;
use std::sync::Arc;

/// How reading a body ended.
enum Discarded {
    /// All of it was read: the connection can be reused.
    Complete,
    /// The engine closed the connection, or sent the body too slowly.
    Incomplete,
    /// The body is too long for a rejection.
    TooLong,
}

/// Reads and discards the body in a task of its own, limited in time and length. Ejects an engine whose body is too
/// long.
pub fn discard(
    log: &slog::Logger,
    engine: Arc<EngineHandle>,
    connection: RespondingConnection,
    body: EngineBody,
) {
    if body.is_end_stream() {
        return connection.release();
    }
    let log = log.clone();
    tokio::spawn(async move {
        let reading = tokio::time::timeout(constants::REJECTION_BODY_TIMEOUT, read(body));
        match reading.await.unwrap_or(Discarded::Incomplete) {
            Discarded::Complete => connection.release(),
            Discarded::Incomplete => {}
            Discarded::TooLong => {
                passive_health::record_connection_failure(&log, &engine, "rejection body too long");
            }
        }
    });
}

async fn read(mut body: EngineBody) -> Discarded {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Discarded::Incomplete };
        length += frame.data_ref().map_or(0, bytes::Bytes::len);
        if length > constants::REJECTION_BODY_MAX_BYTES {
            return Discarded::TooLong;
        }
    }
    Discarded::Complete
}
