//! Selects the copy of the invalidation ring to read: the index owner's, or that of a controller that relays it.
//!
//! Reading from a relay in the same zone causes no traffic between zones, and takes load off the owner's link, which
//! all readers share. The owner's ring is read if the owner is in the same zone, if there are few routers, or if no
//! relay is reachable.

use fleet_core::constants;
use fleet_core::wire::{Member, RingHead};
use hashbrown::HashMap;
use parking_lot::Mutex;
use tokio::time::Instant;

/// State of the index owner's ring, and when this owner was first seen.
#[derive(Clone)]
struct OwnerRing {
    head: RingHead,
    since: Instant,
}

/// The known state of the ring and of its relayed copies. No other lock is taken while one of these is held.
#[derive(Default)]
pub struct RingSources {
    owner: Mutex<Option<OwnerRing>>,
    /// By address of the relay.
    relays: Mutex<HashMap<String, RingHead>>,
    /// Relays that didn't respond, by address, and the time until which they are not read from.
    avoided: Mutex<HashMap<String, Instant>>,
}

/// The router that selects a ring to read.
pub struct RingReader<'a> {
    /// Zone of the router.
    pub zone: &'a str,
    /// Node name of the router.
    pub name: &'a str,
    /// Number of live routers.
    pub routers: usize,
}

impl RingSources {
    /// Records that the owner's ring has advanced or that its owner has changed. Updates older than the known state are
    /// ignored.
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

    /// Records that a relay's copy has advanced, or was withdrawn if its fencing token is 0.
    pub fn update_relay(&self, head: &RingHead) {
        let mut relays = self.relays.lock();
        if head.fencing_token == 0 {
            relays.remove(&head.owner);
        } else {
            relays.insert(head.owner.clone(), head.clone());
        }
    }

    /// Forgets a relay whose link went down; the controller announces its copy again once the link is back up.
    pub fn forget_relay(&self, address: &str) {
        self.relays.lock().remove(address);
    }

    /// Excludes a relay that didn't respond; it is tried again after [`constants::RELAY_RETRY_INTERVAL`].
    pub fn avoid(&self, address: &str, now: Instant) {
        let until = now + constants::RELAY_RETRY_INTERVAL;
        self.avoided.lock().insert(address.to_owned(), until);
    }

    /// The newest known head of the owner's ring; none while no owner is known.
    pub fn owner(&self) -> Option<RingHead> {
        self.owner.lock().as_ref().map(|owner| owner.head.clone())
    }

    /// The address of the controller to read the ring from; none while no owner is known, or while the relay that would
    /// be preferred may still start.
    pub fn choose(
        &self,
        members: &[Member],
        reader: &RingReader<'_>,
        is_up: impl Fn(&Member) -> bool,
        now: Instant,
    ) -> Option<String> {
        let owner = self.owner.lock().clone()?;
        let RingReader { zone, name, routers } = *reader;
        if routers < constants::RELAY_MIN_ROUTERS {
            return Some(owner.head.owner);
        }
        let preferred_among = |is_eligible: &dyn Fn(&Member) -> bool| {
            super::load_reports::preferred_controller(members.iter(), zone, name, is_eligible)
                .map(|member| member.ip.clone())
        };
        let preferred = preferred_among(&is_up);
        let available =
            preferred_among(&|member| is_up(member) && self.can_read(member, &owner.head, now));
        let may_wait = now.duration_since(owner.since) < constants::RELAY_START_TIMEOUT;
        if may_wait && preferred.is_some() && available != preferred {
            return None;
        }
        Some(available.unwrap_or(owner.head.owner))
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
