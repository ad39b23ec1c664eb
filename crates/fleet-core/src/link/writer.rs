//! The task that writes the frames of one connection.

use super::budgets::reserve_when_available;
use super::frame::encode;
use super::queue::QueuedFrame;
use crate::byte_budget::ByteBudget;
use crate::constants;
use crate::transport::ByteWriter;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Handle of the task that writes a connection's frames; dropping it aborts the task and closes the writing half.
pub(super) struct Writer(JoinHandle<()>);

impl Writer {
    /// Starts a task that writes the frames received from the channel and batches those that are queued. A large frame is
    /// encoded once `budget` has room for its copy.
    pub(super) fn start(
        writer: ByteWriter,
        frames: mpsc::Receiver<QueuedFrame>,
        budget: Arc<ByteBudget>,
    ) -> Writer {
        Writer(tokio::spawn(write_frames(writer, frames, budget)))
    }

    /// Whether the task has ended, because the connection failed or the channel was closed.
    pub(super) fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn write_frames(
    mut writer: ByteWriter,
    mut frames: mpsc::Receiver<QueuedFrame>,
    budget: Arc<ByteBudget>,
) {
    let mut out = Vec::new();
    let mut large = None;
    loop {
        let Some(first) = next_frame(&mut large, &mut frames).await else { return };
        out.clear();
        let _copy =
            reserve_when_available(&budget, first.length, constants::WRITE_BATCH_BYTES).await;
        encode(&first.frame, &mut out);
        drop(first);
        while out.len() < constants::WRITE_BATCH_BYTES
            && let Ok(queued) = frames.try_recv()
        {
            if queued.length > constants::WRITE_BATCH_BYTES {
                large = Some(queued);
                break;
            }
            encode(&queued.frame, &mut out);
        }
        let writing = writer.write_all(&out);
        let timeout = constants::frame_timeout(out.len());
        if !matches!(tokio::time::timeout(timeout, writing).await, Ok(Ok(()))) {
            return;
        }
        // Frees the memory used by a large configuration.
        if out.capacity() > constants::WRITE_BUFFER_RETAINED_BYTES {
            out = Vec::new();
        }
    }
}

/// The large frame that was left over, or the next one from the queue; `None` once the queue is closed.
async fn next_frame(
    large: &mut Option<QueuedFrame>,
    frames: &mut mpsc::Receiver<QueuedFrame>,
) -> Option<QueuedFrame> {
    match large.take() {
        Some(frame) => Some(frame),
        None => frames.recv().await,
    }
}
