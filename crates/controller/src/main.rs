//! Entry point of the controller, the program of the control plane.

use fleet_core::program::{About, start};
use fleet_core::settings::Settings;

fn main() -> std::process::ExitCode {
    let program = About {
        name: "controller",
        version: env!("CARGO_PKG_VERSION"),
        what: "replicates anisedyke's control state and tracks its engines",
        needs: missing_settings,
    };
    start(program, control_plane::run)
}

fn missing_settings(settings: &Settings) -> Vec<&'static str> {
    if settings.control.is_none() { vec!["bindAddrs.control"] } else { Vec::new() }
}
