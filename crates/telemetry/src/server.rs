//! HTTP server for the metrics: one path, `GET` only.

use crate::exposition::{MetricsSource, render};
use bytes::Bytes;
use fleet_core::constants;
use fleet_core::log::Event;
use http::{HeaderValue, Method, Response, StatusCode, header};
use http_body_util::Full;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

/// HTTP path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

const CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// Serves the metrics until the task is aborted. If the address can't be bound, this is logged and the function
/// returns: the process keeps running without metrics.
pub async fn serve(address: SocketAddr, log: slog::Logger, source: Arc<dyn MetricsSource>) {
    let listener = match fleet_core::link::listen(address) {
        Ok(listener) => listener,
        Err(error) => {
            fleet_core::log_event!(log, Event::MetricsUnavailable,
                "at" => address.to_string(), "why" => error.to_string());
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(constants::RECONNECT_BACKOFF).await;
            continue;
        };
        tokio::spawn(serve_connection(stream, source.clone()));
    }
}

async fn serve_connection(stream: tokio::net::TcpStream, source: Arc<dyn MetricsSource>) {
    let service = hyper::service::service_fn(|request: http::Request<hyper::body::Incoming>| {
        let response = metrics_response(request.method(), request.uri().path(), source.clone());
        async move { Ok::<_, Infallible>(response) }
    });
    // A failed connection affects only its client.
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(constants::IDLE_CONNECTION_TIMEOUT)
        .max_buf_size(8192)
        .serve_connection(hyper_util::rt::TokioIo::new(stream), service)
        .await;
}

fn metrics_response(
    method: &Method,
    path: &str,
    source: Arc<dyn MetricsSource>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if path != METRICS_PATH {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    if method != Method::GET {
        *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
        return response;
    }
    match render(source) {
        Ok(text) => {
            *response.body_mut() = Full::new(Bytes::from(text));
            response.headers_mut().insert(header::CONTENT_TYPE, CONTENT_TYPE);
        }
        Err(_) => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
    }
    response
}
