//! What a controller is started with from outside.

use crate::ControllerError;
use crate::storage::RecordQueue;
use crate::storage::format::State;
use crate::storage::writer::{Disk, Files};
use fleet_core::log::Event;
use fleet_core::settings::Settings;
use fleet_core::transport::{Tcp, Transport};
use std::net::IpAddr;
use std::sync::Arc;

/// All that a controller gets from outside: the programs give TCP, files and a seed like no
/// other, a simulation gives its own.
pub struct Environment {
    /// Where it listens, and reaches others.
    pub transport: Arc<dyn Transport>,
    /// What it keeps records with.
    pub disk: Arc<dyn RecordQueue>,
    /// What was on the disk at the start.
    pub state: State,
    /// Whether this is the first start of all, which founds the membership.
    pub first_start: bool,
    /// All pseudo-random numbers and the incarnation follow from it; each start needs another.
    pub seed: u64,
}

impl Environment {
    /// The environment of a program: TCP, the files of its data folder, and a seed like no other.
    ///
    /// # Errors
    ///
    /// [`ControllerError::Disk`] where the data folder can't be opened or read.
    pub(crate) fn of_program(
        settings: &Settings,
        log: &slog::Logger,
    ) -> Result<Environment, ControllerError> {
        let OpenedDisk { disk, state, first_start } = OpenedDisk::open(settings, log)?;
        let seed = fleet_core::node::fresh();
        Ok(Environment { transport: Tcp::shared(), disk: Arc::new(disk), state, first_start, seed })
    }
}

/// The disk, and what it holds.
struct OpenedDisk {
    disk: Disk,
    state: State,
    /// Whether this is the first start of all: an empty disk alone may as well be a lost one.
    first_start: bool,
}

impl OpenedDisk {
    fn open(settings: &Settings, log: &slog::Logger) -> Result<OpenedDisk, ControllerError> {
        let Some(folder) = &settings.data_dir else {
            fleet_core::log_event!(log, Event::DiskAbsent);
            let state = State::default();
            return Ok(OpenedDisk { disk: Disk::absent(), state, first_start: false });
        };
        let (files, state) = Files::open(folder).map_err(ControllerError::Disk)?;
        let is_seed = settings.seeds.iter().any(|seed| seed.ip() == IpAddr::V4(settings.ip));
        let first_start = files.empty && !files.damaged && settings.bootstrap && is_seed;
        if files.damaged {
            fleet_core::log_event!(log, Event::SlotDamaged);
        }
        let is_lost = files.empty && !first_start;
        let event = if is_lost { Event::DiskEmpty } else { Event::DiskOpened };
        fleet_core::log_event!(log, event, "registers" => state.registers.len());
        Ok(OpenedDisk { disk: Disk::start(files, log.clone()), state, first_start })
    }
}
