//! Loads of engines: each controller adds up its routers', and gives them the sum over all.

use crate::Sorting;
use fleet_core::constants as k;
use fleet_core::link::Origin;
use fleet_core::load::{self, Book, ByEngine, Last};
use fleet_core::wire::{Body, Loads};
use std::sync::Arc;
use tokio::time::Instant;

#[derive(Default)]
pub struct Desk {
    routers: parking_lot::Mutex<Book>,
    peers: parking_lot::Mutex<Book>,
    /// by engine, recent runs and those that somebody waits for
    mix: parking_lot::Mutex<hashbrown::HashMap<u32, (f32, f32), ahash::RandomState>>,
}

impl Desk {
    pub fn hear(&self, origin: &Origin, l: Loads) {
        let from_peer = origin.hello.role == fleet_core::node::Role::Controller as u32;
        let book = if from_peer { &self.peers } else { &self.routers };
        book.lock().hear(origin.hello.life, Instant::now(), l);
    }

    fn remember(&self, all: &ByEngine) {
        let mut mix = self.mix.lock();
        mix.retain(|_, (runs, waits)| {
            *runs *= k::MIX_DECAY;
            *waits *= k::MIX_DECAY;
            *runs > 0.01
        });
        for (key, l) in all {
            let m = mix.entry(*key).or_insert((0.0, 0.0));
            m.0 += l.runs as f32 * (1.0 - k::MIX_DECAY);
            m.1 += l.interactive as f32 * (1.0 - k::MIX_DECAY);
        }
    }

    /// Share of an engine's recent runs that somebody waits for.
    pub fn interactive_share(&self, key: u32) -> f64 {
        self.mix.lock().get(&key).map_or(0.0, |(runs, waits)| f64::from(waits / runs.max(0.01)))
    }

    /// Over all routers, as far as they are heard of.
    pub fn total(&self) -> ByEngine {
        let now = Instant::now();
        let own = self.routers.lock().sum(now);
        self.with_peers(own, now)
    }

    fn with_peers(&self, mut all: ByEngine, now: Instant) -> ByEngine {
        for (key, l) in self.peers.lock().sum(now) {
            all.entry(key).or_default().add(&l);
        }
        all
    }
}

pub async fn sharing(s: Arc<Sorting>) {
    let (mut to_peers, mut to_routers) = (Last::default(), Last::default());
    loop {
        tokio::time::sleep(k::LOAD_PAUSE).await;
        let now = Instant::now();
        let desk = &s.members.loads;
        let sum = desk.routers.lock().sum(now);
        let own = load::pack(&sum);
        if to_peers.is_due(now, &own) {
            let members = s.acceptor.lock().roster().members.clone();
            for (_, link) in s.peers(&members) {
                let _ = link.tell(Body::Loads(own.clone()));
            }
        }
        let total = desk.with_peers(sum, now);
        desk.remember(&total);
        let all = load::pack(&total);
        if !to_routers.is_due(now, &all) {
            continue;
        }
        let origins = s.members.origins.lock();
        for life in desk.routers.lock().tellers() {
            if let Some(o) = origins.get(&life) {
                let _ = o.push(Body::Loads(all.clone()));
            }
        }
    }
}
