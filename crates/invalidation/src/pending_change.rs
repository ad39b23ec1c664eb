//! Collects the ring entries of a change in progress and publishes them only when the change commits.

/// A change in progress: its entries are applied to the writer's own cache immediately, and published to
/// readers only on commit.
pub struct PendingChange<'a, T, L: LocalCache<T>> {
    entries: Vec<T>,
    local: &'a mut L,
}

/// The writer's own cache.
pub trait LocalCache<T> {
    /// Applies an entry before the commit, because the writer's next step must see the change.
    fn apply(&mut self, entry: &T);
    /// Invalidates again what an entry of an aborted change has already invalidated in this cache.
    fn invalidate_again(&mut self, entry: &T);
}

impl<'a, T: Clone, L: LocalCache<T>> PendingChange<'a, T, L> {
    /// Starts a change that has no entries yet.
    pub fn begin(local: &'a mut L) -> Self {
        PendingChange { entries: Vec::new(), local }
    }

    /// Adds an entry and applies it to the local cache.
    pub fn add(&mut self, entry: T) {
        self.local.apply(&entry);
        self.entries.push(entry);
    }

    /// Publishes all entries and returns the lagging readers, as [`Ring::publish`](crate::ring::Ring::publish)
    /// does.
    pub fn commit(self, ring: &crate::ring::Ring<T>) -> Vec<u64> {
        ring.publish(&self.entries)
    }

    /// Publishes nothing and invalidates the entries in the local cache again.
    pub fn abort(self) {
        for entry in &self.entries {
            self.local.invalidate_again(entry);
        }
    }
}

#[cfg(all(test, not(feature = "checker")))]
#[path = "pending_change_tests.rs"]
mod tests;
