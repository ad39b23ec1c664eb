//! Learning what a majority holds, also after lost notices and restarts.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::Controller;
use crate::control::{submit, values};
use crate::facts::Fact;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{
    Ballot, Body, ChangeKind, Committed, ConfigValue, Fetch, Membership, Outcome, Peek, Peeked,
    WeightsValue,
};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;

type Held = std::collections::BTreeMap<String, Vec<(u64, Ballot)>>;

fn add(held: &mut Held, id: u64, p: &Peeked) {
    if !p.votes {
        return;
    }
    for r in &p.registers {
        if r.accepted != Ballot::default() {
            held.entry(r.key.clone()).or_default().push((id, r.accepted));
        }
    }
}

/// Highest accepted of a key, and whether a majority holds just that.
fn settled(held: &[(u64, Ballot)], quorum: usize) -> Option<(Ballot, bool)> {
    let top = held.iter().map(|(_, b)| *b).max()?;
    Some((top, held.iter().filter(|(_, b)| *b == top).count() >= quorum))
}

impl Controller {
    /// What the voting members hold now; their answers come from disk.
    async fn peek(self: &Arc<Self>, enough: impl Fn(&Held) -> bool) -> Held {
        let (members, epoch) = {
            let a = self.acceptor.lock();
            (a.membership().members.clone(), a.membership().epoch)
        };
        let begun = tokio::time::Instant::now();
        let mut held = Held::new();
        let (tx, mut rx) = tokio::sync::mpsc::channel(members.len().max(1));
        for (id, link) in self.peers(&members) {
            let (tx, s) = (tx.clone(), self.clone());
            tokio::spawn(async move {
                let ask = Body::Peek(Peek { membership: epoch, values: false });
                let Ok(Body::Peeked(p)) = link.call(ask, constants::PHASE_LIMIT).await else {
                    return;
                };
                if let Some(r) = &p.membership {
                    s.adopt(r).await;
                }
                if p.membership.as_ref().is_none_or(|r| r.epoch == epoch) {
                    s.heard_voter(id, &p, begun);
                    let _ = tx.send((id, p)).await;
                }
            });
        }
        drop(tx);
        let own = tokio::time::timeout(constants::PHASE_LIMIT, self.vote(|a| a.peek(false))).await;
        if let Ok(Some(p)) = own {
            self.heard_voter(self.node.id(), &p, begun);
            add(&mut held, self.node.id(), &p);
        }
        while !enough(&held) {
            let Some((id, p)) = rx.recv().await else { break };
            add(&mut held, id, &p);
        }
        held
    }

    fn heard_voter(&self, id: u64, p: &Peeked, begun: tokio::time::Instant) {
        if p.votes {
            self.contact.lock().answered(id, begun);
        }
    }

    /// Asks the voters for no other reason than to hear of a majority of them.
    pub async fn hear_majority(self: &Arc<Self>) {
        self.peek(|_| false).await;
    }

    fn quorum(&self) -> usize {
        self.acceptor.lock().membership().members.len() / 2 + 1
    }

    /// Whether a majority holds the key at just this ballot, asked after the call began.
    pub async fn majority_at(self: &Arc<Self>, key: &str, ballot: Ballot) -> bool {
        let quorum = self.quorum();
        let count =
            |h: &Held| h.get(key).map_or(0, |v| v.iter().filter(|(_, b)| *b == ballot).count());
        let held = self.peek(|h| count(h) >= quorum).await;
        count(&held) >= quorum
    }

    /// The chosen value, confirmed with a majority after the call came.
    ///
    /// While an owner's round is under way, voters stand at different ballots: the read waits for it, and
    /// then asks the owner to complete what is open. It never takes the key from an owner itself.
    pub async fn read(self: &Arc<Self>, key: &str) -> Option<(Ballot, bytes::Bytes)> {
        let mut pause = constants::READ_PAUSE_MS;
        for _ in 0..constants::READ_LOOKS {
            if let Some(found) = self.read_once(key).await {
                return Some(found);
            }
            tokio::time::sleep(Duration::from_millis(1 + self.chance(pause))).await;
            pause *= 2;
        }
        let confirmed = submit::submit(self, ChangeKind::Confirm(key.to_owned())).await;
        if confirmed.outcome() != Outcome::Done {
            return None;
        }
        self.read_once(key).await
    }

    /// The value that a majority stands at now, if it stands at one.
    async fn read_once(self: &Arc<Self>, key: &str) -> Option<(Ballot, bytes::Bytes)> {
        let quorum = self.quorum();
        let at = |h: &Held| h.get(key).and_then(|v| settled(v, quorum)).filter(|(_, all)| *all);
        let held = self.peek(|h| at(h).is_some()).await;
        let (ballot, _) = at(&held)?;
        let value = self.value_at(key, ballot, &held).await?;
        Some((ballot, value))
    }

    async fn value_at(self: &Arc<Self>, key: &str, b: Ballot, held: &Held) -> Option<bytes::Bytes> {
        {
            let a = self.acceptor.lock();
            if let Some(r) = a.register(key).filter(|r| r.accepted == b) {
                return Some(r.value.clone());
            }
        }
        if let Some((_, v)) = self.learned.lock().get(key).filter(|(at, _)| *at == b) {
            return Some(v.clone());
        }
        let members = self.acceptor.lock().membership().members.clone();
        for (id, link) in self.peers(&members) {
            if !held.get(key).is_some_and(|h| h.contains(&(id, b))) {
                continue;
            }
            let ask = Body::Fetch(Fetch { key: key.to_owned() });
            if let Ok(Body::Fetched(f)) = link.call(ask, constants::PHASE_LIMIT).await
                && let Some(r) = f.register.filter(|r| r.accepted == b)
            {
                return Some(r.value);
            }
        }
        None
    }

    /// A value that a majority holds; the views are folded on.
    pub async fn learn(self: &Arc<Self>, key: &str, ballot: Ballot, value: &bytes::Bytes) {
        {
            let mut l = self.learned.lock();
            if l.get(key).is_some_and(|(b, _)| *b >= ballot) {
                return;
            }
            l.insert(key.to_owned(), (ballot, value.clone()));
        }
        if key == values::CONFIG
            && let Ok(c) = ConfigValue::decode(value.clone())
            && self.look(|n| n.config.is_none_or(|(s, _)| s < c.version))
            && c.version > 0
        {
            fleet_core::log_event!(self.log, Event::ConfigTaken, "version" => c.version);
            self.distribution.remember(&c);
            self.append(Fact::Config { version: c.version, isolation: c.isolation });
        }
        if let Some(m) = values::model_of(key)
            && let Ok(w) = WeightsValue::decode(value.clone())
            && self.look(|n| n.weights.get(m).is_none_or(|(s, _)| *s < w.version))
            && w.version > 0
        {
            fleet_core::log_event!(self.log, Event::VersionNamed, "model" => m, "version" => w.version);
            self.append(Fact::Weights { model: m.to_owned(), version: w.version });
        }
        if key == values::MEMBERSHIP
            && let Ok(r) = Membership::decode(value.clone())
        {
            self.adopt(&r).await;
        }
    }

    /// Own change on a majority: learn it and tell the others.
    pub async fn committed(self: &Arc<Self>, key: &str, ballot: Ballot, value: &bytes::Bytes) {
        self.learn(key, ballot, value).await;
        let members = self.acceptor.lock().membership().members.clone();
        for (_, link) in self.peers(&members) {
            let _ = link.tell(Body::Committed(Committed { key: key.to_owned(), ballot }));
        }
    }

    /// Told by an owner; what this member lacks of it comes with the next look around.
    pub async fn heard_committed(self: &Arc<Self>, c: &Committed) {
        let value = {
            let a = self.acceptor.lock();
            a.register(&c.key).filter(|r| r.accepted == c.ballot).map(|r| r.value.clone())
        };
        if let Some(v) = value {
            self.learn(&c.key, c.ballot, &v).await;
        }
    }
}

pub async fn learning(s: Arc<Controller>) {
    let mut open: hashbrown::HashMap<String, Ballot> = hashbrown::HashMap::new();
    loop {
        let young = s.learned.lock().is_empty();
        tokio::time::sleep(if young {
            constants::LEARN_PAUSE / 10
        } else {
            constants::LEARN_PAUSE
        })
        .await;
        let q = s.quorum();
        let n = s.acceptor.lock().membership().members.len();
        let full = |h: &Held| n > 0 && h.values().any(|v| v.len() >= n);
        let held = s.peek(full).await;
        let mut still = hashbrown::HashMap::new();
        let mut stalled = Vec::new();
        for (key, h) in &held {
            let Some((top, all)) = settled(h, q) else { continue };
            if all {
                if s.learned.lock().get(key).is_some_and(|(b, _)| *b >= top) {
                    continue;
                }
                if let Some(v) = s.value_at(key, top, &held).await {
                    s.learn(key, top, &v).await;
                }
                continue;
            }
            if open.get(key) == Some(&top) && s.acceptor.lock().votes() {
                stalled.push(ChangeKind::Confirm(key.clone()));
            }
            still.insert(key.clone(), top);
        }
        open = still;
        let completed = stalled.into_iter().map(|confirm| submit::submit(&s, confirm));
        futures_util::future::join_all(completed).await;
    }
}

#[cfg(test)]
#[path = "learner_tests.rs"]
mod tests;
