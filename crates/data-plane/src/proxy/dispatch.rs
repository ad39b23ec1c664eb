//! Dispatch of a request to one engine, and its outcome.

use super::dispatch_cutoff::{CutoffReason, DispatchCutoff};
use super::dispatch_load::DispatchLoad;
use super::headers;
use super::response_check::{self, SentRequest, Verdict};
use super::stage::{Accepted, ClientRequest, Dispatched, Responding};
use super::{outgoing_request, passive_health, rejection_body};
use crate::Router;
use crate::fleet_view::FleetView;
use crate::fleet_view::routing_table::{RetryMode, RoutingTable};
use crate::load_balancer::{self, Choice};
use crate::pool::EngineBody;
use crate::pool::connection::{
    self, CheckoutOptions, ConnectionError, PooledConnection, RespondingConnection, SendError,
};
use crate::shutdown::Phase;
use fleet_core::constants;
use http::{Response, StatusCode};
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// The engine chosen for a request, and a connection to it.
pub struct SelectedEngine {
    choice: Choice,
    connection: PooledConnection,
}

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

/// Chooses an engine and obtains a connection to it. Chooses again if what became known meanwhile supersedes the choice.
///
/// # Errors
///
/// Returns the request if no engine is available, the deadline is too close, or this router has to answer pending
/// requests because it shuts down. No further byte of it was sent.
pub async fn find_engine(
    router: &Router,
    mut accepted: Accepted,
) -> Result<(SelectedEngine, Accepted), Accepted> {
    while Instant::now() < send_deadline(accepted.request())
        && router.shutdown.phase() < Phase::Terminating
    {
        let request = accepted.request();
        let in_force = router.fleet_view.routing_table_since(&request.routing_table);
        let Ok(choice) = load_balancer::choose_engine(
            router,
            &in_force,
            &request.service,
            request.tenant.as_deref(),
            &request.prompt,
            &request.excluded_engines,
        ) else {
            return Err(accepted);
        };
        let options = CheckoutOptions {
            service: &request.service,
            max_connections: connection_share(&router.fleet_view, &in_force, request),
            repeatable: request.retry_mode != RetryMode::Never,
        };
        let checking_out = connection::checkout(router, &choice.engine, options);
        match run_until(router, send_deadline(request), checking_out).await {
            Ok(Ok(_)) if DispatchCutoff::new(router, request, &choice).is_superseded() => {}
            Ok(Ok(connection)) => return Ok((SelectedEngine { choice, connection }, accepted)),
            Ok(Err(error)) => {
                if error != ConnectionError::Full {
                    passive_health::record_connection_failure(
                        &router.log,
                        &choice.engine,
                        &error.to_string(),
                    );
                }
                accepted.exclude(&choice.engine.id);
            }
            Err(_) => return Err(accepted),
        }
    }
    Err(accepted)
}

/// Why a step was stopped.
enum Interrupted {
    /// The engine must not begin the request any more.
    CutOff(CutoffReason),
    /// The deadline has passed.
    TimedOut,
    /// The router shuts down, and has to answer pending requests.
    RouterShutdown,
}

/// Runs a step until `deadline`, or until this router has to answer pending requests. A step that completes at the
/// same moment counts as completed.
async fn run_until<F: Future>(
    router: &Router,
    deadline: Instant,
    step: F,
) -> Result<F::Output, Interrupted> {
    tokio::select! {
        biased;
        result = tokio::time::timeout_at(deadline, step) => result.map_err(|_| Interrupted::TimedOut),
        () = router.shutdown.reached(Phase::Terminating) => Err(Interrupted::RouterShutdown),
    }
}

/// The last time at which a response could still reach the client before its deadline.
fn send_deadline(request: &ClientRequest) -> Instant {
    request.deadline - constants::DEADLINE_MARGIN
}

/// This router's share of the connections that an engine accepts from all routers. If the configuration in force has
/// removed the service, the one under which the request was accepted counts.
fn connection_share(view: &FleetView, in_force: &RoutingTable, request: &ClientRequest) -> u32 {
    let service = in_force
        .service(&request.service)
        .or_else(|| request.routing_table.service(&request.service));
    let engine_limit = service.map_or(0, |service| service.max_conns) as usize;
    let routers = view.routers() + constants::BUDGET_SPARE_ROUTERS;
    (engine_limit / routers).max(constants::MIN_CONNECTIONS) as u32
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
