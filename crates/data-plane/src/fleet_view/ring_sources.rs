//! Which copy of the ring this router reads: the index owner's, or that of a controller that relays it.
//!
//! A copy in the own zone costs no bytes between zones, and the owner's line is shared by all. The owner's own ring is read
//! where it stands in the zone, where there are few routers, and where no relay can be reached.

use fleet_core::constants;
use fleet_core::wire::{Member, RingHead};
use hashbrown::HashMap;
use parking_lot::Mutex;
use tokio::time::Instant;

/// The index owner's ring, and since when this owner is known.
#[derive(Clone)]
struct OwnerRing {
    head: RingHead,
    since: Instant,
}

/// What is known of the ring and of its copies. The locks are leaves.
#[derive(Default)]
pub struct RingSources {
    owner: Mutex<Option<OwnerRing>>,
    /// By address.
    relays: Mutex<HashMap<String, RingHead>>,
    /// Relays that didn't answer, and until when they are left alone.
    avoided: Mutex<HashMap<String, Instant>>,
}

/// Who looks for a ring to read.
pub struct RingReader<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// Its name.
    pub name: &'a str,
    /// How many routers there are.
    pub routers: usize,
}

impl RingSources {
    /// The owner's ring has moved, or another controller owns it. What is older than the known one changes nothing.
    pub fn update_owner(&self, head: &RingHead, now: Instant) {
        let mut owner = self.owner.lock();
        let since = match &*owner {
            Some(known)
                if (head.fencing_token, head.head)
                    < (known.head.fencing_token, known.head.head) =>
            {
                return;
            }
            Some(known) if known.head.fencing_token == head.fencing_token => known.since,
            Some(_) | None => now,
        };
        *owner = Some(OwnerRing { head: head.clone(), since });
    }

    /// A relay's copy has moved; one without a fencing token is relayed no longer.
    pub fn update_relay(&self, head: &RingHead) {
        let mut relays = self.relays.lock();
        if head.fencing_token == 0 {
            relays.remove(&head.owner);
        } else {
            relays.insert(head.owner.clone(), head.clone());
        }
    }

    /// The link to a controller has ended: whether it relays is told again when it is up.
    pub fn forget_relay(&self, address: &str) {
        self.relays.lock().remove(address);
    }

    /// A relay didn't answer.
    pub fn avoid(&self, address: &str, now: Instant) {
        let until = now + constants::RELAY_RETRY_INTERVAL;
        self.avoided.lock().insert(address.to_owned(), until);
    }

    /// Where the owner's ring stands.
    pub fn owner(&self) -> Option<RingHead> {
        self.owner.lock().as_ref().map(|owner| owner.head.clone())
    }

    /// The address of the ring to read; none while no owner is known, or a relay may still come up.
    pub fn choose(
        &self,
        members: &[Member],
        reader: &RingReader<'_>,
        is_up: impl Fn(&Member) -> bool,
        now: Instant,
    ) -> Option<String> {
        let owner = self.owner.lock().clone()?;
        let RingReader { zone, name, routers } = *reader;
        if routers < constants::RELAY_ROUTERS {
            return Some(owner.head.owner);
        }
        let preferred = |is_eligible: &dyn Fn(&Member) -> bool| {
            super::load_reports::chosen(members.iter(), zone, name, is_eligible)
                .map(|member| member.ip.clone())
        };
        let nearest = preferred(&is_up);
        let best = preferred(&|member| is_up(member) && self.can_read(member, &owner.head, now));
        let is_patient = now.duration_since(owner.since) < constants::RELAY_PATIENCE;
        if is_patient && nearest.is_some() && best != nearest {
            return None;
        }
        Some(best.unwrap_or(owner.head.owner))
    }

    fn can_read(&self, member: &Member, owner: &RingHead, now: Instant) -> bool {
        if member.ip == owner.owner {
            return true;
        }
        let is_avoided = self.avoided.lock().get(&member.ip).is_some_and(|until| now < *until);
        let relays = self.relays.lock();
        let is_current = |head: &RingHead| head.fencing_token >= owner.fencing_token;
        !is_avoided && relays.get(&member.ip).is_some_and(is_current)
    }
}

#[cfg(test)]
#[path = "ring_sources_tests.rs"]
mod tests;
