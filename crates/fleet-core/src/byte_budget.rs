//! Accounting of the bytes that other processes make this one keep, with a limit on their sum.
//!
//! Each place that keeps received bytes has a [`ByteBudget`], shared by all of its connections. The bytes are reserved
//! before they are kept, and the [`Reservation`] lives as long as they do.

use bytes::Bytes;
use parking_lot::Mutex;
use std::sync::Arc;

/// The bytes that one place may keep at a time, over all connections.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    usage: Mutex<Usage>,
}

/// How a budget was used since it was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes that are reserved now; never more than the limit.
    pub reserved: usize,
    /// The most bytes that were reserved at a time.
    pub peak: usize,
    /// Reservations that were denied because the limit would have been exceeded.
    pub denied: u64,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes, none of them reserved.
    pub fn new(limit: usize) -> Arc<ByteBudget> {
        Arc::new(ByteBudget { limit, usage: Mutex::default() })
    }

    /// Reserves no bytes yet; [`Reservation::resize`] does.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Reserves bytes; `None` if that would exceed the limit.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.reservation();
        reservation.resize(bytes).then_some(reservation)
    }

    /// The limit in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// How the budget is used.
    pub fn usage(&self) -> Usage {
        *self.usage.lock()
    }

    /// Replaces a reservation of `from` bytes by one of `to` bytes; false, and nothing changes, if that would exceed
    /// the limit. Giving bytes back always succeeds.
    fn exchange(&self, from: usize, to: usize) -> bool {
        let mut usage = self.usage.lock();
        let reserved = (usage.reserved - from).saturating_add(to);
        if to > from && reserved > self.limit {
            usage.denied += 1;
            return false;
        }
        usage.reserved = reserved;
        usage.peak = usage.peak.max(reserved);
        true
    }
}

/// Bytes reserved from a [`ByteBudget`]; given back when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl Reservation {
    /// Changes how many bytes are reserved; false, and nothing changes, if the budget does not allow it.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let is_allowed = self.budget.exchange(self.bytes, bytes);
        if is_allowed {
            self.bytes = bytes;
        }
        is_allowed
    }

    /// Moves up to `bytes` reserved bytes into a reservation of their own.
    pub fn split_off(&mut self, bytes: usize) -> Reservation {
        let moved = bytes.min(self.bytes);
        self.bytes -= moved;
        Reservation { budget: self.budget.clone(), bytes: moved }
    }

    /// Gives all bytes back.
    pub fn clear(&mut self) {
        if self.bytes == 0 {
            return;
        }
        self.budget.exchange(self.bytes, 0);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Bytes on their way to a reader, which stay reserved until the last of them is taken.
#[derive(Debug, Default)]
pub struct ReservedBytes {
    /// What was not taken yet.
    pub bytes: Bytes,
    /// Covers `bytes`; `None` if they are too few to be counted.
    pub reservation: Option<Reservation>,
}

impl From<Bytes> for ReservedBytes {
    fn from(bytes: Bytes) -> ReservedBytes {
        ReservedBytes { bytes, reservation: None }
    }
}

impl ReservedBytes {
    /// Takes up to `max_bytes` of the bytes. A part of them is copied, because one that shared their memory would keep
    /// all of it after the reservation has ended.
    pub fn take_part(&mut self, max_bytes: usize) -> Bytes {
        if self.bytes.len() <= max_bytes {
            self.reservation = None;
            return std::mem::take(&mut self.bytes);
        }
        Bytes::copy_from_slice(&self.bytes.split_to(max_bytes))
    }
}

#[cfg(test)]
#[path = "byte_budget_tests.rs"]
mod tests;
