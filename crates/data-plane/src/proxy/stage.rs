//! The states of a request: accepted, dispatched, responding.
//!
//! The fields are private to this module, so that a response which promises that the request has not run (503) can
//! only be made from `Accepted`. `Dispatched` becomes `Accepted` again only with a proof that the engine has not run
//! the request, or if the request may run twice; in the latter case the state records that it may have run.

use super::dispatch_load::DispatchLoad;
use super::headers;
use super::in_flight::InFlightGuard;
use super::response::{self, Failure, Rejection, ResponseBody};
use super::response_check::{NotExecuted, RelayableHead};
use crate::fleet_view::routing_table::{RetryMode, RoutingTable};
use crate::fleet_view::tenants::Tenant;
use crate::load_balancer::prompt::Prompt;
use crate::pool::EngineBody;
use crate::pool::connection::{NotSent, RespondingConnection};
use crate::shutdown::Phase;
use crate::{Counters, Router};
use fleet_core::byte_budget::ReservedBytes;
use fleet_core::configuration::Route;
use fleet_core::constants;
use fleet_core::log::Event;
use http::{HeaderMap, HeaderValue, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// A request that was read completely and is allowed by the configuration.
pub struct ClientRequest {
    /// The configuration under which it was accepted. Route, service and tenant stay those; whose cached prompt parts it
    /// may use is decided by the one in force at each dispatch.
    pub routing_table: Arc<RoutingTable>,
    /// The route that it matched.
    pub route: Arc<Route>,
    /// The tenant whose API key it carried when it was accepted; `None` on a public route without a key.
    pub tenant: Option<Arc<Tenant>>,
    /// The service that runs it.
    pub service: String,
    /// What its headers say about its prompt.
    pub prompt: Prompt,
    /// Whether it may run more than once.
    pub retry_mode: RetryMode,
    /// When it had been read completely.
    pub accepted_at: Instant,
    /// The client's deadline or the route's timeout, whichever comes first.
    pub deadline: Instant,
    /// The client's id of this attempt.
    pub attempt_id: HeaderValue,
    /// As sent by the client.
    pub method: http::Method,
    /// As sent by the client.
    pub uri: http::Uri,
    /// The client's headers that are forwarded to engines.
    pub headers: HeaderMap,
    /// Its body, complete.
    pub body: ReservedBytes,
    /// Ids of engines to which it must not be dispatched again.
    pub excluded_engines: Vec<String>,
    /// Number of dispatches so far.
    pub dispatches: u32,
    /// Counts it as in flight until dropped, which is after the last byte of its response.
    pub in_flight: InFlightGuard,
    /// Its share of [`constants::MAX_REQUESTS_IN_FLIGHT`], until dropped.
    pub permit: OwnedSemaphorePermit,
}

impl ClientRequest {
    /// The event after which the client wants its stream to be resumed.
    pub fn last_event_id(&self) -> Option<String> {
        headers::text(&self.headers, &headers::LAST_EVENT_ID).map(str::to_owned)
    }

    /// Whether the route's attempts and the deadline allow one more dispatch.
    pub fn has_attempts_left(&self) -> bool {
        let in_time = Instant::now() + constants::DEADLINE_MARGIN * 2 < self.deadline;
        in_time && self.dispatches < self.route.max_attempts
    }

    /// Takes one retry from the budget; false if none is left or allowed.
    fn spend_retry(&self, router: &Router) -> bool {
        let allowed = self.has_attempts_left() && router.try_spend_retry(&self.service);
        if allowed {
            router.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

/// A request that is not at any engine.
pub struct Accepted {
    request: Box<ClientRequest>,
    may_have_run: bool,
}

/// A request that is sent or about to be sent: an engine may run it.
pub struct Dispatched {
    request: Box<ClientRequest>,
    may_have_run: bool,
}

/// A request to which an engine's response has begun.
pub struct Responding {
    /// The request.
    pub request: Box<ClientRequest>,
    /// Its load at the engine, counted until dropped.
    pub load: DispatchLoad,
    /// The connection on which the response arrives.
    pub connection: RespondingConnection,
    /// The validated response head.
    pub head: RelayableHead,
    /// The response body, as it arrives.
    pub body: EngineBody,
}

impl Accepted {
    /// A request that has not been dispatched.
    pub fn new(request: ClientRequest) -> Accepted {
        Accepted { request: Box::new(request), may_have_run: false }
    }

    /// The request in this state.
    pub fn request(&self) -> &ClientRequest {
        &self.request
    }

    /// Excludes an engine from further choices.
    pub fn exclude(&mut self, engine: &str) {
        self.request.excluded_engines.push(engine.to_owned());
    }

    /// Marks the request as sent to an engine, which may run it from now on.
    pub fn dispatch(mut self, engine: &str) -> Dispatched {
        self.exclude(engine);
        self.request.dispatches += 1;
        Dispatched { request: self.request, may_have_run: self.may_have_run }
    }

    /// Returns to dispatching after a rejection, if the route and the retry budget allow it.
    ///
    /// # Errors
    ///
    /// Returns the request unchanged if it may not be dispatched again.
    pub fn retry(self, router: &Router) -> Result<Accepted, Accepted> {
        if self.request.spend_retry(router) { Ok(self) } else { Err(self) }
    }

    /// The response if no engine takes the request: a 503, or a 502 if an engine may have run it.
    pub fn reject(self, router: &Router) -> Response<ResponseBody> {
        if self.may_have_run {
            return fail(&router.log, &router.counters, Failure::BadGateway);
        }
        if router.shutdown.phase() == Phase::Terminating {
            router.counters.rejected_at_end.fetch_add(1, Ordering::Relaxed);
            return Rejection::ShuttingDown.into_response();
        }
        router.counters.rejected.fetch_add(1, Ordering::Relaxed);
        response::retry_later()
    }
}

impl Dispatched {
    /// The request in this state.
    pub fn request(&self) -> &ClientRequest {
        &self.request
    }

    /// Undoes the dispatch, since no byte was sent: it does not count as an attempt, and the engine may be tried
    /// again.
    pub fn not_sent(mut self, _proof: NotSent) -> Accepted {
        self.request.dispatches -= 1;
        self.request.excluded_engines.pop();
        Accepted { request: self.request, may_have_run: self.may_have_run }
    }

    /// Undoes the dispatch, since the engine rejected the request without running it.
    pub fn not_executed(self, _proof: NotExecuted) -> Accepted {
        Accepted { request: self.request, may_have_run: self.may_have_run }
    }

    /// Lets the request be dispatched to the same engine again, on another connection: the dispatch ended for a reason
    /// that does not speak against the engine.
    pub fn allow_engine_again(mut self) -> Dispatched {
        self.request.excluded_engines.pop();
        self
    }

    /// Returns to dispatching after an uncertain end, if the request may run twice and the retry budget allows it.
    ///
    /// # Errors
    ///
    /// Returns the request unchanged if it may not be dispatched again.
    pub fn retry(self, router: &Router) -> Result<Accepted, Dispatched> {
        if self.request.retry_mode == RetryMode::Never || !self.request.spend_retry(router) {
            return Err(self);
        }
        Ok(Accepted { request: self.request, may_have_run: true })
    }

    /// Counts and logs the failure; the response does not promise that the request has not run.
    pub fn fail(self, router: &Router, failure: Failure) -> Response<ResponseBody> {
        fail(&router.log, &router.counters, failure)
    }

    /// Moves on once a response has begun.
    pub fn responding(
        self,
        load: DispatchLoad,
        connection: RespondingConnection,
        head: RelayableHead,
        body: EngineBody,
    ) -> Responding {
        Responding { request: self.request, load, connection, head, body }
    }
}

impl Responding {
    /// Whether the response is a server error and the request may be dispatched to another engine instead.
    pub fn is_retryable(&self) -> bool {
        let allowed =
            self.request.retry_mode != RetryMode::Never && self.request.has_attempts_left();
        allowed && self.head.status().is_server_error()
    }

    /// Discards the response and returns to dispatching, if the route and the retry budget allow it.
    ///
    /// # Errors
    ///
    /// Returns the response if the request may not be dispatched again.
    pub fn retry(self, router: &Router) -> Result<Accepted, Box<Responding>> {
        if self.request.retry_mode == RetryMode::Never || !self.request.spend_retry(router) {
            return Err(Box::new(self));
        }
        Ok(Accepted { request: self.request, may_have_run: true })
    }

    /// Drops a truncated or unusable response. The request may have run.
    pub fn discard_response(self) -> Dispatched {
        Dispatched { request: self.request, may_have_run: true }
    }
}

fn fail(log: &slog::Logger, counters: &Counters, failure: Failure) -> Response<ResponseBody> {
    let status = failure.status();
    counters.failed.fetch_add(1, Ordering::Relaxed);
    fleet_core::log_event!(log, Event::DispatchFailed, "status" => status.as_u16());
    failure.into_response()
}
