//! Relays an engine's response as it arrives, and resumes a truncated stream at another engine where that is allowed.

use super::body_progress::BodyProgress;
use super::dispatch::{self, Outcome};
use super::engine_selection;
use super::events::EventSplitter;
use super::response::{BodyChunk, RelayedBody, ResponseBody};
use super::response_time::ResponseTimes;
use super::stage::{ClientRequest, Responding};
use super::{headers, passive_health};
use crate::Router;
use crate::fleet_view::routing_table::RetryMode;
use crate::pool::EngineBody;
use bytes::Bytes;
use fleet_core::byte_budget::ReservedBytes;
use fleet_core::constants;
use http::{Response, header};
use http_body::Body;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{Semaphore, mpsc};

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
        responding.load.engine.record_complete_body();
        responding.connection.release();
        return response;
    }
    let resumable = responding.request.retry_mode == RetryMode::ResumeOnly && status.is_success();
    let progress = BodyProgress::new(resumable || headers::is_event_stream(response.headers()));
    if resumable {
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    *response.body_mut() = relay_body(router.clone(), responding, progress, resumable);
    response
}

/// Relays the body in a task of its own, which ends with the body, at the deadline or when the client disconnects.
fn relay_body(
    router: Arc<Router>,
    responding: Responding,
    progress: BodyProgress,
    resumable: bool,
) -> ResponseBody {
    let (chunks, body) = mpsc::channel(constants::RESPONSE_QUEUE_CHUNKS);
    tokio::spawn(async move {
        if resumable {
            relay_events(&router, responding, progress, &chunks).await;
        } else {
            relay_bytes(&router, responding, progress, &chunks).await;
        }
    });
    ResponseBody::Relayed(RelayedBody::new(body))
}

/// Relays a body as raw bytes. Truncation by the engine truncates the response to the client.
async fn relay_bytes(
    router: &Router,
    mut responding: Responding,
    mut progress: BodyProgress,
    chunks: &mpsc::Sender<BodyChunk>,
) {
    let unsplit = |bytes: Bytes| Some(bytes.into());
    match forward_body(router, &mut responding, &mut progress, unsplit, chunks).await {
        BodyEnd::Complete => {
            complete(router, responding);
            let _ = chunks.send(BodyChunk::End).await;
        }
        BodyEnd::Truncated => record_truncation(router, &responding),
        BodyEnd::ClientDisconnected => increment(&router.counters.responses_abandoned),
        BodyEnd::PastDeadline => record_past_deadline(router, &responding, &progress),
    }
}

/// Relays complete events only, and resumes the stream at another engine after a truncation.
async fn relay_events(
    router: &Arc<Router>,
    mut responding: Responding,
    mut progress: BodyProgress,
    chunks: &mpsc::Sender<BodyChunk>,
) {
    let mut splitter = EventSplitter::new(
        responding.request.last_event_id(),
        router.memory.partial_events.reservation(),
    );
    loop {
        let split = |bytes| splitter.push(bytes);
        match forward_body(router, &mut responding, &mut progress, split, chunks).await {
            BodyEnd::Complete => {
                complete(router, responding);
                if let Some(remainder) = splitter.remainder() {
                    let _ = chunks.send(BodyChunk::Data(remainder)).await;
                }
                let _ = chunks.send(BodyChunk::End).await;
                return;
            }
            BodyEnd::ClientDisconnected => return increment(&router.counters.responses_abandoned),
            BodyEnd::PastDeadline => return record_past_deadline(router, &responding, &progress),
            BodyEnd::Truncated => record_truncation(router, &responding),
        }
        if !splitter.is_resumable() {
            return;
        }
        splitter.discard_partial();
        let Some(next) = resume(router, responding, splitter.last_id()).await else { return };
        router.counters.resumed.fetch_add(1, Ordering::Relaxed);
        responding = next;
        progress = BodyProgress::new(true);
    }
}

/// Records a body whose end was received, and returns its connection to the pool.
fn complete(router: &Router, responding: Responding) {
    record_response_time(&router.response_times, &responding.request);
    responding.load.engine.record_complete_body();
    responding.connection.release();
}

/// Counts a body that was cut at its deadline, and ejects an engine whose body would not have ended.
fn record_past_deadline(router: &Router, responding: &Responding, progress: &BodyProgress) {
    increment(&router.counters.responses_past_deadline);
    if progress.is_endless() {
        passive_health::record_endless_body(&router.log, &responding.load.engine);
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

/// Forwards what `split` returns for each received chunk, until the deadline.
async fn forward_body(
    router: &Router,
    responding: &mut Responding,
    progress: &mut BodyProgress,
    mut split: impl FnMut(Bytes) -> Option<ReservedBytes>,
    chunks: &mpsc::Sender<BodyChunk>,
) -> BodyEnd {
    let deadline = responding.request.deadline;
    let forwarding = async {
        loop {
            let data = match next_data(&mut responding.body, chunks).await {
                Ok(data) => data,
                Err(end) => return end,
            };
            progress.record(&data);
            if progress.has_endless_event() {
                passive_health::record_endless_body(&router.log, &responding.load.engine);
            }
            if progress.is_bulk() {
                take_bulk_turn(&router.bulk_turn).await;
            }
            let Some(data) = split(data) else { continue };
            if chunks.send(BodyChunk::Data(data)).await.is_err() {
                return BodyEnd::ClientDisconnected;
            }
        }
    };
    tokio::time::timeout_at(deadline, forwarding).await.unwrap_or(BodyEnd::PastDeadline)
}

/// The next bytes of a body, or how it ended.
async fn next_data(
    body: &mut EngineBody,
    chunks: &mpsc::Sender<BodyChunk>,
) -> Result<Bytes, BodyEnd> {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = chunks.closed() => return Err(BodyEnd::ClientDisconnected),
        };
        let frame = frame.ok_or(BodyEnd::Complete)?.map_err(|_| BodyEnd::Truncated)?;
        if let Ok(data) = frame.into_data() {
            return Ok(data);
        }
    }
}

/// Lets all other tasks run before one more part of a large body is relayed: however many such bodies there are, others
/// wait for one part of them at the most.
async fn take_bulk_turn(bulk_turn: &Semaphore) {
    let _turn = bulk_turn.acquire().await;
    tokio::task::yield_now().await;
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
        let (selected, ready) = engine_selection::find_engine(router, accepted).await.ok()?;
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
