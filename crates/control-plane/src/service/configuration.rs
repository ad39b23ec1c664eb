//! Operator access to the configuration: conditional replacement, and reads confirmed by a majority.

use super::{Rejection, require_contact};
use crate::consensus::Consensus;
use crate::consensus::{forward, state_machine};
use bytes::Bytes;
use fleet_core::configuration::Configuration;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{ChangeKind, ChangeResponse, ConfigValue, Outcome, ReplaceConfig};
use http::StatusCode;
use prost::Message;
use std::sync::Arc;

/// A configuration that has come into force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replaced {
    /// Version of the configuration.
    pub version: u64,
}

/// Parses the base version of a change from the value of its `X-Base-Revision` header.
///
/// # Errors
///
/// 400 if the header is missing or not a number.
pub fn parse_base_version(header: Option<&str>) -> Result<u64, Rejection> {
    header
        .map(str::trim)
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| Rejection::bad_request("no_base", "X-Base-Revision: not a version"))
}

/// Replaces the configuration in force, provided that its version is the base given in the header.
///
/// # Errors
///
/// 412 and 400 are returned only if the change has certainly not taken effect; after 503 it may have.
pub async fn replace(
    consensus: &Arc<Consensus>,
    base_header: Option<&str>,
    body: Bytes,
) -> Result<Replaced, Rejection> {
    require_contact(consensus)?;
    let base_version = parse_base_version(base_header)?;
    let configuration =
        Configuration::parse(&body).map_err(|error| reject_invalid(consensus, &error))?;
    let compressed = fleet_core::compression::compress(&body);
    let change = ReplaceConfig {
        base_version,
        version: configuration.revision,
        compressed_body: compressed,
    };
    let changed = forward::submit(consensus, ChangeKind::ReplaceConfig(change.clone())).await;
    match changed.outcome() {
        Outcome::Committed => Ok(Replaced { version: change.version }),
        Outcome::Stale => Err(reject_stale_base(&changed)),
        Outcome::Invalid => Err(reject_invalid(
            consensus,
            &state_machine::version_not_above_error(&change, &changed),
        )),
        Outcome::Undetermined => Err(reject_unproven(&changed)),
        Outcome::Unknown => {
            Err(Rejection::unavailable("unknown", "no majority in time: it may yet be in force"))
        }
    }
}

fn reject_stale_base(changed: &ChangeResponse) -> Rejection {
    Rejection {
        status: StatusCode::PRECONDITION_FAILED,
        code: "stale_base",
        message: format!("version {} is in place", changed.number),
    }
}

/// The change may have been accepted too long ago for any record of it to remain, or its base is not in force yet.
fn reject_unproven(changed: &ChangeResponse) -> Rejection {
    let message = format!(
        "version {} is in place; whether this change was taken isn't known",
        changed.number
    );
    Rejection::unavailable("unknown", &message)
}

fn reject_invalid(
    consensus: &Consensus,
    error: &fleet_core::configuration::ConfigError,
) -> Rejection {
    fleet_core::log_event!(consensus.process().log, Event::ConfigRejected, "why" => error.to_string());
    Rejection::bad_request(error.code(), error)
}

/// Returns the configuration in force, confirmed by a majority after this call.
///
/// # Errors
///
/// 503 without contact with a majority, before the first configuration, and if no majority confirms one in time.
pub async fn fetch(consensus: &Arc<Consensus>) -> Result<Bytes, Rejection> {
    require_contact(consensus)?;
    let read =
        tokio::time::timeout(constants::CHANGE_TIMEOUT, consensus.read(state_machine::CONFIG))
            .await;
    let chosen = read.ok().flatten();
    let value = chosen.and_then(|chosen| ConfigValue::decode(chosen.value).ok());
    let body = value.filter(|value| value.version > 0).and_then(|value| value.body().ok());
    body.ok_or_else(|| {
        Rejection::unavailable("unknown", "no configuration confirmed by a majority")
    })
}
