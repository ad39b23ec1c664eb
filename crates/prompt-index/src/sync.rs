//! Locks and atomics: those of the standard library, or of loom under the `checker` feature.

#[cfg(feature = "checker")]
pub use loom::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicU32, AtomicU64, Ordering},
};
#[cfg(not(feature = "checker"))]
pub use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicU32, AtomicU64, Ordering},
};

/// Locks, also after a panic under the lock: shards hold no broken invariants.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
