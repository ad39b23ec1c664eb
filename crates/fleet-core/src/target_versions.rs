//! The target versions set for the weights of one model, each with the time at which it became known.
//!
//! The bound on using older weights applies to each version from the time it was set: an engine may begin requests
//! until the bound of the first version that it lacks. A later target version neither extends nor replaces that
//! bound. Controllers and routers keep the same state; [`crate::wire::TargetWeights`] carries it between them.

use crate::constants;
use tokio::time::Instant;

/// A target version of a model's weights and the time since which it is the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetVersion {
    /// Version number; never 0.
    pub version: u64,
    /// The earliest time at which any reporting process can have known it.
    pub since: Instant,
}

/// The target versions of one model.
///
/// Sorted by version. Times never decrease with the version, because a version is set after all lower ones. At most
/// [`constants::TARGET_VERSIONS_CAPACITY`] are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetVersions {
    versions: Vec<TargetVersion>,
}

impl TargetVersions {
    /// Records that a version has been the target since this time; returns whether that changed anything. A reporting
    /// process may have learned of the version late, so the earliest reported time counts.
    pub fn record(&mut self, version: u64, since: Instant) -> bool {
        if version == 0 {
            return false;
        }
        let index = self.versions.partition_point(|known| known.version < version);
        match self.versions.get(index) {
            Some(known) if known.version == version && known.since <= since => return false,
            Some(known) if known.version == version => self.versions[index].since = since,
            _ => self.versions.insert(index, TargetVersion { version, since }),
        }
        self.restore_order(index);
        self.merge_oldest();
        true
    }

    /// Restores the order of times after a change: a version was set no later than any higher one.
    fn restore_order(&mut self, changed: usize) {
        let above = self.versions[changed..].iter().map(|known| known.since).min();
        if let Some(earliest) = above {
            self.versions[changed].since = earliest;
        }
        let since = self.versions[changed].since;
        for known in &mut self.versions[..changed] {
            known.since = known.since.min(since);
        }
    }

    /// Merges the two oldest versions when the capacity is exceeded, so that no engine gets a later bound.
    fn merge_oldest(&mut self) {
        if self.versions.len() > constants::TARGET_VERSIONS_CAPACITY {
            self.versions[1].since = self.versions[0].since;
            self.versions.remove(0);
        }
    }

    /// The current target: the highest version.
    pub fn newest(&self) -> Option<TargetVersion> {
        self.versions.last().copied()
    }

    /// The time since which weights of this version are outdated; `None` if no higher version is known.
    pub fn outdated_since(&self, version: u64) -> Option<Instant> {
        let index = self.versions.partition_point(|known| known.version <= version);
        self.versions.get(index).map(|first_above| first_above.since)
    }

    /// All versions kept, the oldest first.
    pub fn all(&self) -> &[TargetVersion] {
        &self.versions
    }
}

#[cfg(test)]
#[path = "target_versions_tests.rs"]
mod tests;
