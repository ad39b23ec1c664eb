//! Receives the bodies of client requests, which stay in memory until their request has ended.
//!
//! A small body is always received; what a larger one has beyond that is taken from a budget that all requests share.

use super::response::Rejection;
use bytes::Bytes;
use fleet_core::byte_budget::{ByteBudget, Reservation};
use fleet_core::constants;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::time::Instant;

/// A complete body, and its share of the budget until dropped.
#[derive(Debug)]
pub struct RequestBody {
    /// As sent by the client.
    pub bytes: Bytes,
    _reservation: Reservation,
}

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
) -> Result<RequestBody, Rejection> {
    let receiving = receive_all(body, max_bytes, budget.map(|budget| budget.reservation()));
    tokio::time::timeout_at(deadline, receiving).await.unwrap_or(Err(Rejection::BodyTimeout))
}

async fn receive_all(
    mut body: Incoming,
    max_bytes: usize,
    mut reservation: Option<Reservation>,
) -> Result<RequestBody, Rejection> {
    let expected = body.size_hint().exact().unwrap_or(0);
    if expected > max_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    let mut bytes = Vec::with_capacity(usable_capacity(expected));
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Rejection::Unreadable)?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length > max_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        let shared_length = length.saturating_sub(constants::SMALL_BODY_BYTES);
        if reservation.as_mut().is_some_and(|reservation| reservation.resize(shared_length)) {
            bytes.extend_from_slice(&data);
        } else {
            reservation = None;
            bytes = Vec::new();
        }
    }
    let reservation = reservation.ok_or(Rejection::Overloaded)?;
    bytes.shrink_to_fit();
    Ok(RequestBody { bytes: bytes.into(), _reservation: reservation })
}

/// The announced length, or less if it exceeds what could be kept.
fn usable_capacity(announced: u64) -> usize {
    (announced as usize).min(constants::REQUEST_BODIES_BUDGET_BYTES)
}
