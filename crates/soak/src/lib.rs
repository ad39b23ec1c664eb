//! A seeded soak test of the real programs: controllers and routers run as processes on loopback addresses and are
//! subjected to overlapping series of signals, kills, restarts, configuration changes and engine departures.
//!
//! The seed determines the disruptions and their times. Since the processes run in real time, a seed reproduces the
//! same disruptions but not the same interleaving.
//!
//! | module | content |
//! |---|---|
//! | [`disruption`] | the disruptions of a run, drawn from its seed |
//! | [`machine`] | the processes of one machine: start, signals, kills |
//! | [`engine`] | simulated engines: they queue, answer, stream, send heartbeats and depart |
//! | [`engine_model`] | their weights, and the prompt parts that they keep |
//! | [`faulty_engine`] | an engine whose responses have no end |
//! | [`client`] | clients that reuse a connection until it is closed |
//! | [`operator`] | sends and reads configurations, and names versions of the weights |
//! | [`http`] | a minimal HTTP/1.1 implementation that distinguishes the ways in which a response can end |
//! | [`history`] | the recorded events of a run, with their times |
//! | [`checker`] | the rules that a history must satisfy |
//! | [`model_checker`] | the rules on weights and on prompt parts of isolated tenants |
//! | [`run`] | one run, from the start of the fleet to the check of its history |

pub mod checker;
pub mod client;
pub mod constants;
pub mod disruption;
pub mod engine;
pub mod engine_model;
pub mod faulty_engine;
pub mod history;
pub mod http;
pub mod machine;
pub mod model_checker;
pub mod operator;
pub mod run;
