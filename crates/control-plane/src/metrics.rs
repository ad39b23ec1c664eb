//! Metrics of a controller: its role in consensus, its leases and the rollouts.

use crate::controller::Controller;
use crate::leases::{INDEX_OWNER_LEASE, ROLLOUT_LEASE};
use crate::rollout::status::{self, ModelView};
use std::collections::BTreeMap;
use std::fmt;
use telemetry::{MetricsSource, MetricsWriter};

impl MetricsSource for Controller {
    fn write(&self, writer: &mut MetricsWriter<'_>) -> fmt::Result {
        write_consensus(self, writer)?;
        write_leases(self, writer)?;
        write_rollout(self, writer)?;
        let process = self.process();
        let links = &process.node.link_budgets;
        let places: [telemetry::Place<'_>; 5] = [
            ("responses", &process.response_budget),
            ("call_bodies", &process.call_body_budget),
            ("answers", &process.answer_budget),
            ("received_frames", &links.received),
            ("queued_frames", &links.queued),
        ];
        telemetry::write_memory(&places, writer)
    }
}

fn write_consensus(controller: &Controller, writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let consensus = controller.consensus();
    let flag = |is_set: bool| f64::from(u8::from(is_set));
    let config_version = controller.cluster_state().read(|state| state.config_version());
    let shutting_down = controller.process().is_shutting_down();
    writer.gauge("shutting_down", "1 from SIGTERM on", flag(shutting_down))?;
    writer.gauge("votes", "1 if this node votes", flag(consensus.votes()))?;
    let help = "1 while a majority of the voters answers this node";
    writer.gauge("quorum_contact", help, flag(consensus.in_contact()))?;
    let epoch = consensus.membership_epoch() as f64;
    writer.gauge("membership_epoch", "Epoch of the membership in force", epoch)?;
    writer.gauge("config_version", "Newest configuration known to be chosen", config_version as f64)
}

fn write_leases(controller: &Controller, writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let token = |lease: &'static str| {
        let token = controller.leases().fencing_token(lease).unwrap_or(0);
        ([("lease", lease.to_owned())], token as f64)
    };
    let series = [ROLLOUT_LEASE, INDEX_OWNER_LEASE].map(token);
    let series = series.iter().map(|(labels, token)| (&labels[..], *token));
    let help = "Fencing token of a lease that this node holds; 0 if it doesn't";
    writer.gauges("lease_fencing_token", help, series)
}

fn write_rollout(controller: &Controller, writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let view = status::view(controller.rollout());
    let help = "Engines that may load weights at once";
    writer.gauge("rollout_concurrency", help, view.width as f64)?;
    let by_model = |field: fn(&ModelView) -> u64| -> Vec<_> {
        let sample = |model: &ModelView| ([("model", model.model.clone())], field(model) as f64);
        view.models.iter().map(sample).collect()
    };
    let mut write = |name, help, field| {
        let series = by_model(field);
        writer.gauges(name, help, series.iter().map(|(labels, value)| (&labels[..], *value)))
    };
    write("rollout_target_version", "Target version of the weights", |model| model.revision)?;
    write("rollout_target_age_ms", "Age of the target", |model| model.age_ms)?;
    write("rollout_time_left_ms", "Time until no engine may lag", |model| model.left_ms)?;
    write_engines(&view.models, writer)
}

fn write_engines(models: &[ModelView], writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let mut counts: BTreeMap<(String, u64, &str), usize> = BTreeMap::new();
    for model in models {
        for engine in &model.engines {
            let version = engine.revision.unwrap_or(0);
            *counts.entry((model.model.clone(), version, engine.state.name())).or_default() += 1;
        }
    }
    let series: Vec<_> = counts
        .into_iter()
        .map(|((model, version, state), count)| {
            let labels =
                [("model", model), ("version", version.to_string()), ("state", state.to_owned())];
            (labels, count as f64)
        })
        .collect();
    let series = series.iter().map(|(labels, count)| (&labels[..], *count));
    writer.gauges("engines", "Engines by version and step of the roll-out", series)
}
