//! Draws the runs of a point.

use super::{Fault, FaultKind, Plan, Point};
use crate::constants;

/// How a point shapes its runs.
pub(super) struct Shape {
    pub(super) point: Point,
    pub(super) members: usize,
    pub(super) standbys: usize,
    pub(super) operators: usize,
    pub(super) order_interval_ms: u64,
    pub(super) tries: usize,
}

impl Shape {
    /// The shape of one run of a point.
    pub(super) fn of(point: Point, rng: &mut fastrand::Rng) -> Shape {
        let members = if rng.bool() { 3 } else { 5 };
        let usual = Shape {
            point,
            members,
            standbys: rng.usize(0..=1),
            operators: rng.usize(1..=2),
            order_interval_ms: constants::ORDER_INTERVAL_MS,
            tries: rng.usize(3..=8),
        };
        match point {
            Point::Isolation | Point::Calls | Point::All => usual,
            Point::Race => Shape { operators: rng.usize(2..=4), order_interval_ms: 80, ..usual },
            Point::SecondLoss => Shape { standbys: rng.usize(1..=2), ..usual },
            Point::Hundreds => Shape { operators: 1, order_interval_ms: 30, ..usual },
        }
    }

    /// Draws one fault; the plan may not bear it.
    pub(super) fn fault(&self, plan: &Plan, rng: &mut fastrand::Rng) -> Fault {
        let begin = constants::WARM_UP.as_millis() as u64;
        let span = constants::FAULTS_SPAN.as_millis() as u64;
        let longest = constants::FAULT_MAX_DURATION.as_millis() as u64;
        let short = rng.bool();
        let for_ms = if short { rng.u64(20..1500) } else { rng.u64(1500..longest) };
        let machine = rng.usize(0..plan.members);
        let other = (machine + rng.usize(1..plan.members)) % plan.members;
        let kind = self.kind(plan, machine, other, rng);
        Fault { from_ms: begin + rng.u64(0..span), for_ms, kind }
    }

    fn kind(
        &self,
        plan: &Plan,
        machine: usize,
        other: usize,
        rng: &mut fastrand::Rng,
    ) -> FaultKind {
        let all_down = all_down(plan, rng);
        let isolation = FaultKind::Isolation { machine, callers_too: rng.bool() };
        let client_partition = FaultKind::ClientPartition { machine, answers_only: rng.bool() };
        let slow_links = FaultKind::SlowLinks { machine };
        let one_way = FaultKind::OneWay { from: machine, to: other };
        let reset = FaultKind::Reset { one: machine, other };
        let copies = [FaultKind::LoseDisk { machine }, FaultKind::Replace { machine }];
        let mut from = match self.point {
            Point::Isolation => vec![isolation, one_way, slow_links, FaultKind::Freeze { machine }],
            Point::Race => vec![client_partition, isolation, reset, FaultKind::Kill { machine }],
            Point::SecondLoss => [copies.to_vec(), vec![all_down]].concat(),
            Point::Hundreds => vec![FaultKind::PowerLoss { machine }, isolation, all_down],
            Point::Calls => vec![reset.clone(), reset, one_way, slow_links, isolation],
            Point::All => {
                everything(machine, [isolation, client_partition, one_way, reset, all_down], copies)
            }
        };
        if self.point == Point::SecondLoss {
            from.push(FaultKind::Leave { machine });
            from.push(FaultKind::Kill { machine });
        }
        from.swap_remove(rng.usize(0..from.len()))
    }
}

fn all_down(plan: &Plan, rng: &mut fastrand::Rng) -> FaultKind {
    let power = rng.bool();
    let count = if power { rng.usize(0..=plan.losses()) } else { 0 };
    let mut wiped = rng.choose_multiple(0..plan.members, count);
    wiped.sort_unstable();
    FaultKind::AllDown { power, wiped }
}

fn everything(machine: usize, others: [FaultKind; 5], copies: [FaultKind; 2]) -> Vec<FaultKind> {
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
    all.extend(copies);
    all
}
