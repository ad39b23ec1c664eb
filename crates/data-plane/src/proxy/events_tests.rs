use super::*;
use fleet_core::byte_budget::ByteBudget;

/// The bytes that can be relayed once these were received.
fn push(splitter: &mut EventSplitter, bytes: &[u8]) -> Option<Bytes> {
    splitter.push(Bytes::copy_from_slice(bytes)).map(|data| data.bytes)
}

fn splitter() -> EventSplitter {
    EventSplitter::new(None, ByteBudget::new(usize::MAX).reservation())
}

#[test]
fn partial_event_is_withheld_until_complete() {
    let mut splitter = splitter();
    assert_eq!(push(&mut splitter, b"id: 1\ndata: a\n").as_deref(), None);
    assert_eq!(push(&mut splitter, b"\nid: 2\nda").as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.last_id(), Some("1"));
    splitter.discard_partial();
    assert_eq!(
        push(&mut splitter, b"id:2\ndata: b\n\n").as_deref(),
        Some(&b"id:2\ndata: b\n\n"[..])
    );
    assert_eq!(splitter.last_id(), Some("2"));
    assert!(splitter.remainder().is_none());
}

/// Splits `text` at every `step` bytes; returns what was relayed, with the remainder.
fn relay(splitter: &mut EventSplitter, text: &[u8], step: usize) -> Vec<u8> {
    let mut relayed = Vec::new();
    for part in text.chunks(step) {
        relayed.extend(push(splitter, part).into_iter().flatten());
    }
    relayed.extend(splitter.remainder().into_iter().flat_map(|data| data.bytes));
    relayed
}

/// An event of any length is relayed whole, also if it is too large to be kept.
#[test]
fn event_that_is_too_large_to_be_kept_is_relayed_as_it_arrives() {
    let data = "x".repeat(3 * constants::PARTIAL_EVENT_MAX_BYTES);
    let text = format!("id: 1\ndata: a\n\nid: 2\ndata: {data}\n\nid: 3\ndata: c\n\nid: 4");
    let budget = ByteBudget::new(usize::MAX);
    for step in [1, 1000, constants::PARTIAL_EVENT_MAX_BYTES * 2] {
        let mut splitter = EventSplitter::new(None, budget.reservation());
        assert_eq!(relay(&mut splitter, text.as_bytes(), step), text.as_bytes());
        assert!(!splitter.is_resumable());
    }
    assert!(budget.usage().peak <= constants::PARTIAL_EVENT_MAX_BYTES);
    assert_eq!(budget.usage().reserved, 0);
}

#[test]
fn partial_event_within_the_limit_leaves_the_stream_resumable() {
    let text = format!("id: 1\ndata: {}", "x".repeat(constants::PARTIAL_EVENT_MAX_BYTES - 12));
    let mut splitter = splitter();
    assert_eq!(push(&mut splitter, text.as_bytes()), None);
    assert!(splitter.is_resumable());
    let end = push(&mut splitter, b"\n\nid: 2").unwrap();
    assert_eq!(end.len(), text.len() + 2);
    assert_eq!(splitter.last_id(), Some("1"));
}

#[test]
fn full_budget_lets_a_stream_pass_unkept_and_leaves_the_others_alone() {
    let budget = ByteBudget::new(20);
    let mut first = EventSplitter::new(None, budget.reservation());
    let mut second = EventSplitter::new(None, budget.reservation());
    assert_eq!(push(&mut first, b"data: 0123456789"), None);
    let passed = push(&mut second, b"data: 0123456789");
    assert_eq!(passed.as_deref(), Some(&b"data: 0123456789"[..]));
    assert!(!second.is_resumable() && first.is_resumable());
    assert!(push(&mut first, b"\n\n").is_some());
    assert_eq!(budget.usage().reserved, 0);
}

/// What waits for a slow client stays reserved, so that many streams can't each have a large event wait.
#[test]
fn relayed_event_stays_reserved_until_it_is_dropped() {
    let budget = ByteBudget::new(1000);
    let mut splitter = EventSplitter::new(None, budget.reservation());
    assert!(push(&mut splitter, &[b'x'; 600]).is_none());
    let event = splitter.push(Bytes::from_static(b"\n\nid: 2")).unwrap();
    assert_eq!(budget.usage().reserved, 600 + "id: 2".len());
    let passed = splitter.push(Bytes::from(vec![b'x'; 500])).unwrap();
    assert!(!splitter.is_resumable());
    assert_eq!(budget.usage().reserved, 600 + "id: 2".len());
    drop(event);
    assert_eq!(budget.usage().reserved, "id: 2".len());
    drop(passed);
    assert_eq!(budget.usage().reserved, 0);
}

proptest::proptest! {
    #[test]
    fn splitting_anywhere_neither_loses_nor_repeats_events(cuts in proptest::collection::vec(1usize..9, 1..40)) {
        let text: String = (1..20).map(|i| format!("id: {i}\ndata: x{i}\n\n")).collect();
        let (mut splitter, mut received, mut at) = (splitter(), Vec::new(), 0);
        for len in cuts {
            let end = (at + len).min(text.len());
            if let Some(events) = push(&mut splitter, &text.as_bytes()[at..end]) {
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
