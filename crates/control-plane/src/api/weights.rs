//! New weights are named.

use super::{Context, contact, json, rejected, whole};
use crate::control::owner;
use fleet_core::wire::{ChangeKind, NameVersion, Outcome};
use http::StatusCode;

#[derive(serde::Deserialize)]
struct Put {
    model: String,
    revision: u64,
}

#[dropshot::endpoint { method = POST, path = "/anisedyke/version-put" }]
pub async fn put(
    rq: dropshot::RequestContext<Context>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let s = rq.context();
    let body = whole(body, fleet_core::constants::BEAT_BYTES).await?;
    contact(s)?;
    let p: Put = serde_json::from_slice(&body)
        .map_err(|e| rejected(StatusCode::BAD_REQUEST, "malformed", e.to_string()))?;
    let change = ChangeKind::Name(NameVersion { model: p.model, version: p.revision });
    match owner::submit(s, change).await.outcome() {
        Outcome::Done => json(StatusCode::OK, "{}"),
        _ => Err(rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            "unknown",
            "no majority in time: it may yet be named".to_owned(),
        )),
    }
}
