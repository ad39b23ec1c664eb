//! `inspector check FILE --control ADDR[,ADDR…]`

use gumdrop::Options;
use inspector::report;
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

fn unchecked(why: impl std::fmt::Display) -> ExitCode {
    eprintln!("inspector: {why}");
    ExitCode::from(report::UNCHECKED)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words = match Words::parse_args_default(&args) {
        Ok(w) => w,
        Err(e) => return unchecked(format!("{e}\ntry inspector --help")),
    };
    if words.version {
        println!("inspector {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let asked = words.help_requested();
    let Some(Verb::Check(c)) = words.verb.filter(|_| !asked) else {
        println!(
            "usage: inspector check FILE --control ADDR[,ADDR...] [--json] [--strict] [--limit-ms MS]\n\n{}\n\n{}\n\nexit codes: 0 clean, 1 findings, 2 could not check",
            Words::usage(),
            Check::usage()
        );
        return if asked { ExitCode::SUCCESS } else { ExitCode::from(report::UNCHECKED) };
    };
    let mut nodes = Vec::new();
    for a in c.control.split(',') {
        match a.trim().parse() {
            Ok(a) => nodes.push(a),
            Err(_) => return unchecked(format!("--control: `{a}` is not an address with a port")),
        }
    }
    let body = match std::fs::read(&c.file) {
        Ok(b) => b,
        Err(e) => return unchecked(format!("{}: {e}", c.file)),
    };
    let rt = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(e) => return unchecked(e),
    };
    let found = match inspector::findings::read(&body) {
        Err(f) => vec![f],
        Ok(sheet) => {
            let look = inspector::ask::look(&nodes, Duration::from_millis(c.limit_ms));
            match rt.block_on(look) {
                Ok(now) => inspector::findings::findings(&sheet, &now),
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
