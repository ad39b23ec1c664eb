//! Messages of a change in flight: collected, and published only at its commit.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

/// Applied to the writer's own index at once; readers hear of it at commit only.
pub struct Draft<'a, T, L: Local<T>> {
    entries: Vec<T>,
    local: &'a mut L,
}

pub trait Local<T> {
    /// The writer's own next step must see the change.
    fn apply(&mut self, entry: &T);
    /// An aborted change flushes again what it applied.
    fn reflush(&mut self, entry: &T);
}

impl<'a, T: Clone, L: Local<T>> Draft<'a, T, L> {
    pub fn open(local: &'a mut L) -> Self {
        Draft { entries: Vec::new(), local }
    }

    pub fn add(&mut self, entry: T) {
        self.local.apply(&entry);
        self.entries.push(entry);
    }

    pub fn commit(self, ring: &crate::ring::Ring<T>) -> Vec<u64> {
        ring.publish(&self.entries)
    }

    pub fn abort(self) {
        for e in &self.entries {
            self.local.reflush(e);
        }
    }
}

#[cfg(all(test, not(feature = "checker")))]
#[path = "draft_tests.rs"]
mod tests;
