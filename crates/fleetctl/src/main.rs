//! `fleetctl check FILE --control ADDR[,ADDR…]`, `fleetctl rollout --control ADDR[,ADDR…]` and
//! `fleetctl members --control ADDR[,ADDR…]`.

use fleetctl::report;
use gumdrop::Options;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Debug, Options)]
struct CommandLine {
    /// print this help
    help: bool,
    /// print the version
    #[options(no_short)]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// check a configuration against the current state of the fleet
    Check(Check),
    /// show the progress of weight rollouts
    Rollout(Rollout),
    /// show the status of the control plane
    Members(Members),
}

#[derive(Debug, Options)]
struct Check {
    /// print this help
    help: bool,
    /// configuration file
    #[options(free, required)]
    file: String,
    /// control addresses of the controllers; the first that answers is used
    #[options(meta = "ADDR[,ADDR...]", required)]
    control: String,
    /// print findings as JSON
    #[options(no_short)]
    json: bool,
    /// treat warnings as problems in the exit code
    #[options(no_short)]
    strict: bool,
    /// timeout of each request
    #[options(no_short, meta = "MS", default = "2000")]
    limit_ms: u64,
}

#[derive(Debug, Options)]
struct Rollout {
    /// print this help
    help: bool,
    /// control addresses of the controllers; the answer of the one that runs the rollout is preferred
    #[options(meta = "ADDR[,ADDR...]", required)]
    control: String,
    /// repeat every second until the rollout is complete, stuck or past its deadline
    #[options(no_short)]
    watch: bool,
    /// print the status of the rollout as JSON
    #[options(no_short)]
    json: bool,
    /// timeout of each request
    #[options(no_short, meta = "MS", default = "2000")]
    limit_ms: u64,
}

#[derive(Debug, Options)]
struct Members {
    /// print this help
    help: bool,
    /// control addresses of the controllers; the voters that they report are queried too
    #[options(meta = "ADDR[,ADDR...]", required)]
    control: String,
    /// print the status of the control plane as JSON
    #[options(no_short)]
    json: bool,
    /// timeout of each request
    #[options(no_short, meta = "MS", default = "2000")]
    limit_ms: u64,
}

/// Pause between two queries of `fleetctl rollout --watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

const USAGE: &str =
    "usage: fleetctl check FILE --control ADDR[,ADDR...] [--json] [--strict] [--limit-ms MS]
       fleetctl rollout --control ADDR[,ADDR...] [--watch] [--json] [--limit-ms MS]
       fleetctl members --control ADDR[,ADDR...] [--json] [--limit-ms MS]";

/// Why a command could not be carried out. `main` prints it and exits with [`report::EXIT_FAILURE`].
struct CommandError(String);

impl<E: std::error::Error> From<E> for CommandError {
    fn from(error: E) -> Self {
        CommandError(error.to_string())
    }
}

fn parse_control_addresses(list: &str) -> Result<Vec<std::net::SocketAddr>, CommandError> {
    let parse = |address: &str| {
        address.trim().parse().map_err(|_| {
            CommandError(format!("--control: `{address}` is not an IP address with a port"))
        })
    };
    list.split(',').map(parse).collect()
}

fn build_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

fn check(options: &Check) -> Result<u8, CommandError> {
    let nodes = parse_control_addresses(&options.control)?;
    let body =
        std::fs::read(&options.file).map_err(|e| CommandError(format!("{}: {e}", options.file)))?;
    let runtime = build_runtime()?;
    let findings = match fleetctl::findings::parse(&body) {
        Err(finding) => vec![finding],
        Ok(configuration) => {
            let timeout = Duration::from_millis(options.limit_ms);
            let state = runtime.block_on(fleetctl::query::fetch(&nodes, timeout))?;
            fleetctl::findings::check(&configuration, &state)
        }
    };
    if options.json {
        println!("{}", report::json(&findings));
    } else {
        print!("{}", report::text(&findings));
    }
    Ok(report::exit_code(&findings, options.strict))
}

fn rollout(options: &Rollout) -> Result<u8, CommandError> {
    let nodes = parse_control_addresses(&options.control)?;
    let runtime = build_runtime()?;
    loop {
        let timeout = Duration::from_millis(options.limit_ms);
        let rollout = runtime.block_on(fleetctl::rollout::query(&nodes, timeout))?;
        if options.json {
            println!("{}", rollout.json());
        } else {
            print!("{}", rollout.text());
        }
        if !options.watch || rollout.is_done() || rollout.exit_code() != report::EXIT_CLEAN {
            return Ok(rollout.exit_code());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn members(options: &Members) -> Result<u8, CommandError> {
    let nodes = parse_control_addresses(&options.control)?;
    let timeout = Duration::from_millis(options.limit_ms);
    let members = build_runtime()?.block_on(fleetctl::members::query(&nodes, timeout))?;
    if options.json {
        println!("{}", members.json());
    } else {
        print!("{}", members.text());
    }
    Ok(members.exit_code())
}

fn print_help() {
    println!(
        "{USAGE}\n\n{}\n\ncheck:\n{}\n\nrollout:\n{}\n\nmembers:\n{}\n\nexit codes: 0 no problem found, 1 problem found, 2 command failed",
        CommandLine::usage(),
        Check::usage(),
        Rollout::usage(),
        Members::usage()
    );
}

fn run() -> Result<u8, CommandError> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command_line = CommandLine::parse_args_default(&args)
        .map_err(|e| CommandError(format!("{e}\ntry fleetctl --help")))?;
    if command_line.version {
        println!("fleetctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(report::EXIT_CLEAN);
    }
    if command_line.help_requested() {
        print_help();
        return Ok(report::EXIT_CLEAN);
    }
    match command_line.command {
        Some(Command::Check(options)) => check(&options),
        Some(Command::Rollout(options)) => rollout(&options),
        Some(Command::Members(options)) => members(&options),
        None => {
            print_help();
            Ok(report::EXIT_FAILURE)
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(CommandError(message)) => {
            eprintln!("fleetctl: {message}");
            ExitCode::from(report::EXIT_FAILURE)
        }
    }
}
