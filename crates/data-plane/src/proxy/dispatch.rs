//! Dispatching a request to one engine, and the outcome.

use super::headers;
use super::passive_health;
use super::response_check::{self, SentRequest, Verdict};
use super::send_load::SendLoad;
use super::stage::{Accepted, ClientRequest, Dispatched, Responding};
use crate::Router;
use crate::fleet_view::FleetView;
use crate::fleet_view::routing_table::Repeat;
use crate::load_balancer::{self, Choice};
use crate::pool::connection::{
    self, Checkout, ConnectionError, PooledConnection, SendError, Sent, Streaming,
};
use crate::shutdown::Phase;
use fleet_core::constants;
use fleet_core::log::Event;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// An engine, and a connection to it.
pub struct SelectedEngine {
    choice: Choice,
    connection: PooledConnection,
}

/// The outcome of a dispatch.
pub enum Outcome {
    /// A response for the client has begun.
    Responding(Box<Responding>),
    /// The engine proves that it has not run the request.
    NotExecuted(Accepted),
    /// No byte of the request was sent.
    NotSent(Accepted),
    /// The engine may have run the request, and no response of use came.
    Uncertain(Dispatched),
    /// The engine may have run the request, and the deadline has passed.
    DeadlineExceeded(Dispatched),
    /// The engine may have run the request, and this router ends before there is a response.
    RouterEnding(Dispatched),
}

/// Finds an engine and a connection to it.
///
/// # Errors
///
/// Gives the request back where the deadline or the end of this router came first; no further byte of it was sent.
pub async fn find_engine(
    router: &Router,
    mut accepted: Accepted,
) -> Result<(SelectedEngine, Accepted), Accepted> {
    while Instant::now() < latest_send(accepted.request())
        && router.shutdown.phase() < Phase::Answering
    {
        let request = accepted.request();
        let Ok(choice) = load_balancer::choose_engine(
            router,
            &request.routing_table,
            &request.service,
            request.tenant.as_deref(),
            &request.prompt,
            &request.attempted,
        ) else {
            return Err(accepted);
        };
        let checkout = Checkout {
            service: &request.service,
            share: connection_share(&router.fleet_view, request),
            repeatable: request.repeat != Repeat::Never,
        };
        let checking_out = connection::checkout(router, &choice.engine, checkout);
        match until_due(router, latest_send(request), checking_out).await {
            Ok(Ok(connection)) => return Ok((SelectedEngine { choice, connection }, accepted)),
            Ok(Err(error)) => {
                if error != ConnectionError::Full {
                    passive_health::record_connection_failure(
                        &router.log,
                        &choice.engine,
                        &error.to_string(),
                    );
                }
                accepted.avoid(&choice.engine.id);
            }
            Err(_) => return Err(accepted),
        }
    }
    Err(accepted)
}

/// Why a step was given up.
enum Overdue {
    /// Its time is over.
    TimedOut,
    /// This router ends, and has to answer what it has.
    RouterEnding,
}

/// Runs a step until its time is over or this router has to answer; a step that is complete by then counts.
async fn until_due<F: Future>(
    router: &Router,
    latest: Instant,
    step: F,
) -> Result<F::Output, Overdue> {
    tokio::select! {
        biased;
        result = tokio::time::timeout_at(latest, step) => result.map_err(|_| Overdue::TimedOut),
        () = router.shutdown.reached(Phase::Answering) => Err(Overdue::RouterEnding),
    }
}

/// After this no response could reach the client in time.
fn latest_send(request: &ClientRequest) -> Instant {
    request.deadline - constants::DEADLINE_MARGIN
}

/// This router's share of the connections that an engine accepts from all callers.
fn connection_share(view: &FleetView, request: &ClientRequest) -> u32 {
    let most = request.routing_table.service(&request.service).map_or(0, |s| s.max_conns) as usize;
    let routers = view.routers() + constants::BUDGET_SPARES;
    (most / routers).max(constants::CONNECTIONS_LEAST) as u32
}

/// Sends the request, and waits for the head of a response.
///
/// # Cancel safety
///
/// A dispatch that is dropped closes its connection; the engine may have run the request.
pub async fn dispatch(
    router: &Router,
    accepted: Accepted,
    selected: SelectedEngine,
    resume_after: Option<&str>,
) -> Outcome {
    let SelectedEngine { choice, connection } = selected;
    let Some(outgoing) = outgoing_request(accepted.request(), &choice, resume_after) else {
        let mut accepted = accepted;
        accepted.avoid(&choice.engine.id);
        return Outcome::NotSent(accepted);
    };
    let request = accepted.request();
    let interactive = request.routing_table.is_interactive(&request.route);
    let load = SendLoad::start(&choice, request.prompt.load(), interactive);
    let version_bound = router.settings().bounds.version;
    let cutoff = version_cutoff(&router.fleet_view, request, &choice, version_bound);
    if cutoff.is_some() {
        router.counters.outdated_dispatches.fetch_add(1, Ordering::Relaxed);
    }
    let dispatched = accepted.dispatch(&choice.engine.id);
    let send = Send { choice, load, at: Instant::now(), first: connection.is_new() };
    let latest = latest_send(dispatched.request());
    let cutoff = cutoff.filter(|cutoff| *cutoff < latest);
    // the connection of a send that is given up is closed, and with it goes what still waits at the engine
    match until_due(router, cutoff.unwrap_or(latest), connection.send(outgoing)).await {
        Ok(Ok((connection, response))) => send.answered(router, dispatched, connection, response),
        Ok(Err(error)) => send.failed(router, dispatched, error),
        Err(Overdue::RouterEnding) => Outcome::RouterEnding(dispatched),
        Err(Overdue::TimedOut) if cutoff.is_some() => {
            router.counters.version_cutoffs.fetch_add(1, Ordering::Relaxed);
            Outcome::Uncertain(dispatched)
        }
        Err(Overdue::TimedOut) => Outcome::DeadlineExceeded(dispatched),
    }
}

/// When a dispatch to an engine with older weights is taken back if it has no response; none for the newest ones.
fn version_cutoff(
    view: &FleetView,
    request: &ClientRequest,
    choice: &Choice,
    version_bound: Duration,
) -> Option<Instant> {
    let model = request.prompt.model.as_deref()?;
    view.version_bound(model, version_bound).cutoff_of(choice.version?)
}

/// A dispatch in flight.
struct Send {
    choice: Choice,
    load: SendLoad,
    at: Instant,
    /// No request went out on its connection before.
    first: bool,
}

impl Send {
    fn record_connection_failure(&self, router: &Router, why: &str) {
        passive_health::record_connection_failure(&router.log, &self.choice.engine, why);
    }

    fn failed(self, router: &Router, dispatched: Dispatched, error: SendError) -> Outcome {
        match error {
            SendError::NotSent(proof) => {
                let mut accepted = dispatched.not_sent(proof);
                if self.first {
                    self.record_connection_failure(router, "closed a new connection");
                    accepted.avoid(&self.choice.engine.id);
                }
                Outcome::NotSent(accepted)
            }
            SendError::Uncertain => {
                self.record_connection_failure(router, "no answer");
                Outcome::Uncertain(dispatched)
            }
            SendError::IdleReset => {
                router.counters.idle_resets.fetch_add(1, Ordering::Relaxed);
                Outcome::Uncertain(dispatched.idle_reset())
            }
        }
    }

    /// Decides by what the head of a response proves.
    fn answered(
        mut self,
        router: &Router,
        dispatched: Dispatched,
        connection: Streaming,
        response: Response<Incoming>,
    ) -> Outcome {
        let (head, body) = response.into_parts();
        let request = dispatched.request();
        let (engine, status) = (&self.choice.engine, head.status);
        if head.headers.get(headers::ATTEMPT_ID) == Some(&request.attempt) {
            let model = request.prompt.model.as_deref();
            passive_health::record_engine_report(&router.fleet_view, engine, model, &head.headers);
        }
        let sent = SentRequest {
            attempt: &request.attempt,
            method: &request.method,
            repeat: request.repeat,
            first_on_connection: self.first,
        };
        match response_check::check(head, &sent) {
            Verdict::NotExecuted(proof) => {
                if status == StatusCode::MISDIRECTED_REQUEST {
                    router.counters.version_mismatches.fetch_add(1, Ordering::Relaxed);
                }
                keep_after_refusal(connection, body);
                Outcome::NotExecuted(dispatched.not_executed(proof))
            }
            Verdict::Invalid(why) => {
                fleet_core::log_event!(router.log, Event::ResponseRejected, "id" => &engine.id,
                    "status" => status.as_u16(), "why" => why.to_string());
                Outcome::Uncertain(dispatched)
            }
            Verdict::Relay(head) => {
                self.load.prompt_read();
                passive_health::count_answer(
                    router,
                    request,
                    &self.choice,
                    status,
                    self.at.elapsed(),
                );
                let responding = dispatched.responding(self.load, connection, head, body);
                Outcome::Responding(Box::new(responding))
            }
        }
    }
}

/// The request as the engine gets it; none if a name in it fits no header.
fn outgoing_request(
    request: &ClientRequest,
    choice: &Choice,
    resume_after: Option<&str>,
) -> Option<Request<Sent>> {
    let remaining_ms =
        request.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    let urgency = headers::urgency(&request.route, request.tenant.as_deref());
    let tenant = request.tenant.as_ref().map(|t| t.name.as_str());
    let mut outgoing = Request::new(Sent::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let head = outgoing.headers_mut();
    *head = request.headers.clone();
    head.insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
    head.insert(headers::URGENCY, HeaderValue::from(urgency));
    if let Some(version) = choice.version {
        head.insert(headers::EXPECTED_VERSION, HeaderValue::from(version));
    }
    let texts = [
        (headers::TARGET_INSTANCE, Some(choice.engine.id.as_str())),
        (headers::TENANT, tenant),
        (headers::CACHE_SALT, choice.salt.as_deref()),
        (headers::KV_SOURCE, choice.source.as_deref()),
        (headers::KV_SINK, choice.sink.as_deref()),
        (headers::LAST_EVENT_ID, resume_after),
    ];
    for (name, text) in texts {
        let Some(text) = text else { continue };
        head.insert(name, HeaderValue::from_str(text).ok()?);
    }
    Some(outgoing)
}

/// Reads the body of a rejection in a task of its own, which ends by its time-out: it matters only to the connection.
fn keep_after_refusal(connection: Streaming, body: Incoming) {
    if body.is_end_stream() {
        return connection.end();
    }
    tokio::spawn(async move {
        let remainder = tokio::time::timeout(constants::REJECTION_BODY_TIMEOUT, body.collect());
        if matches!(remainder.await, Ok(Ok(_))) {
            connection.end();
        }
    });
}
