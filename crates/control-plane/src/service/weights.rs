//! New weights are named.

use super::{Rejection, require_contact};
use crate::consensus::Consensus;
use crate::consensus::forward;
use bytes::Bytes;
use fleet_core::wire::{ChangeKind, Outcome, SetTargetVersion};
use std::sync::Arc;

#[derive(serde::Deserialize)]
struct Put {
    model: String,
    revision: u64,
}

/// Names the version that a model's engines shall have.
///
/// # Errors
///
/// 400 for a body that can't be read; 503 out of contact, and where no majority decided in time: the target may be set.
pub async fn put(consensus: &Arc<Consensus>, body: Bytes) -> Result<(), Rejection> {
    require_contact(consensus)?;
    let put: Put = serde_json::from_slice(&body)
        .map_err(|error| Rejection::bad_request("malformed", error))?;
    let change = ChangeKind::Name(SetTargetVersion { model: put.model, version: put.revision });
    match forward::submit(consensus, change).await.outcome() {
        Outcome::Done => Ok(()),
        _ => Err(Rejection::unavailable("unknown", "no majority in time: it may yet be named")),
    }
}
