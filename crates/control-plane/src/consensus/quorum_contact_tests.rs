use super::*;

const SPAN: Duration = Duration::from_millis(1500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn contact_counts_from_the_call_that_completes_a_majority() {
    let start = Instant::now();
    let mut contact = QuorumContact::default();
    let voters = [1, 2, 3];
    assert_eq!(contact.expires_at(&voters, SPAN), None);
    contact.record_answer(1, start + ms(900));
    assert_eq!(contact.expires_at(&voters, SPAN), None, "one of three is no majority");
    contact.record_answer(2, start + ms(100));
    assert_eq!(contact.expires_at(&voters, SPAN), Some(start + ms(100) + SPAN));
    contact.record_answer(3, start + ms(400));
    assert_eq!(contact.expires_at(&voters, SPAN), Some(start + ms(400) + SPAN));
    contact.record_answer(1, start);
    assert_eq!(
        contact.expires_at(&voters, SPAN),
        Some(start + ms(400) + SPAN),
        "a late answer does not shorten contact"
    );
}

#[test]
fn only_current_voters_count() {
    let start = Instant::now();
    let mut contact = QuorumContact::default();
    for voter in [1, 2, 8, 9] {
        contact.record_answer(voter, start);
    }
    assert_eq!(contact.expires_at(&[1, 2, 3], SPAN), Some(start + SPAN));
    assert_eq!(contact.expires_at(&[1, 4, 5], SPAN), None, "other nodes do not count");
    assert_eq!(contact.expires_at(&[], SPAN), None, "no members known yet");
    contact.retain(&[1, 2, 3]);
    assert_eq!(contact.expires_at(&[8, 9], SPAN), None);
}

proptest::proptest! {
    /// There is contact exactly if a majority of the voters answered calls that began within the span.
    #[test]
    fn contact_needs_a_majority_within_the_span(
        voter_count in 1u64..8,
        answers in proptest::collection::vec((0u64..10, 0u64..4000), 0..40),
        now in 0u64..6000,
    ) {
        let start = Instant::now();
        let voters: Vec<u64> = (0..voter_count).collect();
        let mut contact = QuorumContact::default();
        for (voter, at) in &answers {
            contact.record_answer(*voter, start + ms(*at));
        }
        let has_contact =
            contact.expires_at(&voters, SPAN).is_some_and(|expiry| start + ms(now) < expiry);
        let recent = voters
            .iter()
            .filter(|voter| answers.iter().any(|(from, at)| from == *voter && start + ms(now) < start + ms(*at) + SPAN))
            .count();
        proptest::prop_assert_eq!(has_contact, recent > voters.len() / 2);
    }
}
