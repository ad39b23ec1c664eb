//! One read for all who ask at about the same time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Shares the outcome of a read among the callers that came before it began.
///
/// When a configuration comes into force all routers ask at once. A caller needs contact with a
/// majority that began after its own call came, so it can't use a read that is under way; but all
/// who wait behind that one can use the next.
pub struct SharedRead<T> {
    /// reads begun so far
    begun: AtomicU64,
    last: tokio::sync::Mutex<Option<Outcome<T>>>,
}

struct Outcome<T> {
    /// how many reads had begun with this one
    number: u64,
    value: Option<Arc<T>>,
}

impl<T> Default for SharedRead<T> {
    fn default() -> Self {
        SharedRead { begun: AtomicU64::new(0), last: tokio::sync::Mutex::new(None) }
    }
}

impl<T> SharedRead<T> {
    /// The outcome of a read that began after this call: another caller's or this one's own.
    pub async fn get(&self, read: impl Future<Output = Option<T>>) -> Option<Arc<T>> {
        let came_after = self.begun.load(Ordering::Acquire);
        let mut last = self.last.lock().await;
        if let Some(outcome) = last.as_ref().filter(|outcome| outcome.number > came_after) {
            return outcome.value.clone();
        }
        let number = self.begun.fetch_add(1, Ordering::AcqRel) + 1;
        let value = read.await.map(Arc::new);
        *last = Some(Outcome { number, value: value.clone() });
        value
    }
}

#[cfg(test)]
#[path = "shared_read_tests.rs"]
mod tests;
