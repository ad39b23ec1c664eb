//! One request of a client, from its head to its answer.

use super::answer::{Failure, Out, Rejection};
use super::dispatch::{self, Outcome};
use super::headers;
use super::relay;
use super::stage::{Accepted, ClientRequest};
use crate::Router;
use crate::fleet_view::routing_table::{Table, Tenant, repeat};
use crate::load_balancer::prompt::Prompt;
use bytes::Bytes;
use fleet_core::configuration::Route;
use http::request::Parts;
use http::{HeaderMap, Request, Response, Version, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Answers one request.
pub async fn serve(router: &Arc<Router>, request: Request<Incoming>) -> Response<Out> {
    match admit(router, request).await {
        Ok(accepted) => deliver(router, accepted).await,
        Err(rejection) => rejection.write(),
    }
}

/// Reads a request whole, if it is a proper one that the configuration allows.
async fn admit(router: &Router, request: Request<Incoming>) -> Result<Accepted, Rejection> {
    let arrived = Instant::now();
    let routing_table = router.fleet_view.routing_table().ok_or(Rejection::NotReady)?;
    let (head, body) = request.into_parts();
    check_framing(&head)?;
    let route = find_route(&routing_table, &head)?;
    let tenant = find_tenant(&routing_table, &route, &head.headers)?;
    let attempt = head.headers.get(headers::ATTEMPT_ID).cloned().ok_or(Rejection::BadRequest)?;
    let patience = headers::read_deadline(&head.headers).ok_or(Rejection::BadRequest)?;
    let deadline = arrived + patience.min(Duration::from_millis(route.timeout_ms));
    let body = read_body(body, routing_table.limits.max_body_bytes, deadline).await?;
    let service =
        routing_table.pick(&route, router.random()).ok_or(Rejection::NotReady)?.to_owned();
    let prompt = Prompt::read(&head.headers);
    if !router.can_finish(&service, prompt.put_out) {
        router.counters.rejected_at_end.fetch_add(1, Ordering::Relaxed);
        return Err(Rejection::ShuttingDown);
    }
    router.counters.requests.fetch_add(1, Ordering::Relaxed);
    router.arrived(&service);
    let mut passed_on = head.headers;
    headers::strip_request(&mut passed_on);
    Ok(Accepted::new(ClientRequest {
        repeat: repeat(&route),
        routing_table,
        route,
        tenant,
        service,
        prompt,
        accepted_at: Instant::now(),
        deadline,
        attempt,
        method: head.method,
        uri: head.uri,
        headers: passed_on,
        body,
        attempted: Vec::new(),
        sends: 0,
        in_flight: router.in_flight.enter(router.is_shutting_down()),
    }))
}

/// With two ways to tell the end, one request may be smuggled inside another; without chunks, a
/// stream that breaks off would look whole.
fn check_framing(head: &Parts) -> Result<(), Rejection> {
    if head.version != Version::HTTP_11 {
        return Err(Rejection::OldProtocol);
    }
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    if has_length && head.headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(Rejection::Unreadable);
    }
    Ok(())
}

fn find_route(routing_table: &Table, head: &Parts) -> Result<Arc<Route>, Rejection> {
    let host = headers::text(&head.headers, &header::HOST).unwrap_or("");
    routing_table.route(host, head.uri.path()).cloned().ok_or(Rejection::NoRoute)
}

fn find_tenant(
    routing_table: &Table,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Tenant>>, Rejection> {
    let key = headers::text(headers, &headers::KEY);
    let tenant = key.and_then(|key| routing_table.tenant(key)).cloned();
    if tenant.is_none() && routing_table.has_tenants() && !route.public {
        return Err(Rejection::Unauthorized);
    }
    Ok(tenant)
}

async fn read_body(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Rejection> {
    let reading = Limited::new(body, most).collect();
    match tokio::time::timeout_at(deadline, reading).await {
        Ok(Ok(complete)) => Ok(complete.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::BodyTooLarge),
        Ok(Err(_)) => Err(Rejection::Unreadable),
        Err(_) => Err(Rejection::BodyLate),
    }
}

/// Sends the request to one engine after another, as far as that is allowed.
async fn deliver(router: &Arc<Router>, mut accepted: Accepted) -> Response<Out> {
    loop {
        let (selected, ready) = match dispatch::find_engine(router, accepted).await {
            Ok(found) => found,
            Err(accepted) => return accepted.reject(router),
        };
        let outcome = dispatch::dispatch(router, ready, selected, None).await;
        accepted = match next_step(router, outcome) {
            Ok(again) => again,
            Err(response) => return response,
        };
    }
}

/// The request for another engine, or the answer to it.
fn next_step(router: &Arc<Router>, outcome: Outcome) -> Result<Accepted, Response<Out>> {
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
        Outcome::RouterEnding(dispatched) => {
            router.counters.failed_at_end.fetch_add(1, Ordering::Relaxed);
            Err(dispatched.fail(router, Failure::ShuttingDown))
        }
        Outcome::Responding(responding) if responding.is_retryable() => {
            responding.retry(router).map_err(|responding| relay::relay(router, *responding))
        }
        Outcome::Responding(responding) => Err(relay::relay(router, *responding)),
    }
}
