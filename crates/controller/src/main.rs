//! The program of the control plane.

use fleet_core::program::{About, start};
use fleet_core::settings::Settings;

fn main() -> std::process::ExitCode {
    let about = About {
        name: "controller",
        version: env!("CARGO_PKG_VERSION"),
        what: "keeps anisedyke's control state and knows its engines",
        needs: missing_settings,
    };
    start(about, control_plane::run)
}

fn missing_settings(settings: &Settings) -> Vec<&'static str> {
    if settings.control.is_none() { vec!["bindAddrs.control"] } else { Vec::new() }
}
