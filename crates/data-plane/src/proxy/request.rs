//! Handling of one client request, from its head to its response.

use super::dispatch::{self, Outcome};
use super::engine_selection;
use super::headers;
use super::relay;
use super::request_body;
use super::response::{Failure, Rejection, ResponseBody};
use super::stage::{Accepted, ClientRequest};
use crate::Router;
use crate::fleet_view::routing_table::{RoutingTable, retry_mode};
use crate::fleet_view::tenants::Tenant;
use crate::load_balancer::prompt::Prompt;
use fleet_core::configuration::Route;
use http::request::Parts;
use http::{HeaderMap, Request, Response, Version, header};
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Serves one request.
pub async fn serve(router: &Arc<Router>, request: Request<Incoming>) -> Response<ResponseBody> {
    match admit(router, request).await {
        Ok(accepted) => dispatch_with_retries(router, accepted).await,
        Err(rejection) => {
            if rejection == Rejection::Overloaded {
                router.counters.rejected.fetch_add(1, Ordering::Relaxed);
            }
            rejection.into_response()
        }
    }
}

/// Reads and validates a complete request, and checks that the configuration allows it: once with its head, so that
/// nobody sends a body in vain, and again with its last byte, since the configuration may change while a body arrives.
async fn admit(router: &Router, request: Request<Incoming>) -> Result<Accepted, Rejection> {
    let arrived_at = Instant::now();
    let routing_table = router.fleet_view.routing_table().ok_or(Rejection::NotReady)?;
    let (head, body) = request.into_parts();
    check_framing(&head)?;
    let permission = Permission::by(routing_table, &head)?;
    let attempt_id = head.headers.get(headers::ATTEMPT_ID).cloned().ok_or(Rejection::BadRequest)?;
    let timeout = headers::parse_deadline(&head.headers).ok_or(Rejection::BadRequest)?;
    let deadline = permission.deadline(arrived_at, timeout);
    let permit = router.request_permits.clone().try_acquire_owned().ok();
    let budget = permit.as_ref().map(|_| &router.memory.request_bodies);
    let max_bytes = permission.routing_table.limits.max_body_bytes;
    let body = request_body::receive(body, max_bytes, budget, deadline).await?;
    let permit = permit.ok_or(Rejection::Overloaded)?;
    let permission = permission.renew(router, &head)?;
    let deadline = permission.deadline(arrived_at, timeout);
    let Permission { routing_table, route, tenant } = permission;
    let service =
        routing_table.pick_service(&route, router.random()).ok_or(Rejection::NotReady)?.to_owned();
    let prompt = Prompt::from_headers(&head.headers);
    if !router.can_complete(&service, prompt.output_tokens) {
        router.counters.rejected_at_end.fetch_add(1, Ordering::Relaxed);
        return Err(Rejection::ShuttingDown);
    }
    router.counters.requests.fetch_add(1, Ordering::Relaxed);
    router.record_request(&service);
    let mut forwarded_headers = head.headers;
    headers::strip_request(&mut forwarded_headers);
    Ok(Accepted::new(ClientRequest {
        retry_mode: retry_mode(&route),
        routing_table,
        route,
        tenant,
        service,
        prompt,
        accepted_at: Instant::now(),
        deadline,
        attempt_id,
        method: head.method,
        uri: head.uri,
        headers: forwarded_headers,
        body,
        excluded_engines: Vec::new(),
        dispatches: 0,
        in_flight: router.in_flight.enter(router.is_shutting_down()),
        permit,
    }))
}

/// What a configuration says of a request that it allows.
struct Permission {
    routing_table: Arc<RoutingTable>,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
}

impl Permission {
    fn by(routing_table: Arc<RoutingTable>, head: &Parts) -> Result<Permission, Rejection> {
        let route = find_route(&routing_table, head)?;
        let tenant = find_tenant(&routing_table, &route, &head.headers)?;
        Ok(Permission { routing_table, route, tenant })
    }

    /// The permission by the configuration in force now, if that is another one.
    fn renew(self, router: &Router, head: &Parts) -> Result<Permission, Rejection> {
        let in_force = router.fleet_view.routing_table_since(&self.routing_table);
        if Arc::ptr_eq(&in_force, &self.routing_table) {
            return Ok(self);
        }
        Permission::by(in_force, head)
    }

    /// The client's deadline or the route's timeout, whichever comes first.
    fn deadline(&self, arrived_at: Instant, timeout: Duration) -> Instant {
        arrived_at + timeout.min(Duration::from_millis(self.route.timeout_ms))
    }
}

/// Rejects ambiguous framing, by which one request could be smuggled inside another, and HTTP versions without
/// chunked encoding, in which a truncated stream would look complete.
fn check_framing(head: &Parts) -> Result<(), Rejection> {
    if head.version != Version::HTTP_11 {
        return Err(Rejection::UnsupportedVersion);
    }
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    if has_length && head.headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(Rejection::Unreadable);
    }
    Ok(())
}

fn find_route(routing_table: &RoutingTable, head: &Parts) -> Result<Arc<Route>, Rejection> {
    let host = headers::text(&head.headers, &header::HOST).unwrap_or("");
    routing_table.route(host, head.uri.path()).cloned().ok_or(Rejection::NoRoute)
}

fn find_tenant(
    routing_table: &RoutingTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Tenant>>, Rejection> {
    let key = headers::text(headers, &headers::KEY);
    let tenant = key.and_then(|key| routing_table.tenants.by_key(key)).cloned();
    if tenant.is_none() && !routing_table.tenants.is_empty() && !route.public {
        return Err(Rejection::Unauthorized);
    }
    Ok(tenant)
}

/// Dispatches the request to one engine after another, as far as retries are allowed.
async fn dispatch_with_retries(
    router: &Arc<Router>,
    mut accepted: Accepted,
) -> Response<ResponseBody> {
    loop {
        let (selected, pending) = match engine_selection::find_engine(router, accepted).await {
            Ok(found) => found,
            Err(accepted) => return accepted.reject(router),
        };
        let outcome = dispatch::dispatch(router, pending, selected, None).await;
        accepted = match next_step(router, outcome) {
            Ok(retried) => retried,
            Err(response) => return response,
        };
    }
}

/// The request if it is to be dispatched again, otherwise the response to the client.
fn next_step(router: &Arc<Router>, outcome: Outcome) -> Result<Accepted, Response<ResponseBody>> {
    match outcome {
        Outcome::NotSent(accepted) => Ok(accepted),
        Outcome::NotExecuted(accepted) => {
            accepted.retry(router).map_err(|accepted| accepted.reject(router))
        }
        Outcome::Uncertain(dispatched) => dispatched
            .retry(router)
            .map_err(|dispatched| dispatched.fail(router, Failure::BadGateway)),
        Outcome::DeadlineExceeded(dispatched) => {
            Err(dispatched.fail(router, Failure::GatewayTimeout))
        }
        Outcome::RouterShutdown(dispatched) => {
            router.counters.failed_at_end.fetch_add(1, Ordering::Relaxed);
            Err(dispatched.fail(router, Failure::ShuttingDown))
        }
        Outcome::Responding(responding) if responding.is_retryable() => {
            responding.retry(router).map_err(|responding| relay::relay(router, *responding))
        }
        Outcome::Responding(responding) => Err(relay::relay(router, *responding)),
    }
}
