//! The control plane's program.

fn main() -> std::process::ExitCode {
    fleet_core::program::start(
        fleet_core::program::About {
            name: "controller",
            version: env!("CARGO_PKG_VERSION"),
            what: "keeps anisedyke's control state and knows its engines",
            needs: |p| {
                if p.control.is_none() { vec!["bindAddrs.control"] } else { Vec::new() }
            },
        },
        |settings, log, stop, reread| async move {
            control_plane::run(settings, log, stop, reread).await
        },
    )
}
