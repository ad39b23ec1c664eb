//! Tests of `contact`.

use super::*;

const SPAN: Duration = Duration::from_millis(1500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn contact_lasts_from_the_call_that_completed_a_majority() {
    let t = Instant::now();
    let mut c = Contact::default();
    let voters = [1, 2, 3];
    assert_eq!(c.until(&voters, SPAN), None);
    c.answered(1, t + ms(900));
    assert_eq!(c.until(&voters, SPAN), None, "one of three is none");
    c.answered(2, t + ms(100));
    assert_eq!(c.until(&voters, SPAN), Some(t + ms(100) + SPAN));
    c.answered(3, t + ms(400));
    assert_eq!(c.until(&voters, SPAN), Some(t + ms(400) + SPAN));
    c.answered(1, t);
    assert_eq!(
        c.until(&voters, SPAN),
        Some(t + ms(400) + SPAN),
        "a late answer takes nothing back"
    );
}

#[test]
fn only_voters_in_force_count() {
    let t = Instant::now();
    let mut c = Contact::default();
    for v in [1, 2, 8, 9] {
        c.answered(v, t);
    }
    assert_eq!(c.until(&[1, 2, 3], SPAN), Some(t + SPAN));
    assert_eq!(c.until(&[1, 4, 5], SPAN), None, "the others of the former membership are gone");
    assert_eq!(c.until(&[], SPAN), None, "before the members are known");
    c.retain(&[1, 2, 3]);
    assert_eq!(c.until(&[8, 9], SPAN), None);
}

proptest::proptest! {
    /// Contact never stands unless a majority of the voters answered calls that began within the span.
    #[test]
    fn contact_needs_a_majority_within_the_span(
        n in 1u64..8,
        answers in proptest::collection::vec((0u64..10, 0u64..4000), 0..40),
        now in 0u64..6000,
    ) {
        let t = Instant::now();
        let voters: Vec<u64> = (0..n).collect();
        let mut c = Contact::default();
        for (v, at) in &answers {
            c.answered(*v, t + ms(*at));
        }
        let stands = c.until(&voters, SPAN).is_some_and(|u| t + ms(now) < u);
        let fresh = voters
            .iter()
            .filter(|v| answers.iter().any(|(a, at)| a == *v && t + ms(now) < t + ms(*at) + SPAN))
            .count();
        proptest::prop_assert_eq!(stands, fresh > voters.len() / 2);
    }
}
