//! `fleetctl check FILE --control ADDR[,ADDR…]`, `fleetctl rollout --control ADDR[,ADDR…]` and
//! `fleetctl members --control ADDR[,ADDR…]`

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
    verb: Option<Verb>,
}

#[derive(Debug, Options)]
enum Verb {
    /// check a configuration against the fleet as it is
    Check(Check),
    /// tell how far named weights have come
    Rollout(Rollout),
    /// tell how the control plane stands
    Members(Members),
}

#[derive(Debug, Options)]
struct Check {
    /// print this help
    help: bool,
    /// the configuration
    #[options(free, required)]
    file: String,
    /// control addresses, the first that answers is asked
    #[options(meta = "ADDR[,ADDR...]", required)]
    control: String,
    /// print findings as JSON
    #[options(no_short)]
    json: bool,
    /// warnings count as findings
    #[options(no_short)]
    strict: bool,
    /// longest wait for each call
    #[options(no_short, meta = "MS", default = "2000")]
    limit_ms: u64,
}

#[derive(Debug, Options)]
struct Rollout {
    /// print this help
    help: bool,
    /// control addresses; the node that carries the roll-out out is looked for among them
    #[options(meta = "ADDR[,ADDR...]", required)]
    control: String,
    /// ask again every second until all is done or something is stuck
    #[options(no_short)]
    watch: bool,
    /// print the roll-out as JSON
    #[options(no_short)]
    json: bool,
    /// longest wait for each call
    #[options(no_short, meta = "MS", default = "2000")]
    limit_ms: u64,
}

#[derive(Debug, Options)]
struct Members {
    /// print this help
    help: bool,
    /// control addresses; each is asked, and the voters that they name
    #[options(meta = "ADDR[,ADDR...]", required)]
    control: String,
    /// print the view as JSON
    #[options(no_short)]
    json: bool,
    /// longest wait for each call
    #[options(no_short, meta = "MS", default = "2000")]
    limit_ms: u64,
}

/// Between two looks at a roll-out that is watched.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

const USAGE: &str =
    "usage: fleetctl check FILE --control ADDR[,ADDR...] [--json] [--strict] [--limit-ms MS]
       fleetctl rollout --control ADDR[,ADDR...] [--watch] [--json] [--limit-ms MS]
       fleetctl members --control ADDR[,ADDR...] [--json] [--limit-ms MS]";

/// Why nothing could be checked; printed, and turned into an exit code.
struct Unchecked(String);

impl<E: std::error::Error> From<E> for Unchecked {
    fn from(error: E) -> Self {
        Unchecked(error.to_string())
    }
}

fn control_addresses(list: &str) -> Result<Vec<std::net::SocketAddr>, Unchecked> {
    let read = |address: &str| {
        address
            .trim()
            .parse()
            .map_err(|_| Unchecked(format!("--control: `{address}` is not an address with a port")))
    };
    list.split(',').map(read).collect()
}

fn build_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

fn check(check: &Check) -> Result<u8, Unchecked> {
    let nodes = control_addresses(&check.control)?;
    let body = std::fs::read(&check.file).map_err(|e| Unchecked(format!("{}: {e}", check.file)))?;
    let runtime = build_runtime()?;
    let found = match fleetctl::findings::read(&body) {
        Err(finding) => vec![finding],
        Ok(configuration) => {
            let limit = Duration::from_millis(check.limit_ms);
            let now = runtime.block_on(fleetctl::query::fetch(&nodes, limit))?;
            fleetctl::findings::findings(&configuration, &now)
        }
    };
    if check.json {
        println!("{}", report::json(&found));
    } else {
        print!("{}", report::text(&found));
    }
    Ok(report::exit(&found, check.strict))
}

fn rollout(options: &Rollout) -> Result<u8, Unchecked> {
    let nodes = control_addresses(&options.control)?;
    let runtime = build_runtime()?;
    loop {
        let limit = Duration::from_millis(options.limit_ms);
        let rollout = runtime.block_on(fleetctl::rollout::query(&nodes, limit))?;
        if options.json {
            println!("{}", rollout.json());
        } else {
            print!("{}", rollout.text());
        }
        if !options.watch || rollout.is_done() || rollout.exit() != report::CLEAN {
            return Ok(rollout.exit());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn members(options: &Members) -> Result<u8, Unchecked> {
    let nodes = control_addresses(&options.control)?;
    let limit = Duration::from_millis(options.limit_ms);
    let members = build_runtime()?.block_on(fleetctl::members::query(&nodes, limit))?;
    if options.json {
        println!("{}", members.json());
    } else {
        print!("{}", members.text());
    }
    Ok(members.exit())
}

fn print_help() {
    println!(
        "{USAGE}\n\n{}\n\ncheck:\n{}\n\nrollout:\n{}\n\nmembers:\n{}\n\nexit codes: 0 clean, 1 findings, 2 could not check",
        CommandLine::usage(),
        Check::usage(),
        Rollout::usage(),
        Members::usage()
    );
}

fn run() -> Result<u8, Unchecked> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command_line = CommandLine::parse_args_default(&args)
        .map_err(|e| Unchecked(format!("{e}\ntry fleetctl --help")))?;
    if command_line.version {
        println!("fleetctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(report::CLEAN);
    }
    if command_line.help_requested() {
        print_help();
        return Ok(report::CLEAN);
    }
    match command_line.verb {
        Some(Verb::Check(options)) => check(&options),
        Some(Verb::Rollout(options)) => rollout(&options),
        Some(Verb::Members(options)) => members(&options),
        None => {
            print_help();
            Ok(report::UNCHECKED)
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => ExitCode::from(code),
        Err(Unchecked(why)) => {
            eprintln!("fleetctl: {why}");
            ExitCode::from(report::UNCHECKED)
        }
    }
}
