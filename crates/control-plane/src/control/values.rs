//! What each key holds, and the rules of changing it.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use fleet_core::configuration::{ConfigError, Configuration};
use fleet_core::wire::{
    ChangeKind, Changed, ConfigValue, DutyValue, Outcome, RaiseFence, ReplaceConfig, Taken,
    WeightsValue,
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

pub fn digest(body: &[u8]) -> u64 {
    fleet_core::node::stable_hash(&[body, &(body.len() as u64).to_be_bytes()])
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

/// A new fence for a new raise, the same one for the same raise. The answer names the node that may have
/// acted last, which is not who raised last: a raise alone gives nobody the right to act.
fn raise(r: &RaiseFence, now: &[u8]) -> Decision {
    let now = DutyValue::decode(now).unwrap_or_default();
    let done = |number, acting: &str| Changed {
        holder: acting.to_owned(),
        ..answer(Outcome::Done, number)
    };
    let decided = now.raise == Some(r.id);
    if r.acts && !decided {
        return Decision::Answer(answer(Outcome::Stale, now.fence));
    }
    if decided && (!r.acts || now.acting == r.holder) {
        return Decision::Answer(done(now.fence, &now.acting));
    }
    let first = now.fence == 0;
    let acting = if r.acts || first { r.holder.clone() } else { now.acting };
    let changed = done(now.fence + u64::from(!decided), &acting);
    let v =
        DutyValue { fence: changed.number, holder: r.holder.clone(), acting, raise: Some(r.id) };
    Decision::Write(v.encode_to_vec().into(), changed)
}

fn replace(r: &ReplaceConfig, now: &[u8]) -> Decision {
    let now = ConfigValue::decode(now).unwrap_or_default();
    let own = Taken { version: r.version, digest: digest(&r.body) };
    if now.taken.contains(&own) {
        return Decision::Answer(answer(Outcome::Done, r.version));
    }
    if r.base != now.version {
        return Decision::Answer(answer(Outcome::Stale, now.version));
    }
    if r.version <= now.version {
        return Decision::Answer(answer(Outcome::Invalid, now.version));
    }
    let Ok(c) = Configuration::read(&r.body) else {
        return Decision::Answer(answer(Outcome::Invalid, now.version));
    };
    let old = Configuration::read(&now.body).ok();
    let mut taken = now.taken;
    taken.push(own);
    if taken.len() > fleet_core::constants::TAKEN_KEPT {
        taken.remove(0);
    }
    let rises = old.as_ref().is_none_or(|old| newly_isolated(old, &c));
    let v = ConfigValue {
        version: r.version,
        body: r.body.clone(),
        taken,
        isolation: now.isolation + u64::from(rises),
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
