//! The frames that wait to be written on one connection, bounded in number and in bytes.

use super::LinkError;
use super::budgets::LinkBudgets;
use crate::byte_budget::{ByteBudget, Reservation};
use crate::constants;
use crate::wire::{Body, Frame};
use prost::Message;
use std::sync::Arc;
use tokio::sync::mpsc;

/// A frame in the queue, and what it takes of the budgets until it is written.
pub(super) struct QueuedFrame {
    pub(super) frame: Frame,
    /// Its encoded length in bytes.
    pub(super) length: usize,
    _of_link: Reservation,
    _of_process: Option<Reservation>,
}

/// The sending end of a queue. Clones share it.
#[derive(Clone)]
pub(super) struct FrameQueue {
    frames: mpsc::Sender<QueuedFrame>,
    link_budget: Arc<ByteBudget>,
    process_budget: Arc<ByteBudget>,
}

impl FrameQueue {
    /// Creates an empty queue.
    pub(super) fn new(budgets: &LinkBudgets) -> (FrameQueue, mpsc::Receiver<QueuedFrame>) {
        let (frames, outgoing) = mpsc::channel(constants::LINK_QUEUE_FRAMES);
        let link_budget = ByteBudget::new(constants::LINK_QUEUE_BYTES);
        (FrameQueue { frames, link_budget, process_budget: budgets.queued.clone() }, outgoing)
    }

    /// Queues a frame.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotConnected`] if the connection has ended or its reader is too slow; nothing was queued.
    pub(super) fn try_send(&self, frame: Frame) -> Result<(), LinkError> {
        let length = frame.encoded_len();
        let of_link = self.link_budget.try_reserve(length).ok_or(LinkError::NotConnected)?;
        let is_beyond_minimum = self.link_budget.usage().reserved > constants::LINK_MIN_QUEUE_BYTES;
        let of_process = if is_beyond_minimum && !shares_its_payload(&frame) {
            Some(self.process_budget.try_reserve(length).ok_or(LinkError::NotConnected)?)
        } else {
            None
        };
        let queued = QueuedFrame { frame, length, _of_link: of_link, _of_process: of_process };
        self.frames.try_send(queued).map_err(|_| LinkError::NotConnected)
    }

    /// Number of frames in the queue.
    pub(super) fn len(&self) -> usize {
        self.frames.max_capacity() - self.frames.capacity()
    }

    /// Whether the connection has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }
}

/// Whether most of a frame is a value that the process keeps anyway, however many frames carry it.
fn shares_its_payload(frame: &Frame) -> bool {
    matches!(frame.body, Some(Body::ConfigResponse(_) | Body::ValueChunk(_)))
}
