//! Engines tell that they live, and that they leave.

use super::{Context, contact, json, rejected, whole};
use crate::engines::registry;
use fleet_core::wire::{Engine, Standing, Weights};
use http::StatusCode;

#[derive(serde::Deserialize, schemars::JsonSchema)]
pub struct Id {
    id: String,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct Beat {
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    state: State,
    #[serde(default)]
    models: Vec<Loaded>,
    call_seq: u64,
}

#[derive(serde::Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

#[derive(serde::Deserialize)]
struct Loaded {
    name: String,
    revision: u64,
}

#[derive(serde::Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Leave {
    #[serde(default)]
    call_seq: Option<u64>,
}

fn malformed(e: impl std::fmt::Display) -> dropshot::HttpError {
    rejected(StatusCode::BAD_REQUEST, "malformed", e.to_string())
}

#[dropshot::endpoint { method = POST, path = "/anisedyke/Instances.Heartbeat/{id}" }]
pub async fn heartbeat(
    rq: dropshot::RequestContext<Context>,
    path: dropshot::Path<Id>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let s = rq.context();
    let body = whole(body, fleet_core::constants::BEAT_BYTES).await?;
    let beat: Beat = serde_json::from_slice(&body).map_err(malformed)?;
    if beat.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(malformed("address: not an address with a port"));
    }
    let id = path.into_inner().id;
    let mut e = Engine {
        id: id.clone(),
        call: beat.call_seq,
        service: beat.service,
        address: beat.address,
        zone: beat.zone,
        slots: beat.slots,
        weights: beat
            .models
            .into_iter()
            .map(|m| Weights { model: m.name, version: m.revision })
            .collect(),
        ..Default::default()
    };
    e.set_standing(match beat.state {
        State::Ready => Standing::Ready,
        State::Draining => Standing::Draining,
    });
    // also out of contact: routers that reach only this node need to hear of it
    registry::hear(s, e, true);
    contact(s)?;
    if beat.state == State::Draining {
        told(s, &id).await?;
    }
    json(StatusCode::OK, "{}")
}

/// Acknowledged only when a majority of the controllers has it.
async fn told(s: &Context, id: &str) -> Result<(), dropshot::HttpError> {
    let Some(e) = s.look(|n| n.engines.get(id).cloned()) else { return Ok(()) };
    if registry::share_now(s, e).await {
        return Ok(());
    }
    Err(rejected(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_majority",
        "not told to a majority".to_owned(),
    ))
}

#[dropshot::endpoint { method = POST, path = "/anisedyke/Instances.Deregister/{id}" }]
pub async fn deregister(
    rq: dropshot::RequestContext<Context>,
    path: dropshot::Path<Id>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let s = rq.context();
    let id = path.into_inner().id;
    let body = whole(body, fleet_core::constants::BEAT_BYTES).await?;
    let leave: Leave = if body.is_empty() {
        Leave::default()
    } else {
        serde_json::from_slice(&body).map_err(malformed)?
    };
    let known = s.look(|n| n.engines.get(&id).cloned());
    let call = known.as_ref().map_or(0, |e| e.call);
    let mut e = known.unwrap_or_else(|| Engine { id: id.clone(), ..Default::default() });
    e.call = call.max(leave.call_seq.unwrap_or(call + 1));
    e.set_standing(Standing::Gone);
    registry::hear(s, e, true);
    contact(s)?;
    told(s, &id).await?;
    json(StatusCode::OK, "{}")
}
