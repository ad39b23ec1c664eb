//! Bringing engines to named weights, a few at a time, under the fence of the duty.

pub mod look;
mod order;
pub mod plan;

use super::ROLL_OUT;
use crate::Controller;
use crate::engines::{outside::Line, registry};
use crate::facts::Fact;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Engine, EngineState};
use order::OrderError;
use plan::{Action, Old, Plan};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An engine that is neither gone nor silent and serves the model.
fn serves(e: &Engine, model: &str) -> bool {
    e.state() == EngineState::Ready
        && !e.silent
        && fleet_core::fleet::version_of(e, model).is_some()
}

/// What to begin now for each model, by its engines as they are known.
fn due(s: &Controller, plan: &mut Plan) -> Vec<(Action, String, u64)> {
    let now = Instant::now();
    let loads = s.members.loads.total();
    let bound = s
        .settings()
        .bounds
        .version
        .saturating_sub(constants::VERSION_MARGIN + constants::ROLL_MARGIN);
    let models: Vec<(String, u64, Option<Instant>)> =
        s.look(|n| n.weights.iter().map(|(m, (v, at))| (m.clone(), *v, *at)).collect());
    let mut out = Vec::new();
    for (model, version, named) in models {
        let engines: Vec<Engine> =
            s.look(|n| n.engines.values().filter(|e| serves(e, &model)).cloned().collect());
        let mut old = Vec::new();
        for e in &engines {
            if fleet_core::fleet::version_of(e, &model).is_none_or(|v| v >= version) {
                continue;
            }
            if fleet_core::fleet::is_fading(e, &model, Some(version)) {
                plan.adopt(&e.id, now);
            }
            let key = fleet_core::load::key_of(&e.id);
            let load = loads.get(&key).copied().unwrap_or_default();
            old.push(Old {
                id: e.id.clone(),
                zone: e.zone.clone(),
                interactive: s.members.loads.interactive_share(key),
                waits: load.interactive,
                runs: load.runs,
            });
        }
        let left = named.map_or(bound, |t| bound.saturating_sub(now.duration_since(t)));
        let next = plan.next(now, engines.len(), &old, left);
        out.extend(next.into_iter().map(|a| (a, model.clone(), version)));
    }
    out
}

/// Brings engines to the named weights while this node holds the duty; rests while all have them.
pub async fn rolling(s: Arc<Controller>) {
    let mut news = s.news();
    loop {
        news.borrow_and_update();
        let work = s.look(|n| {
            n.weights.iter().any(|(m, (version, _))| {
                n.engines.values().any(|e| {
                    e.state() != EngineState::Deregistered
                        && fleet_core::fleet::version_of(e, m).is_some_and(|x| x < *version)
                })
            })
        });
        if !work {
            s.duties.plan.lock().rest();
            if news.changed().await.is_err() {
                return;
            }
            continue;
        }
        if s.duties.fence(ROLL_OUT).is_some() {
            let actions = due(&s, &mut s.duties.plan.lock());
            for (a, model, version) in actions {
                let s = s.clone();
                tokio::spawn(async move {
                    match a {
                        Action::Fade(id) => tell(&s, &id, |x| x.fade += 1 + x.fade % 2).await,
                        Action::Turn(id) => {
                            let load = turn(&s, &id, &model, version).await;
                            let mut plan = s.duties.plan.lock();
                            match load {
                                Ok(took) => plan.ended(&id, Instant::now(), Some(took)),
                                Err(p) => plan.failed(&id, Instant::now(), &p.to_string()),
                            }
                        }
                    }
                });
            }
        }
        tokio::time::sleep(constants::ROLL_TICK).await;
    }
}

/// Tells all routers of the turn, orders, waits for its end, and tells that.
async fn turn(
    s: &Arc<Controller>,
    id: &str,
    model: &str,
    version: u64,
) -> Result<Duration, OrderError> {
    let e = &s.look(|n| n.engines.get(id).cloned()).ok_or(OrderError::Unknown)?;
    let to = e.address.parse().map_err(|_| OrderError::Unknown)?;
    let mut line = Line::over(s.transport.clone(), s.node.ip, to);
    tell(s, &e.id, |x| x.turn += 1 + x.turn % 2).await;
    tokio::time::sleep(constants::ROLL_NOTICE).await;
    let done = order::order(s, &mut line, e, model, version).await;
    match &done {
        Ok(took) => {
            fleet_core::log_event!(s.log, Event::RollDone, "ms" => took.as_millis() as u64, "id" => &e.id, "version" => version)
        }
        Err(p) => {
            fleet_core::log_event!(s.log, Event::RollError, "id" => &e.id, "why" => p.to_string())
        }
    }
    tell(s, &e.id, |x| {
        x.turn += x.turn % 2;
        x.fade += x.fade % 2;
        if done.is_ok() {
            fleet_core::fleet::raise(x, model, version);
        }
    })
    .await;
    done
}

async fn tell(s: &Arc<Controller>, id: &str, f: impl FnOnce(&mut Engine)) {
    let Some(mut e) = s.look(|n| n.engines.get(id).cloned()) else { return };
    f(&mut e);
    s.append(Fact::Engine(e.clone()));
    registry::share_now(s, e).await;
}
