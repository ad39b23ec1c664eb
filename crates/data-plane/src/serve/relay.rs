//! Passing an engine's answer on as it comes, and going on elsewhere where that is allowed.

use super::answer::{Out, Piece};
use super::dispatch::{self, Outcome};
use super::events::EventSplitter;
use super::headers;
use super::stage::Responding;
use crate::Router;
use crate::fleet_view::table::Repeat;
use bytes::Bytes;
use fleet_core::constants;
use fleet_core::log::Event;
use http::{Response, header};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How a body ended.
enum BodyEnd {
    /// all of it was passed on
    Whole,
    /// the engine broke off
    Broken,
    /// the client has gone, or the time is over
    Abandoned,
}

/// Begins the answer to the client; its body follows as it comes.
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

/// Passes the body on in a task of its own.
fn relay_body(router: Arc<Router>, responding: Responding, resumable: bool) -> Out {
    let (pieces, body) = mpsc::channel(constants::RELAY_BACKLOG);
    tokio::spawn(async move {
        if resumable {
            relay_events(&router, responding, &pieces).await;
        } else {
            relay_bytes(&router, responding, &pieces).await;
        }
    });
    Out::Relayed(body)
}

/// Bytes as they come; a break is passed on as a break.
async fn relay_bytes(router: &Router, mut responding: Responding, pieces: &mpsc::Sender<Piece>) {
    let deadline = responding.request.deadline;
    let passing = pass(&mut responding.body, Some, pieces);
    match tokio::time::timeout_at(deadline, passing).await.unwrap_or(BodyEnd::Abandoned) {
        BodyEnd::Whole => {
            responding.connection.end();
            let _ = pieces.send(Piece::End).await;
        }
        BodyEnd::Broken => note_break(router, &responding),
        BodyEnd::Abandoned => {}
    }
}

/// Whole events only; after a break the stream goes on at another engine.
async fn relay_events(
    router: &Arc<Router>,
    mut responding: Responding,
    pieces: &mpsc::Sender<Piece>,
) {
    let mut splitter = EventSplitter::starting_after(responding.request.last_event_id());
    loop {
        let deadline = responding.request.deadline;
        let passing = pass(&mut responding.body, |bytes| splitter.take(&bytes), pieces);
        match tokio::time::timeout_at(deadline, passing).await.unwrap_or(BodyEnd::Abandoned) {
            BodyEnd::Whole => {
                responding.connection.end();
                if let Some(rest) = splitter.rest() {
                    let _ = pieces.send(Piece::Data(rest)).await;
                }
                let _ = pieces.send(Piece::End).await;
                return;
            }
            BodyEnd::Abandoned => return,
            BodyEnd::Broken => note_break(router, &responding),
        }
        splitter.drop_half();
        let Some(next) = resume(router, responding, splitter.last()).await else { return };
        router.counters.resumed.fetch_add(1, Ordering::Relaxed);
        responding = next;
    }
}

/// Passes on what `cut` makes of the bytes, as they come.
async fn pass(
    body: &mut Incoming,
    mut cut: impl FnMut(Bytes) -> Option<Bytes>,
    pieces: &mpsc::Sender<Piece>,
) -> BodyEnd {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = pieces.closed() => return BodyEnd::Abandoned,
        };
        let frame = match frame {
            None => return BodyEnd::Whole,
            Some(Err(_)) => return BodyEnd::Broken,
            Some(Ok(frame)) => frame,
        };
        let Some(data) = frame.into_data().ok().and_then(&mut cut) else { continue };
        if pieces.send(Piece::Data(data)).await.is_err() {
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
        let (placed, ready) = dispatch::find_engine(router, accepted).await.ok()?;
        accepted = match dispatch::dispatch(router, ready, placed, last_event).await {
            Outcome::NotSent(accepted) => accepted,
            Outcome::NotExecuted(accepted) => accepted.retry(router).ok()?,
            Outcome::Uncertain(dispatched) => dispatched.retry(router).ok()?,
            Outcome::Late(_) => return None,
            Outcome::Responding(next) if next.head.status().is_success() => return Some(*next),
            Outcome::Responding(next) if next.is_worth_retrying() => next.retry(router).ok()?,
            Outcome::Responding(_) => return None,
        };
    }
}

fn note_break(router: &Router, responding: &Responding) {
    let engine = &responding.load.engine;
    engine.broke(Instant::now());
    fleet_core::log_event!(router.log, Event::EngineError, "id" => &engine.id, "why" => "stream broken");
}
