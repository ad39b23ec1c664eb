//! Receives the bodies of client requests, which stay in memory until their request has ended.
//!
//! A small body is always received; what a larger one has beyond that is taken from a budget that all requests share.

use super::response::Rejection;
use fleet_core::body_collector::{BodyCollector, BodyLimits, CollectError};
use fleet_core::byte_budget::{ByteBudget, ReservedBytes};
use fleet_core::constants;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::time::Instant;

/// Receives a body of at most `max_bytes` bytes until `deadline`. One that can't be kept, or for which there is no
/// budget, is received and discarded, so that the client reads its rejection.
///
/// # Errors
///
/// The body is too large, malformed or late, or it can't be kept.
pub async fn receive(
    body: Incoming,
    max_bytes: usize,
    budget: Option<&Arc<ByteBudget>>,
    deadline: Instant,
) -> Result<ReservedBytes, Rejection> {
    let receiving = receive_all(body, max_bytes, budget);
    tokio::time::timeout_at(deadline, receiving).await.unwrap_or(Err(Rejection::BodyTimeout))
}

async fn receive_all(
    mut body: Incoming,
    max_bytes: usize,
    budget: Option<&Arc<ByteBudget>>,
) -> Result<ReservedBytes, Rejection> {
    let expected = body.size_hint().exact().unwrap_or(0);
    if expected > max_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let limits = BodyLimits { max_bytes, free_bytes: constants::SMALL_BODY_BYTES };
    let mut collector = BodyCollector::new(budget, limits).with_capacity(usable_capacity(expected));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::Unreadable)?;
        let Ok(data) = frame.into_data() else { continue };
        if collector.push(&data) == Err(CollectError::TooLarge) {
            return Err(Rejection::BodyTooLarge);
        }
    }
    collector.finish().map_err(|_| Rejection::Overloaded)
}

/// The announced length, or less if it exceeds what could be kept.
fn usable_capacity(announced: u64) -> usize {
    (announced as usize).min(constants::REQUEST_BODIES_BUDGET_BYTES)
}
