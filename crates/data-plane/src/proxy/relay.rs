//! Relays an engine's response as it arrives, and resumes a truncated stream at another engine where that is allowed.

use super::dispatch::{self, Outcome};
use super::events::EventSplitter;
use super::response::{BodyChunk, ResponseBody};
use super::response_time::ResponseTimes;
use super::stage::{ClientRequest, Responding};
use super::{headers, passive_health};
use crate::Router;
use crate::fleet_view::routing_table::RetryMode;
use crate::pool::EngineBody;
use bytes::Bytes;
use fleet_core::constants;
use http::{Response, header};
use http_body::Body;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;

/// The reason for an ejection after a truncated response, as logged.
const RESPONSE_TRUNCATED: &str = "response body truncated";

/// How a body ended.
enum BodyEnd {
    /// The whole body was relayed.
    Complete,
    /// The engine truncated the body.
    Truncated,
    /// The client has disconnected.
    ClientDisconnected,
    /// The deadline or the route's timeout has passed.
    PastDeadline,
}

/// Builds the response to the client; its body follows as it arrives.
pub fn relay(router: &Arc<Router>, mut responding: Responding) -> Response<ResponseBody> {
    let status = responding.head.status();
    let mut response = Response::new(ResponseBody::Empty);
    *response.status_mut() = status;
    *response.headers_mut() = responding.head.take_headers();
    headers::strip_response(response.headers_mut());
    if responding.body.is_end_stream() {
        responding.connection.release();
        return response;
    }
    let resumable = responding.request.retry_mode == RetryMode::ResumeOnly && status.is_success();
    if resumable {
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    *response.body_mut() = relay_body(router.clone(), responding, resumable);
    response
}

/// Relays the body in a task of its own, which ends with the body, at the deadline or when the client disconnects.
fn relay_body(router: Arc<Router>, responding: Responding, resumable: bool) -> ResponseBody {
    let (chunks, body) = mpsc::channel(constants::RESPONSE_QUEUE_CHUNKS);
    tokio::spawn(async move {
        if resumable {
            relay_events(&router, responding, &chunks).await;
        } else {
            relay_bytes(&router, responding, &chunks).await;
        }
    });
    ResponseBody::Relayed(body)
}

/// Relays a body as raw bytes. Truncation by the engine truncates the response to the client.
async fn relay_bytes(
    router: &Router,
    mut responding: Responding,
    chunks: &mpsc::Sender<BodyChunk>,
) {
    let deadline = responding.request.deadline;
    let forwarding = forward_body(&mut responding.body, Some, chunks);
    match tokio::time::timeout_at(deadline, forwarding).await.unwrap_or(BodyEnd::PastDeadline) {
        BodyEnd::Complete => {
            record_response_time(&router.response_times, &responding.request);
            responding.connection.release();
            let _ = chunks.send(BodyChunk::End).await;
        }
        BodyEnd::Truncated => record_truncation(router, &responding),
        BodyEnd::ClientDisconnected => increment(&router.counters.responses_abandoned),
        BodyEnd::PastDeadline => increment(&router.counters.responses_past_deadline),
    }
}

/// Relays complete events only, and resumes the stream at another engine after a truncation.
async fn relay_events(
    router: &Arc<Router>,
    mut responding: Responding,
    chunks: &mpsc::Sender<BodyChunk>,
) {
    let mut splitter = EventSplitter::new(
        responding.request.last_event_id(),
        router.memory.partial_events.reservation(),
    );
    loop {
        let deadline = responding.request.deadline;
        let forwarding = forward_body(&mut responding.body, |bytes| splitter.push(bytes), chunks);
        match tokio::time::timeout_at(deadline, forwarding).await.unwrap_or(BodyEnd::PastDeadline) {
            BodyEnd::Complete => {
                record_response_time(&router.response_times, &responding.request);
                responding.connection.release();
                if let Some(remainder) = splitter.remainder() {
                    let _ = chunks.send(BodyChunk::Data(remainder)).await;
                }
                let _ = chunks.send(BodyChunk::End).await;
                return;
            }
            BodyEnd::ClientDisconnected => return increment(&router.counters.responses_abandoned),
            BodyEnd::PastDeadline => return increment(&router.counters.responses_past_deadline),
            BodyEnd::Truncated => record_truncation(router, &responding),
        }
        if !splitter.is_resumable() {
            return;
        }
        splitter.discard_partial();
        let Some(next) = resume(router, responding, splitter.last_id()).await else { return };
        router.counters.resumed.fetch_add(1, Ordering::Relaxed);
        responding = next;
    }
}

/// Counts a body that the engine truncated, and ejects the engine.
fn record_truncation(router: &Router, responding: &Responding) {
    increment(&router.counters.responses_broken_by_engine);
    let engine = &responding.load.engine;
    passive_health::record_connection_failure(&router.log, engine, RESPONSE_TRUNCATED);
}

/// Records the time that a complete response took.
fn record_response_time(response_times: &ResponseTimes, request: &ClientRequest) {
    let duration = request.accepted_at.elapsed();
    response_times.record(&request.service, request.prompt.output_tokens, duration);
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Forwards what `split` returns for each received chunk.
async fn forward_body(
    body: &mut EngineBody,
    mut split: impl FnMut(Bytes) -> Option<Bytes>,
    chunks: &mpsc::Sender<BodyChunk>,
) -> BodyEnd {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = chunks.closed() => return BodyEnd::ClientDisconnected,
        };
        let frame = match frame {
            None => return BodyEnd::Complete,
            Some(Err(_)) => return BodyEnd::Truncated,
            Some(Ok(frame)) => frame,
        };
        let Some(data) = frame.into_data().ok().and_then(&mut split) else { continue };
        if chunks.send(BodyChunk::Data(data)).await.is_err() {
            return BodyEnd::ClientDisconnected;
        }
    }
}

/// Dispatches the same request to another engine, to continue after the last relayed event. `None` if no engine takes
/// it over: the response to the client is then truncated.
async fn resume(
    router: &Arc<Router>,
    truncated: Responding,
    last_event: Option<&str>,
) -> Option<Responding> {
    let mut accepted = truncated.discard_response().retry(router).ok()?;
    loop {
        let (selected, ready) = dispatch::find_engine(router, accepted).await.ok()?;
        accepted = match dispatch::dispatch(router, ready, selected, last_event).await {
            Outcome::NotSent(accepted) => accepted,
            Outcome::NotExecuted(accepted) => accepted.retry(router).ok()?,
            Outcome::Uncertain(dispatched) => dispatched.retry(router).ok()?,
            Outcome::DeadlineExceeded(_) | Outcome::RouterShutdown(_) => return None,
            Outcome::Responding(next) if next.head.status().is_success() => return Some(*next),
            Outcome::Responding(next) if next.is_retryable() => next.retry(router).ok()?,
            Outcome::Responding(_) => return None,
        };
    }
}
