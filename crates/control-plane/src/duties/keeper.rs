//! The index-keeper: tails what engines and stores tell of their kept parts,
//! and derives invalidations from it (docs/purge.md).

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::INDEX_KEEPER;
use crate::Controller;
use crate::engines::outside::Line;
use crate::facts::Fact;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{
    HeldParts, PartAt, Purge, RingAsk, RingEntry, RingGive, RingHead, Standing, Weights,
};
use invalidation::cache::Cache;
use invalidation::draft::{Draft, Local};
use invalidation::ring::{Read, Ring};
use std::sync::Arc;

type Parts = hashbrown::HashMap<u64, u64, ahash::RandomState>;
type Held = (Arc<str>, Arc<str>, u64);
type Unshared = hashbrown::HashMap<u64, Vec<Held>, ahash::RandomState>;

/// holder, then salt, then parts with the tokens kept: what the keeper believes of the parts that
/// requests share. Parts of single requests wait apart, bounded, until a router names them.
#[derive(Default)]
pub struct Index {
    holders: hashbrown::HashMap<Arc<str>, hashbrown::HashMap<Arc<str>, Parts>>,
    shared: hashbrown::HashSet<u64, ahash::RandomState>,
    unshared: [Unshared; 2],
    fresh: std::collections::VecDeque<(Arc<str>, Arc<str>, u64, u64)>,
    found: u64,
}

impl Local<RingEntry> for Index {
    fn apply(&mut self, e: &RingEntry) {
        invalidation::cache::apply(self, e, |_| true);
    }

    /// Unlearning twice does no harm.
    fn reflush(&mut self, e: &RingEntry) {
        self.apply(e);
    }
}

impl Cache for Index {
    /// A holder that answers, with nothing kept as yet.
    fn meet(&mut self, holder: &str) {
        if !self.holders.contains_key(holder) {
            let (holder, _) = self.place(holder, None);
            self.find(holder, Arc::from(""), 0, 0);
        }
    }

    fn found(&mut self, holder: &str, salt: &str, part: u64, kept: Option<u64>) {
        let kept = kept.unwrap_or(0);
        if !self.shared.contains(&part) {
            let held = (Arc::from(holder), Arc::from(salt), kept);
            return self.put_aside(part, held);
        }
        let (holder, salt) = self.place(holder, Some(salt));
        let parts = self.holders.get_mut(&holder).and_then(|h| h.get_mut(&salt));
        let Some(parts) = parts else { return };
        if parts.insert(part, kept) != Some(kept) {
            self.find(holder, salt, part, kept);
        }
    }

    fn evict(&mut self, holder: &str, salt: &str, part: u64, _: u64) {
        if let Some(p) = self.holders.get_mut(holder).and_then(|h| h.get_mut(salt)) {
            p.remove(&part);
        }
        for u in &mut self.unshared {
            if let Some(v) = u.get_mut(&part) {
                v.retain(|(h, s, _)| **h != *holder || **s != *salt);
            }
        }
    }

    fn drop_holder(&mut self, holder: &str) {
        self.holders.remove(holder);
        for u in &mut self.unshared {
            u.retain(|_, v| {
                v.retain(|(h, _, _)| **h != *holder);
                !v.is_empty()
            });
        }
    }

    fn drop_salts(&mut self, void: &dyn Fn(&str) -> bool) {
        for h in self.holders.values_mut() {
            h.retain(|salt, _| !void(salt));
        }
        for u in &mut self.unshared {
            u.retain(|_, v| {
                v.retain(|(_, s, _)| !void(s));
                !v.is_empty()
            });
        }
    }

    fn reset(&mut self) {
        *self = Index::default();
    }
}

impl Index {
    /// The names as they are kept here once, and a place for what is found there.
    fn place(&mut self, holder: &str, salt: Option<&str>) -> (Arc<str>, Arc<str>) {
        let name = match self.holders.get_key_value(holder) {
            Some((h, _)) => h.clone(),
            None => Arc::from(holder),
        };
        let salts = self.holders.entry(name.clone()).or_default();
        let Some(salt) = salt else { return (name, Arc::from("")) };
        let kept = match salts.get_key_value(salt) {
            Some((s, _)) => s.clone(),
            None => Arc::from(salt),
        };
        salts.entry(kept.clone()).or_default();
        (name, kept)
    }

    fn put_aside(&mut self, part: u64, held: Held) {
        if self.unshared[0].len() >= constants::UNSHARED_KEPT {
            self.unshared.swap(0, 1);
            self.unshared[0].clear();
        }
        let v = self.unshared[0].entry(part).or_default();
        v.retain(|(h, s, _)| *h != held.0 || *s != held.1);
        v.push(held);
    }

    /// What a router's own sends leave: it also names these parts as shared.
    pub fn hear(&mut self, found: &[HeldParts]) {
        for part in found.iter().flat_map(|h| &h.parts) {
            if !self.shared.insert(*part) {
                continue;
            }
            let known: Vec<Held> =
                self.unshared.iter_mut().filter_map(|u| u.remove(part)).flatten().collect();
            for (holder, salt, kept) in known {
                self.found(&holder, &salt, *part, Some(kept).filter(|k| *k > 0));
            }
        }
        invalidation::cache::refill(self, found);
    }

    fn find(&mut self, holder: Arc<str>, salt: Arc<str>, part: u64, kept: u64) {
        self.found += 1;
        self.fresh.push_back((holder, salt, part, kept));
        if self.fresh.len() > constants::FINDINGS_KEPT {
            self.fresh.pop_front();
        }
    }

    /// What was found behind a position; what is no longer remembered is only slower to come by.
    fn since(&self, seen: u64) -> Vec<HeldParts> {
        let behind = self.found.saturating_sub(seen) as usize;
        let skip = self.fresh.len().saturating_sub(behind);
        let mut at = hashbrown::HashMap::<(&str, &str), usize>::new();
        let mut out: Vec<HeldParts> = Vec::new();
        for (holder, salt, part, kept) in self.fresh.iter().skip(skip) {
            let n = *at.entry((&**holder, &**salt)).or_insert_with(|| {
                out.push(HeldParts {
                    holder: holder.to_string(),
                    salt: salt.to_string(),
                    ..Default::default()
                });
                out.len() - 1
            });
            if !salt.is_empty() {
                out[n].parts.push(*part);
                out[n].kept.push(*kept);
            }
        }
        out
    }

    pub fn digest(&self) -> Vec<HeldParts> {
        let mut out = Vec::new();
        for (holder, salts) in &self.holders {
            out.push(HeldParts { holder: holder.to_string(), ..Default::default() });
            for (salt, parts) in salts.iter().filter(|(_, p)| !p.is_empty()) {
                let (parts, kept) = parts.iter().unzip();
                let (holder, salt) = (holder.to_string(), salt.to_string());
                out.push(HeldParts { holder, salt, parts, kept });
            }
        }
        out
    }
}

pub struct Keeper {
    started: tokio::time::Instant,
    fence: u64,
    incarnation: u64,
    ring: Ring<RingEntry>,
    index: parking_lot::Mutex<Index>,
    readers: parking_lot::Mutex<hashbrown::HashMap<u64, tokio::time::Instant>>,
    refills: parking_lot::Mutex<std::collections::VecDeque<tokio::time::Instant>>,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Events {
    epoch: u64,
    next_token: u64,
    #[serde(default)]
    lost: bool,
    events: Vec<(u64, String, String, String, u64, String)>,
}

impl Keeper {
    fn head(&self, s: &Controller) -> RingHead {
        RingHead {
            fence: self.fence,
            incarnation: self.incarnation,
            head: self.ring.head(),
            keeper: s.node.ip.to_string(),
            found: self.index.lock().found,
        }
    }

    /// One change: applied here as it comes, published when whole.
    fn commit(&self, s: &Controller, entries: impl IntoIterator<Item = Purge>) {
        let nudged = {
            let mut index = self.index.lock();
            let mut d = Draft::open(&mut *index);
            for what in entries {
                d.add(RingEntry { scope: 0, what: Some(what) });
            }
            d.commit(&self.ring)
        };
        for reader in nudged {
            if let Some(o) = s.members.router_links.lock().get(&reader) {
                let _ = o.push(fleet_core::wire::Body::View(fleet_core::wire::View {
                    nudge: true,
                    ..Default::default()
                }));
            }
        }
    }

    /// A batch of events of one holder; gives the purges that follow from it.
    pub fn take_events(index: &mut Index, holder: &str, e: &Events) -> Vec<Purge> {
        let mut out = Vec::new();
        index.meet(holder);
        for (_, sign, salt, id, kept, _) in &e.events {
            let Ok(part) = u64::from_str_radix(id, 16) else { continue };
            if sign == "+" {
                index.found(holder, salt, part, Some(*kept));
            } else if index.shared.contains(&part) {
                out.push(Purge::Part(PartAt {
                    holder: holder.to_owned(),
                    salt: salt.clone(),
                    part,
                    kept: *kept,
                }));
            } else {
                index.evict(holder, salt, part, *kept);
            }
        }
        out
    }

    /// Room on the line for one more digest?
    fn may_refill(&self, now: tokio::time::Instant) -> bool {
        let mut r = self.refills.lock();
        while r.front().is_some_and(|t| now.duration_since(*t) >= constants::REFILL_SPAN) {
            r.pop_front();
        }
        let room = r.len() < constants::REFILLS_AT_ONCE;
        if room {
            r.push_back(now);
        }
        room
    }
}

/// What a router's own sends leave behind; nothing where another is the keeper.
pub fn hear_found(s: &Controller, f: &fleet_core::wire::Found) {
    if let Some(keeper) = s.duties.keeper.lock().clone() {
        keeper.index.lock().hear(&f.held);
    }
}

/// What a router asks of the ring: entries behind its cursor, or a reset with a digest.
/// An answer without a head means later.
pub fn give(s: &Arc<Controller>, a: &RingAsk) -> Option<RingGive> {
    let keeper = s.duties.keeper.lock().clone()?;
    s.duties.fence(INDEX_KEEPER)?;
    keeper.readers.lock().insert(a.reader, tokio::time::Instant::now());
    let same = a.fence == keeper.fence && a.incarnation == keeper.incarnation;
    let cursor = if same && !a.refill { keeper.ring.cursor(a.reader) } else { None };
    let cursor = cursor.filter(|c| c.next() == a.cursor);
    if let Some(c) = cursor {
        let digest = keeper.index.lock().since(a.found);
        let entries = match keeper.ring.read(&c, constants::RING_LAG as usize) {
            Read::Nothing => Some(Vec::new()),
            Read::Entries(entries) => Some(entries),
            Read::Reset(_) => None,
        };
        if let Some(entries) = entries {
            let head = Some(keeper.head(s));
            return Some(RingGive { head, reset: false, cursor: c.next(), entries, digest });
        }
    }
    let now = tokio::time::Instant::now();
    if now.duration_since(keeper.started) < constants::KEEPER_WARM || !keeper.may_refill(now) {
        return Some(RingGive::default());
    }
    let (digest, cursor) = {
        let index = keeper.index.lock();
        (index.digest(), keeper.ring.enter(a.reader).1)
    };
    let head = Some(keeper.head(s));
    Some(RingGive { head, reset: true, cursor, digest, entries: Vec::new() })
}

pub async fn keeping(s: Arc<Controller>) {
    loop {
        tokio::time::sleep(constants::DUTY_TICK).await;
        let Some(fence) = s.duties.fence(INDEX_KEEPER) else { continue };
        let keeper = Arc::new(Keeper {
            started: tokio::time::Instant::now(),
            fence,
            incarnation: s.draw() | 1,
            ring: Ring::new(constants::RING_SLOTS, constants::RING_BATCH, constants::RING_LAG),
            index: parking_lot::Mutex::default(),
            readers: parking_lot::Mutex::default(),
            refills: parking_lot::Mutex::default(),
        });
        *s.duties.keeper.lock() = Some(keeper.clone());
        fleet_core::log_event!(s.log, Event::RingStarted, "fence" => fence, "incarnation" => keeper.incarnation);
        s.append(Fact::Ring(keeper.head(&s)));
        keep(&s, &keeper).await;
        *s.duties.keeper.lock() = None;
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "older than the lint; mended when the file is next changed"
)]
/// Until the duty ends: tails all holders, and publishes what other changes void.
async fn keep(s: &Arc<Controller>, keeper: &Arc<Keeper>) {
    // ends with this task, also where that is aborted
    let mut tail_tasks = tokio::task::JoinSet::new();
    let mut tails = std::collections::BTreeMap::<String, tokio::task::AbortHandle>::new();
    let mut seen_weights = hashbrown::HashMap::<String, u64>::new();
    let mut seen_isolation = 0;
    let mut told = (0, 0);
    while s.duties.fence(INDEX_KEEPER) == Some(keeper.fence) {
        let mut want = s.look(|n| {
            n.engines
                .values()
                .filter(|e| e.standing() != Standing::Gone && !e.silent)
                .map(|e| (e.id.clone(), e.address.clone()))
                .collect::<std::collections::BTreeMap<_, _>>()
        });
        want.extend(stores(s));
        let mut purges = Vec::new();
        while tail_tasks.try_join_next().is_some() {}
        tails.retain(|holder, t| {
            let stays = want.contains_key(holder);
            if !stays {
                t.abort();
                purges.push(Purge::Holder(holder.clone()));
            }
            stays
        });
        for (holder, address) in want {
            let Ok(to) = address.parse() else { continue };
            tails
                .entry(holder.clone())
                .or_insert_with(|| tail_tasks.spawn(tail(s.clone(), keeper.clone(), holder, to)));
        }
        s.look(|n| {
            for (model, (version, _)) in &n.weights {
                let all_there = !n.engines.values().any(|e| {
                    e.standing() == Standing::Ready
                        && fleet_core::fleet::version_of(e, model).is_some_and(|x| x < *version)
                });
                if all_there && seen_weights.insert(model.clone(), *version) != Some(*version) {
                    purges
                        .push(Purge::Weights(Weights { model: model.clone(), version: *version }));
                }
            }
            if let Some((_, isolation)) = n.config
                && isolation > seen_isolation
            {
                if seen_isolation > 0 {
                    purges.push(Purge::Isolation(isolation));
                }
                seen_isolation = isolation;
            }
        });
        keeper.commit(s, purges);
        let stuck: Vec<u64> = {
            let mut r = keeper.readers.lock();
            let stuck = r
                .iter()
                .filter(|(_, t)| t.elapsed() > constants::READER_LIMIT)
                .map(|(id, _)| *id)
                .collect();
            r.retain(|_, t| t.elapsed() <= constants::READER_LIMIT);
            stuck
        };
        for r in stuck {
            keeper.ring.drop_reader(r);
        }
        let head = keeper.head(s);
        if (head.head, head.found) != told {
            told = (head.head, head.found);
            s.append(Fact::Ring(head));
        }
        tokio::time::sleep(constants::RING_TELL_PAUSE).await;
    }
}

fn stores(s: &Controller) -> Vec<(String, String)> {
    let learned = s.learned.lock();
    let Some((_, v)) = learned.get(crate::control::values::CONFIG) else { return Vec::new() };
    let Ok(c) = <fleet_core::wire::ConfigValue as prost::Message>::decode(v.clone()) else {
        return Vec::new();
    };
    drop(learned);
    s.distribution.kv_stores(&c).into_iter().map(|address| (address.clone(), address)).collect()
}

async fn tail(s: Arc<Controller>, keeper: Arc<Keeper>, holder: String, to: std::net::SocketAddr) {
    let mut line = Line::over(s.transport.clone(), s.node.ip, to);
    let wait = constants::EVENTS_WAIT_MS.to_string();
    let limit =
        std::time::Duration::from_millis(constants::EVENTS_WAIT_MS) + constants::ENGINE_CALL_LIMIT;
    let mut at: Option<(u64, u64)> = None;
    loop {
        let path = format!("/anisedyke/kv-events?since={}", at.map_or(0, |a| a.1));
        let got = line
            .call(http::Method::GET, &path, &[("Wait-Ms", &wait)], Vec::new(), limit)
            .await
            .ok()
            .filter(|a| a.status == http::StatusCode::OK)
            .and_then(|a| serde_json::from_slice::<Events>(&a.body).ok());
        let Some(e) = got else {
            if at.take().is_some() {
                fleet_core::log_event!(s.log, Event::HolderReset, "holder" => &holder);
                keeper.commit(&s, [Purge::Holder(holder.clone())]);
            }
            tokio::time::sleep(constants::ENGINE_CALL_LIMIT).await;
            continue;
        };
        let other_incarnation = at.is_some_and(|(epoch, _)| epoch != e.epoch);
        let gap = at.is_some() && e.lost;
        at = Some((e.epoch, if other_incarnation { 0 } else { e.next_token }));
        if other_incarnation || gap {
            fleet_core::log_event!(s.log, Event::HolderReset, "holder" => &holder);
            keeper.commit(&s, [Purge::Holder(holder.clone())]);
        }
        if !other_incarnation {
            let purges = Keeper::take_events(&mut keeper.index.lock(), &holder, &e);
            keeper.commit(&s, purges);
        }
        tokio::time::sleep(constants::EVENTS_PAUSE).await;
    }
}

#[cfg(test)]
#[path = "keeper_tests.rs"]
mod tests;
