//! Tests of `learner`.

use super::*;

#[test]
fn settled_needs_a_majority_at_the_highest() {
    let b = |n| Ballot { n, node: 1, seq: 0 };
    assert_eq!(settled(&[(1, b(3)), (2, b(3)), (3, b(2))], 2), Some((b(3), true)));
    assert_eq!(settled(&[(1, b(3)), (2, b(2)), (3, b(2))], 2), Some((b(3), false)));
    assert_eq!(settled(&[], 2), None);
}
