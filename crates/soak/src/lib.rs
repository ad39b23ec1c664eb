//! A seeded soak of the programs themselves: controllers and routers as processes on loopback, under signals, kills,
//! restarts, changes of the configuration and engines that leave, which come in series and overlap.
//!
//! The seed draws what happens and when. The processes run on the wall clock, so that a seed gives the same disruptions
//! again, and not the same interleaving.
//!
//! | module | what it is |
//! |---|---|
//! | [`disruption`] | what happens in a run, drawn from its seed |
//! | [`machine`] | the processes of one machine, and signals to them |
//! | [`engine`] | stand-in engines: they answer, queue, stream, send heartbeats, and leave |
//! | [`client`] | clients that use a connection until it is closed |
//! | [`operator`] | configurations |
//! | [`http`] | just as much HTTP/1.1 as these need, with each way in which a response may end |
//! | [`history`] | what all of them saw, with the time |
//! | [`checker`] | what must hold of a history |
//! | [`run`] | one run, from its start to its judgement |

pub mod checker;
pub mod client;
pub mod constants;
pub mod disruption;
pub mod engine;
pub mod history;
pub mod http;
pub mod machine;
pub mod operator;
pub mod run;
