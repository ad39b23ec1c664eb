//! Command line of the simulation: many runs, or one played again.

use gumdrop::Options;
use simulation::checker::Violation;
use simulation::fault::{Plan, Point, UnknownPoint};
use simulation::history::History;
use simulation::injected_bug::InjectedBug;
use std::hash::{BuildHasher, Hasher};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Every invariant held in every run.
const CLEAN: u8 = 0;
/// An invariant was broken, or a failure's record couldn't be written.
const BROKEN: u8 = 1;
/// The command line or the replayed file can't be used.
const USAGE: u8 = 2;
/// s; how often a line tells how far the runs have come.
const PROGRESS: Duration = Duration::from_secs(5);
/// runs; how many go into making a failing plan smaller.
const SHRINK_RUNS: usize = 60;

#[derive(Debug, Options)]
struct Words {
    /// print this help
    help: bool,
    /// how many runs; each takes the seed after the last one's
    #[options(no_short, meta = "N", default = "100")]
    runs: u64,
    /// the first run's seed; drawn if not given
    #[options(no_short, meta = "S")]
    seed: Option<u64>,
    /// cut-off, race, second-loss, hundreds, calls or all
    #[options(no_short, meta = "POINT", default = "all")]
    point: String,
    /// play the plan of this file once more, as it is
    #[options(no_short, meta = "FILE")]
    replay: Option<PathBuf>,
    /// go on after a failing run, and count at the end what was broken
    #[options(no_short)]
    keep_going: bool,
    /// in place of other runs: show that each deliberate defect is found, within so many seeds
    #[options(no_short)]
    mutants: bool,
    /// where the record of a failing run goes
    #[options(no_short, meta = "DIR", default = "target/simulation")]
    out: PathBuf,
}

/// Why nothing, or not all, was run.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum CommandError {
    /// --point: {0}
    Point(UnknownPoint),
    /// {0} can't be read: {1}
    Unreadable(PathBuf, std::io::Error),
    /// {0} holds no plan: {1}
    NoPlan(PathBuf, serde_json::Error),
    /// a run can't be started: {0}
    Start(std::io::Error),
}

/// A failing run as it is kept in a file; only the plan is read back.
#[derive(serde::Serialize)]
struct Failure<'a> {
    plan: &'a Plan,
    smallest: &'a Plan,
    violations: &'a [Violation],
    history: &'a History,
}

#[derive(serde::Deserialize)]
struct Replayed {
    plan: Plan,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words = match Words::parse_args_default(&arguments) {
        Ok(words) => words,
        Err(error) => return unusable(&error),
    };
    if words.help {
        println!("usage: simulation [options]\n\n{}", Words::usage());
        println!("\nexit codes: 0 clean, 1 an invariant was broken, 2 usage");
        return ExitCode::from(CLEAN);
    }
    match carry_out(&words) {
        Ok(code) => ExitCode::from(code),
        Err(error) => unusable(&error),
    }
}

fn unusable(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("simulation: {error}\ntry simulation --help");
    ExitCode::from(USAGE)
}

fn carry_out(words: &Words) -> Result<u8, CommandError> {
    let point: Point = words.point.parse().map_err(CommandError::Point)?;
    if let Some(file) = &words.replay {
        return play(&read_plan(file)?, &words.out);
    }
    let first = words.seed.unwrap_or_else(drawn_seed);
    if words.mutants {
        return find_injected_bugs(first, words.runs);
    }
    run_many(words, point, first)
}

fn run_many(words: &Words, point: Point, first: u64) -> Result<u8, CommandError> {
    println!("{} runs of {} from seed {first}", words.runs, point.name());
    let mut last_progress = Instant::now();
    let mut failed = 0;
    for run in 0..words.runs {
        let code = play(&Plan::random(first.wrapping_add(run), point), &words.out)?;
        failed += u64::from(code != CLEAN);
        if failed > 0 && !words.keep_going {
            return Ok(BROKEN);
        }
        if last_progress.elapsed() >= PROGRESS {
            last_progress = Instant::now();
            println!("{} of {} runs, {failed} failed", run + 1, words.runs);
        }
    }
    println!("{} runs, {failed} failed", words.runs);
    Ok(if failed == 0 { CLEAN } else { BROKEN })
}

/// One line for each defect: how many seeds it took until its invariant was seen broken in a run
/// that keeps it without the defect.
fn find_injected_bugs(first: u64, runs: u64) -> Result<u8, CommandError> {
    let mut code = CLEAN;
    for injected_bug in InjectedBug::EVERY {
        let mut found = None;
        for run in 0..runs {
            let plan = Plan::random(first.wrapping_add(run), injected_bug.shown_by());
            if simulation::shows(&plan, injected_bug).map_err(CommandError::Start)? {
                found = Some(run + 1);
                break;
            }
        }
        let (name, point) = (format!("{injected_bug:?}"), injected_bug.shown_by().name());
        let invariant = injected_bug.breaks().code();
        match found {
            Some(seeds) => println!("{name}: {invariant} broken after {seeds} seeds of {point}"),
            None => {
                println!("{name}: not found within {runs} seeds of {point}");
                code = BROKEN;
            }
        }
    }
    Ok(code)
}

/// Kept to 32 bits, so that it is short to type.
fn drawn_seed() -> u64 {
    std::hash::RandomState::new().build_hasher().finish() >> 32
}

/// Either a plan by itself or the record of a failing run.
fn read_plan(file: &Path) -> Result<Plan, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::Unreadable(file.to_owned(), error))?;
    if let Ok(replayed) = serde_json::from_str::<Replayed>(&text) {
        return Ok(replayed.plan);
    }
    serde_json::from_str(&text).map_err(|error| CommandError::NoPlan(file.to_owned(), error))
}

fn play(plan: &Plan, out: &Path) -> Result<u8, CommandError> {
    let outcome = simulation::run(plan, None).map_err(CommandError::Start)?;
    let Some(first) = outcome.violations.first() else { return Ok(CLEAN) };
    println!("seed {}: {} broken", plan.seed, first.invariant.code());
    for violation in &outcome.violations {
        println!("  {}: {}", violation.invariant.code(), violation.why);
    }
    let smallest =
        simulation::shrink(plan, first.invariant, SHRINK_RUNS).map_err(CommandError::Start)?;
    println!("{} of {} faults are enough:", smallest.faults.len(), plan.faults.len());
    println!("{}", serde_json::to_string(&smallest).unwrap_or_default());
    let failure = Failure {
        plan,
        smallest: &smallest,
        violations: &outcome.violations,
        history: &outcome.history,
    };
    match keep(&failure, out) {
        Ok(file) => println!("history: {}", file.display()),
        Err(error) => eprintln!("simulation: the history can't be kept: {error}"),
    }
    Ok(BROKEN)
}

fn keep(failure: &Failure, out: &Path) -> std::io::Result<PathBuf> {
    std::fs::create_dir_all(out)?;
    let file = out.join(format!("seed-{}.json", failure.plan.seed));
    std::fs::write(&file, serde_json::to_vec_pretty(failure)?)?;
    Ok(file)
}
