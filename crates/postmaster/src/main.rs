//! The control plane's program.

fn main() -> std::process::ExitCode {
    pouch::program::start(
        pouch::program::About {
            name: "postmaster",
            version: env!("CARGO_PKG_VERSION"),
            what: "keeps anisedyke's control state and knows its engines",
            needs: |p| {
                if p.control.is_none() { vec!["bindAddrs.control"] } else { Vec::new() }
            },
        },
        |params, log, stop, reread| async move { sorting::run(params, log, stop, reread).await },
    )
}
