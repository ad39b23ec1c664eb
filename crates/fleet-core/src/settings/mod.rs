//! The settings file: lines of the form `a.b=value`, provided to each process by the platform.
//!
//! Unknown fields are ignored, so that an older program can read a newer file. List items are separated by commas.

mod error;
mod fields;

use fields::Fields;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

pub use error::SettingsError;

/// Time bounds and ratios that the deployment guarantees or requires (`bounds.*`).
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time after which an engine that asked to drain gets no new requests (`drainMs`).
    pub drain: Duration,
    /// Maximum time from SIGTERM to the end of the process (`graceS`).
    pub grace: Duration,
    /// Maximum time from acknowledging a configuration until it is in force on every router (`applyMs`).
    pub apply: Duration,
    /// Duration of a lease (`leaseMs`).
    pub lease: Duration,
    /// Maximum time from setting a target version until requests are served with it (`versionMs`).
    pub version: Duration,
    /// A process that has run undisturbed for this long is expected to be in contact with the others (`contactMs`).
    pub contact: Duration,
    /// A machine counts as lost until it, or its replacement, has run for this long (`catchUpS`).
    pub catch_up: Duration,
    /// Retries allowed per incoming request within a window (`retryRatio`).
    pub retry_ratio: f64,
    /// Length of the sliding window in which retries are counted (`retryWindowS`).
    pub retry_window: Duration,
    /// Additional retries allowed within a window, for all routers together (`retrySlack`).
    pub retry_slack: f64,
}

/// Ports reserved on every machine for communication between nodes; the same on all machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortRange {
    /// The lowest port, on which controllers listen for peers.
    pub first: u16,
    /// The highest port, inclusive.
    pub last: u16,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the node; shared by both programs of a machine.
    pub node_name: String,
    /// Role as named in the deploy file; empty if not given.
    pub role: String,
    /// Address of the machine; outgoing connections use it as their source address.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine; empty if not given.
    pub region: String,
    /// All zones with their regions, sorted by name.
    pub zones: Vec<(String, String)>,
    /// Listen address for clients; required by routers.
    pub front_addr: Option<SocketAddr>,
    /// Listen address for the platform's readiness probes; required by routers.
    pub readiness_addr: Option<SocketAddr>,
    /// Listen address for engines and operators; required by controllers.
    pub control_addr: Option<SocketAddr>,
    /// Ports for communication between nodes.
    pub ports: PortRange,
    /// `control` addresses of some controllers; those given at a later start may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// True only at the very first start of the system, with empty disks: the seeds are then the initial members.
    pub bootstrap: bool,
    /// Whether the platform counts the machine among those whose losses `tolerance` limits; controllers run on these.
    pub counted: bool,
    /// Data directory on the machine's disk; `None` for a machine without a disk.
    pub data_dir: Option<std::path::PathBuf>,
    /// Interval between two heartbeats of an engine; at least 50 ms.
    pub heartbeat: Duration,
    /// Number of cores of the machine and of worker threads.
    pub cores: usize,
    /// Maximum number of open file descriptors.
    pub max_fds: usize,
    /// Number of counted machines that may be lost together without violating any guarantee (`tolerance.machines`).
    pub tolerated_machine_losses: usize,
    /// Number of zones that may be lost together (`tolerance.zones`).
    pub tolerated_zone_losses: usize,
    /// Number of regions that may be lost together (`tolerance.regions`).
    pub tolerated_region_losses: usize,
    /// Time bounds and ratios.
    pub bounds: Bounds,
}

impl Bounds {
    fn parse(fields: &Fields<'_>) -> Result<Bounds, SettingsError> {
        Ok(Bounds {
            drain: fields.duration("bounds.drainMs", 1.0, 2000.0)?,
            grace: fields.duration("bounds.graceS", 1000.0, 8.0)?,
            apply: fields.duration("bounds.applyMs", 1.0, 2000.0)?,
            lease: fields.duration("bounds.leaseMs", 1.0, 3000.0)?,
            version: fields.duration("bounds.versionMs", 1.0, 8000.0)?,
            contact: fields.duration("bounds.contactMs", 1.0, 3000.0)?,
            catch_up: fields.duration("bounds.catchUpS", 1000.0, 4.0)?,
            retry_ratio: fields.optional("bounds.retryRatio", "a number")?.unwrap_or(0.0),
            retry_window: fields.duration("bounds.retryWindowS", 1000.0, 10.0)?,
            retry_slack: fields.optional("bounds.retrySlack", "a number")?.unwrap_or(0.0),
        })
    }
}

impl Settings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// The first error found: a line is not a key-value pair, a required field is missing, or a value is malformed.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let fields = Fields::parse(text)?;
        let ports = fields.ports()?;
        let seeds = fields.seeds()?;
        Ok(Settings {
            node_name: fields.required("nodeName", "a name")?,
            role: fields.optional("role", "a name")?.unwrap_or_default(),
            ip: fields.required("ip", "an IPv4 address")?,
            zone: fields.required("zone", "a name")?,
            region: fields.optional("region", "a name")?.unwrap_or_default(),
            zones: fields.zones(),
            front_addr: fields.optional("bindAddrs.frontHttp", "an address with a port")?,
            readiness_addr: fields.optional("bindAddrs.readiness", "an address with a port")?,
            control_addr: fields.optional("bindAddrs.control", "an address with a port")?,
            ports,
            seeds,
            bootstrap: fields.optional("bootstrap", "true or false")?.unwrap_or(false),
            counted: fields.optional("counted", "true or false")?.unwrap_or(false),
            data_dir: fields.optional("dataDir", "a path")?,
            heartbeat: fields.duration("heartbeatMs", 1.0, 1000.0)?.max(Duration::from_millis(50)),
            cores: fields.optional("limits.cores", "a whole number")?.unwrap_or(1usize).max(1),
            max_fds: fields.optional("limits.maxFds", "a whole number")?.unwrap_or(1024),
            tolerated_machine_losses: fields
                .optional("tolerance.machines", "a whole number")?
                .unwrap_or(1),
            tolerated_zone_losses: fields
                .optional("tolerance.zones", "a whole number")?
                .unwrap_or(0),
            tolerated_region_losses: fields
                .optional("tolerance.regions", "a whole number")?
                .unwrap_or(0),
            bounds: Bounds::parse(&fields)?,
        })
    }

    /// Reads and parses the settings file at this path.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or [`Settings::parse`] rejects it.
    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Unreadable(path.to_owned(), e.to_string()))?;
        Self::parse(&text)
    }

    /// The path given by the environment variable `ANISEDYKE_SETTINGS`.
    ///
    /// # Errors
    ///
    /// [`SettingsError::VariableUnset`] if the variable is missing.
    pub fn path() -> Result<String, SettingsError> {
        std::env::var("ANISEDYKE_SETTINGS").map_err(|_| SettingsError::VariableUnset)
    }

    /// The port on which controllers listen for peers; the same on all machines.
    pub fn peer_port(&self) -> u16 {
        self.ports.first
    }

    /// The peer address of the controller on the machine with this IP address.
    pub fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_port())
    }
}

#[cfg(test)]
mod tests;
