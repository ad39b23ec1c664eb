//! What each key holds, and the rules of changing it.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::history::{Finding, TakenConfig, TakenHistory};
use fleet_core::configuration::{ConfigError, Configuration};
use fleet_core::digest::BodyDigest;
use fleet_core::wire::{
    ChangeKind, Changed, ConfigValue, DutyValue, Outcome, RaiseFence, ReplaceConfig, WeightsValue,
};
use prost::Message;

pub const CONFIG: &str = "config";
pub const MEMBERSHIP: &str = "membership";

pub fn weights_key(model: &str) -> String {
    format!("weights/{model}")
}

pub fn model_of(key: &str) -> Option<&str> {
    key.strip_prefix("weights/")
}

pub fn key_of(change: &ChangeKind) -> String {
    match change {
        ChangeKind::Replace(_) => CONFIG.to_owned(),
        ChangeKind::Name(n) => weights_key(&n.model),
        ChangeKind::Raise(r) => format!("duty/{}", r.duty),
        ChangeKind::Confirm(key) => key.clone(),
    }
}

#[derive(Debug, PartialEq)]
pub enum Decision {
    Answer(Changed),
    Write(bytes::Bytes, Changed),
}

fn answer(outcome: Outcome, number: u64) -> Changed {
    Changed { outcome: outcome as i32, number, holder: String::new() }
}

pub fn unknown() -> Changed {
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
    }
}

fn raise(r: &RaiseFence, now: &[u8]) -> Decision {
    let now = DutyValue::decode(now).unwrap_or_default();
    let v = DutyValue { fence: now.fence + 1, holder: r.holder.clone() };
    let changed = Changed { holder: now.holder, ..answer(Outcome::Done, v.fence) };
    Decision::Write(v.encode_to_vec().into(), changed)
}

/// Decides on a configuration.
///
/// A refusal needs proof that this very change is not in the chain and never will be: its number
/// is covered by the history, and its base has been followed by another one. A base that is still
/// to come may come, and with it a late copy of this order: that is no ground for a refusal.
fn replace(r: &ReplaceConfig, now: &[u8]) -> Decision {
    let now = ConfigValue::decode(now).unwrap_or_default();
    let own = TakenConfig { version: r.version, digest: BodyDigest::of(&r.body) };
    let mut history = TakenHistory::decode(&now.history, now.version);
    let finding = history.find(&own);
    if finding == Finding::Taken {
        return Decision::Answer(answer(Outcome::Done, r.version));
    }
    if r.version <= r.base {
        return Decision::Answer(answer(Outcome::Invalid, r.base));
    }
    if finding == Finding::BeforeHistory || r.base > now.version {
        return Decision::Answer(answer(Outcome::Unproven, now.version));
    }
    if r.base < now.version {
        return Decision::Answer(answer(Outcome::Stale, now.version));
    }
    let Ok(c) = Configuration::read(&r.body) else {
        return Decision::Answer(answer(Outcome::Invalid, now.version));
    };
    let old = Configuration::read(&now.body).ok();
    let rises = old.as_ref().is_none_or(|old| newly_isolated(old, &c));
    history.push(own);
    let v = ConfigValue {
        version: r.version,
        body: r.body.clone(),
        isolation: now.isolation + u64::from(rises),
        history: history.encode(),
    };
    Decision::Write(v.encode_to_vec().into(), answer(Outcome::Done, r.version))
}

fn newly_isolated(old: &Configuration, new: &Configuration) -> bool {
    new.tenants
        .iter()
        .filter(|t| t.isolated)
        .any(|t| !old.tenants.iter().any(|o| o.name == t.name && o.isolated))
}

/// Why a change was refused, for the answer.
pub fn error_of(r: &ReplaceConfig, changed: &Changed) -> ConfigError {
    ConfigError::VersionNotAbove { version: r.version, current: changed.number }
}

#[cfg(test)]
#[path = "values_tests.rs"]
mod tests;
