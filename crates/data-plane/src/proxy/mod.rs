//! The way of a request, from the client's connection to the last byte of the response.
//!
//! | file | step |
//! |---|---|
//! | [`request`] | reads and checks it; then one engine after another, as far as retries are allowed |
//! | [`dispatch`] | finds an engine with a connection and sends the request there |
//! | [`response_check`] | what the head of the response proves |
//! | [`relay`] | passes the body on, and resumes a broken stream |
//! | [`answer`] | responses of the router itself |
//! | [`stream_pace`] | how long responses take, for a router that is about to end |
//! | [`in_flight`] | counts the requests that a router has to answer before it may end |
//!
//! [`stage`] has a type for each step (accepted, dispatched, responding): a rejection that promises that the request has not
//! run can only be made from a proof that it hasn't.

pub mod answer;
pub mod dispatch;
pub mod events;
pub mod headers;
pub mod in_flight;
pub mod passive_health;
pub mod relay;
pub mod request;
pub mod response_check;
pub mod send_load;
pub mod stage;
pub mod stream_pace;

use crate::Router;
use crate::shutdown::Phase;
use answer::Out;
use fleet_core::constants;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Accepts clients until aborted.
pub async fn run_client_listener(router: Arc<Router>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((s, _)) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        if fleet_core::link::set_socket_options(&s).is_err() {
            continue;
        }
        // Counted before its task first runs, so that a router that ends at this moment waits for it.
        let open = OpenConnection::new(router.clone());
        tokio::spawn(async move { serve_client(&open.router, s).await });
    }
}

/// A client's connection, counted for as long as this lives, also where its task ends by a panic: a router that shuts down
/// waits until none is left.
struct OpenConnection {
    router: Arc<Router>,
}

impl OpenConnection {
    fn new(router: Arc<Router>) -> OpenConnection {
        router.open.fetch_add(1, Ordering::Relaxed);
        OpenConnection { router }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.router.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_client(router: &Arc<Router>, s: tokio::net::TcpStream) {
    let limits = router.fleet_view.routing_table().map(|t| t.limits.clone()).unwrap_or_default();
    let idle = limits.idle_timeout_ms.max(limits.header_timeout_ms).max(1000);
    let service = hyper::service::service_fn(|rq| {
        let router = router.clone();
        async move { Ok::<http::Response<Out>, Infallible>(request::serve(&router, rq).await) }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle))
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(hyper_util::rt::TokioIo::new(s), service);
    tokio::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        () = router.shutdown.reached(Phase::Closing) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

/// Answers the platform's probes.
pub async fn run_readiness(router: Arc<Router>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((s, _)) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        let router = router.clone();
        tokio::spawn(async move {
            let service = hyper::service::service_fn(|rq: http::Request<hyper::body::Incoming>| {
                let is_readiness_path = rq.uri().path() == "/anisedyke/readyz";
                let status = match (is_readiness_path, router.is_ready()) {
                    (false, _) => http::StatusCode::NOT_FOUND,
                    (true, true) => http::StatusCode::OK,
                    (true, false) => http::StatusCode::SERVICE_UNAVAILABLE,
                };
                async move { Ok::<_, Infallible>(answer::empty(status)) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(constants::IDLE_CONNECTION_TIMEOUT)
                .max_buf_size(8192)
                .serve_connection(hyper_util::rt::TokioIo::new(s), service)
                .await;
        });
    }
}
