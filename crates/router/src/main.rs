//! Entry point of the router, the program of the data plane.

use fleet_core::program::{ProgramInfo, start};
use fleet_core::settings::Settings;

fn main() -> std::process::ExitCode {
    let program = ProgramInfo {
        name: "router",
        version: env!("CARGO_PKG_VERSION"),
        description: "routes requests from clients to engines and returns the responses",
        missing_settings,
    };
    start(program, data_plane::run)
}

fn missing_settings(settings: &Settings) -> Vec<&'static str> {
    let mut missing = Vec::new();
    if settings.front_addr.is_none() {
        missing.push("bindAddrs.frontHttp");
    }
    if settings.readiness_addr.is_none() {
        missing.push("bindAddrs.readiness");
    }
    missing
}
