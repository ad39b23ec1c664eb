//! The operator's configurations: replaced on a base, and read as a majority has it.

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

/// A configuration that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replaced {
    /// its version
    pub version: u64,
}

/// The version that a change builds on, from the text of its header.
///
/// # Errors
///
/// 400 where the header is missing or no number.
pub fn base_of(header: Option<&str>) -> Result<u64, Rejection> {
    header
        .map(str::trim)
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| Rejection::bad_request("no_base", "X-Base-Revision: not a version"))
}

/// Puts a configuration in force in place of the one that it builds on.
///
/// # Errors
///
/// 412 and 400 only where the change is certain not to be in force; after 503 it may be.
pub async fn replace(
    consensus: &Arc<Consensus>,
    base_header: Option<&str>,
    body: Bytes,
) -> Result<Replaced, Rejection> {
    require_contact(consensus)?;
    let base = base_of(base_header)?;
    let configuration = Configuration::read(&body).map_err(|error| refused(consensus, &error))?;
    let packed = fleet_core::packing::pack(&body);
    let change = ReplaceConfig { base, version: configuration.revision, packed };
    let changed = forward::submit(consensus, ChangeKind::Replace(change.clone())).await;
    match changed.outcome() {
        Outcome::Done => Ok(Replaced { version: change.version }),
        Outcome::Stale => Err(stale(&changed)),
        Outcome::Invalid => Err(refused(consensus, &state_machine::error_of(&change, &changed))),
        Outcome::Unproven => Err(unproven(&changed)),
        Outcome::Unknown => {
            Err(Rejection::unavailable("unknown", "no majority in time: it may yet be in force"))
        }
    }
}

fn stale(changed: &ChangeResponse) -> Rejection {
    Rejection {
        status: StatusCode::PRECONDITION_FAILED,
        code: "stale_base",
        message: format!("version {} is in place", changed.number),
    }
}

/// It may have been taken so long ago that nobody knows, or its base is yet to come.
fn unproven(changed: &ChangeResponse) -> Rejection {
    let message = format!(
        "version {} is in place; whether this change was taken isn't known",
        changed.number
    );
    Rejection::unavailable("unknown", &message)
}

fn refused(consensus: &Consensus, error: &fleet_core::configuration::ConfigError) -> Rejection {
    fleet_core::log_event!(consensus.process().log, Event::ConfigRejected, "why" => error.to_string());
    Rejection::bad_request(error.code(), error)
}

/// The configuration in force, confirmed by a majority after the call came.
///
/// # Errors
///
/// 503 out of contact, before the first configuration, and where no majority confirms one in time.
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
