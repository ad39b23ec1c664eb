//! The task that writes the frames of one connection.

use super::frame::encode;
use crate::constants;
use crate::transport::ByteWriter;
use crate::wire::Frame;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Handle of the task that writes a connection's frames; dropping it aborts the task and closes the writing half.
pub(super) struct Writer(JoinHandle<()>);

impl Writer {
    /// Starts a task that writes the frames received from the channel and batches those that are queued.
    pub(super) fn start(writer: ByteWriter, frames: mpsc::Receiver<Frame>) -> Writer {
        Writer(tokio::spawn(write_frames(writer, frames)))
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

async fn write_frames(mut writer: ByteWriter, mut frames: mpsc::Receiver<Frame>) {
    let mut out = Vec::new();
    while let Some(frame) = frames.recv().await {
        out.clear();
        encode(&frame, &mut out);
        while out.len() < constants::WRITE_BATCH_BYTES
            && let Ok(frame) = frames.try_recv()
        {
            encode(&frame, &mut out);
        }
        if writer.write_all(&out).await.is_err() {
            return;
        }
        // Frees the memory used by a large configuration.
        if out.capacity() > constants::WRITE_BUFFER_RETAINED_BYTES {
            out = Vec::new();
        }
    }
}
