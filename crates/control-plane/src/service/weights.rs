//! New weights are named.

use super::{Rejection, contact};
use crate::Controller;
use crate::control::submit;
use bytes::Bytes;
use fleet_core::wire::{ChangeKind, Outcome, SetTargetVersion};
use std::sync::Arc;

#[derive(serde::Deserialize)]
struct Put {
    model: String,
    revision: u64,
}

/// Names the version that a model's engines shall have.
pub async fn put(s: &Arc<Controller>, body: Bytes) -> Result<(), Rejection> {
    contact(s)?;
    let put: Put = serde_json::from_slice(&body)
        .map_err(|error| Rejection::bad_request("malformed", error))?;
    let change = ChangeKind::Name(SetTargetVersion { model: put.model, version: put.revision });
    match submit::submit(s, change).await.outcome() {
        Outcome::Done => Ok(()),
        _ => Err(Rejection::unavailable("unknown", "no majority in time: it may yet be named")),
    }
}
