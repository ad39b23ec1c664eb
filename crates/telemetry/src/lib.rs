//! Metrics of a process, in the OpenMetrics text format.
//!
//! A figure is kept where it belongs: a program implements [`Source`] over its own state, which is read when the
//! metrics are fetched, so that no figure is kept twice and nothing is computed while nobody looks. [`serve`]
//! answers the fetches; [`Exposition`] is what a source writes to.

mod exposition;
mod server;

pub use exposition::{Exposition, Labels, Source, render};
pub use server::{METRICS_PATH, serve};
