//! Draws the parameters and faults of a run.

use super::{Fault, FaultKind, FaultMix, Plan};
use crate::constants;

/// The parameters of a run, and the number of faults that are drawn for it.
pub(super) struct RunShape {
    pub(super) mix: FaultMix,
    pub(super) members: usize,
    pub(super) standbys: usize,
    pub(super) operators: usize,
    pub(super) update_interval_ms: u64,
    pub(super) fault_attempts: usize,
}

impl RunShape {
    /// Draws the parameters of a run.
    pub(super) fn draw(mix: FaultMix, rng: &mut fastrand::Rng) -> RunShape {
        let members = if rng.bool() { 3 } else { 5 };
        let default = RunShape {
            mix,
            members,
            standbys: rng.usize(0..=1),
            operators: rng.usize(1..=2),
            update_interval_ms: constants::UPDATE_INTERVAL_MS,
            fault_attempts: rng.usize(3..=8),
        };
        match mix {
            FaultMix::Isolation | FaultMix::Calls | FaultMix::All => default,
            FaultMix::Race => {
                RunShape { operators: rng.usize(2..=4), update_interval_ms: 80, ..default }
            }
            FaultMix::SecondLoss => RunShape { standbys: rng.usize(1..=2), ..default },
            FaultMix::Hundreds => RunShape { operators: 1, update_interval_ms: 30, ..default },
        }
    }

    /// Draws one fault, which the plan may have to reject.
    pub(super) fn draw_fault(&self, plan: &Plan, rng: &mut fastrand::Rng) -> Fault {
        let begin = constants::WARM_UP.as_millis() as u64;
        let span = constants::FAULT_WINDOW.as_millis() as u64;
        let max_duration = constants::MAX_FAULT_DURATION.as_millis() as u64;
        let short = rng.bool();
        let for_ms = if short { rng.u64(20..1500) } else { rng.u64(1500..max_duration) };
        let machine = rng.usize(0..plan.members);
        let other = (machine + rng.usize(1..plan.members)) % plan.members;
        let kind = self.draw_kind(plan, machine, other, rng);
        Fault { from_ms: begin + rng.u64(0..span), for_ms, kind }
    }

    fn draw_kind(
        &self,
        plan: &Plan,
        machine: usize,
        other: usize,
        rng: &mut fastrand::Rng,
    ) -> FaultKind {
        let all_down = draw_all_down(plan, rng);
        let isolation = FaultKind::Isolation { machine, callers_too: rng.bool() };
        let client_partition = FaultKind::ClientPartition { machine, answers_only: rng.bool() };
        let slow_links = FaultKind::SlowLinks { machine };
        let one_way = FaultKind::OneWay { from: machine, to: other };
        let reset = FaultKind::Reset { one: machine, other };
        let disk_losses = [FaultKind::LoseDisk { machine }, FaultKind::Replace { machine }];
        let mut candidates = match self.mix {
            FaultMix::Isolation => {
                vec![isolation, one_way, slow_links, FaultKind::Freeze { machine }]
            }
            FaultMix::Race => vec![client_partition, isolation, reset, FaultKind::Kill { machine }],
            FaultMix::SecondLoss => [disk_losses.to_vec(), vec![all_down]].concat(),
            FaultMix::Hundreds => vec![FaultKind::PowerLoss { machine }, isolation, all_down],
            FaultMix::Calls => vec![reset.clone(), reset, one_way, slow_links, isolation],
            FaultMix::All => all_kinds(
                machine,
                [isolation, client_partition, one_way, reset, all_down],
                disk_losses,
            ),
        };
        if self.mix == FaultMix::SecondLoss {
            candidates.push(FaultKind::Leave { machine });
            candidates.push(FaultKind::Kill { machine });
        }
        candidates.swap_remove(rng.usize(0..candidates.len()))
    }
}

fn draw_all_down(plan: &Plan, rng: &mut fastrand::Rng) -> FaultKind {
    let power = rng.bool();
    let count = if power { rng.usize(0..=plan.max_losses()) } else { 0 };
    let mut wiped = rng.choose_multiple(0..plan.members, count);
    wiped.sort_unstable();
    FaultKind::AllDown { power, wiped }
}

fn all_kinds(
    machine: usize,
    others: [FaultKind; 5],
    disk_losses: [FaultKind; 2],
) -> Vec<FaultKind> {
    let mut all = vec![
        FaultKind::Freeze { machine },
        FaultKind::Kill { machine },
        FaultKind::Leave { machine },
        FaultKind::PowerLoss { machine },
        FaultKind::SlowLinks { machine },
        FaultKind::SlowDisk { machine },
        FaultKind::HungDisk { machine },
        FaultKind::FullDisk { machine },
        FaultKind::Reseed { machine },
    ];
    all.extend(others);
    all.extend(disk_losses);
    all
}
