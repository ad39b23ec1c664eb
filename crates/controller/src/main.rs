//! Entry point of the controller, the program of the control plane.

use fleet_core::program::{ProgramInfo, start};
use fleet_core::settings::Settings;

fn main() -> std::process::ExitCode {
    let program = ProgramInfo {
        name: "controller",
        version: env!("CARGO_PKG_VERSION"),
        description: "replicates anisedyke's control state and tracks its engines",
        missing_settings,
    };
    start(program, control_plane::run)
}

fn missing_settings(settings: &Settings) -> Vec<&'static str> {
    if settings.control_addr.is_none() { vec!["bindAddrs.control"] } else { Vec::new() }
}
