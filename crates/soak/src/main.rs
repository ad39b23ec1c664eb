//! Command line of the soak test.

use gumdrop::Options;
use soak::history::Program;
use soak::machine::program_file;
use soak::run::{Outcome, Plan, RunError, run};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

/// Every rule held in every run.
const EXIT_CLEAN: u8 = 0;
/// A rule was broken, or a run failed.
const EXIT_BROKEN: u8 = 1;
/// The command line is invalid.
const EXIT_USAGE: u8 = 2;
/// Maximum number of machines; each has one or two processes.
const MAX_MACHINES: usize = 150;
/// Number of networks in the loopback range that runs may use, starting at [`FIRST_NETWORK`].
const NETWORK_COUNT: usize = 180;
/// Second octet of the first network that runs may use.
const FIRST_NETWORK: usize = 60;

#[derive(Debug, Options)]
struct CommandLine {
    /// print this help
    help: bool,
    /// number of runs; each uses the next seed
    #[options(no_short, meta = "N", default = "10")]
    runs: usize,
    /// seed of the first run
    #[options(no_short, meta = "S", default = "1")]
    seed: u64,
    /// number of concurrent runs
    #[options(no_short, meta = "N", default = "4")]
    parallel: usize,
    /// machines per run, three of them with a controller
    #[options(no_short, meta = "N", default = "5")]
    machines: usize,
    /// time in seconds within which bursts of disruptions begin
    #[options(no_short, meta = "S", default = "10")]
    seconds: u64,
    /// directory of the programs; by default that of this program
    #[options(no_short, meta = "DIR")]
    programs: Option<PathBuf>,
    /// directory for the logs of broken runs
    #[options(no_short, meta = "DIR", default = "target/soak")]
    out: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command_line = match CommandLine::parse_args_default(&arguments) {
        Ok(command_line) => command_line,
        Err(error) => return usage_error(&error.to_string()),
    };
    if command_line.help {
        println!("usage: soak [options]\n\n{}", CommandLine::usage());
        println!("\nexit codes: 0 clean, 1 a rule was broken, 2 usage");
        return ExitCode::from(EXIT_CLEAN);
    }
    let Some(programs) = command_line.programs.clone().or_else(executable_folder) else {
        return usage_error("--programs: cannot determine the directory of this program");
    };
    if let Err(why) = validate(&command_line, &programs) {
        return usage_error(&why);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return usage_error(&format!("cannot start the runtime: {error}")),
    };
    let broken = runtime.block_on(async {
        tokio::select! {
            broken = run_all(&command_line, &programs) => broken,
            // Dropping the machines kills their processes.
            () = wait_for_interrupt() => 1,
        }
    });
    println!("{} runs, {broken} broken", command_line.runs);
    ExitCode::from(if broken == 0 { EXIT_CLEAN } else { EXIT_BROKEN })
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_interrupt() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}

fn usage_error(why: &str) -> ExitCode {
    eprintln!("soak: {why}\ntry soak --help");
    ExitCode::from(EXIT_USAGE)
}

fn executable_folder() -> Option<PathBuf> {
    std::env::current_exe().ok()?.parent().map(Path::to_owned)
}

fn validate(command_line: &CommandLine, programs: &Path) -> Result<(), String> {
    for program in [Program::Controller, Program::Router] {
        let file = program_file(programs, program);
        if !file.is_file() {
            return Err(format!("{} does not exist; build it first", file.display()));
        }
    }
    let min_machines = soak::constants::CONTROLLER_MACHINES;
    if !(min_machines..=MAX_MACHINES).contains(&command_line.machines) {
        return Err(format!("--machines must be from {min_machines} to {MAX_MACHINES}"));
    }
    if command_line.parallel == 0 || command_line.seconds == 0 {
        return Err("--parallel and --seconds must be at least 1".to_owned());
    }
    Ok(())
}

/// Executes all runs; returns how many of them were broken.
async fn run_all(command_line: &CommandLine, programs: &Path) -> usize {
    let mut running = JoinSet::new();
    let mut broken = 0;
    for number in 0..command_line.runs {
        if running.len() >= command_line.parallel
            && let Some(Ok((seed, outcome))) = running.join_next().await
        {
            broken += usize::from(report(seed, outcome));
        }
        let plan = plan_run(command_line, programs, number);
        running.spawn(async move { (plan.seed, run(plan).await) });
    }
    while let Some(ended) = running.join_next().await {
        broken += match ended {
            Ok((seed, outcome)) => usize::from(report(seed, outcome)),
            Err(_) => 1,
        };
    }
    broken
}

fn plan_run(command_line: &CommandLine, programs: &Path, number: usize) -> Plan {
    let seed = command_line.seed.wrapping_add(number as u64);
    let process_id = std::process::id() as usize;
    Plan {
        seed,
        machines: command_line.machines,
        span: Duration::from_secs(command_line.seconds),
        network: (FIRST_NETWORK + (process_id + number) % NETWORK_COUNT) as u8,
        programs: programs.to_owned(),
        folder: command_line.out.join(format!("{}-seed-{seed}", std::process::id())),
    }
}

/// Prints the result of a run; returns whether it was broken.
fn report(seed: u64, outcome: Result<Outcome, RunError>) -> bool {
    match outcome {
        Ok(outcome) => {
            println!("seed {seed}: {}", outcome.summary);
            for violation in &outcome.violations {
                println!("  {:?}: {}", violation.rule, violation.why);
            }
            !outcome.violations.is_empty()
        }
        Err(error) => {
            println!("seed {seed}: run failed: {error}");
            true
        }
    }
}
