use super::*;

fn committed(version: u64) -> CommittedConfig {
    CommittedConfig { version, digest: BodyDigest::of(&version.to_be_bytes()) }
}

/// A history with the given increments between version numbers, and its newest version.
fn history(increments: &[u64]) -> (CommittedHistory, u64) {
    let mut history = CommittedHistory::decode(&[], 0);
    let mut version = 0;
    for increment in increments {
        version += increment;
        history.push(committed(version));
    }
    (history, version)
}

#[test]
fn encoded_history_round_trips_within_its_size_bound() {
    let increments = vec![3; constants::COMMITTED_CONFIGS_CAPACITY + 10];
    let (complete, newest) = history(&increments);
    let block = complete.encode();
    assert!(
        block.len() <= constants::COMMITTED_CONFIGS_CAPACITY * 17 + 10,
        "{} bytes",
        block.len()
    );
    assert_eq!(CommittedHistory::decode(&block, newest), complete);
}

#[test]
fn dropped_versions_are_reported_as_before_the_history() {
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
fn damaged_or_mismatched_block_covers_no_committed_version() {
    let (complete, newest) = history(&[1, 1, 5]);
    let block = complete.encode();
    for invalid in [&block[..block.len() - 1], &[], &[0xff; 12]] {
        let decoded = CommittedHistory::decode(invalid, newest);
        assert_eq!(decoded.find(&committed(newest)), Lookup::BeforeHistory);
        assert_eq!(decoded.find(&committed(newest + 1)), Lookup::NotCommitted);
    }
    let later = CommittedHistory::decode(&block, newest + 4);
    assert_eq!(later.find(&committed(newest + 4)), Lookup::BeforeHistory);
}

proptest::proptest! {
    /// With any capacity, each lookup agrees with the complete list of committed configurations. A lookup is only
    /// inconclusive for versions that were dropped.
    #[test]
    fn lookups_agree_with_the_complete_chain(
        increments in proptest::collection::vec(1u64..4, 0..30),
        capacity in 1usize..8,
    ) {
        let mut history = CommittedHistory::decode(&[], 0);
        let mut chain = Vec::new();
        for increment in increments {
            let version = chain.last().map_or(0, |last: &CommittedConfig| last.version) + increment;
            history.push_within(committed(version), capacity);
            chain.push(committed(version));
            history = CommittedHistory::decode(&history.encode(), version);
        }
        let newest = chain.last().map_or(0, |last| last.version);
        let dropped_through = chain.len().checked_sub(capacity + 1).map_or(0, |index| chain[index].version);
        for version in 1..newest + 3 {
            let other = CommittedConfig { digest: BodyDigest::of(b"other"), ..committed(version) };
            for change in [committed(version), other] {
                let expected = match chain.contains(&change) {
                    _ if version <= dropped_through => Lookup::BeforeHistory,
                    true => Lookup::Committed,
                    false => Lookup::NotCommitted,
                };
                proptest::prop_assert_eq!(history.find(&change), expected);
            }
        }
    }
}
