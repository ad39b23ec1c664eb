//! Collects a body that another process sends in parts, within its own limit and a budget that others share.

use crate::byte_budget::{ByteBudget, Reservation, ReservedBytes};
use std::sync::Arc;

/// Why a body is not kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum CollectError {
    /// the body exceeds its own limit
    TooLarge,
    /// other bodies use up the budget
    Overloaded,
}

/// The limits of one body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body.
    pub max_bytes: usize,
    /// Bytes that are kept whatever the budget has left.
    pub free_bytes: usize,
}

/// A body of which some parts may have arrived.
#[derive(Debug)]
pub struct BodyCollector {
    limits: BodyLimits,
    /// `None` once the body can't be kept.
    reservation: Option<Reservation>,
    /// All that arrived; empty once the body can't be kept.
    bytes: Vec<u8>,
    length: usize,
}

impl BodyCollector {
    /// Starts with an empty body. Without a budget nothing is kept.
    pub fn new(budget: Option<&Arc<ByteBudget>>, limits: BodyLimits) -> BodyCollector {
        let reservation = budget.map(|budget| budget.reservation());
        BodyCollector { limits, reservation, bytes: Vec::new(), length: 0 }
    }

    /// Makes room for a body of `bytes` bytes.
    pub fn with_capacity(mut self, bytes: usize) -> BodyCollector {
        self.bytes.reserve_exact(bytes);
        self
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// The body is too large, or there is no budget for it: it is discarded then, and further bytes are only counted.
    pub fn push(&mut self, data: &[u8]) -> Result<(), CollectError> {
        self.length = self.length.saturating_add(data.len());
        if self.length > self.limits.max_bytes {
            return Err(CollectError::TooLarge);
        }
        let shared_length = self.length.saturating_sub(self.limits.free_bytes);
        if !self.reservation.as_mut().is_some_and(|reservation| reservation.resize(shared_length)) {
            self.reservation = None;
            self.bytes = Vec::new();
            return Err(CollectError::Overloaded);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// The complete body.
    ///
    /// # Errors
    ///
    /// There was no budget for it.
    pub fn finish(mut self) -> Result<ReservedBytes, CollectError> {
        let reservation = self.reservation.ok_or(CollectError::Overloaded)?;
        self.bytes.shrink_to_fit();
        Ok(ReservedBytes { bytes: self.bytes.into(), reservation: Some(reservation) })
    }
}

#[cfg(test)]
#[path = "body_collector_tests.rs"]
mod tests;
