//! Tests of [`PendingChange`]: publication on commit, and local invalidation on abort.

use super::*;

#[derive(Default)]
struct RecordingCache(Vec<i32>, Vec<i32>);
impl LocalCache<i32> for RecordingCache {
    fn apply(&mut self, entry: &i32) {
        self.0.push(*entry);
    }
    fn invalidate_again(&mut self, entry: &i32) {
        self.1.push(*entry);
    }
}

#[test]
fn aborted_change_publishes_nothing_and_is_invalidated_again_locally() {
    let ring = crate::ring::Ring::new(8, 64, 4);
    let mut cache = RecordingCache::default();
    let mut change = PendingChange::begin(&mut cache);
    change.add(1);
    change.add(2);
    change.abort();
    assert_eq!(ring.head(), 0);
    assert_eq!(cache.1, vec![1, 2]);
    let mut change = PendingChange::begin(&mut cache);
    change.add(3);
    assert_eq!(ring.head(), 0);
    change.commit(&ring);
    assert_eq!(ring.head(), 1);
    assert_eq!(cache.0, vec![1, 2, 3]);
}
