//! Links between the system's own processes: frames of prost over a transport, calls by number.
//!
//! The side that knows an address keeps a [`Link`] up to it: it connects, introduces itself with a
//! [`Handshake`](crate::wire::Handshake), and connects again after a break. The side that listens serves whoever comes
//! with [`serve_peers`]; a [`PeerHandler`] answers, and may push messages that nobody asked for through the [`Peer`].
//!
//! A call has a number that is never used twice on a link, so that an answer goes to the call that caused it or to
//! none. Nothing is sent again by the link: a call whose answer is missing may have been carried out.
//!
//! Read in this order: `frame`, `writer`, `client`, `peer`.

mod client;
mod error;
mod frame;
mod peer;
mod writer;

pub use crate::transport::{connect, listen, set_socket_options};
pub use client::Link;
pub use error::LinkError;
pub use peer::{Peer, PeerHandler, serve_peers};

#[cfg(test)]
mod backlog_tests;
#[cfg(test)]
mod tests;
