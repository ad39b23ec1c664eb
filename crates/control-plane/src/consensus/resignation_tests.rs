//! Tests of `leaving`.

use super::*;

fn ballot(n: u64, seq: u64) -> Ballot {
    Ballot { n, node: 7, seq }
}

#[test]
fn an_owner_that_comes_back_has_a_ballot_that_has_not_left() {
    let mut resigned = ResignedBallots::default();
    assert!(!resigned.contains("a", ballot(1, 0)));
    resigned.insert("a", ballot(3, 5));
    resigned.insert("a", ballot(2, 9));
    assert!(resigned.contains("a", ballot(3, 6)), "all of that ownership");
    assert!(resigned.contains("a", ballot(1, 0)), "and what was before it");
    assert!(!resigned.contains("a", ballot(4, 0)));
    assert!(!resigned.contains("b", ballot(3, 5)), "another key");
}
