//! Writing of metrics by the process that has them.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt;
use std::sync::Arc;

/// Names and values of the labels of one series.
pub type Labels<'a> = [(&'a str, String)];

/// State of a process that can be shown as metrics.
pub trait Source: Send + Sync + 'static {
    /// Writes all metrics as they are now.
    ///
    /// # Errors
    ///
    /// The text can't be written to.
    fn write(&self, exposition: &mut Exposition<'_>) -> fmt::Result;
}

/// The metrics of one fetch, being written.
pub struct Exposition<'a> {
    encoder: DescriptorEncoder<'a>,
}

impl Exposition<'_> {
    /// Writes a counter, which only rises while the process runs.
    ///
    /// # Errors
    ///
    /// The text can't be written to.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) -> fmt::Result {
        let counter = ConstCounter::new(value);
        counter.encode(self.encoder.encode_descriptor(name, help, None, MetricType::Counter)?)
    }

    /// Writes a gauge.
    ///
    /// # Errors
    ///
    /// The text can't be written to.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) -> fmt::Result {
        let gauge = ConstGauge::new(value);
        gauge.encode(self.encoder.encode_descriptor(name, help, None, MetricType::Gauge)?)
    }

    /// Writes one gauge for each set of labels.
    ///
    /// # Errors
    ///
    /// The text can't be written to.
    pub fn gauges<'l>(
        &mut self,
        name: &str,
        help: &str,
        series: impl IntoIterator<Item = (&'l Labels<'l>, f64)>,
    ) -> fmt::Result {
        let mut family = self.encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
        for (labels, value) in series {
            ConstGauge::new(value).encode(family.encode_family(&labels)?)?;
        }
        Ok(())
    }
}

struct SourceCollector(Arc<dyn Source>);

impl fmt::Debug for SourceCollector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SourceCollector")
    }
}

impl Collector for SourceCollector {
    fn encode(&self, encoder: DescriptorEncoder) -> fmt::Result {
        self.0.write(&mut Exposition { encoder })
    }
}

/// The metrics of a source as text.
///
/// # Errors
///
/// The source could not write them.
pub fn render(source: Arc<dyn Source>) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix("anisedyke");
    registry.register_collector(Box::new(SourceCollector(source)));
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry)?;
    Ok(text)
}
