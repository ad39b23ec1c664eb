//! Events of a controller, and the view folded from them.

use fleet_core::wire::{Engine, FleetUpdate, Membership, RingHead, TargetWeights};

/// Something that this controller learned and routers may have to hear of.
#[derive(Debug, Clone)]
pub enum StateChange {
    /// A configuration was chosen.
    Config {
        /// its number
        version: u64,
        /// isolation generation of its shared prompt parts
        isolation: u64,
    },
    /// New weights were named.
    Weights {
        /// name of the model
        model: String,
        /// version that engines are to have
        version: u64,
    },
    /// Another membership is in force.
    Membership(Membership),
    /// An engine is known, or something of it has changed.
    Engine(Engine),
    /// The ring of invalidations has moved on.
    Ring(RingHead),
    /// So many routers are alive.
    Routers(u32),
}

/// All that this controller knows, folded from the facts.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// version and isolation generation of the configuration
    pub config: Option<(u64, u64)>,
    /// by model, the version named and when this controller heard of it
    pub weights: std::collections::BTreeMap<String, (u64, Option<tokio::time::Instant>)>,
    /// the membership in force
    pub membership: Membership,
    /// engines by id
    pub engines: std::collections::BTreeMap<String, Engine>,
    /// where the ring of invalidations stands
    pub ring: Option<RingHead>,
    /// how many routers are alive
    pub routers: u32,
}

impl fleet_core::journal::Fold for ClusterState {
    type Event = StateChange;
    fn fold(&mut self, change: &StateChange) {
        match change {
            StateChange::Config { version, isolation } => {
                self.config = Some((*version, *isolation))
            }
            StateChange::Weights { model, version } => {
                let at = Some(tokio::time::Instant::now());
                self.weights.insert(model.clone(), (*version, at));
            }
            StateChange::Membership(r) => self.membership = r.clone(),
            StateChange::Engine(e) => {
                self.engines.insert(e.id.clone(), e.clone());
            }
            StateChange::Ring(h) => self.ring = Some(h.clone()),
            StateChange::Routers(n) => self.routers = *n,
        }
    }
}

impl ClusterState {
    fn named(&self, model: &str) -> Option<TargetWeights> {
        let (version, at) = self.weights.get(model)?;
        let age_ms = at.map_or(0, |t| t.elapsed().as_millis() as u64);
        Some(TargetWeights { model: model.to_owned(), version: *version, age_ms })
    }

    /// Everything, for a router that has nothing yet.
    pub fn complete(&self) -> FleetUpdate {
        FleetUpdate {
            membership: Some(self.membership.clone()),
            config: self.config.map_or(0, |c| c.0),
            weights: self.weights.keys().filter_map(|m| self.named(m)).collect(),
            engines: self.engines.values().cloned().collect(),
            ring: self.ring.clone(),
            routers: self.routers,
            nudge: false,
        }
    }

    /// The newest state of all that these events touched.
    pub fn delta<'a>(&self, changes: impl Iterator<Item = &'a StateChange>) -> FleetUpdate {
        let mut v = FleetUpdate::default();
        for f in changes {
            match f {
                StateChange::Config { .. } => v.config = self.config.map_or(0, |c| c.0),
                StateChange::Weights { model, .. } => {
                    v.weights.retain(|w| w.model != *model);
                    v.weights.extend(self.named(model));
                }
                StateChange::Membership(_) => v.membership = Some(self.membership.clone()),
                StateChange::Engine(e) => {
                    v.engines.retain(|x| x.id != e.id);
                    v.engines.extend(self.engines.get(&e.id).cloned());
                }
                StateChange::Ring(_) => v.ring = self.ring.clone(),
                StateChange::Routers(_) => v.routers = self.routers,
            }
        }
        v
    }
}

impl crate::Controller {
    /// What is new since `position`; all of it when the journal no longer reaches back.
    pub fn view_since(&self, position: Option<u64>) -> (u64, Option<FleetUpdate>) {
        let j = self.cluster_state.lock();
        let head = j.head();
        let view = match position {
            Some(s) if s == head => None,
            Some(s) => Some(j.since(s).map_or_else(|| j.view().complete(), |f| j.view().delta(f))),
            None => Some(j.view().complete()),
        };
        (head, view)
    }
}
