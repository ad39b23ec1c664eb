//! Links between the system's own processes: length-prefixed protobuf frames over a transport, with numbered calls.
//!
//! The side that knows an address maintains a [`Link`] to it: it connects, identifies itself with a
//! [`Handshake`](crate::wire::Handshake), and reconnects after a failure. The listening side serves incoming
//! connections with [`serve_peers`]; a [`PeerHandler`] answers calls, and may push messages through the [`Peer`].
//!
//! A call number is never reused on a link, so that an answer is delivered to the call that it belongs to or
//! discarded. The link never retransmits: a call without an answer may have been executed.
//!
//! What peers make a process keep is bounded over all of its links: frames that are received, and frames that wait for
//! a slow reader ([`LinkBudgets`]).
//!
//! Suggested reading order: `frame`, `queue`, `writer`, `client`, `peer`.

mod budgets;
mod client;
mod error;
mod frame;
mod peer;
mod queue;
mod writer;

pub use crate::transport::{connect, listen, set_socket_options};
pub use budgets::LinkBudgets;
pub use client::{Link, Pushed};
pub use error::LinkError;
pub use peer::{Peer, PeerHandler, serve_peers};

#[cfg(test)]
mod backlog_tests;
#[cfg(test)]
mod budgets_tests;
#[cfg(test)]
mod tests;
