//! Has departures of engines recorded by a majority before they are acknowledged.

use super::departures::Departures;
use crate::cluster_state::ClusterStateStore;
use crate::consensus::{Consensus, forward};
use fleet_core::wire::{ChangeKind, Departure, Engine, Outcome, RecordDepartures};
use parking_lot::Mutex;
use std::sync::Arc;

/// Records departures, one change at a time; those that come meanwhile go together with the next one.
pub struct DepartureRecorder {
    consensus: Arc<Consensus>,
    cluster_state: Arc<ClusterStateStore>,
    /// Departures that wait for the next change. The lock is a leaf.
    pending: Mutex<Vec<Departure>>,
    /// Held by the change under way.
    turn: tokio::sync::Mutex<()>,
}

impl DepartureRecorder {
    /// A recorder with nothing to record.
    pub fn new(consensus: Arc<Consensus>, cluster_state: Arc<ClusterStateStore>) -> Self {
        let (pending, turn) = Default::default();
        DepartureRecorder { consensus, cluster_state, pending, turn }
    }

    /// Has the departure of this engine recorded; whether it is certain that a majority holds it on disk.
    ///
    /// # Cancel safety
    ///
    /// The departure may be recorded all the same.
    pub async fn record(&self, engine: &Engine) -> bool {
        if self.cluster_state.with_departures(|departures| departures.is_leaving(engine)) {
            return true;
        }
        let departure = Departure {
            engine: engine.id.clone(),
            call: engine.call,
            state: engine.state,
            number: 0,
        };
        self.pending.lock().push(departure.clone());
        let _turn = self.turn.lock().await;
        if self.cluster_state.with_departures(|departures| departures.is_recorded(&departure)) {
            return true;
        }
        let mut batch = std::mem::take(&mut *self.pending.lock());
        if !batch.contains(&departure) {
            batch.push(departure);
        }
        self.submit(batch).await
    }

    async fn submit(&self, departures: Vec<Departure>) -> bool {
        let forget_through = self.cluster_state.with_departures(Departures::forget_through);
        let request = RecordDepartures { departures: departures.clone(), forget_through };
        let change = ChangeKind::RecordDepartures(request);
        if forward::submit(&self.consensus, change).await.outcome() != Outcome::Done {
            return false;
        }
        self.cluster_state.with_departures(|known| {
            departures.into_iter().for_each(|departure| known.add(departure));
        });
        true
    }
}
