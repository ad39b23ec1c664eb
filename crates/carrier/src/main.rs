//! The traffic plane's program.

fn main() -> std::process::ExitCode {
    pouch::program::start(
        pouch::program::About {
            name: "carrier",
            version: env!("CARGO_PKG_VERSION"),
            what: "carries requests from origins to engines and answers back",
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
        |params, log, stop, reread| async move { delivery::run(params, log, stop, reread).await },
    )
}
