//! The settings file: lines of the form `a.b=value`, given to each process by its platform.
//!
//! Unknown fields are ignored, so that an older program can read a newer file. Lists are joined by commas.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Why a settings file cannot be used.
#[derive(Debug, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum SettingsError {
    /// the variable ANISEDYKE_SETTINGS names no settings file
    Unnamed,
    /// the settings file {0} can't be read: {1}
    Unreadable(String, String),
    /// {field}: missing from the settings file
    Missing {
        /// name of the field
        field: &'static str,
    },
    /// line {line}: {field}: `{value}` is not {wanted}
    Malformed {
        /// number of the line, from 1
        line: usize,
        /// name of the field
        field: String,
        /// what stands there
        value: String,
        /// what should stand there, with its article
        wanted: &'static str,
    },
    /// line {line}: not of the form name=value
    NoPair {
        /// number of the line, from 1
        line: usize,
    },
}

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

/// A field as it stands in the file.
#[derive(Clone, Copy)]
struct Field<'a> {
    /// number of the line, from 1
    line: usize,
    value: &'a str,
}

/// All fields of a file; of one that is given twice, the last.
struct Lines<'a> {
    fields: hashbrown::HashMap<&'a str, Field<'a>>,
}

/// The error that names a field and its line.
fn malformed(field: &str, found: Field<'_>, wanted: &'static str) -> SettingsError {
    SettingsError::Malformed {
        line: found.line,
        field: field.to_owned(),
        value: found.value.to_owned(),
        wanted,
    }
}

impl<'a> Lines<'a> {
    fn parse(text: &'a str) -> Result<Self, SettingsError> {
        let mut fields = hashbrown::HashMap::new();
        for (index, raw) in text.lines().enumerate() {
            let trimmed = raw.trim();
            if trimmed.is_empty() || trimmed.starts_with('#') {
                continue;
            }
            let line = index + 1;
            let Some((name, value)) = trimmed.split_once('=') else {
                return Err(SettingsError::NoPair { line });
            };
            fields.insert(name.trim(), Field { line, value: value.trim() });
        }
        Ok(Lines { fields })
    }

    fn find(&self, field: &str) -> Option<Field<'a>> {
        self.fields.get(field).copied()
    }

    /// The value of a field, if the field is there.
    fn optional<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(found) = self.find(field) else { return Ok(None) };
        let value = found.value.parse().map_err(|_| malformed(field, found, wanted))?;
        Ok(Some(value))
    }

    /// The value of a field that has to be there.
    fn required<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<T, SettingsError> {
        self.optional(field, wanted)?.ok_or(SettingsError::Missing { field })
    }

    /// A time that is given in units of `unit_ms`; `default` is in the same unit.
    fn duration(
        &self,
        field: &'static str,
        unit_ms: f64,
        default: f64,
    ) -> Result<Duration, SettingsError> {
        let Some(found) = self.find(field) else {
            return Ok(Duration::from_secs_f64(default * unit_ms / 1000.0));
        };
        let units: f64 = found.value.parse().map_err(|_| malformed(field, found, "a number"))?;
        if !(units.is_finite() && (0.0..1e9).contains(&units)) {
            return Err(malformed(field, found, "a span of time"));
        }
        Ok(Duration::from_secs_f64(units * unit_ms / 1000.0))
    }

    fn ports(&self) -> Result<PortRange, SettingsError> {
        let field = "portRange";
        let found = self.find(field).ok_or(SettingsError::Missing { field })?;
        let read = || {
            let (first, last) = found.value.split_once(',')?;
            Some(PortRange { first: first.trim().parse().ok()?, last: last.trim().parse().ok()? })
        };
        read()
            .filter(|range| range.first < range.last)
            .ok_or_else(|| malformed(field, found, "two ports, the lower first"))
    }

    fn seeds(&self) -> Result<Vec<SocketAddr>, SettingsError> {
        let field = "seeds";
        let Some(found) = self.find(field) else { return Ok(Vec::new()) };
        let parts = found.value.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts
            .map(|part| {
                let only = Field { line: found.line, value: part };
                part.parse().map_err(|_| malformed(field, only, "an address with a port"))
            })
            .collect()
    }

    fn zones(&self) -> Vec<(String, String)> {
        let mut zones: Vec<_> = self
            .fields
            .iter()
            .filter_map(|(name, found)| {
                Some((name.strip_prefix("zones.")?.to_owned(), found.value.to_owned()))
            })
            .collect();
        zones.sort();
        zones
    }
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
    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Unreadable(path.to_owned(), e.to_string()))?;
        Self::parse(&text)
    }

    /// The path that the environment names.
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
#[path = "settings_tests.rs"]
mod tests;
