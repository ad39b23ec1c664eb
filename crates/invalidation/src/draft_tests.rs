//! Tests of [`Draft`]: publication on commit, and local invalidation on abort.

use super::*;

#[derive(Default)]
struct RecordingCache(Vec<i32>, Vec<i32>);
impl Local<i32> for RecordingCache {
    fn apply(&mut self, entry: &i32) {
        self.0.push(*entry);
    }
    fn reflush(&mut self, entry: &i32) {
        self.1.push(*entry);
    }
}

#[test]
fn aborted_change_publishes_nothing_and_is_invalidated_again_locally() {
    let ring = crate::ring::Ring::new(8, 64, 4);
    let mut cache = RecordingCache::default();
    let mut draft = Draft::open(&mut cache);
    draft.add(1);
    draft.add(2);
    draft.abort();
    assert_eq!(ring.head(), 0);
    assert_eq!(cache.1, vec![1, 2]);
    let mut draft = Draft::open(&mut cache);
    draft.add(3);
    assert_eq!(ring.head(), 0);
    draft.commit(&ring);
    assert_eq!(ring.head(), 1);
    assert_eq!(cache.0, vec![1, 2, 3]);
}
