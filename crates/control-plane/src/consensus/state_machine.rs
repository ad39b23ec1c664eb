//! The values of the keys, and how changes apply to them.

use super::config_history::{CommittedConfig, CommittedHistory, Lookup};
use super::departure_records;
use fleet_core::compression::decompress;
use fleet_core::configuration::{ConfigError, Configuration};
use fleet_core::constants;
use fleet_core::digest::BodyDigest;
use fleet_core::wire::{
    ChangeKind, ChangeResponse, ConfigValue, DeparturesValue, LeaseValue, Outcome,
    RaiseFencingToken, RecordDepartures, ReplaceConfig, WeightsValue,
};
use prost::Message;

/// Key of the operator's configuration, a [`ConfigValue`].
pub const CONFIG: &str = "config";
/// Key of the membership of the controllers, a [`fleet_core::wire::Membership`].
pub const MEMBERSHIP: &str = "membership";

/// Key of the engines whose drain or deregistration was acknowledged, a [`DeparturesValue`].
pub const DEPARTURES: &str = "departures";

/// Key of the target version of a model's weights, a [`WeightsValue`].
pub fn weights_key(model: &str) -> String {
    format!("weights/{model}")
}

/// The model of a key returned by [`weights_key`]; `None` for other keys.
pub fn model_of(key: &str) -> Option<&str> {
    key.strip_prefix("weights/")
}

/// Key of the fencing token of a lease, a [`LeaseValue`].
pub fn lease_key(lease_name: &str) -> String {
    format!("duty/{lease_name}")
}

/// The key that a change applies to.
pub fn key_of(change: &ChangeKind) -> String {
    match change {
        ChangeKind::ReplaceConfig(_) => CONFIG.to_owned(),
        ChangeKind::SetTargetVersion(request) => weights_key(&request.model),
        ChangeKind::RaiseFencingToken(request) => lease_key(&request.lease_name),
        ChangeKind::Confirm(key) => key.clone(),
        ChangeKind::RecordDepartures(_) => DEPARTURES.to_owned(),
    }
}

/// How the owner of a key handles a change.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// Answer without a new value.
    Answer(ChangeResponse),
    /// Propose this value, and send the answer once it is chosen.
    Write(bytes::Bytes, ChangeResponse),
}

fn answer(outcome: Outcome, number: u64) -> ChangeResponse {
    ChangeResponse { outcome: outcome as i32, number, holder: String::new() }
}

/// The answer to a change whose outcome is not known: it may still be chosen.
pub fn unknown_outcome() -> ChangeResponse {
    answer(Outcome::Unknown, 0)
}

/// Decides on a change from the committed value of its key alone; `current` is empty if there is none.
pub fn decide(change: &ChangeKind, current: &[u8]) -> Decision {
    match change {
        ChangeKind::ReplaceConfig(request) => replace_config(request, current),
        ChangeKind::SetTargetVersion(request) => {
            let current = WeightsValue::decode(current).unwrap_or_default();
            if request.version <= current.version {
                return Decision::Answer(answer(Outcome::Committed, current.version));
            }
            let next = WeightsValue { version: request.version };
            Decision::Write(
                next.encode_to_vec().into(),
                answer(Outcome::Committed, request.version),
            )
        }
        ChangeKind::RaiseFencingToken(request) => raise_fencing_token(request, current),
        ChangeKind::Confirm(_) => Decision::Answer(answer(Outcome::Committed, 0)),
        ChangeKind::RecordDepartures(request) => record_departures(request, current),
    }
}

fn record_departures(request: &RecordDepartures, current: &[u8]) -> Decision {
    let mut value = DeparturesValue::decode(current).unwrap_or_default();
    if departure_records::record(&mut value, request) {
        let recorded = answer(Outcome::Committed, value.last_number);
        return Decision::Write(value.encode_to_vec().into(), recorded);
    }
    Decision::Answer(answer(Outcome::Committed, value.last_number))
}

/// Raises the fencing token of a lease; a repeated raise gets the same token again. The answer names the node that may
/// have acted last under the lease. This need not be the node that raised the token last, because a raise alone doesn't
/// permit its node to act.
fn raise_fencing_token(request: &RaiseFencingToken, current: &[u8]) -> Decision {
    let current = LeaseValue::decode(current).unwrap_or_default();
    let done = |number, acting_node: &str| ChangeResponse {
        holder: acting_node.to_owned(),
        ..answer(Outcome::Committed, number)
    };
    let is_repeated = current.raise == Some(request.id);
    if request.records_takeover && !is_repeated {
        return Decision::Answer(answer(Outcome::Stale, current.fencing_token));
    }
    if is_repeated && (!request.records_takeover || current.acting_node == request.holder) {
        return Decision::Answer(done(current.fencing_token, &current.acting_node));
    }
    let is_first = current.fencing_token == 0;
    let acting_node = if request.records_takeover || is_first {
        request.holder.clone()
    } else {
        current.acting_node
    };
    let response = done(current.fencing_token + u64::from(!is_repeated), &acting_node);
    let next = LeaseValue {
        fencing_token: response.number,
        holder: request.holder.clone(),
        acting_node,
        raise: Some(request.id),
    };
    Decision::Write(next.encode_to_vec().into(), response)
}

/// Decides on the replacement of the configuration.
///
/// A change is rejected as stale only if it provably was not committed and never will be: the history covers its
/// number, and another configuration has followed its base. A base that is not committed yet is no reason, because it
/// may still be committed, and then a late copy of this request can succeed.
fn replace_config(request: &ReplaceConfig, current: &[u8]) -> Decision {
    let current = ConfigValue::decode(current).unwrap_or_default();
    let Ok(body) = decompress(&request.compressed_body, constants::CONFIG_MAX_BYTES) else {
        return Decision::Answer(answer(Outcome::Invalid, current.version));
    };
    let proposed = CommittedConfig { version: request.version, digest: BodyDigest::of(&body) };
    let mut history = CommittedHistory::decode(&current.history, current.version);
    let lookup = history.find(&proposed);
    if lookup == Lookup::Committed {
        return Decision::Answer(answer(Outcome::Committed, request.version));
    }
    if request.version <= request.base_version {
        return Decision::Answer(answer(Outcome::Invalid, request.base_version));
    }
    if lookup == Lookup::BeforeHistory || request.base_version > current.version {
        return Decision::Answer(answer(Outcome::Undetermined, current.version));
    }
    if request.base_version < current.version {
        return Decision::Answer(answer(Outcome::Stale, current.version));
    }
    let Ok(configuration) = Configuration::parse(&body) else {
        return Decision::Answer(answer(Outcome::Invalid, current.version));
    };
    history.push(proposed);
    let next = next_config_value(request, &proposed, &configuration, &current, &history);
    Decision::Write(next.encode_to_vec().into(), answer(Outcome::Committed, request.version))
}

/// The value that follows `current`. The generation of the shared isolation rises if a tenant becomes isolated.
fn next_config_value(
    request: &ReplaceConfig,
    committed: &CommittedConfig,
    configuration: &Configuration,
    current: &ConfigValue,
    history: &CommittedHistory,
) -> ConfigValue {
    let isolated: Vec<String> =
        configuration.tenants.iter().filter(|t| t.isolated).map(|t| t.name.clone()).collect();
    let is_first = current.version == 0;
    let isolation_rises = is_first || isolated.iter().any(|name| !current.isolated.contains(name));
    ConfigValue {
        version: request.version,
        isolation: current.isolation + u64::from(isolation_rises),
        history: history.encode(),
        compressed_body: request.compressed_body.clone(),
        digest: bytes::Bytes::copy_from_slice(committed.digest.as_bytes()),
        isolated,
    }
}

/// The error for a change whose version is not above that of its base, which the response carries.
pub fn version_not_above_error(request: &ReplaceConfig, response: &ChangeResponse) -> ConfigError {
    ConfigError::VersionNotAbove { version: request.version, current: response.number }
}

#[cfg(test)]
#[path = "state_machine_tests.rs"]
mod tests;
