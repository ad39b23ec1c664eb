//! Tests of `leaving`.

use super::*;

fn ballot(n: u64, seq: u64) -> Ballot {
    Ballot { n, node: 7, seq }
}

#[test]
fn an_owner_that_comes_back_has_a_ballot_that_has_not_left() {
    let mut left = LeftBallots::default();
    assert!(!left.contains("a", ballot(1, 0)));
    left.insert("a", ballot(3, 5));
    left.insert("a", ballot(2, 9));
    assert!(left.contains("a", ballot(3, 6)), "all of that ownership");
    assert!(left.contains("a", ballot(1, 0)), "and what was before it");
    assert!(!left.contains("a", ballot(4, 0)));
    assert!(!left.contains("b", ballot(3, 5)), "another key");
}
