//! Engines by instance; rebuilt from their own heartbeats.

use crate::Controller;
use crate::cluster_state::StateChange;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Body, Engine, EngineHeartbeats, EngineState};
use std::sync::Arc;

/// When engines were heard, and what is still to be told to the other controllers.
#[derive(Default)]
pub struct Registry {
    /// when news of each engine came last
    last_heartbeat: parking_lot::Mutex<hashbrown::HashMap<String, tokio::time::Instant>>,
    /// own heartbeats that go with the next batch
    outbox: parking_lot::Mutex<std::collections::BTreeMap<String, Engine>>,
}

/// Takes news of an engine; its own heartbeats are told on, those of other controllers are not.
pub fn record_heartbeat(controller: &Controller, update: Engine, own: bool) -> bool {
    let current = controller.read_state(|n| n.engines.get(&update.id).cloned());
    let is_newer = current.as_ref().is_none_or(|e| update.call > e.call);
    if is_newer && update.state() != EngineState::Deregistered {
        controller
            .engines
            .last_heartbeat
            .lock()
            .insert(update.id.clone(), tokio::time::Instant::now());
    }
    if own && is_newer {
        controller.engines.outbox.lock().insert(update.id.clone(), update.clone());
    }
    let (merged, changed) = match current {
        None => (update, true),
        Some(mut e) => {
            let changed = fleet_core::fleet::merge(&mut e, &update);
            (e, changed)
        }
    };
    if changed {
        let event = match merged.state() {
            EngineState::Ready => Event::EngineNew,
            EngineState::Draining => Event::EngineDraining,
            EngineState::Deregistered => Event::EngineDeregistered,
        };
        fleet_core::log_event!(controller.log, event, "id" => &merged.id, "at" => &merged.address);
    }
    if changed {
        controller.append(StateChange::Engine(merged));
    } else if is_newer {
        controller.touch(merged);
    }
    changed
}

impl Controller {
    /// What another controller is told of the engines when a link comes up. An engine that is silent here
    /// may have told others of its end: only its own next heartbeat proves that it is still ready.
    pub fn engines_to_share(&self) -> Vec<Engine> {
        let is_shareable = |e: &&Engine| !e.heartbeat_missed || e.state() != EngineState::Ready;
        self.read_state(|current| current.engines.values().filter(is_shareable).cloned().collect())
    }

    /// A call number without other news moves no view of the routers.
    fn touch(&self, e: Engine) {
        self.cluster_state.lock().amend(|n| {
            n.engines.insert(e.id.clone(), e);
        });
    }
}

/// Tells the others at once, and waits until a majority of the controllers has it.
pub async fn replicate_now(controller: &Arc<Controller>, e: Engine) -> bool {
    controller.engines.outbox.lock().remove(&e.id);
    let members = controller.acceptor.lock().membership().members.clone();
    let own = members.iter().any(|m| m.addr() == Some(controller.node.ip));
    let quorum = members.len() / 2 + 1;
    let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
    for (_, link) in controller.links_to(&members) {
        let (tx, e) = (tx.clone(), e.clone());
        tokio::spawn(async move {
            let b =
                Body::EngineHeartbeats(EngineHeartbeats { engines: vec![e], request_all: false });
            if link.call(b, constants::HEARTBEAT_SHARE_TIMEOUT).await.is_ok() {
                let _ = tx.send(()).await;
            }
        });
    }
    drop(tx);
    let mut have = usize::from(own);
    while have < quorum && rx.recv().await.is_some() {
        have += 1;
    }
    have >= quorum
}

/// Routine heartbeats go to the others in batches; a link that came up gets and gives all.
pub async fn run_heartbeat_sharing(controller: Arc<Controller>) {
    let mut up: hashbrown::HashSet<std::net::Ipv4Addr> = hashbrown::HashSet::new();
    loop {
        tokio::time::sleep(constants::HEARTBEAT_SHARE_INTERVAL).await;
        let outbox = std::mem::take(&mut *controller.engines.outbox.lock());
        let engines: Vec<Engine> = outbox.into_values().collect();
        let links = controller.peers.links();
        up.retain(|ip| links.iter().any(|(i, l)| i == ip && l.is_up()));
        for (ip, link) in links {
            if link.is_up() && up.insert(ip) {
                let controller = controller.clone();
                tokio::spawn(async move {
                    let b = Body::EngineHeartbeats(EngineHeartbeats {
                        engines: controller.engines_to_share(),
                        request_all: true,
                    });
                    if let Ok(Body::EngineHeartbeats(b)) =
                        link.call(b, constants::HEARTBEAT_SHARE_TIMEOUT).await
                    {
                        for e in b.engines {
                            record_heartbeat(&controller, e, false);
                        }
                    }
                });
            } else if !engines.is_empty() {
                let _ = link.notify(Body::EngineHeartbeats(EngineHeartbeats {
                    engines: engines.clone(),
                    request_all: false,
                }));
            }
        }
    }
}

/// Before this controller ends: all that it knows goes to the others, since some of it may have been told to
/// it and one other only. Waits until they have it or the time for it is over.
pub async fn share_all(controller: &Arc<Controller>) {
    let request_all = Body::EngineHeartbeats(EngineHeartbeats {
        engines: controller.engines_to_share(),
        request_all: false,
    });
    let calls = controller.peers.links().into_iter().map(|(_, link)| {
        let request_all = request_all.clone();
        async move { link.call(request_all, constants::HEARTBEAT_SHARE_TIMEOUT).await.is_ok() }
    });
    futures_util::future::join_all(calls).await;
}

/// Suspects the silent, and forgets the long gone.
pub async fn run_failure_detection(controller: Arc<Controller>) {
    loop {
        tokio::time::sleep(constants::ANTI_ENTROPY_INTERVAL).await;
        let limit = controller.settings().heartbeat.mul_f64(constants::MISSED_HEARTBEATS);
        let now = tokio::time::Instant::now();
        let current: Vec<Engine> = controller.read_state(|n| n.engines.values().cloned().collect());
        for mut e in current {
            let age = controller.engines.last_heartbeat.lock().get(&e.id).map(|t| now - *t);
            if e.state() == EngineState::Deregistered {
                if age.is_some_and(|a| a > constants::TOMBSTONE) {
                    controller.engines.last_heartbeat.lock().remove(&e.id);
                    controller.cluster_state.lock().amend(|n| {
                        n.engines.remove(&e.id);
                    });
                }
                continue;
            }
            let heartbeat_missed = age.is_none_or(|a| a > limit);
            if heartbeat_missed != e.heartbeat_missed {
                e.heartbeat_missed = heartbeat_missed;
                if heartbeat_missed {
                    fleet_core::log_event!(controller.log, Event::EngineHeartbeatMissed, "id" => &e.id);
                }
                controller.append(StateChange::Engine(e));
            }
        }
    }
}
