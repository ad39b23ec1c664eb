//! When the head of the ring is announced, and to whom.

use fleet_core::constants;
use fleet_core::wire::RingHead;
use tokio::time::Instant;

/// Recipients of an announcement of the ring's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All readers of the ring, and the other voters.
    All,
    /// The other voters only, since one may have connected after the last announcement.
    Relays,
}

/// Decides when the ring's head is announced: to all recipients when it has changed, and periodically to relays.
#[derive(Default)]
pub struct Announcements {
    last: Option<(RingHead, Instant)>,
}

impl Announcements {
    /// Returns the recipients of an announcement that is due now, if any, and records it as sent.
    pub fn due(&mut self, head: &RingHead, now: Instant) -> Option<Audience> {
        let audience = match &self.last {
            Some((last, _)) if last != head => Audience::All,
            Some((_, announced_at))
                if now.duration_since(*announced_at) < constants::RELAY_READ_INTERVAL =>
            {
                return None;
            }
            Some(_) | None => Audience::Relays,
        };
        self.last = Some((head.clone(), now));
        Some(audience)
    }
}
