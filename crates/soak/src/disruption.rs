//! The disruptions of a run, drawn from its seed.

use crate::constants;
use crate::engine::Announcement;
use std::time::Duration;

/// A change or a failure that a run inflicts on the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Disruption {
    /// A machine's processes get SIGTERM and are restarted once they have exited.
    Restart {
        /// Number of the machine.
        machine: usize,
        /// Time between the exit of the processes and their restart.
        pause: Duration,
    },
    /// A machine's processes are killed and restarted.
    Kill {
        /// Number of the machine.
        machine: usize,
        /// Time between the kill and the restart.
        pause: Duration,
    },
    /// The processes of all machines with a controller are killed at once, and restarted together.
    KillControllers {
        /// Time between the kill and the restart.
        pause: Duration,
    },
    /// A machine's processes get SIGHUP.
    HangUp {
        /// Number of the machine.
        machine: usize,
    },
    /// The operator sends a new configuration, which isolates other tenants.
    Reconfigure,
    /// The operator names a new version of the weights.
    NameWeights,
    /// A new engine starts, and the oldest one departs.
    ReplaceEngine {
        /// How the oldest engine announces its departure.
        announcement: Announcement,
    },
}

/// A disruption with its start time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledDisruption {
    /// When it begins, since the end of the warm-up.
    pub at: Duration,
    /// The disruption to carry out.
    pub disruption: Disruption,
}

/// Time from the last signal until all processes have been started again and count as connected.
const CALM_AFTER: Duration = Duration::from_secs(9);

/// Draws the disruptions of a run, ordered by start time. They come in bursts and may overlap.
pub fn draw_disruptions(
    rng: &mut fastrand::Rng,
    machines: usize,
    span: Duration,
) -> Vec<ScheduledDisruption> {
    let bursts = 3 + rng.usize(0..4);
    let mut disruptions = Vec::new();
    for _ in 0..bursts {
        let from = rng.u64(0..span.as_millis() as u64);
        for _ in 0..rng.usize(1..=4 + machines / 8) {
            let at = Duration::from_millis(from + rng.u64(0..1500));
            disruptions
                .push(ScheduledDisruption { at, disruption: draw_disruption(rng, machines) });
        }
    }
    // Each run has an engine departure shortly before all controllers are killed.
    let from = rng.u64(0..span.as_millis() as u64);
    let announcement = draw_announcement(rng);
    let departure = Disruption::ReplaceEngine { announcement };
    disruptions
        .push(ScheduledDisruption { at: Duration::from_millis(from), disruption: departure });
    let at = Duration::from_millis(from + rng.u64(20..1500));
    disruptions.push(ScheduledDisruption {
        at,
        disruption: Disruption::KillControllers { pause: draw_pause(rng) },
    });
    disruptions.sort_by_key(|scheduled| scheduled.at);
    let calm_from = disruptions.last().map_or(Duration::ZERO, |last| last.at) + CALM_AFTER;
    disruptions.extend(draw_calm_changes(rng, calm_from));
    disruptions
}

/// Draws changes after the last signal, when all machines are in touch again, so that the bounds on weights and
/// isolation count: an engine leaves with the requests in its queue while new weights are named and tenants isolated.
fn draw_calm_changes(rng: &mut fastrand::Rng, from: Duration) -> Vec<ScheduledDisruption> {
    let changes = [
        Disruption::ReplaceEngine { announcement: Announcement::Drain },
        Disruption::NameWeights,
        Disruption::Reconfigure,
        Disruption::Reconfigure,
    ];
    let mut at = from;
    let mut schedule = |disruption| {
        at += Duration::from_millis(rng.u64(0..300));
        ScheduledDisruption { at, disruption }
    };
    changes.into_iter().map(&mut schedule).collect()
}

fn draw_disruption(rng: &mut fastrand::Rng, machines: usize) -> Disruption {
    let machine = rng.usize(0..machines);
    match rng.u8(0..100) {
        0..40 => Disruption::Restart { machine, pause: draw_pause(rng) },
        40..50 => Disruption::Kill { machine, pause: draw_pause(rng) },
        50..55 => Disruption::KillControllers { pause: draw_pause(rng) },
        55..70 => Disruption::HangUp { machine },
        70..80 => Disruption::Reconfigure,
        _ => Disruption::ReplaceEngine { announcement: draw_announcement(rng) },
    }
}

fn draw_announcement(rng: &mut fastrand::Rng) -> Announcement {
    if rng.bool() { Announcement::Drain } else { Announcement::Deregister }
}

/// Draws the time until a restart, less than a second.
fn draw_pause(rng: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(rng.u64(20..1000))
}

/// The time for which a run continues after its last disruption.
pub fn quiet_period() -> Duration {
    constants::COOL_DOWN + constants::GRACE_PERIOD
}

#[cfg(test)]
#[path = "disruption_tests.rs"]
mod tests;
