//! What each key holds, and the rules of changing it.

use super::config_history::{CommittedConfig, CommittedHistory, Lookup};
use super::departure_records;
use fleet_core::configuration::{ConfigError, Configuration};
use fleet_core::constants;
use fleet_core::digest::BodyDigest;
use fleet_core::packing::unpack;
use fleet_core::wire::{
    ChangeKind, ChangeResponse, ConfigValue, DeparturesValue, LeaseValue, Outcome,
    RaiseFencingToken, RecordDepartures, ReplaceConfig, WeightsValue,
};
use prost::Message;

/// Key of the operator's configuration.
pub const CONFIG: &str = "config";
/// Key of the membership of the controllers.
pub const MEMBERSHIP: &str = "membership";

/// Key of the engines whose drain or deregistration was acknowledged.
pub const DEPARTURES: &str = "departures";

/// Key of the weights named for a model.
pub fn weights_key(model: &str) -> String {
    format!("weights/{model}")
}

/// The model of a key made by [`weights_key`].
pub fn model_of(key: &str) -> Option<&str> {
    key.strip_prefix("weights/")
}

/// The key that holds a lease's fencing token.
pub fn lease_key(lease_name: &str) -> String {
    format!("duty/{lease_name}")
}

/// The key that a change is about.
pub fn key_of(change: &ChangeKind) -> String {
    match change {
        ChangeKind::Replace(_) => CONFIG.to_owned(),
        ChangeKind::Name(n) => weights_key(&n.model),
        ChangeKind::Raise(r) => lease_key(&r.lease_name),
        ChangeKind::Confirm(key) => key.clone(),
        ChangeKind::RecordDepartures(_) => DEPARTURES.to_owned(),
    }
}

/// What the owner of a key does with a change.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// answers it without a new value
    Answer(ChangeResponse),
    /// has this value chosen, and answers it then
    Write(bytes::Bytes, ChangeResponse),
}

fn answer(outcome: Outcome, number: u64) -> ChangeResponse {
    ChangeResponse { outcome: outcome as i32, number, holder: String::new() }
}

/// The answer to a change of which nothing is known: it may yet be chosen.
pub fn unknown() -> ChangeResponse {
    answer(Outcome::Unknown, 0)
}

/// Decides on the committed value alone.
pub fn decide(change: &ChangeKind, now: &[u8]) -> Decision {
    match change {
        ChangeKind::Replace(r) => replace(r, now),
        ChangeKind::Name(n) => {
            let now = WeightsValue::decode(now).unwrap_or_default();
            if n.version <= now.version {
                return Decision::Answer(answer(Outcome::Done, now.version));
            }
            let v = WeightsValue { version: n.version };
            Decision::Write(v.encode_to_vec().into(), answer(Outcome::Done, n.version))
        }
        ChangeKind::Raise(r) => raise(r, now),
        ChangeKind::Confirm(_) => Decision::Answer(answer(Outcome::Done, 0)),
        ChangeKind::RecordDepartures(request) => record_departures(request, now),
    }
}

fn record_departures(request: &RecordDepartures, now: &[u8]) -> Decision {
    let mut value = DeparturesValue::decode(now).unwrap_or_default();
    if departure_records::record(&mut value, request) {
        let recorded = answer(Outcome::Done, value.recorded);
        return Decision::Write(value.encode_to_vec().into(), recorded);
    }
    Decision::Answer(answer(Outcome::Done, value.recorded))
}

/// A new fencing token for a new raise, the same one for the same raise. The answer names the node that may have
/// acted last, which is not who raised last: a raise alone gives nobody the right to act.
fn raise(r: &RaiseFencingToken, now: &[u8]) -> Decision {
    let now = LeaseValue::decode(now).unwrap_or_default();
    let done = |number, acting: &str| ChangeResponse {
        holder: acting.to_owned(),
        ..answer(Outcome::Done, number)
    };
    let decided = now.raise == Some(r.id);
    if r.acts && !decided {
        return Decision::Answer(answer(Outcome::Stale, now.fencing_token));
    }
    if decided && (!r.acts || now.acting == r.holder) {
        return Decision::Answer(done(now.fencing_token, &now.acting));
    }
    let first = now.fencing_token == 0;
    let acting = if r.acts || first { r.holder.clone() } else { now.acting };
    let changed = done(now.fencing_token + u64::from(!decided), &acting);
    let v = LeaseValue {
        fencing_token: changed.number,
        holder: r.holder.clone(),
        acting,
        raise: Some(r.id),
    };
    Decision::Write(v.encode_to_vec().into(), changed)
}

/// Decides on a configuration.
///
/// A refusal needs proof that this very change is not in the chain and never will be: its number
/// is covered by the history, and its base has been followed by another one. A base that is still
/// to come may come, and with it a late copy of this order: that is no ground for a refusal.
fn replace(r: &ReplaceConfig, now: &[u8]) -> Decision {
    let now = ConfigValue::decode(now).unwrap_or_default();
    let Ok(body) = unpack(&r.packed, constants::CONFIG_BYTES) else {
        return Decision::Answer(answer(Outcome::Invalid, now.version));
    };
    let own = CommittedConfig { version: r.version, digest: BodyDigest::of(&body) };
    let mut history = CommittedHistory::decode(&now.history, now.version);
    let lookup = history.find(&own);
    if lookup == Lookup::Committed {
        return Decision::Answer(answer(Outcome::Done, r.version));
    }
    if r.version <= r.base {
        return Decision::Answer(answer(Outcome::Invalid, r.base));
    }
    if lookup == Lookup::BeforeHistory || r.base > now.version {
        return Decision::Answer(answer(Outcome::Unproven, now.version));
    }
    if r.base < now.version {
        return Decision::Answer(answer(Outcome::Stale, now.version));
    }
    let Ok(c) = Configuration::read(&body) else {
        return Decision::Answer(answer(Outcome::Invalid, now.version));
    };
    history.push(own);
    let v = next_value(r, &own, &c, &now, &history);
    Decision::Write(v.encode_to_vec().into(), answer(Outcome::Done, r.version))
}

/// The value that follows `now`; the generation of the shared isolation rises with each tenant
/// that becomes isolated.
fn next_value(
    r: &ReplaceConfig,
    own: &CommittedConfig,
    c: &Configuration,
    now: &ConfigValue,
    history: &CommittedHistory,
) -> ConfigValue {
    let isolated: Vec<String> =
        c.tenants.iter().filter(|tenant| tenant.isolated).map(|t| t.name.clone()).collect();
    let first = now.version == 0;
    let rises = first || isolated.iter().any(|name| !now.isolated.contains(name));
    ConfigValue {
        version: r.version,
        isolation: now.isolation + u64::from(rises),
        history: history.encode(),
        packed: r.packed.clone(),
        digest: bytes::Bytes::copy_from_slice(own.digest.as_bytes()),
        isolated,
    }
}

/// Why a change was refused, for the answer.
pub fn error_of(r: &ReplaceConfig, changed: &ChangeResponse) -> ConfigError {
    ConfigError::VersionNotAbove { version: r.version, current: changed.number }
}

#[cfg(test)]
#[path = "state_machine_tests.rs"]
mod tests;
