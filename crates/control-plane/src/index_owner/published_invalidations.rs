//! Invalidations of what no engine uses any more, each published once.

use crate::cluster_state::ClusterState;
use fleet_core::fleet;
use fleet_core::wire::{EngineState, Invalidation, WeightsVersion};

/// Target weights and isolation generation for which invalidations were published.
#[derive(Default)]
pub struct PublishedInvalidations {
    weights: hashbrown::HashMap<String, u64>,
    isolation: u64,
}

impl PublishedInvalidations {
    /// Invalidations of weights that no ready engine serves any more, and of former generations of the shared
    /// isolation.
    pub fn collect(&mut self, state: &ClusterState) -> Vec<Invalidation> {
        let mut invalidations = Vec::new();
        for model in state.weights.keys() {
            let (model, version) = (model.clone(), state.target_version(model));
            let is_rolled_out = !state.engines.values().any(|engine| {
                engine.state() == EngineState::Ready
                    && fleet::version_of(engine, &model)
                        .is_some_and(|engine_version| engine_version < version)
            });
            if is_rolled_out && self.weights.insert(model.clone(), version) != Some(version) {
                invalidations.push(Invalidation::Weights(WeightsVersion { model, version }));
            }
        }
        if let Some(config) = state.config
            && config.isolation > self.isolation
        {
            if self.isolation > 0 {
                invalidations.push(Invalidation::Isolation(config.isolation));
            }
            self.isolation = config.isolation;
        }
        invalidations
    }
}
