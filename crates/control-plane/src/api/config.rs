//! The operator's configurations.

use super::{Context, contact, json, rejected, whole};
use crate::control::{owner, values};
use fleet_core::log::Event;
use fleet_core::wire::{ChangeKind, ConfigValue, Outcome, ReplaceConfig};
use http::StatusCode;
use prost::Message;

#[dropshot::endpoint { method = POST, path = "/anisedyke/Config.Replace" }]
pub async fn replace(
    rq: dropshot::RequestContext<Context>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let s = rq.context();
    let base = rq.request.headers().get("X-Base-Revision");
    let Some(base) = base.and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse().ok()) else {
        return Err(rejected(
            StatusCode::BAD_REQUEST,
            "no_base",
            "X-Base-Revision: not a version".to_owned(),
        ));
    };
    let body = whole(body, fleet_core::constants::CONFIG_BYTES).await?;
    contact(s)?;
    let c = fleet_core::configuration::Configuration::read(&body).map_err(|p| {
        fleet_core::log_event!(s.log, Event::ConfigRejected, "why" => p.to_string());
        rejected(StatusCode::BAD_REQUEST, p.code(), p.to_string())
    })?;
    let r = ReplaceConfig { base, version: c.revision, body };
    let changed = owner::submit(s, ChangeKind::Replace(r.clone())).await;
    match changed.outcome() {
        Outcome::Done => json(StatusCode::OK, format!("{{\"revision\":{}}}", r.version)),
        Outcome::Stale => Err(rejected(
            StatusCode::PRECONDITION_FAILED,
            "stale_base",
            format!("version {} is in place", changed.number),
        )),
        Outcome::Invalid => {
            let p = values::error_of(&r, &changed);
            fleet_core::log_event!(s.log, Event::ConfigRejected, "why" => p.to_string());
            Err(rejected(StatusCode::BAD_REQUEST, p.code(), p.to_string()))
        }
        Outcome::Unknown => Err(rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            "unknown",
            "no majority in time: it may yet be in force".to_owned(),
        )),
    }
}

#[dropshot::endpoint { method = GET, path = "/anisedyke/Config.Fetch" }]
pub async fn fetch(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let s = rq.context();
    contact(s)?;
    let got =
        match tokio::time::timeout(fleet_core::constants::CHANGE_LIMIT, s.read(values::CONFIG))
            .await
        {
            Ok(Some((_, v))) => ConfigValue::decode(v).ok(),
            _ => None,
        };
    match got {
        Some(c) if c.version > 0 => json(StatusCode::OK, c.body.to_vec()),
        _ => Err(rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            "unknown",
            "no configuration confirmed by a majority".to_owned(),
        )),
    }
}
