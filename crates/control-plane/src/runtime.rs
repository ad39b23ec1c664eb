//! Startup and shutdown of a controller.

use crate::controller::Controller;
use crate::environment::Environment;
use crate::{ControllerError, api};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::program::ProgramContext;
use fleet_core::settings::Settings;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

impl Controller {
    /// Starts a controller, except for its HTTP server.
    ///
    /// # Errors
    /// [`ControllerError::Listen`] if it can't listen on the port for peers.
    pub async fn start(
        settings: Settings,
        log: slog::Logger,
        environment: Environment,
    ) -> Result<RunningController, ControllerError> {
        let address = settings.peer_addr(settings.ip.into());
        let listener = environment
            .transport
            .listen(address)
            .map_err(|error| ControllerError::Listen(address, error.kind()))?;
        let first_start = environment.first_start;
        let controller = Controller::new(settings, log, environment);
        controller.load_membership(first_start).await;
        let tasks = controller.spawn_tasks(listener);
        let incarnation = controller.node().incarnation;
        fleet_core::log_event!(controller.process().log, Event::Started, "incarnation" => incarnation);
        Ok(RunningController { controller, tasks })
    }
}

/// A running controller. Its tasks are aborted when this is dropped.
pub struct RunningController {
    controller: Arc<Controller>,
    tasks: JoinSet<()>,
}

impl RunningController {
    /// The controller, for use with the functions of [`crate::service`].
    pub fn controller(&self) -> &Arc<Controller> {
        &self.controller
    }

    /// Shuts down gracefully, as the program does on SIGTERM: releases the leases and the ownership of keys, and sends
    /// the other controllers any engine state that they may lack.
    pub async fn shut_down(&self) {
        self.controller.shut_down().await;
    }

    /// Stops at once, as in a crash: aborts all tasks and closes all connections. Operations that were already handed
    /// over (records to be written, responses being produced) complete only as far as the transport and the disk still
    /// accept them.
    pub fn abort(self) {
        drop(self);
    }
}

impl Drop for RunningController {
    fn drop(&mut self) {
        self.tasks.abort_all();
        self.controller.close_links();
    }
}

/// Runs a controller until it is told to stop, then shuts it down gracefully.
///
/// # Errors
///
/// A required setting is missing, the disk can't be used, or a port can't be listened on. Nothing is left running then.
pub async fn run(start: ProgramContext) -> Result<(), ControllerError> {
    let ProgramContext { settings, log, stop, reloaded_settings, metrics } = start;
    let control =
        settings.control_addr.ok_or(ControllerError::SettingMissing("bindAddrs.control"))?;
    let environment = Environment::for_program(&settings, &log)?;
    let mut running = Controller::start(settings, log.clone(), environment).await?;
    if let Some(address) = metrics {
        let source = running.controller.clone();
        running.tasks.spawn(telemetry::serve(address, log, source));
    }
    let server = api::serve(running.controller(), control)
        .map_err(|error| ControllerError::ApiServer(error.kind()))?;
    run_until_stopped(running.controller(), stop, reloaded_settings).await;
    running.shut_down().await;
    let _ = tokio::time::timeout(constants::SERVER_CLOSE_TIMEOUT, server.close()).await;
    running.abort();
    Ok(())
}

async fn run_until_stopped(
    controller: &Controller,
    mut stop: watch::Receiver<bool>,
    mut reloaded_settings: mpsc::Receiver<Settings>,
) {
    loop {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => return,
            Some(settings) = reloaded_settings.recv() => controller.reconfigure(settings),
        }
    }
}
