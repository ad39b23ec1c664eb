//! Engines by instance; rebuilt from their own heartbeats.

use crate::Controller;
use crate::facts::Fact;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Body, Engine, EngineHeartbeats, EngineState};
use std::sync::Arc;

/// When engines were heard, and what is still to be told to the other controllers.
#[derive(Default)]
pub struct Registry {
    /// when news of each engine came last
    heard: parking_lot::Mutex<hashbrown::HashMap<String, tokio::time::Instant>>,
    /// own heartbeats that go with the next batch
    outbox: parking_lot::Mutex<std::collections::BTreeMap<String, Engine>>,
}

/// Takes news of an engine; its own heartbeats are told on, those of other controllers are not.
pub fn hear(s: &Controller, news: Engine, own: bool) -> bool {
    let known = s.look(|n| n.engines.get(&news.id).cloned());
    let fresh = known.as_ref().is_none_or(|e| news.call > e.call);
    if fresh && news.state() != EngineState::Deregistered {
        s.engines.heard.lock().insert(news.id.clone(), tokio::time::Instant::now());
    }
    if own && fresh {
        s.engines.outbox.lock().insert(news.id.clone(), news.clone());
    }
    let (merged, changed) = match known {
        None => (news, true),
        Some(mut e) => {
            let changed = fleet_core::fleet::merge(&mut e, &news);
            (e, changed)
        }
    };
    if changed {
        let event = match merged.state() {
            EngineState::Ready => Event::EngineNew,
            EngineState::Draining => Event::EngineDraining,
            EngineState::Deregistered => Event::EngineGone,
        };
        fleet_core::log_event!(s.log, event, "id" => &merged.id, "at" => &merged.address);
    }
    if changed {
        s.append(Fact::Engine(merged));
    } else if fresh {
        s.touch(merged);
    }
    changed
}

impl Controller {
    /// What another controller is told of the engines when a link comes up. An engine that is silent here
    /// may have told others of its end: only its own next heartbeat proves that it is still ready.
    pub fn engines_to_tell(&self) -> Vec<Engine> {
        let is_news = |e: &&Engine| !e.silent || e.state() != EngineState::Ready;
        self.look(|known| known.engines.values().filter(is_news).cloned().collect())
    }

    /// A call number without other news moves no view of the routers.
    fn touch(&self, e: Engine) {
        self.known.lock().amend(|n| {
            n.engines.insert(e.id.clone(), e);
        });
    }
}

/// Tells the others at once, and waits until a majority of the controllers has it.
pub async fn share_now(s: &Arc<Controller>, e: Engine) -> bool {
    s.engines.outbox.lock().remove(&e.id);
    let members = s.acceptor.lock().membership().members.clone();
    let own = members.iter().any(|m| m.addr() == Some(s.node.ip));
    let quorum = members.len() / 2 + 1;
    let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
    for (_, link) in s.peers(&members) {
        let (tx, e) = (tx.clone(), e.clone());
        tokio::spawn(async move {
            let b = Body::EngineHeartbeats(EngineHeartbeats { engines: vec![e], ask: false });
            if link.call(b, constants::BEAT_SHARE_LIMIT).await.is_ok() {
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
pub async fn sharing(s: Arc<Controller>) {
    let mut up: hashbrown::HashSet<std::net::Ipv4Addr> = hashbrown::HashSet::new();
    loop {
        tokio::time::sleep(constants::BEAT_SHARE_PAUSE).await;
        let outbox = std::mem::take(&mut *s.engines.outbox.lock());
        let engines: Vec<Engine> = outbox.into_values().collect();
        let links = s.members.links();
        up.retain(|ip| links.iter().any(|(i, l)| i == ip && l.is_up()));
        for (ip, link) in links {
            if link.is_up() && up.insert(ip) {
                let s = s.clone();
                tokio::spawn(async move {
                    let b = Body::EngineHeartbeats(EngineHeartbeats {
                        engines: s.engines_to_tell(),
                        ask: true,
                    });
                    if let Ok(Body::EngineHeartbeats(b)) =
                        link.call(b, constants::BEAT_SHARE_LIMIT).await
                    {
                        for e in b.engines {
                            hear(&s, e, false);
                        }
                    }
                });
            } else if !engines.is_empty() {
                let _ = link.notify(Body::EngineHeartbeats(EngineHeartbeats {
                    engines: engines.clone(),
                    ask: false,
                }));
            }
        }
    }
}

/// Before this controller ends: all that it knows goes to the others, since some of it may have been told to
/// it and one other only. Waits until they have it or the time for it is over.
pub async fn tell_all(s: &Arc<Controller>) {
    let ask = Body::EngineHeartbeats(EngineHeartbeats { engines: s.engines_to_tell(), ask: false });
    let calls = s.members.links().into_iter().map(|(_, link)| {
        let ask = ask.clone();
        async move { link.call(ask, constants::BEAT_SHARE_LIMIT).await.is_ok() }
    });
    futures_util::future::join_all(calls).await;
}

/// Suspects the silent, and forgets the long gone.
pub async fn watching(s: Arc<Controller>) {
    loop {
        tokio::time::sleep(constants::LEARN_PAUSE).await;
        let limit = s.settings().heartbeat.mul_f64(constants::SILENT_BEATS);
        let now = tokio::time::Instant::now();
        let known: Vec<Engine> = s.look(|n| n.engines.values().cloned().collect());
        for mut e in known {
            let age = s.engines.heard.lock().get(&e.id).map(|t| now - *t);
            if e.state() == EngineState::Deregistered {
                if age.is_some_and(|a| a > constants::TOMBSTONE) {
                    s.engines.heard.lock().remove(&e.id);
                    s.known.lock().amend(|n| {
                        n.engines.remove(&e.id);
                    });
                }
                continue;
            }
            let silent = age.is_none_or(|a| a > limit);
            if silent != e.silent {
                e.silent = silent;
                if silent {
                    fleet_core::log_event!(s.log, Event::EngineSilent, "id" => &e.id);
                }
                s.append(Fact::Engine(e));
            }
        }
    }
}
