//! Passing an engine's answer on as it comes, and going on elsewhere where that is allowed.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::answer::{AnswerError, Out};
use super::events::Cutter;
use super::request::{ATTEMPT, Begun, Fate, LAST_EVENT, Offered};
use crate::Router;
use crate::fleet_view::table::Repeat;
use bytes::Bytes;
use fleet_core::log::Event;
use http::header;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::sync::atomic::Ordering;

type Tx = tokio::sync::mpsc::Sender<Result<Bytes, AnswerError>>;

enum End {
    Whole,
    Broken,
    /// the client has gone, or the time is over
    Left,
}

pub async fn relay(d: &Arc<Router>, b: Begun) -> http::Response<Out> {
    let resumes = b.job.repeat == Repeat::ByResuming && b.head.status.is_success();
    let (tx, rx) = tokio::sync::mpsc::channel(4);
    let mut res = http::Response::new(Out::Events(rx));
    *res.status_mut() = b.head.status;
    let h = res.headers_mut();
    *h = b.head.headers.clone();
    for n in [header::CONNECTION, header::TRANSFER_ENCODING, header::TRAILER, header::UPGRADE] {
        h.remove(n);
    }
    h.remove("keep-alive");
    if resumes {
        h.remove(header::CONTENT_LENGTH);
    }
    let d = d.clone();
    tokio::spawn(async move {
        if resumes { pump_events(&d, b, &tx).await } else { pump(&d, b, &tx).await }
    });
    res
}

/// Bytes as they come; a break is passed on as a break.
async fn pump(d: &Router, b: Begun, tx: &Tx) {
    let Begun { job, run, connection, mut body, .. } = b;
    let end = tokio::time::timeout_at(job.deadline, pass(&mut body, Some, tx));
    match end.await.unwrap_or(End::Left) {
        End::Whole => connection.end(),
        End::Broken => {
            run.seat.broke(tokio::time::Instant::now());
            fleet_core::log_event!(d.log, Event::EngineError, "id" => &run.seat.id, "why" => "stream broken");
            let _ = tx.send(Err(AnswerError::BrokenOff)).await;
        }
        End::Left => {
            let _ = tx.try_send(Err(AnswerError::BrokenOff));
        }
    }
}

/// Whole events only; after a break the stream goes on at another engine.
async fn pump_events(d: &Arc<Router>, b: Begun, tx: &Tx) {
    let start = b.job.header(&LAST_EVENT);
    let mut cutter = Cutter::starting_after(start);
    let mut b = b;
    loop {
        let deadline = b.job.deadline;
        let end =
            tokio::time::timeout_at(deadline, pass(&mut b.body, |d| cutter.take(&d), tx)).await;
        match end.unwrap_or(End::Left) {
            End::Whole => {
                if let Some(rest) = cutter.rest() {
                    let _ = tx.send(Ok(rest)).await;
                }
                b.connection.end();
                return;
            }
            End::Left => {
                let _ = tx.try_send(Err(AnswerError::BrokenOff));
                return;
            }
            End::Broken => {}
        }
        b.run.seat.broke(tokio::time::Instant::now());
        fleet_core::log_event!(d.log, Event::EngineError, "id" => &b.run.seat.id, "why" => "stream broken");
        cutter.drop_half();
        match go_on(d, b, cutter.last()).await {
            Some(next) => {
                d.counters.resumed.fetch_add(1, Ordering::Relaxed);
                b = next;
            }
            None => {
                let _ = tx.send(Err(AnswerError::BrokenOff)).await;
                return;
            }
        }
    }
}

/// What `cut` makes of the bytes, as they come.
async fn pass(
    body: &mut hyper::body::Incoming,
    mut cut: impl FnMut(Bytes) -> Option<Bytes>,
    tx: &Tx,
) -> End {
    loop {
        let frame = tokio::select! {
            f = body.frame() => f,
            () = tx.closed() => return End::Left,
        };
        match frame {
            None => return End::Whole,
            Some(Err(_)) => return End::Broken,
            Some(Ok(f)) => {
                if let Ok(data) = f.into_data()
                    && let Some(data) = cut(data)
                    && tx.send(Ok(data)).await.is_err()
                {
                    return End::Left;
                }
            }
        }
    }
}

/// The same request behind the last event that was passed on.
async fn go_on(d: &Arc<Router>, b: Begun, last: Option<&str>) -> Option<Begun> {
    let mut offered = Offered::of(b);
    loop {
        let mut taken = offered.again(d).ok()?;
        let next = loop {
            let (choice, leased, t) = taken.find(d).await.ok()?;
            match t.offer(d, choice, leased, last).await {
                Fate::Unsent(t) => taken = t,
                Fate::Back(t) => taken = t.again(d).ok()?,
                Fate::Unsure(o) => break Err(o),
                Fate::Late(_) => return None,
                Fate::Begun(b) => break Ok(b),
            }
        };
        match next {
            Ok(b) if b.head.status.is_success() && b.head.headers.contains_key(ATTEMPT) => {
                return Some(*b);
            }
            Ok(_) => return None,
            Err(o) => offered = o,
        }
    }
}
