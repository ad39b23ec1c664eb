use super::*;
use fleet_core::byte_budget::ByteBudget;

fn splitter() -> EventSplitter {
    EventSplitter::new(None, ByteBudget::new(usize::MAX).reservation())
}

#[test]
fn partial_event_is_withheld_until_complete() {
    let mut splitter = splitter();
    assert_eq!(splitter.push(b"id: 1\ndata: a\n").as_deref(), None);
    assert_eq!(splitter.push(b"\nid: 2\nda").as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    assert_eq!(splitter.push(b"id:2\ndata: b\n\n").as_deref(), Some(&b"id:2\ndata: b\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(splitter.remainder().is_none());
}

proptest::proptest! {
    #[test]
    fn splitting_anywhere_neither_loses_nor_repeats_events(cuts in proptest::collection::vec(1usize..9, 1..40)) {
        let text: String = (1..20).map(|i| format!("id: {i}\ndata: x{i}\n\n")).collect();
        let (mut splitter, mut received, mut at) = (splitter(), Vec::new(), 0);
        for len in cuts {
            let end = (at + len).min(text.len());
            if let Some(events) = splitter.push(&text.as_bytes()[at..end]) {
                proptest::prop_assert!(events.ends_with(b"\n\n"));
                received.extend_from_slice(&events);
            }
            at = end;
        }
        let complete_len = text[..at].rfind("\n\n").map_or(0, |i| i + 2);
        proptest::prop_assert_eq!(&received[..], &text.as_bytes()[..complete_len]);
        let ids = text[..complete_len].matches("id:").count();
        proptest::prop_assert_eq!(splitter.last_id().map_or(0, |l| l.parse().unwrap()), ids);
    }
}
