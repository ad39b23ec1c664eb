//! A disk of memory: it takes a moment for each record, and keeps what it took.

use super::Trace;
use control_plane::storage::format::{Record, State};
use control_plane::storage::{DiskError, RecordQueue};
use fleet_core::transport::BoxFuture;
use parking_lot::Mutex;
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Time that a record takes to be durable, unless the disk takes none.
pub const WRITE: Duration = Duration::from_millis(2);

struct Job {
    record: Record,
    done: oneshot::Sender<()>,
}

pub struct MemoryDisk {
    jobs: mpsc::UnboundedSender<Job>,
    image: Arc<Mutex<State>>,
    hangs: watch::Sender<bool>,
    task: tokio::task::AbortHandle,
}

impl MemoryDisk {
    pub fn start(node: usize, state: State, write_time: Duration, trace: Trace) -> MemoryDisk {
        let (jobs, queue) = mpsc::unbounded_channel();
        let image = Arc::new(Mutex::new(state));
        let hangs = watch::Sender::new(false);
        let disk =
            Writer { node, write_time, image: image.clone(), hangs: hangs.subscribe(), trace };
        let writing = disk.run(queue);
        let task = tokio::spawn(writing).abort_handle();
        MemoryDisk { jobs, image, hangs, task }
    }

    /// From now on records are queued and not written, or written again.
    pub fn hang(&self, hangs: bool) {
        self.hangs.send_replace(hangs);
    }

    /// Takes no more; gives what is on it.
    pub fn end(&self) -> State {
        self.task.abort();
        self.image.lock().clone()
    }
}

/// Writes what is queued, one record after the other.
struct Writer {
    node: usize,
    write_time: Duration,
    image: Arc<Mutex<State>>,
    hangs: watch::Receiver<bool>,
    trace: Trace,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Job>) {
        while let Some(Job { record, done }) = queue.recv().await {
            if self.hangs.wait_for(|hangs| !*hangs).await.is_err() {
                return;
            }
            if !self.write_time.is_zero() {
                tokio::time::sleep(self.write_time).await;
            }
            self.image.lock().apply(&record);
            let hash = fleet_core::node::stable_hash(&[&record.encode_to_vec()]);
            self.trace.add(self.node, &format!("wrote {hash:016x}"));
            // who asked may have given up
            let _ = done.send(());
        }
    }
}

impl RecordQueue for MemoryDisk {
    fn append(&self, record: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        let (done, written) = oneshot::channel();
        let queued = self.jobs.send(Job { record, done });
        Box::pin(async move {
            queued.map_err(|_| DiskError::Ended)?;
            written.await.map_err(|_| DiskError::Ended)
        })
    }

    fn is_broken(&self) -> bool {
        false
    }

    fn is_absent(&self) -> bool {
        false
    }
}
