//! An in-memory disk that takes some time for each record and can hang.

use super::Trace;
use control_plane::storage::format::{Record, State};
use control_plane::storage::{DiskError, RecordQueue};
use fleet_core::transport::BoxFuture;
use parking_lot::Mutex;
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Time until a record is durable, for disks that don't write instantly.
pub const WRITE_TIME: Duration = Duration::from_millis(2);

struct WriteRequest {
    record: Record,
    done: oneshot::Sender<()>,
}

pub struct MemoryDisk {
    requests: mpsc::UnboundedSender<WriteRequest>,
    durable_state: Arc<Mutex<State>>,
    is_hung: watch::Sender<bool>,
    task: tokio::task::AbortHandle,
}

impl MemoryDisk {
    pub fn start(node: usize, state: State, write_time: Duration, trace: Trace) -> MemoryDisk {
        let (requests, queue) = mpsc::unbounded_channel();
        let durable_state = Arc::new(Mutex::new(state));
        let is_hung = watch::Sender::new(false);
        let disk = Writer {
            node,
            write_time,
            durable_state: durable_state.clone(),
            is_hung: is_hung.subscribe(),
            trace,
        };
        let writing = disk.run(queue);
        let task = tokio::spawn(writing).abort_handle();
        MemoryDisk { requests, durable_state, is_hung, task }
    }

    /// Sets whether the disk hangs. While it hangs, records are queued and not written.
    pub fn hang(&self, is_hung: bool) {
        self.is_hung.send_replace(is_hung);
    }

    /// Stops writing and returns the durable state.
    pub fn stop(&self) -> State {
        self.task.abort();
        self.durable_state.lock().clone()
    }
}

/// The task that writes queued records one by one.
struct Writer {
    node: usize,
    write_time: Duration,
    durable_state: Arc<Mutex<State>>,
    is_hung: watch::Receiver<bool>,
    trace: Trace,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<WriteRequest>) {
        while let Some(WriteRequest { record, done }) = queue.recv().await {
            if self.is_hung.wait_for(|is_hung| !*is_hung).await.is_err() {
                return;
            }
            if !self.write_time.is_zero() {
                tokio::time::sleep(self.write_time).await;
            }
            self.durable_state.lock().apply(&record);
            let hash = fleet_core::node::stable_hash(&[&record.encode_to_vec()]);
            self.trace.add(self.node, &format!("wrote {hash:016x}"));
            // The caller may have stopped waiting.
            let _ = done.send(());
        }
    }
}

impl RecordQueue for MemoryDisk {
    fn append(&self, record: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        let (done, written) = oneshot::channel();
        let queued = self.requests.send(WriteRequest { record, done });
        Box::pin(async move {
            queued.map_err(|_| DiskError::WriterTerminated)?;
            written.await.map_err(|_| DiskError::WriterTerminated)
        })
    }

    fn is_broken(&self) -> bool {
        false
    }

    fn is_absent(&self) -> bool {
        false
    }
}
