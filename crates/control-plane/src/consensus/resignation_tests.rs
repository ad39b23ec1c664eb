//! Tests of `resignation`: resigning covers the ballots of that and earlier epochs of the same key only.

use super::*;

fn ballot(n: u64, seq: u64) -> Ballot {
    Ballot { n, node: 7, seq }
}

#[test]
fn owner_that_returns_has_a_ballot_that_is_not_resigned() {
    let mut resigned = ResignedBallots::default();
    assert!(!resigned.contains("a", ballot(1, 0)));
    resigned.insert("a", ballot(3, 5));
    resigned.insert("a", ballot(2, 9));
    assert!(resigned.contains("a", ballot(3, 6)), "other rounds of the resigned epoch");
    assert!(resigned.contains("a", ballot(1, 0)), "earlier epochs");
    assert!(!resigned.contains("a", ballot(4, 0)));
    assert!(!resigned.contains("b", ballot(3, 5)), "another key");
}
