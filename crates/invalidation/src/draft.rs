//! Messages of a change in flight: collected, and published only at its commit.

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
mod tests {
    use super::*;

    #[derive(Default)]
    struct Seen(Vec<i32>, Vec<i32>);
    impl Local<i32> for Seen {
        fn apply(&mut self, e: &i32) {
            self.0.push(*e);
        }
        fn reflush(&mut self, e: &i32) {
            self.1.push(*e);
        }
    }

    #[test]
    fn aborted_change_publishes_nothing_and_flushes_again() {
        let ring = crate::ring::Ring::new(8, 64, 4);
        let mut seen = Seen::default();
        let mut d = Draft::open(&mut seen);
        d.add(1);
        d.add(2);
        d.abort();
        assert_eq!(ring.head(), 0);
        assert_eq!(seen.1, vec![1, 2]);
        let mut d = Draft::open(&mut seen);
        d.add(3);
        assert_eq!(ring.head(), 0);
        d.commit(&ring);
        assert_eq!(ring.head(), 1);
        assert_eq!(seen.0, vec![1, 2, 3]);
    }
}
