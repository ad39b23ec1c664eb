//! Command line of the simulation: runs a range of seeds, or replays one saved plan.

use gumdrop::Options;
use simulation::checker::Violation;
use simulation::fault::{FaultMix, Plan, UnknownFaultMix};
use simulation::history::History;
use simulation::injected_bug::InjectedBug;
use std::hash::{BuildHasher, Hasher};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Every invariant held in every run.
const EXIT_CLEAN: u8 = 0;
/// At least one run violated an invariant.
const EXIT_VIOLATION: u8 = 1;
/// The command line or the replay file is invalid, or a run could not be started.
const EXIT_USAGE: u8 = 2;
/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of runs spent on shrinking a failing plan.
const SHRINK_RUNS: usize = 60;

#[derive(Debug, Options)]
struct CommandLine {
    /// print this help
    help: bool,
    /// number of runs; each uses the next seed
    #[options(no_short, meta = "N", default = "100")]
    runs: u64,
    /// seed of the first run; random by default
    #[options(no_short, meta = "S")]
    seed: Option<u64>,
    /// mix of faults: cut-off, race, second-loss, hundreds, calls or all
    #[options(no_short, meta = "POINT", default = "all")]
    point: String,
    /// replay the plan in this file unchanged
    #[options(no_short, meta = "FILE")]
    replay: Option<PathBuf>,
    /// continue after a failing run, and print the number of failures at the end
    #[options(no_short)]
    keep_going: bool,
    /// instead of normal runs, check that each injected bug is detected within --runs seeds
    #[options(no_short)]
    mutants: bool,
    /// directory for the records of failing runs
    #[options(no_short, meta = "DIR", default = "target/simulation")]
    out: PathBuf,
}

/// Why the command could not be completed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum CommandError {
    /// --point: {0}
    UnknownMix(UnknownFaultMix),
    /// cannot read {0}: {1}
    Unreadable(PathBuf, std::io::Error),
    /// {0} does not contain a valid plan: {1}
    InvalidPlan(PathBuf, serde_json::Error),
    /// cannot start the runtime of a run: {0}
    Runtime(std::io::Error),
}

/// The record of a failing run; `--replay` reads only its `plan`.
#[derive(serde::Serialize)]
struct Failure<'a> {
    plan: &'a Plan,
    smallest: &'a Plan,
    violations: &'a [Violation],
    history: &'a History,
}

#[derive(serde::Deserialize)]
struct SavedPlan {
    plan: Plan,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command_line = match CommandLine::parse_args_default(&arguments) {
        Ok(command_line) => command_line,
        Err(error) => return usage_error(&error),
    };
    if command_line.help {
        println!("usage: simulation [options]\n\n{}", CommandLine::usage());
        println!("\nexit codes: 0 clean, 1 an invariant was broken, 2 usage");
        return ExitCode::from(EXIT_CLEAN);
    }
    match execute(&command_line) {
        Ok(code) => ExitCode::from(code),
        Err(error) => usage_error(&error),
    }
}

fn usage_error(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("simulation: {error}\ntry simulation --help");
    ExitCode::from(EXIT_USAGE)
}

fn execute(command_line: &CommandLine) -> Result<u8, CommandError> {
    let mix: FaultMix = command_line.point.parse().map_err(CommandError::UnknownMix)?;
    if let Some(file) = &command_line.replay {
        return run_plan(&read_plan(file)?, &command_line.out);
    }
    let first_seed = command_line.seed.unwrap_or_else(random_seed);
    if command_line.mutants {
        return find_injected_bugs(first_seed, command_line.runs);
    }
    run_many(command_line, mix, first_seed)
}

fn run_many(
    command_line: &CommandLine,
    mix: FaultMix,
    first_seed: u64,
) -> Result<u8, CommandError> {
    println!("{} runs of {} from seed {first_seed}", command_line.runs, mix.name());
    let mut last_progress = Instant::now();
    let mut failed = 0;
    for run in 0..command_line.runs {
        let code = run_plan(&Plan::random(first_seed.wrapping_add(run), mix), &command_line.out)?;
        failed += u64::from(code != EXIT_CLEAN);
        if failed > 0 && !command_line.keep_going {
            return Ok(EXIT_VIOLATION);
        }
        if last_progress.elapsed() >= PROGRESS_INTERVAL {
            last_progress = Instant::now();
            println!("{} of {} runs, {failed} failed", run + 1, command_line.runs);
        }
    }
    println!("{} runs, {failed} failed", command_line.runs);
    Ok(if failed == 0 { EXIT_CLEAN } else { EXIT_VIOLATION })
}

/// Prints one line for each injected bug: the number of seeds until its invariant was violated in a run
/// that satisfies the invariant without the bug.
fn find_injected_bugs(first_seed: u64, runs: u64) -> Result<u8, CommandError> {
    let mut code = EXIT_CLEAN;
    for injected_bug in InjectedBug::VARIANTS {
        let mut found = None;
        for run in 0..runs {
            let plan = Plan::random(first_seed.wrapping_add(run), injected_bug.exposing_mix());
            if simulation::exposes(&plan, injected_bug).map_err(CommandError::Runtime)? {
                found = Some(run + 1);
                break;
            }
        }
        let (name, mix) = (format!("{injected_bug:?}"), injected_bug.exposing_mix().name());
        let invariant = injected_bug.violated_invariant().code();
        match found {
            Some(seeds) => println!("{name}: {invariant} broken after {seeds} seeds of {mix}"),
            None => {
                println!("{name}: not found within {runs} seeds of {mix}");
                code = EXIT_VIOLATION;
            }
        }
    }
    Ok(code)
}

/// Limited to 32 bits, so that it is short to type.
fn random_seed() -> u64 {
    std::hash::RandomState::new().build_hasher().finish() >> 32
}

/// Reads either a bare plan or the record of a failing run.
fn read_plan(file: &Path) -> Result<Plan, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::Unreadable(file.to_owned(), error))?;
    if let Ok(saved) = serde_json::from_str::<SavedPlan>(&text) {
        return Ok(saved.plan);
    }
    serde_json::from_str(&text).map_err(|error| CommandError::InvalidPlan(file.to_owned(), error))
}

fn run_plan(plan: &Plan, out: &Path) -> Result<u8, CommandError> {
    let outcome = simulation::run(plan, None).map_err(CommandError::Runtime)?;
    let Some(first_violation) = outcome.violations.first() else { return Ok(EXIT_CLEAN) };
    println!("seed {}: {} broken", plan.seed, first_violation.invariant.code());
    for violation in &outcome.violations {
        println!("  {}: {}", violation.invariant.code(), violation.why);
    }
    let smallest = simulation::shrink(plan, first_violation.invariant, SHRINK_RUNS)
        .map_err(CommandError::Runtime)?;
    println!("{} of {} faults are enough:", smallest.faults.len(), plan.faults.len());
    println!("{}", serde_json::to_string(&smallest).unwrap_or_default());
    let failure = Failure {
        plan,
        smallest: &smallest,
        violations: &outcome.violations,
        history: &outcome.history,
    };
    match write_failure(&failure, out) {
        Ok(file) => println!("history: {}", file.display()),
        Err(error) => eprintln!("simulation: cannot write the history: {error}"),
    }
    Ok(EXIT_VIOLATION)
}

fn write_failure(failure: &Failure, out: &Path) -> std::io::Result<PathBuf> {
    std::fs::create_dir_all(out)?;
    let file = out.join(format!("seed-{}.json", failure.plan.seed));
    std::fs::write(&file, serde_json::to_vec_pretty(failure)?)?;
    Ok(file)
}
