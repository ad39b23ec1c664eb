//! The settings file: lines of the form a.b=value.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

#[derive(Debug, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum SettingsError {
    /// the variable ANISEDYKE_SETTINGS names no settings file
    Unnamed,
    /// the settings file {0} can't be read: {1}
    Unreadable(String, String),
    /// {field}: missing from the settings file
    Missing { field: &'static str },
    /// line {line}: {field}: `{value}` is not {wanted}
    Malformed { line: usize, field: String, value: String, wanted: &'static str },
    /// line {line}: not of the form name=value
    NoPair { line: usize },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    pub drain: Duration,
    pub grace: Duration,
    pub apply: Duration,
    pub lease: Duration,
    pub version: Duration,
    pub contact: Duration,
    pub retry_ratio: f64,
    pub retry_window: Duration,
    pub retry_slack: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub node_name: String,
    pub role: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    pub zones: Vec<(String, String)>,
    pub front: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub ports: (u16, u16),
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    pub data_dir: Option<std::path::PathBuf>,
    pub heartbeat: Duration,
    pub cores: usize,
    pub max_fds: usize,
    /// machines of the core that may be lost together
    pub losses: usize,
    pub bounds: Bounds,
}

struct Lines<'a> {
    pairs: hashbrown::HashMap<&'a str, (usize, &'a str)>,
}

impl<'a> Lines<'a> {
    fn parse(text: &'a str) -> Result<Self, SettingsError> {
        let mut pairs = hashbrown::HashMap::new();
        for (i, raw) in text.lines().enumerate() {
            let line = raw.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let Some((k, v)) = line.split_once('=') else {
                return Err(SettingsError::NoPair { line: i + 1 });
            };
            pairs.insert(k.trim(), (i + 1, v.trim()));
        }
        Ok(Lines { pairs })
    }

    fn opt<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let Some((line, v)) = self.pairs.get(field) else { return Ok(None) };
        match v.parse() {
            Ok(t) => Ok(Some(t)),
            Err(_) => Err(SettingsError::Malformed {
                line: *line,
                field: field.to_owned(),
                value: (*v).to_owned(),
                wanted,
            }),
        }
    }

    fn must<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<T, SettingsError> {
        self.opt(field, wanted)?.ok_or(SettingsError::Missing { field })
    }

    fn span(
        &self,
        field: &'static str,
        unit_ms: f64,
        default: f64,
    ) -> Result<Duration, SettingsError> {
        let v: f64 = self.opt(field, "a number")?.unwrap_or(default);
        if !(v.is_finite() && (0.0..1e9).contains(&v)) {
            let (line, value) = self.pairs[field];
            return Err(SettingsError::Malformed {
                line,
                field: field.to_owned(),
                value: value.to_owned(),
                wanted: "a span of time",
            });
        }
        Ok(Duration::from_secs_f64(v * unit_ms / 1000.0))
    }
}

impl Settings {
    #[expect(
        clippy::too_many_lines,
        reason = "older than the lint; mended when the file is next changed"
    )]
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let l = Lines::parse(text)?;
        let (line, range) =
            *l.pairs.get("portRange").ok_or(SettingsError::Missing { field: "portRange" })?;
        let ports = range
            .split_once(',')
            .and_then(|(a, b)| Some((a.trim().parse().ok()?, b.trim().parse().ok()?)))
            .filter(|(a, b): &(u16, u16)| a < b)
            .ok_or(SettingsError::Malformed {
                line,
                field: "portRange".to_owned(),
                value: range.to_owned(),
                wanted: "two ports, the lower first",
            })?;
        let mut seeds = Vec::new();
        if let Some((line, v)) = l.pairs.get("seeds") {
            for s in v.split(',').map(str::trim).filter(|s| !s.is_empty()) {
                let Ok(a) = s.parse() else {
                    return Err(SettingsError::Malformed {
                        line: *line,
                        field: "seeds".to_owned(),
                        value: s.to_owned(),
                        wanted: "an address with a port",
                    });
                };
                seeds.push(a);
            }
        }
        let mut zones: Vec<_> = l
            .pairs
            .iter()
            .filter_map(|(k, (_, v))| Some((k.strip_prefix("zones.")?.to_owned(), (*v).to_owned())))
            .collect();
        zones.sort();
        let ratio: f64 = l.opt("bounds.retryRatio", "a number")?.unwrap_or(0.0);
        let slack: f64 = l.opt("bounds.retrySlack", "a number")?.unwrap_or(0.0);
        Ok(Settings {
            node_name: l.must("nodeName", "a name")?,
            role: l.opt("role", "a name")?.unwrap_or_default(),
            ip: l.must("ip", "an IPv4 address")?,
            zone: l.must("zone", "a name")?,
            region: l.opt("region", "a name")?.unwrap_or_default(),
            zones,
            front: l.opt("bindAddrs.frontHttp", "an address with a port")?,
            readiness: l.opt("bindAddrs.readiness", "an address with a port")?,
            control: l.opt("bindAddrs.control", "an address with a port")?,
            ports,
            seeds,
            bootstrap: l.opt("bootstrap", "true or false")?.unwrap_or(false),
            data_dir: l.opt("dataDir", "a path")?,
            heartbeat: l.span("heartbeatMs", 1.0, 1000.0)?.max(Duration::from_millis(50)),
            cores: l.opt("limits.cores", "a whole number")?.unwrap_or(1usize).max(1),
            max_fds: l.opt("limits.maxFds", "a whole number")?.unwrap_or(1024),
            losses: l.opt("tolerance.machines", "a whole number")?.unwrap_or(1),
            bounds: Bounds {
                drain: l.span("bounds.drainMs", 1.0, 2000.0)?,
                grace: l.span("bounds.graceS", 1000.0, 8.0)?,
                apply: l.span("bounds.applyMs", 1.0, 2000.0)?,
                lease: l.span("bounds.leaseMs", 1.0, 3000.0)?,
                version: l.span("bounds.versionMs", 1.0, 8000.0)?,
                contact: l.span("bounds.contactMs", 1.0, 3000.0)?,
                retry_ratio: ratio,
                retry_window: l.span("bounds.retryWindowS", 1000.0, 10.0)?,
                retry_slack: slack,
            },
        })
    }

    pub fn load(path: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| SettingsError::Unreadable(path.to_owned(), e.to_string()))?;
        Self::parse(&text)
    }

    pub fn path() -> Result<String, SettingsError> {
        std::env::var("ANISEDYKE_SETTINGS").map_err(|_| SettingsError::Unnamed)
    }

    pub fn peer_port(&self) -> u16 {
        self.ports.0
    }

    pub fn watch_port(&self, role: crate::node::Role) -> u16 {
        self.ports.0 + 1 + role as u16
    }

    pub fn peer_addr(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_port())
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
