//! Sets the target version of a model's weights.

use super::{Rejection, require_contact};
use crate::consensus::Consensus;
use crate::consensus::forward;
use bytes::Bytes;
use fleet_core::wire::{ChangeKind, Outcome, SetTargetVersion};
use std::sync::Arc;

#[derive(serde::Deserialize)]
struct SetTargetRequest {
    model: String,
    revision: u64,
}

/// Sets the version that a model's engines are to be updated to.
///
/// # Errors
///
/// 400 for an invalid body; 503 without contact with a majority, and if no majority decided in time. In the latter case
/// the target may have been set.
pub async fn put(consensus: &Arc<Consensus>, body: Bytes) -> Result<(), Rejection> {
    require_contact(consensus)?;
    let request: SetTargetRequest = serde_json::from_slice(&body)
        .map_err(|error| Rejection::bad_request("malformed", error))?;
    let change = ChangeKind::SetTargetVersion(SetTargetVersion {
        model: request.model,
        version: request.revision,
    });
    match forward::submit(consensus, change).await.outcome() {
        Outcome::Committed => Ok(()),
        _ => Err(Rejection::unavailable("unknown", "no majority in time: it may yet be named")),
    }
}
