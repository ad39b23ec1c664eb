use super::*;

const LIMIT: usize = constants::ENDLESS_BODY_BYTES;

#[test]
fn stream_of_complete_events_may_be_of_any_length() {
    let mut progress = BodyProgress::new(true);
    let event = [&vec![b'x'; LIMIT - 2][..], b"\n\n"].concat();
    for _ in 0..4 {
        progress.record(&event);
        assert!(!progress.has_endless_event());
    }
    progress.record(&event[..LIMIT - 2]);
    assert!(!progress.has_endless_event());
    progress.record(b"xxx");
    assert!(progress.has_endless_event());
    progress.record(b"\n");
    progress.record(b"\nid: 2");
    assert!(!progress.has_endless_event(), "it has ended after all");
}

#[test]
fn other_bodies_are_measured_as_a_whole() {
    let mut progress = BodyProgress::new(false);
    progress.record(&[b'\n'; 4]);
    progress.record(&vec![b'\n'; LIMIT - 4]);
    assert!(!progress.is_endless());
    progress.record(b"\n");
    assert!(progress.is_endless() && !progress.has_endless_event());
}

proptest::proptest! {
    /// Cutting a stream anywhere changes nothing of what is unfinished.
    #[test]
    fn unfinished_bytes_are_those_after_the_last_empty_line(
        text in "[x\n]{0,40}",
        cuts in proptest::collection::vec(1usize..5, 1..40),
    ) {
        let (mut progress, mut at) = (BodyProgress::new(true), 0);
        for length in cuts {
            let end = (at + length).min(text.len());
            progress.record(&text.as_bytes()[at..end]);
            at = end;
        }
        let end = text.as_bytes()[..at].windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |i| i + 2);
        proptest::prop_assert_eq!(progress.unfinished_bytes, at - end);
    }
}
