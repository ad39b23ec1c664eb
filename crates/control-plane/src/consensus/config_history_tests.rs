//! Tests of `history`.

use super::*;

fn committed(version: u64) -> CommittedConfig {
    CommittedConfig { version, digest: BodyDigest::of(&version.to_be_bytes()) }
}

fn history(steps: &[u64]) -> (CommittedHistory, u64) {
    let mut history = CommittedHistory::decode(&[], 0);
    let mut version = 0;
    for step in steps {
        version += step;
        history.push(committed(version));
    }
    (history, version)
}

#[test]
fn a_block_comes_back_as_it_was_within_its_bytes() {
    let steps = vec![3; constants::COMMITTED_CONFIGS_CAPACITY + 10];
    let (complete, newest) = history(&steps);
    let block = complete.encode();
    assert!(
        block.len() <= constants::COMMITTED_CONFIGS_CAPACITY * 17 + 10,
        "{} bytes",
        block.len()
    );
    assert_eq!(CommittedHistory::decode(&block, newest), complete);
}

#[test]
fn what_gave_way_is_said_to_lie_before_the_history() {
    let (history, newest) = history(&vec![2; constants::COMMITTED_CONFIGS_CAPACITY + 1]);
    assert_eq!(history.find(&committed(2)), Lookup::BeforeHistory);
    assert_eq!(history.find(&committed(1)), Lookup::BeforeHistory);
    assert_eq!(history.find(&committed(3)), Lookup::NotCommitted);
    assert_eq!(history.find(&committed(4)), Lookup::Committed);
    assert_eq!(history.find(&committed(newest)), Lookup::Committed);
    let other = CommittedConfig { digest: BodyDigest::of(b"other"), ..committed(newest) };
    assert_eq!(history.find(&other), Lookup::NotCommitted);
}

#[test]
fn a_damaged_block_or_one_of_another_version_proves_nothing() {
    let (complete, newest) = history(&[1, 1, 5]);
    let block = complete.encode();
    for bad in [&block[..block.len() - 1], &[], &[0xff; 12]] {
        let read = CommittedHistory::decode(bad, newest);
        assert_eq!(read.find(&committed(newest)), Lookup::BeforeHistory);
        assert_eq!(read.find(&committed(newest + 1)), Lookup::NotCommitted);
    }
    let later = CommittedHistory::decode(&block, newest + 4);
    assert_eq!(later.find(&committed(newest + 4)), Lookup::BeforeHistory);
}

proptest::proptest! {
    /// What the history says of any change is true of the whole chain, however little it keeps, and
    /// of a change that is kept or newer it says something.
    #[test]
    fn no_finding_contradicts_the_whole_chain(
        steps in proptest::collection::vec(1u64..4, 0..30),
        most in 1usize..8,
    ) {
        let mut history = CommittedHistory::decode(&[], 0);
        let mut chain = Vec::new();
        for step in steps {
            let version = chain.last().map_or(0, |last: &CommittedConfig| last.version) + step;
            history.push_within(committed(version), most);
            chain.push(committed(version));
            history = CommittedHistory::decode(&history.encode(), version);
        }
        let newest = chain.last().map_or(0, |last| last.version);
        let forgotten = chain.len().checked_sub(most + 1).map_or(0, |at| chain[at].version);
        for version in 1..newest + 3 {
            let other = CommittedConfig { digest: BodyDigest::of(b"other"), ..committed(version) };
            for change in [committed(version), other] {
                let expected = match chain.contains(&change) {
                    _ if version <= forgotten => Lookup::BeforeHistory,
                    true => Lookup::Committed,
                    false => Lookup::NotCommitted,
                };
                proptest::prop_assert_eq!(history.find(&change), expected);
            }
        }
    }
}
