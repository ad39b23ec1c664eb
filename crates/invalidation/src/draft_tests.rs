//! Tests of `draft`.

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
