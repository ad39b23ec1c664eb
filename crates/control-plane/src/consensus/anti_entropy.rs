//! Learning what was chosen, also after lost notices and restarts.
//!
//! An owner notifies the voters of what it committed; this task looks for itself besides, so that a lost notice
//! costs half a second and nothing more. What is learned is folded into the cluster state.

use super::quorum_status::{KeyStatus, QuorumStatus};
use super::{ChosenValue, Consensus, forward, state_machine};
use crate::cluster_state::StateChange;
use crate::membership::peer_links::MemberLink;
use bytes::Bytes;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{
    Ballot, Body, ChangeKind, CommitNotice, ConfigValue, DeparturesValue, Membership, WeightsValue,
};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Consensus {
    async fn catch_up(self: &Arc<Self>, key: &str, ballot: Ballot, status: &QuorumStatus) {
        if self.knows(key, ballot) {
            return;
        }
        if let Some(value) = self.value_at(key, ballot, status).await {
            self.learn(key, ballot, &value).await;
        }
    }

    fn knows(&self, key: &str, ballot: Ballot) -> bool {
        self.learned.lock().get(key).is_some_and(|known| known.ballot >= ballot)
    }

    /// Takes in a value that a majority holds.
    async fn learn(&self, key: &str, ballot: Ballot, value: &Bytes) {
        {
            let mut learned = self.learned.lock();
            if learned.get(key).is_some_and(|known| known.ballot >= ballot) {
                return;
            }
            learned.insert(key.to_owned(), ChosenValue { ballot, value: value.clone() });
        }
        if key == state_machine::CONFIG {
            self.learn_config(value);
        }
        if let Some(model) = state_machine::model_of(key) {
            self.learn_weights(model, value);
        }
        if key == state_machine::DEPARTURES
            && let Ok(departures) = DeparturesValue::decode(value.clone())
        {
            self.cluster_state.learn_departures(&departures);
        }
        if key == state_machine::MEMBERSHIP
            && let Ok(membership) = Membership::decode(value.clone())
        {
            self.adopt(&membership).await;
        }
    }

    fn learn_config(&self, value: &Bytes) {
        let Ok(config) = ConfigValue::decode(value.clone()) else { return };
        let (version, isolation) = (config.version, config.isolation);
        if version == 0 || self.cluster_state.read(|state| state.config_version() >= version) {
            return;
        }
        fleet_core::log_event!(self.process.log, Event::ConfigCommitted, "version" => version);
        self.config_observer.config_committed(&config);
        self.cluster_state.append(StateChange::Config { version, isolation });
    }

    fn learn_weights(&self, model: &str, value: &Bytes) {
        let Ok(WeightsValue { version }) = WeightsValue::decode(value.clone()) else { return };
        if self.cluster_state.read(|state| state.target_version(model)) >= version {
            return;
        }
        fleet_core::log_event!(self.process.log, Event::TargetVersionSet,
            "model" => model, "version" => version);
        self.cluster_state.append(StateChange::Weights { model: model.to_owned(), version });
    }

    /// An own change is chosen: learns it and notifies the other voters.
    pub(super) async fn committed(&self, key: &str, ballot: Ballot, value: &Bytes) {
        self.learn(key, ballot, value).await;
        for MemberLink { link, .. } in self.links_to_voters() {
            // a voter that misses the notice learns of the value by itself
            let _ = link.notify(Body::CommitNotice(CommitNotice { key: key.to_owned(), ballot }));
        }
    }

    /// Notified by an owner; a value that this voter lacks comes with the next round of questions.
    pub async fn on_commit_notice(&self, notice: &CommitNotice) {
        let accepted = self.with_acceptor(|acceptor| {
            let register = acceptor.register(&notice.key);
            let register = register.filter(|register| register.accepted == notice.ballot);
            register.map(|register| register.value.clone())
        });
        if let Some(value) = accepted {
            self.learn(&notice.key, notice.ballot, &value).await;
        }
    }
}

/// Keeps this node up to date with what a majority holds.
pub async fn run_anti_entropy(consensus: Arc<Consensus>) {
    let mut open = BTreeMap::new();
    loop {
        // a node that knows nothing yet looks more often
        let knows_nothing = consensus.learned.lock().is_empty();
        let interval = constants::ANTI_ENTROPY_INTERVAL;
        tokio::time::sleep(if knows_nothing { interval / 10 } else { interval }).await;
        let status = consensus.query_voters(QuorumStatus::is_complete).await;
        let still_open = learn_chosen(&consensus, &status).await;
        let stalled = still_open.iter().filter(|(key, ballot)| open.get(*key) == Some(*ballot));
        complete(&consensus, stalled.map(|(key, _)| key.clone()).collect()).await;
        open = still_open;
    }
}

/// Learns every chosen value; returns the keys that are left open, with their highest ballot.
async fn learn_chosen(
    consensus: &Arc<Consensus>,
    status: &QuorumStatus,
) -> BTreeMap<String, Ballot> {
    let mut open = BTreeMap::new();
    for key in status.keys() {
        match status.key_status(key) {
            Some(KeyStatus::Chosen(ballot)) => consensus.catch_up(key, ballot, status).await,
            Some(KeyStatus::Open(ballot)) => drop(open.insert(key.to_owned(), ballot)),
            None => {}
        }
    }
    open
}

/// Has the owners complete what has stood open since the last round of questions.
async fn complete(consensus: &Arc<Consensus>, keys: Vec<String>) {
    if !consensus.votes() {
        return;
    }
    let confirms = keys.into_iter().map(|key| forward::submit(consensus, ChangeKind::Confirm(key)));
    futures_util::future::join_all(confirms).await;
}
