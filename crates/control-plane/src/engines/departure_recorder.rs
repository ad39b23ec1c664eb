//! Records departures of engines on a majority before they are acknowledged.

use super::departures::Departures;
use crate::cluster_state::ClusterStateStore;
use crate::consensus::{Consensus, forward};
use fleet_core::wire::{ChangeKind, Departure, Engine, Outcome, RecordDepartures};
use parking_lot::Mutex;
use std::sync::Arc;

/// Records departures by one change at a time. Departures that arrive while a change is in progress are batched into
/// the next one.
pub struct DepartureRecorder {
    consensus: Arc<Consensus>,
    cluster_state: Arc<ClusterStateStore>,
    /// Departures waiting for the next change. No other lock is taken while this one is held.
    pending: Mutex<Vec<Departure>>,
    /// Held while a change is in progress.
    in_progress: tokio::sync::Mutex<()>,
}

impl DepartureRecorder {
    /// Creates a recorder with no pending departures.
    pub fn new(consensus: Arc<Consensus>, cluster_state: Arc<ClusterStateStore>) -> Self {
        let (pending, in_progress) = Default::default();
        DepartureRecorder { consensus, cluster_state, pending, in_progress }
    }

    /// Records the departure of an engine; true only if a majority is known to have it on disk.
    ///
    /// # Cancel safety
    ///
    /// The departure may be recorded even if the future is dropped.
    pub async fn record(&self, engine: &Engine) -> bool {
        if self.cluster_state.with_departures(|departures| departures.is_leaving(engine)) {
            return true;
        }
        let departure = Departure {
            engine: engine.id.clone(),
            call_seq: engine.call_seq,
            state: engine.state,
            number: 0,
        };
        self.pending.lock().push(departure.clone());
        let _in_progress = self.in_progress.lock().await;
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
        if forward::submit(&self.consensus, change).await.outcome() != Outcome::Committed {
            return false;
        }
        self.cluster_state.with_departures(|known| {
            departures.into_iter().for_each(|departure| known.add(departure));
        });
        true
    }
}
