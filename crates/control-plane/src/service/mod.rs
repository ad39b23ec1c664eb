//! Operations that engines and operators request from a controller, independent of HTTP: the handlers in `api`
//! translate requests into calls of these functions, which tests and simulations call directly.
//!
//! Each function takes the components that it works on. All except the views require contact with a majority
//! ([`require_contact`]).

pub mod configuration;
pub mod instances;
pub mod membership;
pub mod weights;

use crate::consensus::Consensus;

/// Checks for contact with a majority of the voters. Without it, requests are neither acknowledged, refused nor served,
/// so that the caller tries another node at once.
///
/// # Errors
///
/// 503 `no_contact`.
pub fn require_contact(consensus: &Consensus) -> Result<(), Rejection> {
    if consensus.in_contact() {
        return Ok(());
    }
    Err(Rejection::unavailable("no_contact", "out of contact with a majority of the controllers"))
}

/// Why a call was not executed, or may not have been.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
#[displaydoc("{status} {code}: {message}")]
pub struct Rejection {
    /// HTTP status of the response.
    pub status: http::StatusCode,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Human-readable description.
    pub message: String,
}

impl Rejection {
    /// 400: the call itself is invalid.
    pub fn bad_request(code: &'static str, message: impl ToString) -> Rejection {
        let message = message.to_string();
        Rejection { status: http::StatusCode::BAD_REQUEST, code, message }
    }

    /// 503: the call can't be executed now, or it is unknown whether it was.
    pub fn unavailable(code: &'static str, message: &str) -> Rejection {
        let message = message.to_owned();
        Rejection { status: http::StatusCode::SERVICE_UNAVAILABLE, code, message }
    }
}
