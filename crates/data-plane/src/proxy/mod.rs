//! The path of a request, from the client's connection to the last byte of the response.
//!
//! | file | step |
//! |---|---|
//! | [`request`] | reads and validates the request, then dispatches it, with retries where they are allowed |
//! | [`request_body`] | receives the body, within a budget of all requests |
//! | [`dispatch`] | finds an engine with a connection and sends the request there |
//! | [`dispatch_cutoff`] | until when a request that was sent may wait for its response |
//! | [`outgoing_request`] | the request with the headers that the engine receives |
//! | [`response_check`] | validates the head of an engine's response |
//! | [`relay`] | passes the body on, and resumes a broken stream |
//! | [`body_progress`] | tells a body without an end from a long one |
//! | [`response`] | response bodies, and responses that the router itself makes |
//! | [`rejection_body`] | discards the body of a rejection, so that the connection can be reused |
//! | [`response_time`] | estimates response times, for a router that shuts down |
//! | [`in_flight`] | counts the requests whose response is not complete |
//!
//! [`stage`] has a type for each state of a request (accepted, dispatched, responding). A response which promises
//! that the request has not run can only be made from a state that proves it.

pub mod body_progress;
pub mod dispatch;
pub mod dispatch_cutoff;
pub mod dispatch_load;
pub mod events;
pub mod headers;
pub mod in_flight;
pub mod outgoing_request;
pub mod passive_health;
pub mod rejection_body;
pub mod relay;
pub mod request;
pub mod request_body;
pub mod response;
pub mod response_check;
pub mod response_time;
pub mod stage;

use crate::Router;
use crate::shutdown::Phase;
use fleet_core::constants;
use response::ResponseBody;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Accepts client connections until the task is aborted.
pub async fn run_client_listener(router: Arc<Router>, listener: tokio::net::TcpListener) {
    accept_clients(router, listener, constants::MAX_CLIENT_CONNECTIONS).await;
}

/// Accepts client connections, at most `max_connections` at a time.
pub async fn accept_clients(
    router: Arc<Router>,
    listener: tokio::net::TcpListener,
    max_connections: usize,
) {
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        // The semaphore is never closed. Beyond the limit, clients wait in the queue of the listening socket.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        if fleet_core::link::set_socket_options(&stream).is_err() {
            continue;
        }
        // Counted before its task first runs, so that a shutdown that begins now waits for this connection.
        let connection = OpenConnection::new(router.clone());
        tokio::spawn(async move {
            serve_client(&connection.router, stream).await;
            drop(permit);
        });
    }
}

/// Counts a client connection until dropped, which includes a panic of its task. Shutdown waits until none is left.
struct OpenConnection {
    router: Arc<Router>,
}

impl OpenConnection {
    fn new(router: Arc<Router>) -> OpenConnection {
        router.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection { router }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.router.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_client(router: &Arc<Router>, stream: tokio::net::TcpStream) {
    let limits =
        router.fleet_view.routing_table().map(|table| table.limits.clone()).unwrap_or_default();
    let idle = limits.idle_timeout_ms.max(limits.header_timeout_ms).max(1000);
    let service = hyper::service::service_fn(|req| {
        let router = router.clone();
        async move { Ok::<http::Response<ResponseBody>, Infallible>(request::serve(&router, req).await) }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle))
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
    tokio::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        () = router.shutdown.reached(Phase::Closing) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

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
