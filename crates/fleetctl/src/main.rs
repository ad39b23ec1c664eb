//! `fleetctl check FILE --control ADDR[,ADDR…]` and `fleetctl rollout --control ADDR[,ADDR…]`

use fleetctl::report;
use gumdrop::Options;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Debug, Options)]
struct Words {
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

const WATCH_PAUSE: Duration = Duration::from_secs(1);

const USAGE: &str =
    "usage: fleetctl check FILE --control ADDR[,ADDR...] [--json] [--strict] [--limit-ms MS]
       fleetctl rollout --control ADDR[,ADDR...] [--watch] [--json] [--limit-ms MS]";

fn nodes(control: &str) -> Result<Vec<std::net::SocketAddr>, String> {
    let read = |a: &str| {
        a.trim().parse().map_err(|_| format!("--control: `{a}` is not an address with a port"))
    };
    control.split(',').map(read).collect()
}

fn rollout(c: &Rollout) -> ExitCode {
    let nodes = match nodes(&c.control) {
        Ok(n) => n,
        Err(e) => return unchecked(e),
    };
    let rt = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => return unchecked(e),
    };
    loop {
        let ask = fleetctl::rollout::ask(&nodes, Duration::from_millis(c.limit_ms));
        let r = match rt.block_on(ask) {
            Ok(r) => r,
            Err(e) => return unchecked(e),
        };
        if c.json {
            println!("{}", r.json());
        } else {
            print!("{}", r.text());
        }
        if !c.watch || r.is_done() || r.exit() != report::CLEAN {
            return ExitCode::from(r.exit());
        }
        std::thread::sleep(WATCH_PAUSE);
    }
}

fn unchecked(why: impl std::fmt::Display) -> ExitCode {
    eprintln!("fleetctl: {why}");
    ExitCode::from(report::UNCHECKED)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words = match Words::parse_args_default(&args) {
        Ok(w) => w,
        Err(e) => return unchecked(format!("{e}\ntry fleetctl --help")),
    };
    if words.version {
        println!("fleetctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let asked = words.help_requested();
    let c = match words.verb.filter(|_| !asked) {
        Some(Verb::Check(c)) => c,
        Some(Verb::Rollout(r)) => return rollout(&r),
        None => {
            println!(
                "{USAGE}\n\n{}\n\ncheck:\n{}\n\nrollout:\n{}\n\nexit codes: 0 clean, 1 findings, 2 could not check",
                Words::usage(),
                Check::usage(),
                Rollout::usage()
            );
            return if asked { ExitCode::SUCCESS } else { ExitCode::from(report::UNCHECKED) };
        }
    };
    let nodes = match nodes(&c.control) {
        Ok(n) => n,
        Err(e) => return unchecked(e),
    };
    let body = match std::fs::read(&c.file) {
        Ok(b) => b,
        Err(e) => return unchecked(format!("{}: {e}", c.file)),
    };
    let rt = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => return unchecked(e),
    };
    let found = match fleetctl::findings::read(&body) {
        Err(f) => vec![f],
        Ok(sheet) => {
            let look = fleetctl::ask::look(&nodes, Duration::from_millis(c.limit_ms));
            match rt.block_on(look) {
                Ok(now) => fleetctl::findings::findings(&sheet, &now),
                Err(e) => return unchecked(e),
            }
        }
    };
    if c.json {
        println!("{}", report::json(&found));
    } else {
        print!("{}", report::text(&found));
    }
    ExitCode::from(report::exit(&found, c.strict))
}
