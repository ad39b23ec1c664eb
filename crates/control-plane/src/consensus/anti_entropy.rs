//! Learns chosen values, even after lost commit notices and restarts.
//!
//! An owner notifies the voters of each value that it commits. A periodic task also queries the voters, so that a lost
//! notice only delays learning by about half a second. Learned values are applied to the cluster state.

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
    async fn fetch_and_learn(self: &Arc<Self>, key: &str, ballot: Ballot, status: &QuorumStatus) {
        if self.has_learned(key, ballot) {
            return;
        }
        if let Some(value) = self.value_at(key, ballot, status).await {
            self.learn(key, ballot, &value).await;
        }
    }

    fn has_learned(&self, key: &str, ballot: Ballot) -> bool {
        self.learned.lock().get(key).is_some_and(|known| known.ballot >= ballot)
    }

    /// Applies a chosen value, unless an equal or later one of the key was learned.
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

    /// Learns a value that was chosen in a round of this node, and notifies the other voters.
    pub(super) async fn announce_commit(&self, key: &str, ballot: Ballot, value: &Bytes) {
        self.learn(key, ballot, value).await;
        for MemberLink { link, .. } in self.links_to_voters() {
            // A voter that misses the notice learns the value from its next query.
            let _ = link.notify(Body::CommitNotice(CommitNotice { key: key.to_owned(), ballot }));
        }
    }

    /// Handles the commit notice of an owner. If this voter has not accepted the value, it learns it from its next
    /// periodic query instead.
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

/// Learns chosen values periodically, and has the owners complete values that stay undecided for two queries in a row.
pub async fn run_anti_entropy(consensus: Arc<Consensus>) {
    let mut pending = BTreeMap::new();
    loop {
        // A node that has not learned anything yet queries ten times as often.
        let has_no_values = consensus.learned.lock().is_empty();
        let interval = constants::ANTI_ENTROPY_INTERVAL;
        tokio::time::sleep(if has_no_values { interval / 10 } else { interval }).await;
        let status = consensus.query_voters(QuorumStatus::is_complete).await;
        let still_pending = learn_chosen(&consensus, &status).await;
        let stalled =
            still_pending.iter().filter(|(key, ballot)| pending.get(*key) == Some(*ballot));
        confirm_keys(&consensus, stalled.map(|(key, _)| key.clone()).collect()).await;
        pending = still_pending;
    }
}

/// Learns all chosen values. Returns the keys without a known chosen value, with their highest accepted ballots.
async fn learn_chosen(
    consensus: &Arc<Consensus>,
    status: &QuorumStatus,
) -> BTreeMap<String, Ballot> {
    let mut pending = BTreeMap::new();
    for key in status.keys() {
        match status.key_status(key) {
            Some(KeyStatus::Chosen(ballot)) => consensus.fetch_and_learn(key, ballot, status).await,
            Some(KeyStatus::Pending(ballot)) => drop(pending.insert(key.to_owned(), ballot)),
            None => {}
        }
    }
    pending
}

/// Has the owners of these keys complete their accepted values, by submitting changes that only confirm the key.
async fn confirm_keys(consensus: &Arc<Consensus>, keys: Vec<String>) {
    if !consensus.votes() {
        return;
    }
    let confirmations =
        keys.into_iter().map(|key| forward::submit(consensus, ChangeKind::Confirm(key)));
    futures_util::future::join_all(confirmations).await;
}
