//! Learning what a majority holds, also after lost notices and restarts.

use crate::Controller;
use crate::cluster_state::StateChange;
use crate::consensus::quorum_status::{KeyStatus, QuorumStatus};
use crate::consensus::{forward, state_machine};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{
    Ballot, BallotReport, Body, ChangeKind, CommitNotice, ConfigValue, Membership, Outcome,
    ReadBallots, RegisterRequest, WeightsValue,
};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;

impl Controller {
    /// Asks all voters what they hold now, until `enough` is known; their answers come from disk.
    async fn query_voters(
        self: &Arc<Self>,
        enough: impl Fn(&QuorumStatus) -> bool,
    ) -> QuorumStatus {
        let membership = self.acceptor.lock().membership().clone();
        let begun = tokio::time::Instant::now();
        let mut read_state = QuorumStatus::new(&membership);
        let mut answers = self.send_to_voters(&membership);
        let own = tokio::time::timeout(
            constants::PHASE_TIMEOUT,
            self.vote(|acceptor| acceptor.read_ballots(false)),
        )
        .await;
        if let Ok(Some(answer)) = own {
            self.count(&mut read_state, self.node.id(), &answer, begun);
        }
        while !enough(&read_state) {
            let Some((voter, answer)) = answers.recv().await else { break };
            self.count(&mut read_state, voter, &answer, begun);
        }
        read_state
    }

    /// Sends the question to all other voters. A later membership in an answer is adopted.
    fn send_to_voters(
        self: &Arc<Self>,
        membership: &Membership,
    ) -> tokio::sync::mpsc::Receiver<(u64, BallotReport)> {
        let (answers, inbox) = tokio::sync::mpsc::channel(membership.members.len().max(1));
        for (voter, link) in self.links_to(&membership.members) {
            let (answers, controller) = (answers.clone(), self.clone());
            let request =
                Body::ReadBallots(ReadBallots { membership: membership.epoch, values: false });
            tokio::spawn(async move {
                let Ok(Body::BallotReport(answer)) =
                    link.call(request, constants::PHASE_TIMEOUT).await
                else {
                    return;
                };
                if let Some(later) = &answer.membership {
                    controller.adopt(later).await;
                }
                let _ = answers.send((voter, answer)).await;
            });
        }
        inbox
    }

    fn count(
        &self,
        read_state: &mut QuorumStatus,
        voter: u64,
        answer: &BallotReport,
        begun: tokio::time::Instant,
    ) {
        if read_state.add(voter, answer) {
            self.contact.lock().answered(voter, begun);
        }
    }

    /// Asks the voters for no other reason than to hear of a majority of them.
    pub async fn contact_majority(self: &Arc<Self>) {
        self.query_voters(|_| false).await;
    }

    /// Whether a majority holds the key at just this ballot, asked after the call began.
    pub async fn majority_at(self: &Arc<Self>, key: &str, ballot: Ballot) -> bool {
        let read_state =
            self.query_voters(|read_state| read_state.has_quorum_at(key, ballot)).await;
        read_state.has_quorum_at(key, ballot)
    }

    /// The chosen value, confirmed with a majority after the call came.
    ///
    /// While an owner's round is under way, voters stand at different ballots: the read waits for it, and
    /// then asks the owner to complete what is open. It never takes the key from an owner itself.
    pub async fn read(self: &Arc<Self>, key: &str) -> Option<(Ballot, bytes::Bytes)> {
        let mut backoff_ms = constants::READ_BACKOFF_MS;
        for _ in 0..constants::READ_ATTEMPTS {
            if let Some(bootstrap) = self.read_once(key).await {
                return Some(bootstrap);
            }
            tokio::time::sleep(Duration::from_millis(1 + self.random_below(backoff_ms))).await;
            backoff_ms *= 2;
        }
        let confirmed = forward::submit(self, ChangeKind::Confirm(key.to_owned())).await;
        if confirmed.outcome() != Outcome::Done {
            return None;
        }
        self.read_once(key).await
    }

    /// The value that a majority stands at now, if it stands at one.
    async fn read_once(self: &Arc<Self>, key: &str) -> Option<(Ballot, bytes::Bytes)> {
        let chosen = |read_state: &QuorumStatus| {
            matches!(read_state.key_status(key), Some(KeyStatus::Chosen(_)))
        };
        let read_state = self.query_voters(chosen).await;
        let Some(KeyStatus::Chosen(ballot)) = read_state.key_status(key) else { return None };
        let value = self.value_at(key, ballot, &read_state).await?;
        Some((ballot, value))
    }

    /// The value that was accepted under this ballot: from here, or from a voter that holds it.
    async fn value_at(
        self: &Arc<Self>,
        key: &str,
        b: Ballot,
        read_state: &QuorumStatus,
    ) -> Option<bytes::Bytes> {
        {
            let acceptor = self.acceptor.lock();
            if let Some(r) = acceptor.register(key).filter(|r| r.accepted == b) {
                return Some(r.value.clone());
            }
        }
        if let Some((_, v)) = self.learned.lock().get(key).filter(|(at, _)| *at == b) {
            return Some(v.clone());
        }
        let members = self.acceptor.lock().membership().members.clone();
        for (id, link) in self.links_to(&members) {
            if !read_state.is_accepted_by(key, id, b) {
                continue;
            }
            let request = Body::RegisterRequest(RegisterRequest { key: key.to_owned() });
            if let Ok(Body::RegisterResponse(f)) =
                link.call(request, constants::PHASE_TIMEOUT).await
                && let Some(r) = f.register.filter(|r| r.accepted == b)
            {
                return Some(r.value);
            }
        }
        None
    }

    async fn catch_up(self: &Arc<Self>, key: &str, ballot: Ballot, read_state: &QuorumStatus) {
        if self.learned.lock().get(key).is_some_and(|(known, _)| *known >= ballot) {
            return;
        }
        if let Some(value) = self.value_at(key, ballot, read_state).await {
            self.learn(key, ballot, &value).await;
        }
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
        if key == state_machine::CONFIG
            && let Ok(c) = ConfigValue::decode(value.clone())
            && self.read_state(|n| n.config.is_none_or(|(s, _)| s < c.version))
            && c.version > 0
        {
            fleet_core::log_event!(self.log, Event::ConfigCommitted, "version" => c.version);
            self.config_distribution.remember(&c);
            self.append(StateChange::Config { version: c.version, isolation: c.isolation });
        }
        if let Some(m) = state_machine::model_of(key)
            && let Ok(w) = WeightsValue::decode(value.clone())
            && self.read_state(|n| n.weights.get(m).is_none_or(|(s, _)| *s < w.version))
            && w.version > 0
        {
            fleet_core::log_event!(self.log, Event::TargetVersionSet, "model" => m, "version" => w.version);
            self.append(StateChange::Weights { model: m.to_owned(), version: w.version });
        }
        if key == state_machine::MEMBERSHIP
            && let Ok(r) = Membership::decode(value.clone())
        {
            self.adopt(&r).await;
        }
    }

    /// Own change on a majority: learn it and tell the others.
    pub async fn committed(self: &Arc<Self>, key: &str, ballot: Ballot, value: &bytes::Bytes) {
        self.learn(key, ballot, value).await;
        let members = self.acceptor.lock().membership().members.clone();
        for (_, link) in self.links_to(&members) {
            let _ = link.notify(Body::CommitNotice(CommitNotice { key: key.to_owned(), ballot }));
        }
    }

    /// Told by an owner; what this member lacks of it comes with the next look around.
    pub async fn on_commit_notice(self: &Arc<Self>, c: &CommitNotice) {
        let value = {
            let acceptor = self.acceptor.lock();
            acceptor.register(&c.key).filter(|r| r.accepted == c.ballot).map(|r| r.value.clone())
        };
        if let Some(v) = value {
            self.learn(&c.key, c.ballot, &v).await;
        }
    }
}

/// Keeps this node up to date with what a majority holds, also where notices were lost.
pub async fn run_anti_entropy(controller: Arc<Controller>) {
    let mut open: std::collections::BTreeMap<String, Ballot> = std::collections::BTreeMap::new();
    loop {
        let is_empty_yet = controller.learned.lock().is_empty();
        let backoff_ms = if is_empty_yet {
            constants::ANTI_ENTROPY_INTERVAL / 10
        } else {
            constants::ANTI_ENTROPY_INTERVAL
        };
        tokio::time::sleep(backoff_ms).await;
        let read_state = controller.query_voters(QuorumStatus::is_complete).await;
        let still_open = learn_chosen(&controller, &read_state).await;
        let stalled = still_open.iter().filter(|(key, ballot)| open.get(*key) == Some(*ballot));
        complete(&controller, stalled.map(|(key, _)| key.clone()).collect()).await;
        open = still_open;
    }
}

/// Takes up every chosen value; what is left open, with its highest ballot.
async fn learn_chosen(
    controller: &Arc<Controller>,
    read_state: &QuorumStatus,
) -> std::collections::BTreeMap<String, Ballot> {
    let mut open = std::collections::BTreeMap::new();
    for key in read_state.keys() {
        match read_state.key_status(key) {
            Some(KeyStatus::Chosen(ballot)) => controller.catch_up(key, ballot, read_state).await,
            Some(KeyStatus::Open(ballot)) => drop(open.insert(key.to_owned(), ballot)),
            None => {}
        }
    }
    open
}

/// Has the owners complete what has stood open since the last look.
async fn complete(controller: &Arc<Controller>, keys: Vec<String>) {
    if !controller.acceptor.lock().votes() {
        return;
    }
    let confirms =
        keys.into_iter().map(|key| forward::submit(controller, ChangeKind::Confirm(key)));
    futures_util::future::join_all(confirms).await;
}
