//! Budgets of the bytes of frames that a process keeps, over all of its links.

use crate::byte_budget::{ByteBudget, Reservation};
use crate::constants;
use std::sync::Arc;

/// The budgets of one process. Clones share them.
#[derive(Debug, Clone)]
pub struct LinkBudgets {
    /// Frames above [`constants::SMALL_FRAME_BYTES`] that are being received, and those whose messages are being
    /// handled.
    pub received: Arc<ByteBudget>,
    /// Frames that wait for a slow reader, beyond [`constants::LINK_MIN_QUEUE_BYTES`] of each link.
    pub queued: Arc<ByteBudget>,
}

impl Default for LinkBudgets {
    fn default() -> Self {
        LinkBudgets {
            received: ByteBudget::new(constants::RECEIVED_FRAMES_BUDGET_BYTES),
            queued: ByteBudget::new(constants::QUEUED_FRAMES_BUDGET_BYTES),
        }
    }
}

/// Reserves the bytes of a frame once there are enough; nothing for one of at most `free_bytes`.
pub(super) async fn reserve_when_available(
    budget: &Arc<ByteBudget>,
    bytes: usize,
    free_bytes: usize,
) -> Reservation {
    if bytes <= free_bytes {
        return budget.reservation();
    }
    loop {
        if let Some(reservation) = budget.try_reserve(bytes) {
            return reservation;
        }
        tokio::time::sleep(constants::BUDGET_POLL_INTERVAL).await;
    }
}
