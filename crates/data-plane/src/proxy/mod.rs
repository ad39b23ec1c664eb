//! The path of a request, from the client's connection to the last byte of the response.
//!
//! | file | step |
//! |---|---|
//! | [`client_listener`] | accepts connections of clients |
//! | [`request`] | reads and validates the request, then dispatches it, with retries where they are allowed |
//! | [`request_body`] | receives the body, within a budget of all requests |
//! | [`engine_selection`] | finds an engine, and a connection to it |
//! | [`dispatch`] | sends the request there, and waits for the response |
//! | [`dispatch_cutoff`] | until when a request that was sent may wait for its response |
//! | [`outgoing_request`] | the request with the headers that the engine receives |
//! | [`response_check`] | validates the head of an engine's response |
//! | [`relay`] | passes the body on, and resumes a broken stream |
//! | [`body_progress`] | tells a body without an end from a long one |
//! | [`response`] | response bodies, and responses that the router itself makes |
//! | [`rejection_body`] | discards the body of a rejection, so that the connection can be reused |
//! | [`bounded_wait`] | waits that end with a deadline or with the router |
//! | [`readiness`] | answers the probes of the platform |
//! | [`response_time`] | estimates response times, for a router that shuts down |
//! | [`in_flight`] | counts the requests whose response is not complete |
//!
//! [`stage`] has a type for each state of a request (accepted, dispatched, responding). A response which promises
//! that the request has not run can only be made from a state that proves it.

pub mod body_progress;
pub mod bounded_wait;
pub mod client_listener;
pub mod dispatch;
pub mod dispatch_cutoff;
pub mod dispatch_load;
pub mod engine_selection;
pub mod events;
pub mod headers;
pub mod in_flight;
pub mod outgoing_request;
pub mod passive_health;
pub mod readiness;
pub mod rejection_body;
pub mod relay;
pub mod request;
pub mod request_body;
pub mod response;
pub mod response_check;
pub mod response_time;
pub mod stage;
