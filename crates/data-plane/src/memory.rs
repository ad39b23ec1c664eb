//! Budgets of the bytes that engines make this router keep.

use fleet_core::byte_budget::ByteBudget;
use fleet_core::constants;
use std::sync::Arc;
use telemetry::Place;

/// One budget for each place that keeps received bytes.
pub struct MemoryBudgets {
    /// Partial events of streams that may be resumed.
    pub partial_events: Arc<ByteBudget>,
    /// Bodies of rejections, which are read only so that the connection can be reused.
    pub rejection_bodies: Arc<ByteBudget>,
}

impl Default for MemoryBudgets {
    fn default() -> Self {
        MemoryBudgets {
            partial_events: ByteBudget::new(constants::PARTIAL_EVENTS_BUDGET_BYTES),
            rejection_bodies: ByteBudget::new(usize::MAX),
        }
    }
}

impl MemoryBudgets {
    /// All places, as named in the metrics.
    pub fn places(&self) -> [Place<'_>; 2] {
        [("partial_events", &self.partial_events), ("rejection_bodies", &self.rejection_bodies)]
    }
}
