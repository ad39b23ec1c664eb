//! The events of a stream, parsed just enough to go on at the last whole one.

use bytes::{Bytes, BytesMut};

#[derive(Default)]
pub struct Cutter {
    held: BytesMut,
    last: Option<String>,
}

impl Cutter {
    pub fn starting_after(last: Option<String>) -> Self {
        Cutter { held: BytesMut::new(), last }
    }

    /// Takes bytes as they come and gives the whole events among them.
    pub fn take(&mut self, b: &[u8]) -> Option<Bytes> {
        let from = self.held.len().saturating_sub(1);
        self.held.extend_from_slice(b);
        let end = self.held[from..].windows(2).rposition(|w| w == b"\n\n")? + from + 2;
        let whole = self.held.split_to(end).freeze();
        for line in whole.split(|c| *c == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:")
                && let Ok(id) = std::str::from_utf8(id)
            {
                self.last = Some(id.trim().to_owned());
            }
        }
        Some(whole)
    }

    /// Half an event, as when an answer breaks off: it counts as not come.
    pub fn drop_half(&mut self) {
        self.held.clear();
    }

    pub fn rest(&mut self) -> Option<Bytes> {
        (!self.held.is_empty()).then(|| self.held.split().freeze())
    }

    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn half_an_event_is_held_back() {
        let mut c = Cutter::default();
        assert_eq!(c.take(b"id: 1\ndata: a\n").as_deref(), None);
        assert_eq!(c.take(b"\nid: 2\nda").as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
        assert_eq!(c.last(), Some("1"));
        c.drop_half();
        assert_eq!(c.take(b"id:2\ndata: b\n\n").as_deref(), Some(&b"id:2\ndata: b\n\n"[..]));
        assert_eq!(c.last(), Some("2"));
        assert!(c.rest().is_none());
    }

    proptest::proptest! {
        #[test]
        fn cutting_anywhere_loses_and_repeats_nothing(cuts in proptest::collection::vec(1usize..9, 1..40)) {
            let text: String = (1..20).map(|i| format!("id: {i}\ndata: x{i}\n\n")).collect();
            let (mut c, mut out, mut at) = (Cutter::default(), Vec::new(), 0);
            for n in cuts {
                let end = (at + n).min(text.len());
                if let Some(b) = c.take(&text.as_bytes()[at..end]) {
                    proptest::prop_assert!(b.ends_with(b"\n\n"));
                    out.extend_from_slice(&b);
                }
                at = end;
            }
            let whole = text[..at].rfind("\n\n").map_or(0, |i| i + 2);
            proptest::prop_assert_eq!(&out[..], &text.as_bytes()[..whole]);
            let ids = text[..whole].matches("id:").count();
            proptest::prop_assert_eq!(c.last().map_or(0, |l| l.parse().unwrap()), ids);
        }
    }
}
