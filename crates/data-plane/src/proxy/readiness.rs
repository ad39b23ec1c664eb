//! Answers the platform's readiness probes.

use super::response;
use crate::Router;
use fleet_core::constants;
use std::convert::Infallible;
use std::sync::Arc;

/// Serves the platform's readiness probes.
pub async fn run_readiness_server(router: Arc<Router>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        let router = router.clone();
        tokio::spawn(async move {
            let service =
                hyper::service::service_fn(|req: http::Request<hyper::body::Incoming>| {
                    let is_readiness_path = req.uri().path() == "/anisedyke/readyz";
                    let status = match (is_readiness_path, router.is_ready()) {
                        (false, _) => http::StatusCode::NOT_FOUND,
                        (true, true) => http::StatusCode::OK,
                        (true, false) => http::StatusCode::SERVICE_UNAVAILABLE,
                    };
                    async move { Ok::<_, Infallible>(response::empty(status)) }
                });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(constants::IDLE_CONNECTION_TIMEOUT)
                .max_buf_size(8192)
                .serve_connection(hyper_util::rt::TokioIo::new(stream), service)
                .await;
        });
    }
}
