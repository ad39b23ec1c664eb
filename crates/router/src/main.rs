//! The traffic plane's program.

fn main() -> std::process::ExitCode {
    fleet_core::program::start(
        fleet_core::program::About {
            name: "router",
            version: env!("CARGO_PKG_VERSION"),
            what: "carries requests from clients to engines and answers back",
            needs: |p| {
                let mut out = Vec::new();
                if p.front.is_none() {
                    out.push("bindAddrs.frontHttp");
                }
                if p.readiness.is_none() {
                    out.push("bindAddrs.readiness");
                }
                out
            },
        },
        |settings, log, stop, reread| async move { data_plane::run(settings, log, stop, reread).await },
    )
}
