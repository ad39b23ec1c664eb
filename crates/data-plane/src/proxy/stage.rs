//! The stages of a request: Accepted, Dispatched, Responding.
//!
//! The fields are private to this module, so that a promise (503) can only leave from `Accepted`,
//! and `Accepted` can only be had back from `Dispatched` by a proof that the engine has not run the
//! request, or for a request that may run twice; such a one remembers that it may have run.

use super::answer::{self, Failure, Out, Rejection};
use super::headers;
use super::in_flight::InFlightGuard;
use super::response_check::{NotExecuted, RelayableHead};
use super::send_load::SendLoad;
use crate::fleet_view::routing_table::{Repeat, Table, Tenant};
use crate::load_balancer::prompt::Prompt;
use crate::pool::connection::{NotSent, Streaming};
use crate::shutdown::Phase;
use crate::{Counters, Router};
use bytes::Bytes;
use fleet_core::configuration::Route;
use fleet_core::constants;
use fleet_core::log::Event;
use http::{HeaderMap, HeaderValue, Response};
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// A request that was read whole and is allowed.
pub struct ClientRequest {
    /// the configuration that it is handled by, from end to end
    pub routing_table: Arc<Table>,
    /// the route that it came on
    pub route: Arc<Route>,
    /// whose key it bears
    pub tenant: Option<Arc<Tenant>>,
    /// the service that runs it
    pub service: String,
    /// what it says of its prompt
    pub prompt: Prompt,
    /// whether it may run twice
    pub repeat: Repeat,
    /// When it had been read.
    pub accepted_at: Instant,
    /// the client's deadline or the route's timeout, whichever comes first
    pub deadline: Instant,
    /// the client's id of this try
    pub attempt: HeaderValue,
    /// as the client sent it
    pub method: http::Method,
    /// as the client sent it
    pub uri: http::Uri,
    /// what engines may see of the client's headers
    pub headers: HeaderMap,
    /// as the client sent it
    pub body: Bytes,
    /// Engines that are not to be tried again.
    pub attempted: Vec<String>,
    /// sends to engines so far
    pub sends: u32,
    /// Counts it until it is dropped, which is after the last byte of its response.
    pub in_flight: InFlightGuard,
}

impl ClientRequest {
    /// The event after which the client wants its stream.
    pub fn last_event_id(&self) -> Option<String> {
        headers::text(&self.headers, &headers::LAST_EVENT_ID).map(str::to_owned)
    }

    /// Room for one more send by the route and by time.
    pub fn has_attempts_left(&self) -> bool {
        let in_time = Instant::now() + constants::DEADLINE_MARGIN * 2 < self.deadline;
        in_time && self.sends < self.route.max_attempts
    }

    /// Takes one more send out of the budget, if there is room for it.
    fn spend_retry(&self, router: &Router) -> bool {
        let may = self.has_attempts_left() && router.spend(&self.service);
        if may {
            router.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
        may
    }
}

/// At no engine.
pub struct Accepted {
    request: Box<ClientRequest>,
    may_have_run: bool,
}

/// Sent, or about to be: an engine may run it.
pub struct Dispatched {
    request: Box<ClientRequest>,
    may_have_run: bool,
}

/// An engine's answer to it has begun.
pub struct Responding {
    /// what is answered
    pub request: Box<ClientRequest>,
    /// its load at the engine, until dropped
    pub load: SendLoad,
    /// the connection that the answer comes on
    pub connection: Streaming,
    /// the engine's head, proven fit for the client
    pub head: RelayableHead,
    /// the engine's body, as it comes
    pub body: Incoming,
}

impl Accepted {
    /// A request that no engine has seen.
    pub fn new(request: ClientRequest) -> Accepted {
        Accepted { request: Box::new(request), may_have_run: false }
    }

    /// The request itself.
    pub fn request(&self) -> &ClientRequest {
        &self.request
    }

    /// Leaves an engine out of the choice.
    pub fn avoid(&mut self, engine: &str) {
        self.request.attempted.push(engine.to_owned());
    }

    /// From here on an engine may run it.
    pub fn dispatch(mut self, engine: &str) -> Dispatched {
        self.avoid(engine);
        self.request.sends += 1;
        Dispatched { request: self.request, may_have_run: self.may_have_run }
    }

    /// On to another engine after a refusal, if the route and the budget allow it.
    ///
    /// # Errors
    ///
    /// Gives the request back where it may not be sent again.
    pub fn retry(self, router: &Router) -> Result<Accepted, Accepted> {
        if self.request.spend_retry(router) { Ok(self) } else { Err(self) }
    }

    /// No engine takes it: refused, unless one may have run it.
    pub fn reject(self, router: &Router) -> Response<Out> {
        if self.may_have_run {
            return fail(&router.log, &router.counters, Failure::BadGateway);
        }
        if router.shutdown.phase() == Phase::Answering {
            router.counters.rejected_at_end.fetch_add(1, Ordering::Relaxed);
            return Rejection::ShuttingDown.write();
        }
        router.counters.rejected.fetch_add(1, Ordering::Relaxed);
        answer::refusal()
    }
}

impl Dispatched {
    /// The request itself.
    pub fn request(&self) -> &ClientRequest {
        &self.request
    }

    /// Back, since not a byte of it went out: no attempt, and the engine may be tried again.
    pub fn not_sent(mut self, _proof: NotSent) -> Accepted {
        self.request.sends -= 1;
        self.request.attempted.pop();
        Accepted { request: self.request, may_have_run: self.may_have_run }
    }

    /// Back, since the engine turned it away.
    pub fn not_executed(self, _proof: NotExecuted) -> Accepted {
        Accepted { request: self.request, may_have_run: self.may_have_run }
    }

    /// The engine had closed the idle connection: it is healthy, and may be tried again on another.
    pub fn idle_reset(mut self) -> Dispatched {
        self.request.attempted.pop();
        self
    }

    /// On to another engine after an uncertain end: only what may run twice, within the budget.
    ///
    /// # Errors
    ///
    /// Gives the request back where it may not be sent again.
    pub fn retry(self, router: &Router) -> Result<Accepted, Dispatched> {
        if self.request.repeat == Repeat::Never || !self.request.spend_retry(router) {
            return Err(self);
        }
        Ok(Accepted { request: self.request, may_have_run: true })
    }

    /// Ends it without a promise.
    pub fn fail(self, router: &Router, failure: Failure) -> Response<Out> {
        fail(&router.log, &router.counters, failure)
    }

    /// Its answer has begun.
    pub fn responding(
        self,
        load: SendLoad,
        connection: Streaming,
        head: RelayableHead,
        body: Incoming,
    ) -> Responding {
        Responding { request: self.request, load, connection, head, body }
    }
}

impl Responding {
    /// A failure that another engine may make good, of a request that may run twice.
    pub fn is_retryable(&self) -> bool {
        let may = self.request.repeat != Repeat::Never && self.request.has_attempts_left();
        may && self.head.status().is_server_error()
    }

    /// On to another engine in place of this answer, if the route and the budget allow it.
    ///
    /// # Errors
    ///
    /// Gives the response back where the request may not be sent again.
    pub fn retry(self, router: &Router) -> Result<Accepted, Box<Responding>> {
        if self.request.repeat == Repeat::Never || !self.request.spend_retry(router) {
            return Err(Box::new(self));
        }
        Ok(Accepted { request: self.request, may_have_run: true })
    }

    /// Its answer broke off, or is of no use.
    pub fn broken_off(self) -> Dispatched {
        Dispatched { request: self.request, may_have_run: true }
    }
}

fn fail(log: &slog::Logger, counters: &Counters, failure: Failure) -> Response<Out> {
    let status = failure.status();
    counters.failed.fetch_add(1, Ordering::Relaxed);
    fleet_core::log_event!(log, Event::DispatchFailed, "status" => status.as_u16());
    failure.write()
}
