//! Relaying an engine's response as it comes, and resuming a broken stream at another engine where that is allowed.

use super::answer::{BodyChunk, Out};
use super::dispatch::{self, Outcome};
use super::events::EventSplitter;
use super::stage::{ClientRequest, Responding};
use super::stream_pace::StreamPaces;
use super::{headers, passive_health};
use crate::Router;
use crate::fleet_view::routing_table::Repeat;
use bytes::Bytes;
use fleet_core::constants;
use http::{Response, header};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc;

/// Why the engine of a broken stream is ejected, as the log says it.
const STREAM_BROKEN: &str = "stream broken";

/// How a body ended.
enum BodyEnd {
    /// All of it was relayed.
    Complete,
    /// The engine broke off.
    Broken,
    /// The client has gone.
    Abandoned,
    /// The deadline or the route's timeout has passed.
    PastDeadline,
}

/// Begins the response to the client; its body follows as it comes.
pub fn relay(router: &Arc<Router>, mut responding: Responding) -> Response<Out> {
    let status = responding.head.status();
    let mut response = Response::new(Out::Empty);
    *response.status_mut() = status;
    *response.headers_mut() = responding.head.take_headers();
    headers::strip_answer(response.headers_mut());
    if responding.body.is_end_stream() {
        responding.connection.end();
        return response;
    }
    let resumable = responding.request.repeat == Repeat::ByResuming && status.is_success();
    if resumable {
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    *response.body_mut() = relay_body(router.clone(), responding, resumable);
    response
}

/// Relays the body in a task of its own, which ends with the body, the client or the deadline.
fn relay_body(router: Arc<Router>, responding: Responding, resumable: bool) -> Out {
    let (chunks, body) = mpsc::channel(constants::RELAY_BACKLOG);
    tokio::spawn(async move {
        if resumable {
            relay_events(&router, responding, &chunks).await;
        } else {
            relay_bytes(&router, responding, &chunks).await;
        }
    });
    Out::Relayed(body)
}

/// Bytes as they come; a break is passed on as a break.
async fn relay_bytes(
    router: &Router,
    mut responding: Responding,
    chunks: &mpsc::Sender<BodyChunk>,
) {
    let deadline = responding.request.deadline;
    let passing = pass(&mut responding.body, Some, chunks);
    match tokio::time::timeout_at(deadline, passing).await.unwrap_or(BodyEnd::PastDeadline) {
        BodyEnd::Complete => {
            record_pace(&router.stream_paces, &responding.request);
            responding.connection.end();
            let _ = chunks.send(BodyChunk::End).await;
        }
        BodyEnd::Broken => {
            let engine = &responding.load.engine;
            passive_health::record_connection_failure(&router.log, engine, STREAM_BROKEN);
        }
        BodyEnd::Abandoned => count(&router.counters.abandoned),
        BodyEnd::PastDeadline => count(&router.counters.past_deadline),
    }
}

/// Whole events only; after a break the stream goes on at another engine.
async fn relay_events(
    router: &Arc<Router>,
    mut responding: Responding,
    chunks: &mpsc::Sender<BodyChunk>,
) {
    let mut splitter = EventSplitter::starting_after(responding.request.last_event_id());
    loop {
        let deadline = responding.request.deadline;
        let passing = pass(&mut responding.body, |bytes| splitter.push(&bytes), chunks);
        match tokio::time::timeout_at(deadline, passing).await.unwrap_or(BodyEnd::PastDeadline) {
            BodyEnd::Complete => {
                record_pace(&router.stream_paces, &responding.request);
                responding.connection.end();
                if let Some(remainder) = splitter.remainder() {
                    let _ = chunks.send(BodyChunk::Data(remainder)).await;
                }
                let _ = chunks.send(BodyChunk::End).await;
                return;
            }
            BodyEnd::Abandoned => return count(&router.counters.abandoned),
            BodyEnd::PastDeadline => return count(&router.counters.past_deadline),
            BodyEnd::Broken => {
                let engine = &responding.load.engine;
                passive_health::record_connection_failure(&router.log, engine, STREAM_BROKEN);
            }
        }
        splitter.drop_half();
        let Some(next) = resume(router, responding, splitter.last_id()).await else { return };
        router.counters.resumed.fetch_add(1, Ordering::Relaxed);
        responding = next;
    }
}

/// Takes in how long a complete response took.
fn record_pace(paces: &StreamPaces, request: &ClientRequest) {
    let took = request.accepted_at.elapsed();
    paces.record(&request.service, request.prompt.put_out, took);
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Passes on what `split` makes of the bytes, as they come.
async fn pass(
    body: &mut Incoming,
    mut split: impl FnMut(Bytes) -> Option<Bytes>,
    chunks: &mpsc::Sender<BodyChunk>,
) -> BodyEnd {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = chunks.closed() => return BodyEnd::Abandoned,
        };
        let frame = match frame {
            None => return BodyEnd::Complete,
            Some(Err(_)) => return BodyEnd::Broken,
            Some(Ok(frame)) => frame,
        };
        let Some(data) = frame.into_data().ok().and_then(&mut split) else { continue };
        if chunks.send(BodyChunk::Data(data)).await.is_err() {
            return BodyEnd::Abandoned;
        }
    }
}

/// The same request at another engine, behind the last event that was passed on.
async fn resume(
    router: &Arc<Router>,
    broken: Responding,
    last_event: Option<&str>,
) -> Option<Responding> {
    let mut accepted = broken.broken_off().retry(router).ok()?;
    loop {
        let (selected, ready) = dispatch::find_engine(router, accepted).await.ok()?;
        accepted = match dispatch::dispatch(router, ready, selected, last_event).await {
            Outcome::NotSent(accepted) => accepted,
            Outcome::NotExecuted(accepted) => accepted.retry(router).ok()?,
            Outcome::Uncertain(dispatched) => dispatched.retry(router).ok()?,
            Outcome::DeadlineExceeded(_) | Outcome::RouterEnding(_) => return None,
            Outcome::Responding(next) if next.head.status().is_success() => return Some(*next),
            Outcome::Responding(next) if next.is_retryable() => next.retry(router).ok()?,
            Outcome::Responding(_) => return None,
        };
    }
}
