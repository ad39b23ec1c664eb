//! Bringing engines to named weights, a few at a time, under the fence of the duty.

use super::ROLL_OUT;
use crate::Sorting;
use crate::engines::{outside::Line, registry};
use crate::facts::Fact;
use pouch::constants as k;
use pouch::log::Event;
use pouch::wire::{Engine, Standing};
use std::sync::Arc;
use tokio::time::Instant;

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct Report {
    #[serde(default)]
    models: Vec<Loaded>,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    call_seq: u64,
}

#[derive(Debug, serde::Deserialize)]
struct Loaded {
    name: String,
    revision: u64,
}

#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum RollProblem {
    /// the duty is no longer held
    NoDuty,
    /// a higher fence was seen
    Fenced,
    /// no end of the order in time
    Late,
}

/// Engines that still lack the named weights, and how many of them may turn now.
fn due(s: &Sorting) -> Vec<(Engine, String, u64)> {
    s.look(|n| {
        let mut out = Vec::new();
        for (model, (stamp, _)) in &n.weights {
            let of = |e: &&Engine| {
                e.standing() == Standing::Ready
                    && !e.silent
                    && pouch::fleet::stamp_of(e, model).is_some()
            };
            let all = n.engines.values().filter(of).count();
            let turning = s.duties.turns.lock().len();
            let room =
                ((all as f64 * k::ROLL_SHARE).ceil() as usize).max(1).saturating_sub(turning);
            let mut old: Vec<&Engine> = n
                .engines
                .values()
                .filter(of)
                .filter(|e| pouch::fleet::stamp_of(e, model).is_some_and(|x| x < *stamp))
                .filter(|e| !s.duties.turns.lock().contains(&e.id))
                .collect();
            let loads = s.members.loads.total();
            let runs = |e: &Engine| loads.get(&pouch::load::key_of(&e.id)).map_or(0, |l| l.runs);
            old.sort_by_key(|e| (runs(e), e.id.clone()));
            out.extend(old.into_iter().take(room).map(|e| (e.clone(), model.clone(), *stamp)));
        }
        out
    })
}

pub async fn rolling(s: Arc<Sorting>) {
    let mut news = s.news();
    loop {
        news.borrow_and_update();
        let work = s.look(|n| {
            n.weights.iter().any(|(m, (stamp, _))| {
                n.engines.values().any(|e| {
                    e.standing() != Standing::Gone
                        && pouch::fleet::stamp_of(e, m).is_some_and(|x| x < *stamp)
                })
            })
        });
        if !work {
            if news.changed().await.is_err() {
                return;
            }
            continue;
        }
        if s.duties.fence(ROLL_OUT).is_some() {
            for (e, model, stamp) in due(&s) {
                s.duties.turns.lock().insert(e.id.clone());
                let s = s.clone();
                tokio::spawn(async move {
                    turn(&s, &e, &model, stamp).await;
                    s.duties.turns.lock().remove(&e.id);
                });
            }
        }
        tokio::time::sleep(k::ROLL_TICK).await;
    }
}

/// Tells all carriers of the turn, orders, waits for its end, and tells that.
async fn turn(s: &Arc<Sorting>, e: &Engine, model: &str, stamp: u64) {
    let Ok(to) = e.address.parse() else { return };
    let mut line = Line::new(s.node.ip, to);
    tell(s, &e.id, |x| x.turn += 1 + x.turn % 2).await;
    tokio::time::sleep(k::ROLL_NOTICE).await;
    let done = order(s, &mut line, e, model, stamp).await;
    match &done {
        Ok(()) => pouch::note!(s.log, Event::RollDone, "id" => &e.id, "stamp" => stamp),
        Err(p) => pouch::note!(s.log, Event::RollProblem, "id" => &e.id, "why" => p.to_string()),
    }
    tell(s, &e.id, |x| {
        x.turn += x.turn % 2;
        if done.is_ok() {
            pouch::fleet::raise(x, model, stamp);
        }
    })
    .await;
}

async fn tell(s: &Arc<Sorting>, id: &str, f: impl FnOnce(&mut Engine)) {
    let Some(mut e) = s.look(|n| n.engines.get(id).cloned()) else { return };
    f(&mut e);
    s.append(Fact::Engine(e.clone()));
    registry::share_now(s, e).await;
}

async fn order(
    s: &Arc<Sorting>,
    line: &mut Line,
    e: &Engine,
    model: &str,
    stamp: u64,
) -> Result<(), RollProblem> {
    let until = Instant::now() + k::ORDER_LIMIT;
    let mut ordered = false;
    while Instant::now() < until {
        if let Some(r) = report(line).await {
            if r.models.iter().any(|m| m.name == model && m.revision >= stamp) {
                return Ok(());
            }
            if !r.busy && !ordered {
                let fence = s.duties.fence(ROLL_OUT).ok_or(RollProblem::NoDuty)?;
                let body = serde_json::json!({
                    "operation": "revision", "model": model, "revision": stamp, "method": "defer",
                    "holder": s.node.name, "fence": fence, "expected": r.call_seq,
                });
                let answer = line
                    .call(
                        http::Method::POST,
                        "/anisedyke/order",
                        &[("X-Target-Instance", e.id.as_str())],
                        body.to_string().into_bytes(),
                        k::ENGINE_CALL_LIMIT,
                    )
                    .await;
                match answer.map(|a| a.status.as_u16()) {
                    Ok(202) => {
                        pouch::note!(s.log, Event::RollOrdered, "id" => &e.id, "stamp" => stamp);
                        ordered = true;
                    }
                    Ok(200) => return Ok(()),
                    Ok(412) => return Err(RollProblem::Fenced),
                    Ok(_) | Err(_) => {}
                }
            }
        }
        tokio::time::sleep(k::REPORT_PAUSE).await;
    }
    Err(RollProblem::Late)
}

async fn report(line: &mut Line) -> Option<Report> {
    let a = line
        .call(http::Method::GET, "/anisedyke/report", &[], Vec::new(), k::ENGINE_CALL_LIMIT)
        .await
        .ok()?;
    serde_json::from_slice(&a.body).ok()
}
