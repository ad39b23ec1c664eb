//! Engines as a router uses them: load, ejection, and the connections to them.
//!
//! An [`EngineHandle`] exists as long as its engine is known. It keeps its load and its idle connections under one
//! lock, and no two of these locks are held together. A connection is checked out for one request ([`connection`]),
//! and returns to the pool after a response whose end could be verified. [`engine_stream`] limits the
//! bytes that are no response, and [`idle_timeout`] estimates how long engines keep idle connections.

pub mod connection;
pub mod engine;
pub mod engine_stream;
pub mod idle_timeout;

pub use engine::{EngineActivity, EngineHandle, Health, ReportedLoad};
pub use engine_stream::EngineBody;

use fleet_core::constants;
use fleet_core::wire::EngineState;
use tokio::time::Instant;

/// Periodically closes connections whose idle time limit has passed, and removes engines that deregistered long ago.
pub async fn run_idle_sweeper(router: std::sync::Arc<crate::Router>) {
    let mut deregistered = hashbrown::HashMap::<String, Instant>::new();
    loop {
        tokio::time::sleep(constants::IDLE_CONNECTION_TIMEOUT / 4).await;
        let now = Instant::now();
        let handles: Vec<_> = router.fleet_view.engines.read().values().cloned().collect();
        for handle in handles {
            handle.drop_expired_idle(now);
            if handle.state().state() == EngineState::Deregistered {
                deregistered.entry_ref(handle.id.as_str()).or_insert(now);
            }
        }
        let expired: Vec<String> = deregistered
            .extract_if(|_, at| now.duration_since(*at) > constants::DEPARTURE_RETENTION)
            .map(|(id, _)| id)
            .collect();
        let mut handles = router.fleet_view.engines.write();
        for id in expired {
            handles.remove(&id);
        }
    }
}
