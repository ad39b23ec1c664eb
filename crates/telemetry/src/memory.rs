//! Metrics of the memory of this process, and of the bytes that other processes make it keep.

use crate::exposition::MetricsWriter;
use fleet_core::byte_budget::ByteBudget;
use std::fmt;

/// Where the kernel tells the memory of this process.
const STATUS_FILE: &str = "/proc/self/status";

/// A place that keeps received bytes, as named in the label `place`, and its budget.
pub type Place<'a> = (&'static str, &'a ByteBudget);

/// Writes the memory of this process and the use of each place's budget.
///
/// # Errors
///
/// Fails if the encoder can't write to its output.
pub fn write_memory(places: &[Place<'_>], writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    let resident = field_bytes(&status, "VmRSS:");
    let peak = field_bytes(&status, "VmHWM:");
    writer.gauge("memory_resident_bytes", "Resident memory of this process", resident)?;
    writer.gauge("memory_peak_bytes", "The most resident memory since the start", peak)?;
    let mut write = |name, help, value: fn(&ByteBudget) -> f64| {
        let series: Vec<_> = places
            .iter()
            .map(|(place, budget)| ([("place", (*place).to_owned())], value(budget)))
            .collect();
        writer.gauges(name, help, series.iter().map(|(labels, value)| (&labels[..], *value)))
    };
    write("kept_bytes", "Received bytes that are kept", |budget| budget.usage().reserved as f64)?;
    write("kept_bytes_peak", "The most of them since the start", |budget| {
        budget.usage().peak as f64
    })?;
    write("kept_bytes_denied", "Times that no more could be kept", |budget| {
        budget.usage().denied as f64
    })
}

/// A field of the status file, which is given in kB; 0 if it is missing.
fn field_bytes(status: &str, field: &str) -> f64 {
    let value = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = value.and_then(|value| value.split_whitespace().next());
    kilobytes.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0) * 1024.0
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
