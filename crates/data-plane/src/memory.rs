//! Budgets of the bytes that other processes make this router keep.

use fleet_core::byte_budget::ByteBudget;
use fleet_core::constants;
use std::sync::Arc;

/// One budget for each place that keeps received bytes.
pub struct MemoryBudgets {
    /// Bodies of client requests, beyond [`constants::SMALL_BODY_BYTES`] each.
    pub request_bodies: Arc<ByteBudget>,
    /// Partial events of streams that may be resumed.
    pub partial_events: Arc<ByteBudget>,
}

impl Default for MemoryBudgets {
    fn default() -> Self {
        MemoryBudgets {
            request_bodies: ByteBudget::new(constants::REQUEST_BODIES_BUDGET_BYTES),
            partial_events: ByteBudget::new(constants::PARTIAL_EVENTS_BUDGET_BYTES),
        }
    }
}
