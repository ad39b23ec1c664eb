//! Dispatch of a request to one engine, and its outcome.

use super::bounded_wait::{Interrupted, run_until, send_deadline};
use super::dispatch_cutoff::{CutoffReason, DispatchCutoff};
use super::dispatch_load::DispatchLoad;
use super::engine_selection::SelectedEngine;
use super::headers;
use super::response_check::{self, SentRequest, Verdict};
use super::stage::{Accepted, ClientRequest, Dispatched, Responding};
use super::{outgoing_request, passive_health, rejection_body};
use crate::Router;
use crate::load_balancer::Choice;
use crate::pool::EngineBody;
use crate::pool::connection::{RespondingConnection, SendError};
use http::{Response, StatusCode};
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// The outcome of a dispatch.
pub enum Outcome {
    /// The engine sent a response head that may be relayed.
    Responding(Box<Responding>),
    /// The engine stated that it has not run the request and never will.
    NotExecuted(Accepted),
    /// No byte of the request was sent.
    NotSent(Accepted),
    /// The engine may have run the request, and sent no usable response.
    Uncertain(Dispatched),
    /// The engine may have run the request, and the deadline has passed.
    DeadlineExceeded(Dispatched),
    /// The engine may have run the request, and this router shuts down before there is a response.
    RouterShutdown(Dispatched),
}

/// Sends the request, and waits for the response head.
///
/// # Cancel safety
///
/// Dropping the future closes the connection; the engine may have run the request.
pub async fn dispatch(
    router: &Router,
    accepted: Accepted,
    selected: SelectedEngine,
    resume_after: Option<&str>,
) -> Outcome {
    let SelectedEngine { choice, connection } = selected;
    let Some(outgoing) = outgoing_request::build(accepted.request(), &choice, resume_after) else {
        let mut accepted = accepted;
        accepted.exclude(&choice.engine.id);
        return Outcome::NotSent(accepted);
    };
    let request = accepted.request();
    let interactive = request.routing_table.is_interactive(&request.route);
    let load = DispatchLoad::start(&choice, request.prompt.load(), interactive);
    if DispatchCutoff::new(router, request, &choice).has_outdated_weights() {
        router.counters.outdated_dispatches.fetch_add(1, Ordering::Relaxed);
    }
    let dispatched = accepted.dispatch(&choice.engine.id);
    let in_flight = InFlightDispatch {
        choice,
        load,
        sent_at: Instant::now(),
        on_new_connection: connection.is_new(),
    };
    let sending = connection.send(outgoing);
    // Closing the connection of an abandoned dispatch also removes the request from the engine's queue.
    match wait_for_response(router, dispatched.request(), &in_flight.choice, sending).await {
        Ok(Ok((connection, response))) => {
            in_flight.on_response(router, dispatched, connection, response)
        }
        Ok(Err(error)) => in_flight.on_error(router, dispatched, error),
        Err(Interrupted::RouterShutdown) => Outcome::RouterShutdown(dispatched),
        Err(Interrupted::CutOff(reason)) => {
            reason.record(router);
            Outcome::Uncertain(match reason {
                CutoffReason::OutdatedWeights => dispatched,
                CutoffReason::IsolationChanged => dispatched.allow_engine_again(),
            })
        }
        Err(Interrupted::TimedOut) => Outcome::DeadlineExceeded(dispatched),
    }
}

/// Runs `sending` until the deadline, until the cutoff of the dispatch passes, or until this router has to answer
/// pending requests.
async fn wait_for_response<F: Future>(
    router: &Router,
    request: &ClientRequest,
    choice: &Choice,
    sending: F,
) -> Result<F::Output, Interrupted> {
    let cutoff = DispatchCutoff::new(router, request, choice);
    let sending_before_cutoff = async {
        tokio::select! {
            biased;
            result = sending => Ok(result),
            reason = cutoff.passed() => Err(Interrupted::CutOff(reason)),
        }
    };
    run_until(router, send_deadline(request), sending_before_cutoff).await.flatten()
}

/// A dispatch whose response head is pending.
struct InFlightDispatch {
    choice: Choice,
    load: DispatchLoad,
    sent_at: Instant,
    /// The connection was new: no earlier request was sent on it.
    on_new_connection: bool,
}

impl InFlightDispatch {
    fn record_connection_failure(&self, router: &Router, reason: &str) {
        passive_health::record_connection_failure(&router.log, &self.choice.engine, reason);
    }

    fn on_error(self, router: &Router, dispatched: Dispatched, error: SendError) -> Outcome {
        match error {
            SendError::NotSent(proof) => {
                let mut accepted = dispatched.not_sent(proof);
                if self.on_new_connection {
                    self.record_connection_failure(
                        router,
                        "closed a new connection before the request was sent",
                    );
                    accepted.exclude(&self.choice.engine.id);
                }
                Outcome::NotSent(accepted)
            }
            SendError::Uncertain => {
                self.record_connection_failure(router, "connection closed without a response");
                Outcome::Uncertain(dispatched)
            }
            SendError::Malformed => {
                self.record_connection_failure(router, "sent bytes that are no response");
                Outcome::Uncertain(dispatched)
            }
            SendError::IdleReset => {
                router.counters.idle_resets.fetch_add(1, Ordering::Relaxed);
                Outcome::Uncertain(dispatched.allow_engine_again())
            }
        }
    }

    /// Chooses the outcome by the response head.
    fn on_response(
        mut self,
        router: &Router,
        dispatched: Dispatched,
        connection: RespondingConnection,
        response: Response<EngineBody>,
    ) -> Outcome {
        let (head, body) = response.into_parts();
        let request = dispatched.request();
        let (engine, status) = (&self.choice.engine, head.status);
        if head.headers.get(headers::ATTEMPT_ID) == Some(&request.attempt_id) {
            let model = request.prompt.model.as_deref();
            passive_health::record_engine_report(&router.fleet_view, engine, model, &head.headers);
        }
        let sent = SentRequest {
            attempt_id: &request.attempt_id,
            method: &request.method,
            retry_mode: request.retry_mode,
            first_on_connection: self.on_new_connection,
        };
        match response_check::check(head, &sent) {
            Verdict::NotExecuted(proof) => {
                if status == StatusCode::MISDIRECTED_REQUEST {
                    router.counters.version_mismatches.fetch_add(1, Ordering::Relaxed);
                }
                rejection_body::discard(&router.log, engine.clone(), connection, body);
                Outcome::NotExecuted(dispatched.not_executed(proof))
            }
            Verdict::Invalid(error) => {
                passive_health::record_invalid_response(&router.log, engine, status, error);
                Outcome::Uncertain(dispatched)
            }
            Verdict::Relay(head) => {
                self.load.finish_prefill();
                passive_health::record_response(
                    router,
                    request,
                    &self.choice,
                    status,
                    self.sent_at.elapsed(),
                );
                let responding = dispatched.responding(self.load, connection, head, body);
                Outcome::Responding(Box::new(responding))
            }
        }
    }
}
