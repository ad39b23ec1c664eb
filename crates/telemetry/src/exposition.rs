//! Encodes the metrics of a process in the OpenMetrics text format.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt;
use std::sync::Arc;

/// Label names and values of one time series.
pub type Labels<'a> = [(&'a str, String)];

/// State of a process that can be exported as metrics.
pub trait MetricsSource: Send + Sync + 'static {
    /// Writes the current value of every metric.
    ///
    /// # Errors
    ///
    /// Fails if the encoder can't write to its output.
    fn write(&self, writer: &mut MetricsWriter<'_>) -> fmt::Result;
}

/// Writer for the metrics of one scrape.
pub struct MetricsWriter<'a> {
    encoder: DescriptorEncoder<'a>,
}

impl MetricsWriter<'_> {
    /// Writes a counter: a value that never decreases while the process runs. The encoder appends `_total` to the name.
    ///
    /// # Errors
    ///
    /// Fails if the encoder can't write to its output.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) -> fmt::Result {
        let counter = ConstCounter::new(value);
        counter.encode(self.encoder.encode_descriptor(name, help, None, MetricType::Counter)?)
    }

    /// Writes a gauge without labels.
    ///
    /// # Errors
    ///
    /// Fails if the encoder can't write to its output.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) -> fmt::Result {
        let gauge = ConstGauge::new(value);
        gauge.encode(self.encoder.encode_descriptor(name, help, None, MetricType::Gauge)?)
    }

    /// Writes a gauge family: one series for each set of labels.
    ///
    /// # Errors
    ///
    /// Fails if the encoder can't write to its output.
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

struct SourceCollector(Arc<dyn MetricsSource>);

impl fmt::Debug for SourceCollector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SourceCollector")
    }
}

impl Collector for SourceCollector {
    fn encode(&self, encoder: DescriptorEncoder) -> fmt::Result {
        self.0.write(&mut MetricsWriter { encoder })
    }
}

/// Renders the metrics of a source in the OpenMetrics text format; every name gets the prefix `anisedyke_`.
///
/// # Errors
///
/// Fails if the source can't write its metrics.
pub fn render(source: Arc<dyn MetricsSource>) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix("anisedyke");
    registry.register_collector(Box::new(SourceCollector(source)));
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry)?;
    Ok(text)
}
