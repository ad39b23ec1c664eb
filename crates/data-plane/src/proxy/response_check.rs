//! What the head of an engine's answer proves: whose answer it is, whether the request has run, and
//! whether its end can be proven. Only this module makes the proofs that `stage` asks for.

use super::headers;
use crate::fleet_view::routing_table::Repeat;
use http::response::Parts;
use http::{HeaderValue, Method, StatusCode, Version, header};

/// Proof by the engine that it has not run the request and never will.
#[derive(Debug)]
pub struct NotExecuted(());

/// The head of an answer that may go to the client as it is.
#[derive(Debug)]
pub struct RelayableHead(Parts);

impl RelayableHead {
    /// The engine's own status.
    pub fn status(&self) -> StatusCode {
        self.0.status
    }

    /// The engine's headers, as they came, moved out.
    pub fn take_headers(&mut self) -> http::HeaderMap {
        std::mem::take(&mut self.0.headers)
    }
}

/// Why an answer is not passed on. The request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum InvalidResponse {
    /// belongs to another request, or does not say to which
    Unidentified,
    /// says both that it has not run and that it succeeded
    Contradictory,
    /// an interim status in place of a final one
    Interim,
    /// body in an encoding that nobody asked for
    Encoded,
    /// a success without the engine's seal
    Unsealed,
    /// the end of the body can't be told from a break
    EndUnprovable,
    /// a status that promises that the request has not run, with no proof of it
    UnprovenRefusal,
}

/// What became of a request, by the head of the answer to it.
#[derive(Debug)]
pub enum Verdict {
    /// not run: it may be sent again or refused
    NotExecuted(NotExecuted),
    /// an answer for the client
    Relay(RelayableHead),
    /// no answer that anybody may see
    Invalid(InvalidResponse),
}

/// What is known of a request when its answer comes.
pub struct SentRequest<'a> {
    /// the client's id of this try
    pub attempt: &'a HeaderValue,
    /// decides whether a body follows
    pub method: &'a Method,
    /// whether it may run twice
    pub repeat: Repeat,
    /// no earlier request went out on this connection whose answer this could be
    pub first_on_connection: bool,
}

/// Reads the head of an answer.
pub fn check(head: Parts, sent: &SentRequest) -> Verdict {
    let not_executed = states_not_executed(&head);
    if !is_ours(&head, sent, not_executed) {
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

/// A 421 comes from an engine that is not the target; else only the header states it.
fn states_not_executed(head: &Parts) -> bool {
    head.status == StatusCode::MISDIRECTED_REQUEST
        || head.headers.contains_key(headers::NOT_EXECUTED)
}

/// An answer too many may come where the next one is due: its id shows that. One that rejects a request
/// away may lack the id, where nobody else's answer can be due.
fn is_ours(head: &Parts, sent: &SentRequest, not_executed: bool) -> bool {
    match head.headers.get(headers::ATTEMPT_ID) {
        Some(id) => id == sent.attempt,
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
    if promises_not_run(head.status) && sent.repeat == Repeat::Never {
        return Err(InvalidResponse::UnprovenRefusal);
    }
    if !has_provable_end(head, sent.method) {
        return Err(InvalidResponse::EndUnprovable);
    }
    Ok(())
}

/// Clients take these for the promise that the request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A body that ends with its connection looks the same whole and cut off.
fn has_provable_end(head: &Parts, method: &Method) -> bool {
    let no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    let is_coded = head.headers.contains_key(header::TRANSFER_ENCODING);
    if has_length && is_coded {
        return false;
    }
    if no_body || method == Method::HEAD || has_length {
        return true;
    }
    is_coded && head.version == Version::HTTP_11
}

#[cfg(test)]
#[path = "response_check_tests.rs"]
mod tests;
