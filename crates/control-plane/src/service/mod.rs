//! What engines and operators ask of a controller, decided apart from HTTP: the handlers in `api`
//! translate, and tests and simulations call the same functions.
//!
//! Each function takes the areas that it works on. All but the views need contact with a majority first ([`require_contact`]).

pub mod configuration;
pub mod instances;
pub mod membership;
pub mod weights;

use crate::consensus::Consensus;

/// Out of contact with a majority of the voters nothing is acknowledged, refused or handed out: the caller
/// goes on to another node at once.
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

/// Why a call isn't carried out, or may not have been.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
#[displaydoc("{status} {code}: {message}")]
pub struct Rejection {
    /// status of the answer
    pub status: http::StatusCode,
    /// word for programs
    pub code: &'static str,
    /// sentence for people
    pub message: String,
}

impl Rejection {
    /// The call itself is wrong.
    pub fn bad_request(code: &'static str, message: impl ToString) -> Rejection {
        let message = message.to_string();
        Rejection { status: http::StatusCode::BAD_REQUEST, code, message }
    }

    /// The call can't be carried out now, or nobody knows whether it was.
    pub fn unavailable(code: &'static str, message: &str) -> Rejection {
        let message = message.to_owned();
        Rejection { status: http::StatusCode::SERVICE_UNAVAILABLE, code, message }
    }
}
