use super::*;

#[test]
fn partial_event_is_withheld_until_complete() {
    let mut c = EventSplitter::default();
    assert_eq!(c.push(b"id: 1\ndata: a\n").as_deref(), None);
    assert_eq!(c.push(b"\nid: 2\nda").as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(c.last_id(), Some("1"));
    c.discard_partial();
    assert_eq!(c.push(b"id:2\ndata: b\n\n").as_deref(), Some(&b"id:2\ndata: b\n\n"[..]));
    assert_eq!(c.last_id(), Some("2"));
    assert!(c.remainder().is_none());
}

proptest::proptest! {
    #[test]
    fn splitting_anywhere_neither_loses_nor_repeats_events(cuts in proptest::collection::vec(1usize..9, 1..40)) {
        let text: String = (1..20).map(|i| format!("id: {i}\ndata: x{i}\n\n")).collect();
        let (mut c, mut out, mut at) = (EventSplitter::default(), Vec::new(), 0);
        for n in cuts {
            let end = (at + n).min(text.len());
            if let Some(b) = c.push(&text.as_bytes()[at..end]) {
                proptest::prop_assert!(b.ends_with(b"\n\n"));
                out.extend_from_slice(&b);
            }
            at = end;
        }
        let whole = text[..at].rfind("\n\n").map_or(0, |i| i + 2);
        proptest::prop_assert_eq!(&out[..], &text.as_bytes()[..whole]);
        let ids = text[..whole].matches("id:").count();
        proptest::prop_assert_eq!(c.last_id().map_or(0, |l| l.parse().unwrap()), ids);
    }
}
