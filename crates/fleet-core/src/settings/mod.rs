//! The settings file: lines of the form `a.b=value`, given to each process by its platform.
//!
//! Unknown fields are ignored, so that an older program can read a newer file. Lists are joined by commas.

mod error;
mod lines;

use lines::Lines;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

pub use error::SettingsError;

/// Times and ratios that the deployment promises or demands (`bounds.*`).
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// An engine that asked to drain gets no new requests after this (`drainMs`).
    pub drain: Duration,
    /// From SIGTERM to the end of the process at the latest (`graceS`).
    pub grace: Duration,
    /// From the acknowledgement of a configuration until it is in force at every router (`applyMs`).
    pub apply: Duration,
    /// Length of a lease (`leaseMs`).
    pub lease: Duration,
    /// From naming weights until requests are answered with them (`versionMs`).
    pub version: Duration,
    /// A process that ran without trouble for this long counts as in touch with the others (`contactMs`).
    pub contact: Duration,
    /// A machine counts as lost until it, or its successor, has run for this long (`catchUpS`).
    pub catch_up: Duration,
    /// Second sends allowed for each arrival, within a window (`retryRatio`).
    pub retry_ratio: f64,
    /// The sliding window in which second sends are counted (`retryWindowS`).
    pub retry_window: Duration,
    /// Second sends allowed besides, within a window, by all routers together (`retrySlack`).
    pub retry_slack: f64,
}

/// Ports left free on every machine for what nodes say to each other; alike on all machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortRange {
    /// The lowest port, at which controllers listen for peers.
    pub first: u16,
    /// The highest port, inclusive.
    pub last: u16,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the node; both programs of a machine share it.
    pub node_name: String,
    /// Name of the role as the deploy file has it; empty if not given.
    pub role: String,
    /// The machine's address, from which connections are opened as well.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine; empty if not given.
    pub region: String,
    /// All zones, each with its region, sorted.
    pub zones: Vec<(String, String)>,
    /// Where clients arrive; routers need it.
    pub front: Option<SocketAddr>,
    /// Where the platform asks whether the node is ready; routers need it.
    pub readiness: Option<SocketAddr>,
    /// Where engines and the operator call; controllers need it.
    pub control: Option<SocketAddr>,
    /// Ports for what nodes say to each other.
    pub ports: PortRange,
    /// `control` addresses of some controllers; later ones may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// True only at the very first start of all, on empty disks: the seeds are then the members.
    pub bootstrap: bool,
    /// Whether the platform counts the machine among those whose loss `tolerance` bounds; controllers run there.
    pub counted: bool,
    /// Folder on the machine's disk; none on a machine without one.
    pub data_dir: Option<std::path::PathBuf>,
    /// Time between two heartbeats of an engine; at least 50 ms.
    pub heartbeat: Duration,
    /// Cores of the machine, which is also the number of worker threads.
    pub cores: usize,
    /// Descriptors that the process may have open.
    pub max_fds: usize,
    /// Counted machines that may be lost together while every rule holds (`tolerance.machines`).
    pub losses: usize,
    /// Zones that may be lost together (`tolerance.zones`).
    pub lost_zones: usize,
    /// Regions that may be lost together (`tolerance.regions`).
    pub lost_regions: usize,
    /// Times and ratios.
    pub bounds: Bounds,
}

impl Bounds {
    fn parse(lines: &Lines<'_>) -> Result<Bounds, SettingsError> {
        Ok(Bounds {
            drain: lines.duration("bounds.drainMs", 1.0, 2000.0)?,
            grace: lines.duration("bounds.graceS", 1000.0, 8.0)?,
            apply: lines.duration("bounds.applyMs", 1.0, 2000.0)?,
            lease: lines.duration("bounds.leaseMs", 1.0, 3000.0)?,
            version: lines.duration("bounds.versionMs", 1.0, 8000.0)?,
            contact: lines.duration("bounds.contactMs", 1.0, 3000.0)?,
            catch_up: lines.duration("bounds.catchUpS", 1000.0, 4.0)?,
            retry_ratio: lines.optional("bounds.retryRatio", "a number")?.unwrap_or(0.0),
            retry_window: lines.duration("bounds.retryWindowS", 1000.0, 10.0)?,
            retry_slack: lines.optional("bounds.retrySlack", "a number")?.unwrap_or(0.0),
        })
    }
}

impl Settings {
    /// Reads the text of a settings file.
    ///
    /// # Errors
    ///
    /// A line is no pair, a field is missing, or its value is malformed; the first one found.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let lines = Lines::parse(text)?;
        let ports = lines.ports()?;
        let seeds = lines.seeds()?;
        Ok(Settings {
            node_name: lines.required("nodeName", "a name")?,
            role: lines.optional("role", "a name")?.unwrap_or_default(),
            ip: lines.required("ip", "an IPv4 address")?,
            zone: lines.required("zone", "a name")?,
            region: lines.optional("region", "a name")?.unwrap_or_default(),
            zones: lines.zones(),
            front: lines.optional("bindAddrs.frontHttp", "an address with a port")?,
            readiness: lines.optional("bindAddrs.readiness", "an address with a port")?,
            control: lines.optional("bindAddrs.control", "an address with a port")?,
            ports,
            seeds,
            bootstrap: lines.optional("bootstrap", "true or false")?.unwrap_or(false),
            counted: lines.optional("counted", "true or false")?.unwrap_or(false),
            data_dir: lines.optional("dataDir", "a path")?,
            heartbeat: lines.duration("heartbeatMs", 1.0, 1000.0)?.max(Duration::from_millis(50)),
            cores: lines.optional("limits.cores", "a whole number")?.unwrap_or(1usize).max(1),
            max_fds: lines.optional("limits.maxFds", "a whole number")?.unwrap_or(1024),
            losses: lines.optional("tolerance.machines", "a whole number")?.unwrap_or(1),
            lost_zones: lines.optional("tolerance.zones", "a whole number")?.unwrap_or(0),
            lost_regions: lines.optional("tolerance.regions", "a whole number")?.unwrap_or(0),
            bounds: Bounds::parse(&lines)?,
        })
    }

    /// Reads the settings file at this path.
    ///
    /// # Errors
    ///
    /// The file can't be read, or [`Settings::parse`] rejects it.
    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Unreadable(path.to_owned(), e.to_string()))?;
        Self::parse(&text)
    }

    /// The path that the environment names.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Unnamed`] where the variable is missing.
    pub fn path() -> Result<String, SettingsError> {
        std::env::var("ANISEDYKE_SETTINGS").map_err(|_| SettingsError::Unnamed)
    }

    /// The port at which controllers listen for peers, the same on all machines.
    pub fn peer_port(&self) -> u16 {
        self.ports.first
    }

    /// Where the controller of a machine listens for peers.
    pub fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_port())
    }
}

#[cfg(test)]
mod tests;
