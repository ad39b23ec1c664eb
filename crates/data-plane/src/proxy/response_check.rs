//! Validates the head of an engine's response: to which request it belongs, whether that request has run, and whether
//! the end of the body can be verified. Only this module creates the proofs that `stage` requires.

use super::headers;
use crate::fleet_view::routing_table::RetryMode;
use http::response::Parts;
use http::{HeaderValue, Method, StatusCode, Version, header};

/// Proof that the engine has not run the request and never will.
#[derive(Debug)]
pub struct NotExecuted(());

/// A response head that may be relayed to the client.
#[derive(Debug)]
pub struct RelayableHead(Parts);

impl RelayableHead {
    /// The status that the engine sent.
    pub fn status(&self) -> StatusCode {
        self.0.status
    }

    /// Takes the headers that the engine sent; empty afterwards.
    pub fn take_headers(&mut self) -> http::HeaderMap {
        std::mem::take(&mut self.0.headers)
    }
}

/// Why a response is not relayed. The request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum InvalidResponse {
    /// attempt id is missing or belongs to another request
    Unidentified,
    /// states both that the request has not run and that it succeeded
    Contradictory,
    /// interim status in place of a final one
    Interim,
    /// body has a content encoding that was not requested
    Encoded,
    /// success without the X-Server-Seal header
    Unsealed,
    /// body without a verifiable end
    EndUnprovable,
    /// status implies that the request has not run, but X-Not-Executed is missing
    UnprovenRejection,
}

/// The result of checking a response head.
#[derive(Debug)]
pub enum Verdict {
    /// The request has not run: it may be dispatched again or rejected.
    NotExecuted(NotExecuted),
    /// The response may be relayed to the client.
    Relay(RelayableHead),
    /// The response must not be relayed.
    Invalid(InvalidResponse),
}

/// The properties of a dispatched request that its response is checked against.
pub struct SentRequest<'a> {
    /// The client's id of this attempt.
    pub attempt_id: &'a HeaderValue,
    /// The method, which decides whether the response has a body.
    pub method: &'a Method,
    /// Whether the request may run more than once.
    pub retry_mode: RetryMode,
    /// No earlier request was sent on this connection, so the response cannot belong to one.
    pub first_on_connection: bool,
}

/// Checks a response head.
pub fn check(head: Parts, sent: &SentRequest) -> Verdict {
    let not_executed = states_not_executed(&head);
    if !matches_attempt(&head, sent, not_executed) {
        return Verdict::Invalid(InvalidResponse::Unidentified);
    }
    if not_executed && head.status.is_success() {
        return Verdict::Invalid(InvalidResponse::Contradictory);
    }
    if not_executed {
        return Verdict::NotExecuted(NotExecuted(()));
    }
    match relayable(&head, sent) {
        Ok(()) => Verdict::Relay(RelayableHead(head)),
        Err(why) => Verdict::Invalid(why),
    }
}

/// An engine that is not the target instance answers 421; any other status needs the header.
fn states_not_executed(head: &Parts) -> bool {
    head.status == StatusCode::MISDIRECTED_REQUEST
        || head.headers.contains_key(headers::NOT_EXECUTED)
}

/// A surplus response can arrive where the response to the next request is expected; its attempt id reveals that.
/// Only a rejection may lack the id, on a connection where no other response can be due.
fn matches_attempt(head: &Parts, sent: &SentRequest, not_executed: bool) -> bool {
    match head.headers.get(headers::ATTEMPT_ID) {
        Some(id) => id == sent.attempt_id,
        None => not_executed && sent.first_on_connection,
    }
}

fn relayable(head: &Parts, sent: &SentRequest) -> Result<(), InvalidResponse> {
    if head.status.is_informational() {
        return Err(InvalidResponse::Interim);
    }
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return Err(InvalidResponse::Encoded);
    }
    if head.status.is_success() && !head.headers.contains_key(headers::SERVER_SEAL) {
        return Err(InvalidResponse::Unsealed);
    }
    if implies_not_executed(head.status) && sent.retry_mode == RetryMode::Never {
        return Err(InvalidResponse::UnprovenRejection);
    }
    if !has_provable_end(head, sent.method) {
        return Err(InvalidResponse::EndUnprovable);
    }
    Ok(())
}

/// Clients read these statuses as a promise that the request has not run and never will.
fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A body that is ended by closing the connection looks the same when complete and when truncated.
fn has_provable_end(head: &Parts, method: &Method) -> bool {
    let no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    if has_length && is_chunked {
        return false;
    }
    if no_body || method == Method::HEAD || has_length {
        return true;
    }
    is_chunked && head.version == Version::HTTP_11
}

#[cfg(test)]
#[path = "response_check_tests.rs"]
mod tests;
