//! Clients: their connections, their requests, the answers.

pub mod answer;
pub mod dispatch;
pub mod events;
pub mod headers;
pub mod observe;
pub mod relay;
pub mod request;
pub mod send_load;
pub mod stage;
pub mod verdict;

use crate::Router;
use answer::Out;
use fleet_core::constants;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Accepts clients until aborted.
pub async fn accepting(d: Arc<Router>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((s, _)) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        if fleet_core::link::set_socket_options(&s).is_err() {
            continue;
        }
        let d = d.clone();
        tokio::spawn(async move {
            d.open.fetch_add(1, Ordering::Relaxed);
            serve_client(&d, s).await;
            d.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_client(d: &Arc<Router>, s: tokio::net::TcpStream) {
    let limits = d.fleet_view.table().map(|t| t.limits.clone()).unwrap_or_default();
    let idle = limits.idle_timeout_ms.max(limits.header_timeout_ms).max(1000);
    let service = hyper::service::service_fn(|rq| {
        let d = d.clone();
        async move { Ok::<http::Response<Out>, Infallible>(request::serve(&d, rq).await) }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle))
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(hyper_util::rt::TokioIo::new(s), service);
    tokio::pin!(conn);
    let mut closing = d.closing.subscribe();
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = closing.wait_for(|c| *c) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}

/// Answers the platform's probes.
pub async fn probes(d: Arc<Router>, listener: tokio::net::TcpListener) {
    loop {
        let Ok((s, _)) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        let d = d.clone();
        tokio::spawn(async move {
            let service = hyper::service::service_fn(|rq: http::Request<hyper::body::Incoming>| {
                let known = rq.uri().path() == "/anisedyke/readyz";
                let status = match (known, d.is_ready()) {
                    (false, _) => http::StatusCode::NOT_FOUND,
                    (true, true) => http::StatusCode::OK,
                    (true, false) => http::StatusCode::SERVICE_UNAVAILABLE,
                };
                async move { Ok::<_, Infallible>(answer::empty(status)) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(constants::IDLE_LIMIT)
                .max_buf_size(8192)
                .serve_connection(hyper_util::rt::TokioIo::new(s), service)
                .await;
        });
    }
}
