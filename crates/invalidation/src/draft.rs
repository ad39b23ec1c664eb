//! Messages of a change in flight: collected, and published only at its commit.

/// A change in flight: its entries are applied to the writer's own cache at once, and readers hear of them at
/// the commit only.
pub struct Draft<'a, T, L: Local<T>> {
    entries: Vec<T>,
    local: &'a mut L,
}

/// The writer's own cache.
pub trait Local<T> {
    /// Applies an entry before its commit, since the writer's own next step must see the change.
    fn apply(&mut self, entry: &T);
    /// Flushes again what an aborted change had applied.
    fn reflush(&mut self, entry: &T);
}

impl<'a, T: Clone, L: Local<T>> Draft<'a, T, L> {
    /// A change without entries as yet.
    pub fn open(local: &'a mut L) -> Self {
        Draft { entries: Vec::new(), local }
    }

    /// Adds an entry, and applies it locally.
    pub fn add(&mut self, entry: T) {
        self.local.apply(&entry);
        self.entries.push(entry);
    }

    /// Publishes all entries; gives the readers to nudge, as [`Ring::publish`](crate::ring::Ring::publish) does.
    pub fn commit(self, ring: &crate::ring::Ring<T>) -> Vec<u64> {
        ring.publish(&self.entries)
    }

    /// Publishes nothing, and flushes the entries again locally.
    pub fn abort(self) {
        for entry in &self.entries {
            self.local.reflush(entry);
        }
    }
}

#[cfg(all(test, not(feature = "checker")))]
#[path = "draft_tests.rs"]
mod tests;
