//! The outcome of each configuration change, collected from all attempts to send it and all reads.

use crate::history::{History, Read, Reply, Version};
use std::collections::BTreeMap;

/// One change, with the combined results of all attempts to send it.
pub(super) struct Change {
    pub(super) version: Version,
    pub(super) base: u64,
    pub(super) valid: bool,
    pub(super) first_invoked: u64,
    pub(super) first_acknowledged: Option<u64>,
    pub(super) first_observed: Option<u64>,
    pub(super) refused: bool,
}

impl Change {
    pub(super) fn is_committed(&self) -> bool {
        self.first_acknowledged.is_some() || self.first_observed.is_some()
    }

    /// Whether it was in effect before `other` was first sent. If `other` does not build on it, it was lost.
    pub(super) fn was_in_effect_before(&self, other: &Change) -> bool {
        self.in_effect_by().is_some_and(|by| by < other.first_invoked)
    }

    /// The time by which it was certainly in effect.
    pub(super) fn in_effect_by(&self) -> Option<u64> {
        match (self.first_acknowledged, self.first_observed) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

pub(super) struct Changes {
    pub(super) all: BTreeMap<Version, Change>,
    /// Reads of versions that no operator sent.
    pub(super) unsent: Vec<Read>,
}

impl Changes {
    pub(super) fn collect(history: &History) -> Changes {
        let mut all: BTreeMap<Version, Change> = BTreeMap::new();
        for write in &history.writes {
            let change = all.entry(write.version).or_insert_with(|| Change {
                version: write.version,
                base: write.base,
                valid: write.valid,
                first_invoked: write.invoked,
                first_acknowledged: None,
                first_observed: None,
                refused: false,
            });
            change.first_invoked = change.first_invoked.min(write.invoked);
            change.refused |= write.reply == Reply::Refused;
            if write.reply == Reply::Acknowledged {
                change.first_acknowledged = earliest(change.first_acknowledged, write.completed);
            }
        }
        let mut unsent = Vec::new();
        for read in history.reads.iter().chain(&history.last_reads) {
            match all.get_mut(&read.version) {
                Some(change) => {
                    change.first_observed = earliest(change.first_observed, read.completed);
                }
                None => unsent.push(read.clone()),
            }
        }
        Changes { all, unsent }
    }

    pub(super) fn committed(&self) -> Vec<&Change> {
        self.all.values().filter(|change| change.is_committed()).collect()
    }

    /// The highest version that was certainly in effect before a given time.
    pub(super) fn newest_at(&self, at: u64) -> Option<&Change> {
        self.committed().into_iter().rfind(|change| change.in_effect_by().is_some_and(|by| by < at))
    }
}

fn earliest(current: Option<u64>, other: u64) -> Option<u64> {
    Some(current.map_or(other, |at| at.min(other)))
}
