//! The versions that were named for the weights of one model, each with the moment at which that became known.
//!
//! The bound on older weights counts for each version from its own naming: an engine may begin requests until the
//! bound of the first version that it lacks. A version that is named later neither extends nor replaces that bound.
//! Controllers and routers keep this alike; [`crate::wire::TargetWeights`] carries it from one to the other.

use crate::constants;
use tokio::time::Instant;

/// A version of a model's weights, and since when it is the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetVersion {
    /// Its number; never 0.
    pub version: u64,
    /// The earliest moment at which any process that told of it can have known it.
    pub since: Instant,
}

/// The named versions of one model.
///
/// Versions rise. Moments never fall with them, for a version is named after those below it. At most
/// [`constants::TARGET_VERSIONS_CAPACITY`] are kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetVersions {
    versions: Vec<TargetVersion>,
}

impl TargetVersions {
    /// Takes in that a version has been the target since a moment; returns whether that is new. Who tells it may have
    /// learned of it late, so the earliest moment that anyone tells counts.
    pub fn learn(&mut self, version: u64, since: Instant) -> bool {
        if version == 0 {
            return false;
        }
        let place = self.versions.partition_point(|known| known.version < version);
        match self.versions.get(place) {
            Some(known) if known.version == version && known.since <= since => return false,
            Some(known) if known.version == version => self.versions[place].since = since,
            _ => self.versions.insert(place, TargetVersion { version, since }),
        }
        self.restore_order(place);
        self.merge_oldest();
        true
    }

    /// A version was named no later than any above it.
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

    /// Makes one of the two oldest versions, so that no engine gets a later bound by it.
    fn merge_oldest(&mut self) {
        if self.versions.len() > constants::TARGET_VERSIONS_CAPACITY {
            self.versions[1].since = self.versions[0].since;
            self.versions.remove(0);
        }
    }

    /// The target: the newest version.
    pub fn newest(&self) -> Option<TargetVersion> {
        self.versions.last().copied()
    }

    /// Since when weights of a version are outdated; none while they are the newest.
    pub fn outdated_since(&self, version: u64) -> Option<Instant> {
        let place = self.versions.partition_point(|known| known.version <= version);
        self.versions.get(place).map(|first_above| first_above.since)
    }

    /// All that are kept, the oldest first.
    pub fn all(&self) -> &[TargetVersion] {
        &self.versions
    }
}

#[cfg(test)]
#[path = "target_versions_tests.rs"]
mod tests;
