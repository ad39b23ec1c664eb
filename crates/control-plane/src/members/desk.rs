//! Answers what other processes of the system say.

use super::RouterSeen;
use crate::control::owner;
use crate::facts::Fact;
use crate::{Sorting, duties, engines};
use fleet_core::constants as k;
use fleet_core::link::{LinkProblem, Origin};
use fleet_core::log::Event;
use fleet_core::wire::{Beats, Body, Done, Fetched, Joined};
use std::sync::Arc;

pub struct Desk(pub Arc<Sorting>);

impl fleet_core::link::Host for Desk {
    fn joined(self: &Arc<Self>, origin: &Origin) {
        let s = &self.0;
        s.members.enter(&origin.hello);
        if origin.hello.role == fleet_core::node::Role::Router as u32 {
            s.members.origins.lock().insert(origin.hello.life, origin.clone());
            tokio::spawn(tell_router(s.clone(), origin.clone()));
        }
    }

    fn left(self: &Arc<Self>, origin: &Origin) {
        let s = &self.0;
        s.members.origins.lock().remove(&origin.hello.life);
        let mut c = s.members.routers.lock();
        if c.get(&origin.hello.name).is_some_and(|c| c.life == origin.hello.life) {
            c.remove(&origin.hello.name);
        }
    }

    async fn answer(self: &Arc<Self>, origin: &Origin, body: Body) -> Option<Body> {
        let s = &self.0;
        if s.members.is_dead(&origin.hello) {
            fleet_core::note!(s.log, Event::PeerRejected, "from" => &origin.hello.ip, "why" => "former life");
            return None;
        }
        match body {
            Body::Prepare(p) => s.vote(|a| a.prepare(&p)).await.map(Body::Vote),
            Body::Accept(p) => s.vote(|a| a.accept(&p)).await.map(Body::Vote),
            Body::Peek(p) => s.vote(|a| a.peek(p.values)).await.map(Body::Peeked),
            Body::Recover(r) => {
                if r.roster != s.acceptor.lock().roster().epoch {
                    return s.vote(|a| a.peek(false)).await.map(Body::Peeked);
                }
                s.members.bury(&origin.hello.ip, r.life);
                s.vote(|a| a.hand_over(r.era)).await.map(Body::Peeked)
            }
            Body::Fetch(f) if f.confirm => {
                let got = s.read(&f.key).await;
                let register = got.map(|(accepted, value)| fleet_core::wire::Register {
                    key: f.key,
                    accepted,
                    value,
                    ..Default::default()
                });
                Some(Body::Fetched(Fetched { known: register.is_some(), register }))
            }
            Body::Fetch(f) => {
                let learned = s.learned.lock().get(&f.key).cloned();
                let register = s.acceptor.lock().register(&f.key).cloned();
                let register = match (register, learned) {
                    (Some(r), Some((b, value))) if b > r.accepted => {
                        Some(fleet_core::wire::Register { accepted: b, value, ..r })
                    }
                    (None, Some((b, value))) => Some(fleet_core::wire::Register {
                        key: f.key,
                        accepted: b,
                        value,
                        ..Default::default()
                    }),
                    (r, _) => r,
                };
                Some(Body::Fetched(Fetched { known: register.is_some(), register }))
            }
            Body::Committed(c) => {
                s.heard_committed(&c).await;
                None
            }
            Body::Change(c) => {
                let c = c.kind?;
                Some(Body::Changed(owner::settle_passed(s, &c).await))
            }
            Body::Lease(l) => Some(Body::Leased(duties::grant(s, &l))),
            Body::Beats(b) => Some(Body::Beats(heard_beats(s, b))),
            Body::Join(j) => {
                if !j.observes {
                    super::roster::heard_join(s, j.member);
                }
                Some(Body::Joined(Joined { roster: Some(s.acceptor.lock().roster().clone()) }))
            }
            Body::Alive(_) => {
                heard_router(s, origin);
                Some(Body::Nothing(Done {}))
            }
            Body::Found(f) => {
                duties::keeper::hear_found(s, &f);
                None
            }
            Body::Loads(l) => {
                s.members.loads.hear(origin, l);
                None
            }
            Body::RingAsk(a) => duties::keeper::give(s, &a).map(Body::RingGive),
            _ => None,
        }
    }

    fn spoilt(self: &Arc<Self>, problem: &LinkProblem) {
        fleet_core::note!(self.0.log, Event::PeerRejected, "why" => problem.to_string());
    }
}

fn heard_beats(s: &Arc<Sorting>, b: Beats) -> Beats {
    for e in b.engines {
        engines::registry::hear(s, e, false);
    }
    let engines =
        if b.ask { s.look(|n| n.engines.values().cloned().collect()) } else { Vec::new() };
    Beats { engines, ask: false }
}

fn heard_router(s: &Arc<Sorting>, origin: &Origin) {
    let n = {
        let mut c = s.members.routers.lock();
        let seen = RouterSeen { life: origin.hello.life, heard: tokio::time::Instant::now() };
        c.insert(origin.hello.name.clone(), seen);
        c.retain(|_, x| x.heard.elapsed() < k::ROUTER_SILENT);
        c.len() as u32
    };
    if s.look(|x| x.routers) != n {
        s.append(Fact::Routers(n));
    }
}

/// Pushes what is new to one router, as it comes.
async fn tell_router(s: Arc<Sorting>, origin: Origin) {
    let mut news = s.news();
    let mut seen = None;
    loop {
        news.borrow_and_update();
        let (head, view) = s.view_since(seen);
        seen = Some(head);
        if let Some(v) = view
            && origin.push(Body::View(v)).is_err()
        {
            return;
        }
        tokio::select! {
            changed = news.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(k::ROUTER_SILENT) => {}
        }
        if origin.is_closed() {
            return;
        }
    }
}
