//! The external dependencies that a controller is started with.

use crate::ControllerError;
use crate::storage::RecordQueue;
use crate::storage::format::State;
use crate::storage::writer::{DiskWriter, StateFiles};
use fleet_core::log::Event;
use fleet_core::settings::Settings;
use fleet_core::transport::{Tcp, Transport};
use std::net::IpAddr;
use std::sync::Arc;

/// External dependencies of a controller. The program uses TCP, files and a unique seed; a simulation provides its own.
pub struct Environment {
    /// Transport for listening and for connecting to other nodes.
    pub transport: Arc<dyn Transport>,
    /// Persists records.
    pub disk: Arc<dyn RecordQueue>,
    /// State that was read from the disk at startup.
    pub state: State,
    /// Whether this is the very first start of the cluster, in which this node creates the initial membership.
    pub first_start: bool,
    /// Determines all pseudo-random numbers and the incarnation; must be different for each start.
    pub seed: u64,
}

impl Environment {
    /// The environment of a real process: TCP, the files of its data folder, and a unique seed.
    ///
    /// # Errors
    ///
    /// [`ControllerError::Disk`] if the data folder can't be opened or read.
    pub(crate) fn for_program(
        settings: &Settings,
        log: &slog::Logger,
    ) -> Result<Environment, ControllerError> {
        let OpenedDisk { disk, state, first_start } = OpenedDisk::open(settings, log)?;
        let seed = fleet_core::node::random_id();
        Ok(Environment { transport: Tcp::shared(), disk: Arc::new(disk), state, first_start, seed })
    }
}

/// The disk, and the state that was read from it.
struct OpenedDisk {
    disk: DiskWriter,
    state: State,
    /// Whether this is the very first start of the cluster. An empty disk alone doesn't show this: its contents may
    /// have been lost.
    first_start: bool,
}

impl OpenedDisk {
    fn open(settings: &Settings, log: &slog::Logger) -> Result<OpenedDisk, ControllerError> {
        let Some(folder) = &settings.data_dir else {
            fleet_core::log_event!(log, Event::DiskAbsent);
            let state = State::default();
            return Ok(OpenedDisk { disk: DiskWriter::absent(), state, first_start: false });
        };
        let (files, state) = StateFiles::open(folder).map_err(ControllerError::Disk)?;
        let is_seed = settings.seeds.iter().any(|seed| seed.ip() == IpAddr::V4(settings.ip));
        let first_start = files.was_empty && !files.was_damaged && settings.bootstrap && is_seed;
        if files.was_damaged {
            fleet_core::log_event!(log, Event::SlotDamaged);
        }
        let is_lost = files.was_empty && !first_start;
        let event = if is_lost { Event::DiskEmpty } else { Event::DiskOpened };
        fleet_core::log_event!(log, event, "registers" => state.registers.len());
        Ok(OpenedDisk { disk: DiskWriter::start(files, log.clone()), state, first_start })
    }
}
