//! Tests of `history`.

use super::*;

fn taken(version: u64) -> TakenConfig {
    TakenConfig { version, digest: BodyDigest::of(&version.to_be_bytes()) }
}

fn history(steps: &[u64]) -> (TakenHistory, u64) {
    let mut history = TakenHistory::decode(&[], 0);
    let mut version = 0;
    for step in steps {
        version += step;
        history.push(taken(version));
    }
    (history, version)
}

#[test]
fn a_block_comes_back_as_it_was_within_its_bytes() {
    let steps = vec![3; constants::TAKEN_KEPT + 10];
    let (whole, newest) = history(&steps);
    let block = whole.encode();
    assert!(block.len() <= constants::TAKEN_KEPT * 17 + 10, "{} bytes", block.len());
    assert_eq!(TakenHistory::decode(&block, newest), whole);
}

#[test]
fn what_gave_way_is_said_to_lie_before_the_history() {
    let (history, newest) = history(&vec![2; constants::TAKEN_KEPT + 1]);
    assert_eq!(history.find(&taken(2)), Finding::BeforeHistory);
    assert_eq!(history.find(&taken(1)), Finding::BeforeHistory);
    assert_eq!(history.find(&taken(3)), Finding::NotTaken);
    assert_eq!(history.find(&taken(4)), Finding::Taken);
    assert_eq!(history.find(&taken(newest)), Finding::Taken);
    let other = TakenConfig { digest: BodyDigest::of(b"other"), ..taken(newest) };
    assert_eq!(history.find(&other), Finding::NotTaken);
}

#[test]
fn a_damaged_block_or_one_of_another_version_proves_nothing() {
    let (whole, newest) = history(&[1, 1, 5]);
    let block = whole.encode();
    for bad in [&block[..block.len() - 1], &[], &[0xff; 12]] {
        let read = TakenHistory::decode(bad, newest);
        assert_eq!(read.find(&taken(newest)), Finding::BeforeHistory);
        assert_eq!(read.find(&taken(newest + 1)), Finding::NotTaken);
    }
    let later = TakenHistory::decode(&block, newest + 4);
    assert_eq!(later.find(&taken(newest + 4)), Finding::BeforeHistory);
}
