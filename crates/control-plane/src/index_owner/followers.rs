//! The tasks that poll holders for their cache events, one for each.

use super::IndexOwner;
use super::follower::{self, HolderEndpoint};
use fleet_core::wire::Invalidation;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::task::{AbortHandle, JoinSet};

/// One task per holder; all are aborted when this is dropped.
#[derive(Default)]
pub struct Followers {
    tasks: JoinSet<()>,
    by_holder: BTreeMap<String, AbortHandle>,
}

impl Followers {
    /// Starts following new holders and stops following removed ones; returns invalidations of the removed ones.
    pub fn follow(
        &mut self,
        owner: &Arc<IndexOwner>,
        holders: BTreeMap<String, HolderEndpoint>,
    ) -> Vec<Invalidation> {
        while self.tasks.try_join_next().is_some() {}
        owner.holder_count.store(holders.len(), Ordering::Relaxed);
        let mut invalidations = Vec::new();
        self.by_holder.retain(|holder, task| {
            let stays = holders.contains_key(holder);
            if !stays {
                task.abort();
                invalidations.push(Invalidation::Holder(holder.clone()));
            }
            stays
        });
        for (holder, endpoint) in holders {
            self.by_holder.entry(holder.clone()).or_insert_with(|| {
                self.tasks.spawn(follower::follow(owner.clone(), holder, endpoint))
            });
        }
        invalidations
    }
}
