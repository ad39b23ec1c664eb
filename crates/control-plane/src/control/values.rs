//! What each key holds, and the rules of changing it.

use fleet_core::configuration::{ConfigProblem, Configuration};
use fleet_core::wire::{
    ChangeKind, Changed, ConfigValue, DutyValue, Outcome, RaiseFence, ReplaceConfig, Taken,
    WeightsValue,
};
use prost::Message;

pub const CONFIG: &str = "config";
pub const ROSTER: &str = "roster";

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
            if n.stamp <= now.stamp {
                return Decision::Answer(answer(Outcome::Done, now.stamp));
            }
            let v = WeightsValue { stamp: n.stamp };
            Decision::Write(v.encode_to_vec().into(), answer(Outcome::Done, n.stamp))
        }
        ChangeKind::Raise(r) => raise(r, now),
    }
}

fn raise(r: &RaiseFence, now: &[u8]) -> Decision {
    let now = DutyValue::decode(now).unwrap_or_default();
    let v = DutyValue { fence: now.fence + 1, holder: r.holder.clone() };
    let changed = Changed { holder: now.holder, ..answer(Outcome::Done, v.fence) };
    Decision::Write(v.encode_to_vec().into(), changed)
}

fn replace(r: &ReplaceConfig, now: &[u8]) -> Decision {
    let now = ConfigValue::decode(now).unwrap_or_default();
    let own = Taken { stamp: r.stamp, digest: digest(&r.body) };
    if now.taken.contains(&own) {
        return Decision::Answer(answer(Outcome::Done, r.stamp));
    }
    if r.base != now.stamp {
        return Decision::Answer(answer(Outcome::Stale, now.stamp));
    }
    if r.stamp <= now.stamp {
        return Decision::Answer(answer(Outcome::Invalid, now.stamp));
    }
    let Ok(c) = Configuration::read(&r.body) else {
        return Decision::Answer(answer(Outcome::Invalid, now.stamp));
    };
    let old = Configuration::read(&now.body).ok();
    let mut taken = now.taken;
    taken.push(own);
    if taken.len() > fleet_core::constants::TAKEN_KEPT {
        taken.remove(0);
    }
    let rises = old.as_ref().is_none_or(|old| newly_isolated(old, &c));
    let v = ConfigValue {
        stamp: r.stamp,
        body: r.body.clone(),
        taken,
        wall: now.wall + u64::from(rises),
    };
    Decision::Write(v.encode_to_vec().into(), answer(Outcome::Done, r.stamp))
}

fn newly_isolated(old: &Configuration, new: &Configuration) -> bool {
    new.tenants
        .iter()
        .filter(|t| t.isolated)
        .any(|t| !old.tenants.iter().any(|o| o.name == t.name && o.isolated))
}

/// Why a change was refused, for the answer.
pub fn problem_of(r: &ReplaceConfig, changed: &Changed) -> ConfigProblem {
    ConfigProblem::StampNotAbove { stamp: r.stamp, current: changed.number }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn body(stamp: u64, isolated: &[&str]) -> bytes::Bytes {
        let tenants: Vec<_> = ["a", "b"]
            .iter()
            .map(|n| serde_json::json!({"name": n, "apiKeys": [format!("k-{n}")], "isolated": isolated.contains(n)}))
            .collect();
        serde_json::json!({"revision": stamp, "routes": [], "services": [], "tenants": tenants})
            .to_string()
            .into()
    }

    fn put(base: u64, stamp: u64, isolated: &[&str]) -> ChangeKind {
        ChangeKind::Replace(ReplaceConfig { base, stamp, body: body(stamp, isolated) })
    }

    fn step(now: &mut bytes::Bytes, c: &ChangeKind) -> (Outcome, u64) {
        let (v, a) = match decide(c, now) {
            Decision::Answer(a) => (None, a),
            Decision::Write(v, a) => (Some(v), a),
        };
        if let Some(v) = v {
            *now = v;
        }
        (a.outcome(), a.number)
    }

    #[test]
    fn config_rules() {
        let mut now = bytes::Bytes::new();
        assert_eq!(step(&mut now, &put(1, 3, &[])), (Outcome::Stale, 0));
        assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3));
        assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3), "resent");
        assert_eq!(step(&mut now, &put(0, 3, &["a"])), (Outcome::Stale, 3), "other body");
        assert_eq!(step(&mut now, &put(3, 3, &["a"])), (Outcome::Invalid, 3));
        assert_eq!(step(&mut now, &put(3, 7, &["a"])), (Outcome::Done, 7));
        assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3), "resent late");
        assert_eq!(ConfigValue::decode(now).unwrap().stamp, 7);
    }

    #[test]
    fn shared_wall_rises_only_when_a_tenant_becomes_isolated() {
        let mut now = bytes::Bytes::new();
        let wall = |now: &bytes::Bytes| ConfigValue::decode(now.clone()).unwrap().wall;
        step(&mut now, &put(0, 1, &["a"]));
        assert_eq!(wall(&now), 1);
        step(&mut now, &put(1, 2, &["a"]));
        assert_eq!(wall(&now), 1);
        step(&mut now, &put(2, 3, &["a", "b"]));
        assert_eq!(wall(&now), 2);
        step(&mut now, &put(3, 4, &[]));
        assert_eq!(wall(&now), 2);
        step(&mut now, &put(4, 5, &["a"]));
        assert_eq!(wall(&now), 3);
    }

    #[test]
    fn fences_rise_and_name_the_former_holder() {
        let mut now = bytes::Bytes::new();
        let raise = |h: &str| ChangeKind::Raise(RaiseFence { duty: "d".into(), holder: h.into() });
        assert_eq!(step(&mut now, &raise("x")), (Outcome::Done, 1));
        let Decision::Write(_, a) = decide(&raise("y"), &now) else { panic!("writes") };
        assert_eq!((a.number, a.holder.as_str()), (2, "x"));
    }

    #[test]
    fn named_weights_never_fall() {
        let mut now = bytes::Bytes::new();
        let name =
            |s| ChangeKind::Name(fleet_core::wire::NameStamp { model: "m".into(), stamp: s });
        assert_eq!(step(&mut now, &name(3)), (Outcome::Done, 3));
        assert_eq!(step(&mut now, &name(2)), (Outcome::Done, 3));
        assert_eq!(WeightsValue::decode(now).unwrap().stamp, 3);
    }
}
