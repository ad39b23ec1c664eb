//! A controller's life: how it starts, and how it ends.

use crate::controller::Controller;
use crate::environment::Environment;
use crate::{ControllerError, api};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::program::Start;
use fleet_core::settings::Settings;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

impl Controller {
    /// Starts all of a controller but its HTTP server.
    ///
    /// # Errors
    /// [`ControllerError::Listen`] where the port for peers can't be listened at.
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

/// A controller and its tasks, which are aborted when this is dropped.
pub struct RunningController {
    controller: Arc<Controller>,
    tasks: JoinSet<()>,
}

impl RunningController {
    /// The controller itself, for the functions of [`crate::service`].
    pub fn controller(&self) -> &Arc<Controller> {
        &self.controller
    }

    /// Ends in good order, as a program does on SIGTERM: releases its leases and keys, and sends the
    /// others what they may not know of the engines.
    pub async fn leave(&self) {
        self.controller.leave().await;
    }

    /// Ends at once, as in a crash: its tasks stop where they are, its connections close. Steps that it had
    /// already handed on (records, answers being made) end where transport and disk take no more of them.
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

/// Runs a controller until it is stopped.
///
/// # Errors
///
/// A setting is missing, the disk can't be used, or a port can't be listened at. Nothing runs then.
pub async fn run(start: Start) -> Result<(), ControllerError> {
    let Start { settings, log, stop, reread, metrics } = start;
    let control = settings.control.ok_or(ControllerError::SettingMissing("bindAddrs.control"))?;
    let environment = Environment::of_program(&settings, &log)?;
    let mut running = Controller::start(settings, log.clone(), environment).await?;
    if let Some(address) = metrics {
        let source = running.controller.clone();
        running.tasks.spawn(telemetry::serve(address, log, source));
    }
    let server = api::serve(running.controller(), control)
        .map_err(|e| ControllerError::Control(e.kind()))?;
    until_stopped(running.controller(), stop, reread).await;
    running.leave().await;
    let _ = tokio::time::timeout(constants::SERVER_CLOSE_TIMEOUT, server.close()).await;
    running.abort();
    Ok(())
}

async fn until_stopped(
    controller: &Controller,
    mut stop: watch::Receiver<bool>,
    mut reread: mpsc::Receiver<Settings>,
) {
    loop {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => return,
            Some(settings) = reread.recv() => controller.reconfigure(settings),
        }
    }
}
