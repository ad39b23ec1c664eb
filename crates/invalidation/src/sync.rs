//! Locks and atomics of the standard library, or of loom with the feature `checker`.

#[cfg(feature = "checker")]
pub use loom::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
#[cfg(not(feature = "checker"))]
pub use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
