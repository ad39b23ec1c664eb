//! Shares one read among callers that request it at about the same time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Shares the outcome of a read among all callers that arrived before the read started.
///
/// When a configuration comes into force, all routers request it at the same time. A caller needs a read that contacts
/// a majority after the caller's own request arrived, so it can't use one that is already in progress; but all callers
/// that wait for that one to finish can share the next.
pub struct SharedRead<T> {
    /// Number of reads started so far.
    started: AtomicU64,
    last: tokio::sync::Mutex<Option<Outcome<T>>>,
}

struct Outcome<T> {
    /// Number of reads that had started, including this one.
    sequence: u64,
    value: Option<Arc<T>>,
}

impl<T> Default for SharedRead<T> {
    fn default() -> Self {
        SharedRead { started: AtomicU64::new(0), last: tokio::sync::Mutex::new(None) }
    }
}

impl<T> SharedRead<T> {
    /// Returns the outcome of a read that started after this call: either another caller's, or the one passed in.
    pub async fn get(&self, read: impl Future<Output = Option<T>>) -> Option<Arc<T>> {
        let started_before = self.started.load(Ordering::Acquire);
        let mut last = self.last.lock().await;
        if let Some(outcome) = last.as_ref().filter(|outcome| outcome.sequence > started_before) {
            return outcome.value.clone();
        }
        let sequence = self.started.fetch_add(1, Ordering::AcqRel) + 1;
        let value = read.await.map(Arc::new);
        *last = Some(Outcome { sequence, value: value.clone() });
        value
    }
}

#[cfg(test)]
#[path = "shared_read_tests.rs"]
mod tests;
