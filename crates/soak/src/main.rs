//! Command line of the soak.

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
const CLEAN: u8 = 0;
/// A rule was broken, or a run could not be played.
const BROKEN: u8 = 1;
/// The command line can't be used.
const USAGE: u8 = 2;
/// Machines at the most; each has one or two processes.
const MACHINES_MAX: usize = 150;
/// Networks of the loopback range that runs may use, behind the first one.
const NETWORKS: usize = 180;
/// The first of them.
const NETWORK_FIRST: usize = 60;

#[derive(Debug, Options)]
struct CommandLine {
    /// print this help
    help: bool,
    /// how many runs; each takes the seed after the last one's
    #[options(no_short, meta = "N", default = "10")]
    runs: usize,
    /// the first run's seed
    #[options(no_short, meta = "S", default = "1")]
    seed: u64,
    /// runs at a time
    #[options(no_short, meta = "N", default = "4")]
    parallel: usize,
    /// machines of a run, three of them with a controller
    #[options(no_short, meta = "N", default = "5")]
    machines: usize,
    /// disruptions begin within so many seconds
    #[options(no_short, meta = "S", default = "10")]
    seconds: u64,
    /// where the programs are; beside this one if not given
    #[options(no_short, meta = "DIR")]
    programs: Option<PathBuf>,
    /// where the logs of broken runs stay
    #[options(no_short, meta = "DIR", default = "target/soak")]
    out: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command_line = match CommandLine::parse_args_default(&arguments) {
        Ok(command_line) => command_line,
        Err(error) => return unusable(&error.to_string()),
    };
    if command_line.help {
        println!("usage: soak [options]\n\n{}", CommandLine::usage());
        println!("\nexit codes: 0 clean, 1 a rule was broken, 2 usage");
        return ExitCode::from(CLEAN);
    }
    let Some(programs) = command_line.programs.clone().or_else(own_folder) else {
        return unusable("--programs: this program does not know where it is");
    };
    if let Err(why) = check(&command_line, &programs) {
        return unusable(&why);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return unusable(&format!("no runtime: {error}")),
    };
    let broken = runtime.block_on(async {
        tokio::select! {
            broken = run_all(&command_line, &programs) => broken,
            // the processes are killed as their machines are dropped
            () = interrupted() => 1,
        }
    });
    println!("{} runs, {broken} broken", command_line.runs);
    ExitCode::from(if broken == 0 { CLEAN } else { BROKEN })
}

/// Waits for SIGINT or SIGTERM.
async fn interrupted() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}

fn unusable(why: &str) -> ExitCode {
    eprintln!("soak: {why}\ntry soak --help");
    ExitCode::from(USAGE)
}

fn own_folder() -> Option<PathBuf> {
    std::env::current_exe().ok()?.parent().map(Path::to_owned)
}

fn check(command_line: &CommandLine, programs: &Path) -> Result<(), String> {
    for program in [Program::Controller, Program::Router] {
        let file = program_file(programs, program);
        if !file.is_file() {
            return Err(format!("{} is not built", file.display()));
        }
    }
    let fewest = soak::constants::CORE_MACHINES;
    if !(fewest..=MACHINES_MAX).contains(&command_line.machines) {
        return Err(format!("--machines: {fewest} to {MACHINES_MAX}"));
    }
    if command_line.parallel == 0 || command_line.seconds == 0 {
        return Err("--parallel and --seconds: 1 or more".to_owned());
    }
    Ok(())
}

/// Plays all runs; how many of them were broken.
async fn run_all(command_line: &CommandLine, programs: &Path) -> usize {
    let mut running = JoinSet::new();
    let mut broken = 0;
    for number in 0..command_line.runs {
        if running.len() >= command_line.parallel
            && let Some(Ok((seed, outcome))) = running.join_next().await
        {
            broken += usize::from(report(seed, outcome));
        }
        let plan = plan(command_line, programs, number);
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

fn plan(command_line: &CommandLine, programs: &Path, number: usize) -> Plan {
    let seed = command_line.seed.wrapping_add(number as u64);
    let first = std::process::id() as usize;
    Plan {
        seed,
        machines: command_line.machines,
        span: Duration::from_secs(command_line.seconds),
        network: (NETWORK_FIRST + (first + number) % NETWORKS) as u8,
        programs: programs.to_owned(),
        folder: command_line.out.join(format!("{}-seed-{seed}", std::process::id())),
    }
}

/// Prints how a run ended; whether it was broken.
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
            println!("seed {seed}: could not be played: {error}");
            true
        }
    }
}
