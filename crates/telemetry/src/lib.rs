//! Serves the metrics of a process over HTTP in the OpenMetrics text format.
//!
//! There is no separate store of metric values: a program implements [`MetricsSource`] over its own state, which is
//! read at each scrape, so no value is kept twice and nothing is computed between scrapes. [`serve`] answers the
//! scrapes; [`MetricsWriter`] is the writer that a source gets.

mod exposition;
mod memory;
mod server;

pub use exposition::{Labels, MetricsSource, MetricsWriter, render};
pub use memory::{Place, write_memory};
pub use server::{METRICS_PATH, serve};
