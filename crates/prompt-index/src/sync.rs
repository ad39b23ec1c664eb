//! Locks and atomics of the standard library, or of loom with the feature `checker`.

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

/// Locks a mutex and ignores poisoning: a panic under the lock leaves no invariant of a shard broken.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
