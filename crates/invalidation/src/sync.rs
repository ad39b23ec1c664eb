//! Locks and atomics: those of the standard library, or of loom under the feature `checker`.

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
