//! Accepts the connections of clients and serves HTTP on them.

use super::request;
use super::response::ResponseBody;
use crate::Router;
use crate::shutdown::Phase;
use fleet_core::constants;
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
