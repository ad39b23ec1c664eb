//! What goes wrong in a run: drawn from a seed, printed, replayed, and dropped one by one.

use crate::constants;
use serde::{Deserialize, Serialize};

/// The mixes of faults that `--point` picks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
    /// Machines cut off, one way and both.
    #[serde(rename = "cut-off")]
    Isolation,
    /// Several operators with the same numbers, answers lost.
    Race,
    /// A second loss right after a repair or a replacement.
    SecondLoss,
    /// A member away for hundreds of changes.
    Hundreds,
    /// Connections reset and held up under calls.
    Calls,
    /// All of these.
    All,
}

impl Point {
    /// Every point, in the order of `--help`.
    pub const EVERY: [Point; 6] = [
        Point::Isolation,
        Point::Race,
        Point::SecondLoss,
        Point::Hundreds,
        Point::Calls,
        Point::All,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Point::Isolation => "cut-off",
            Point::Race => "race",
            Point::SecondLoss => "second-loss",
            Point::Hundreds => "hundreds",
            Point::Calls => "calls",
            Point::All => "all",
        }
    }
}

/// `{0}` is none of cut-off, race, second-loss, hundreds, calls, all
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct UnknownPoint(String);

impl std::str::FromStr for Point {
    type Err = UnknownPoint;

    fn from_str(text: &str) -> Result<Point, UnknownPoint> {
        let named = Point::EVERY.into_iter().find(|point| point.name() == text);
        named.ok_or_else(|| UnknownPoint(text.to_owned()))
    }
}

/// One kind of trouble; machines are numbers from 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FaultKind {
    /// The machine hears no other machine and none hears it; callers may still reach it.
    #[serde(rename = "cut-off")]
    Isolation {
        /// which machine
        machine: usize,
        /// whether callers are cut off from it as well
        callers_too: bool,
    },
    /// Nothing passes from one machine to another; the way back stands.
    OneWay {
        /// who is not heard
        from: usize,
        /// who doesn't hear
        to: usize,
    },
    /// The connections between two machines are reset, once.
    Reset {
        /// one end
        one: usize,
        /// the other end
        other: usize,
    },
    /// The callers outside don't reach a machine, or its answers don't reach them.
    #[serde(rename = "callers-cut")]
    ClientPartition {
        /// which machine
        machine: usize,
        /// whether calls still come through
        answers_only: bool,
    },
    /// The process is killed, and started again at the end.
    Kill {
        /// which machine
        machine: usize,
    },
    /// The process is told to leave, and started again at the end.
    Leave {
        /// which machine
        machine: usize,
    },
    /// The power goes: unsynced writes are lost and nobody is told.
    PowerLoss {
        /// which machine
        machine: usize,
    },
    /// As the loss of power, and the disk comes back empty.
    LoseDisk {
        /// which machine
        machine: usize,
    },
    /// Nothing of the machine is sent or synced; its timers go on.
    Freeze {
        /// which machine
        machine: usize,
    },
    /// Whatever the machine sends or is sent comes late, at times after its caller gave up.
    SlowLinks {
        /// which machine
        machine: usize,
    },
    /// Each sync takes long.
    SlowDisk {
        /// which machine
        machine: usize,
    },
    /// Syncs don't end.
    HungDisk {
        /// which machine
        machine: usize,
    },
    /// Writes are refused.
    FullDisk {
        /// which machine
        machine: usize,
    },
    /// The machine is gone for good; another one comes at a new address with an empty disk.
    Replace {
        /// which machine
        machine: usize,
    },
    /// All machines go down at once, and come back together.
    AllDown {
        /// whether their power goes, and not only their processes
        power: bool,
        /// those whose disks come back empty
        wiped: Vec<usize>,
    },
    /// The seeds in the settings of a machine are changed to its own and those of later machines.
    Reseed {
        /// which machine
        machine: usize,
    },
}

impl FaultKind {
    /// The machine that can't be counted on meanwhile, if any.
    pub fn machine_lost(&self) -> Option<usize> {
        match self {
            FaultKind::Reset { .. }
            | FaultKind::ClientPartition { .. }
            | FaultKind::AllDown { .. }
            | FaultKind::Reseed { .. } => None,
            FaultKind::OneWay { from, .. } => Some(*from),
            FaultKind::Isolation { machine, .. }
            | FaultKind::Kill { machine }
            | FaultKind::Leave { machine }
            | FaultKind::PowerLoss { machine }
            | FaultKind::LoseDisk { machine }
            | FaultKind::Freeze { machine }
            | FaultKind::SlowLinks { machine }
            | FaultKind::SlowDisk { machine }
            | FaultKind::HungDisk { machine }
            | FaultKind::FullDisk { machine }
            | FaultKind::Replace { machine } => Some(*machine),
        }
    }
}

impl FaultKind {
    fn downs_all(&self) -> bool {
        matches!(self, FaultKind::AllDown { .. })
    }
}

/// One trouble with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// ms since the run began.
    pub from_ms: u64,
    /// ms until it ends.
    pub for_ms: u64,
    /// What goes wrong.
    #[serde(flatten)]
    pub kind: FaultKind,
}

impl Fault {
    /// Whether two faults, each with the time of catching up after it, come upon each other.
    fn meets(&self, other: &Fault) -> bool {
        let until = |fault: &Fault| fault.until_ms() + constants::CATCH_UP_MS;
        other.from_ms < until(self) && self.from_ms < until(other)
    }

    /// ms since the run began at which it is over.
    pub fn until_ms(&self) -> u64 {
        self.from_ms + self.for_ms
    }
}

/// A whole run: printed, kept in a file, and played again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// What all delays and choices are drawn from.
    pub seed: u64,
    /// Which mix.
    pub point: Point,
    /// Controllers that found the membership.
    pub members: usize,
    /// Controllers beside them that wait to stand in.
    pub standbys: usize,
    /// Operators that send configurations.
    pub operators: usize,
    /// ms; the pause between two orders of one operator.
    #[serde(rename = "order_pause_ms")]
    pub order_interval_ms: u64,
    /// What goes wrong, by time.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a run from a seed.
    pub fn random(seed: u64, point: Point) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let shape = Shape::of(point, &mut rng);
        let mut plan = Plan {
            seed,
            point,
            members: shape.members,
            standbys: shape.standbys,
            operators: shape.operators,
            order_interval_ms: shape.order_interval_ms,
            faults: Vec::new(),
        };
        for _ in 0..shape.tries {
            let fault = shape.fault(&plan, &mut rng);
            if plan.bears(&fault) {
                plan.faults.push(fault);
            }
        }
        plan.faults.sort_by_key(|fault| (fault.from_ms, fault.for_ms));
        plan
    }

    /// Members that may be lost together with all rules kept.
    pub fn losses(&self) -> usize {
        (self.members - 1) / 2
    }

    /// ms since the run began at which the last fault is over.
    pub fn calm_from_ms(&self) -> u64 {
        let last = self.faults.iter().map(Fault::until_ms).max().unwrap_or(0);
        last.max(constants::WARM_UP.as_millis() as u64)
    }

    /// Never more machines at once than the platform says may be lost: one that is back counts as
    /// lost for the time of catching up, and while all are down nothing else is lost.
    fn bears(&self, new: &Fault) -> bool {
        let met: Vec<&Fault> = self.faults.iter().filter(|fault| fault.meets(new)).collect();
        let counts =
            |fault: &&&Fault| fault.kind.machine_lost().is_some() || fault.kind.downs_all();
        if new.kind.downs_all() {
            return !met.iter().any(|fault| counts(&fault));
        }
        let Some(machine) = new.kind.machine_lost() else { return true };
        if met.iter().any(|fault| fault.kind.downs_all()) || self.outlives(machine, new) {
            return false;
        }
        let mut others: Vec<usize> =
            met.iter().filter_map(|fault| fault.kind.machine_lost()).collect();
        others.sort_unstable();
        others.dedup();
        !others.contains(&machine) && others.len() < self.losses()
    }

    /// Whether a machine would have a fault after it was gone for good.
    fn outlives(&self, machine: usize, new: &Fault) -> bool {
        let goes = |fault: &Fault| fault.kind == FaultKind::Replace { machine };
        let removed_before = self.faults.iter().any(goes);
        let goes_too_soon = goes(new)
            && self.faults.iter().any(|fault| {
                fault.kind.machine_lost() == Some(machine) && fault.from_ms > new.from_ms
            });
        removed_before || goes_too_soon
    }
}

/// How a point shapes its runs.
struct Shape {
    point: Point,
    members: usize,
    standbys: usize,
    operators: usize,
    order_interval_ms: u64,
    tries: usize,
}

impl Shape {
    fn of(point: Point, rng: &mut fastrand::Rng) -> Shape {
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

    fn fault(&self, plan: &Plan, rng: &mut fastrand::Rng) -> Fault {
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

#[cfg(test)]
#[path = "fault_tests.rs"]
mod tests;
