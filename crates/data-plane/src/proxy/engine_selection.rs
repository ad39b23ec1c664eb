//! Finds an engine for a request, with a connection on which it can be sent.

use super::bounded_wait::{run_until, send_deadline};
use super::dispatch_cutoff::DispatchCutoff;
use super::passive_health;
use super::stage::{Accepted, ClientRequest};
use crate::Router;
use crate::fleet_view::FleetView;
use crate::fleet_view::routing_table::{RetryMode, RoutingTable};
use crate::load_balancer::{self, Choice};
use crate::pool::connection::{self, CheckoutOptions, ConnectionError, PooledConnection};
use crate::shutdown::Phase;
use fleet_core::constants;
use tokio::time::Instant;

/// The engine chosen for a request, and a connection to it.
pub struct SelectedEngine {
    /// The engine, and the weights and cached prompt parts that it uses.
    pub choice: Choice,
    /// The connection; nothing was sent on it for this request.
    pub connection: PooledConnection,
}

/// Chooses an engine and obtains a connection to it. Chooses again if what became known meanwhile supersedes the choice.
///
/// # Errors
///
/// Returns the request if no engine is available, the deadline is too close, or this router has to answer pending
/// requests because it shuts down. No further byte of it was sent.
pub async fn find_engine(
    router: &Router,
    mut accepted: Accepted,
) -> Result<(SelectedEngine, Accepted), Accepted> {
    while Instant::now() < send_deadline(accepted.request())
        && router.shutdown.phase() < Phase::Terminating
    {
        let request = accepted.request();
        let in_force = router.fleet_view.routing_table_since(&request.routing_table);
        let Ok(choice) = load_balancer::choose_engine(
            router,
            &in_force,
            &request.service,
            request.tenant.as_deref(),
            &request.prompt,
            &request.excluded_engines,
        ) else {
            return Err(accepted);
        };
        let options = CheckoutOptions {
            service: &request.service,
            max_connections: connection_share(&router.fleet_view, &in_force, request),
            repeatable: request.retry_mode != RetryMode::Never,
        };
        let checking_out = connection::checkout(router, &choice.engine, options);
        match run_until(router, send_deadline(request), checking_out).await {
            Ok(Ok(_)) if DispatchCutoff::new(router, request, &choice).is_superseded() => {}
            Ok(Ok(connection)) => return Ok((SelectedEngine { choice, connection }, accepted)),
            Ok(Err(error)) => {
                if error != ConnectionError::Full {
                    passive_health::record_connection_failure(
                        &router.log,
                        &choice.engine,
                        &error.to_string(),
                    );
                }
                accepted.exclude(&choice.engine.id);
            }
            Err(_) => return Err(accepted),
        }
    }
    Err(accepted)
}

/// This router's share of the connections that an engine accepts from all routers. If the configuration in force has
/// removed the service, the one under which the request was accepted counts.
fn connection_share(view: &FleetView, in_force: &RoutingTable, request: &ClientRequest) -> u32 {
    let service = in_force
        .service(&request.service)
        .or_else(|| request.routing_table.service(&request.service));
    let engine_limit = service.map_or(0, |service| service.max_conns) as usize;
    let routers = view.routers() + constants::BUDGET_SPARE_ROUTERS;
    (engine_limit / routers).max(constants::MIN_CONNECTIONS) as u32
}
