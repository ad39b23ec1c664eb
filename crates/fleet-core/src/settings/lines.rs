//! The fields of a settings file and the parsing of their values.

use super::{PortRange, SettingsError};
use std::net::SocketAddr;
use std::time::Duration;

/// The value of a field with its position in the file.
#[derive(Clone, Copy)]
struct Field<'a> {
    /// line number, from 1
    line: usize,
    value: &'a str,
}

/// All fields of a file; if a field occurs twice, the last one counts.
pub(super) struct Lines<'a> {
    fields: hashbrown::HashMap<&'a str, Field<'a>>,
}

/// Creates the error for a malformed field, with its line.
fn malformed(field: &str, found: Field<'_>, wanted: &'static str) -> SettingsError {
    SettingsError::Malformed {
        line: found.line,
        field: field.to_owned(),
        value: found.value.to_owned(),
        wanted,
    }
}

impl<'a> Lines<'a> {
    /// Splits a file into its fields.
    pub(super) fn parse(text: &'a str) -> Result<Self, SettingsError> {
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

    /// The value of a field; `None` if it is missing.
    pub(super) fn optional<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(found) = self.find(field) else { return Ok(None) };
        let value = found.value.parse().map_err(|_| malformed(field, found, wanted))?;
        Ok(Some(value))
    }

    /// The value of a required field.
    pub(super) fn required<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<T, SettingsError> {
        self.optional(field, wanted)?.ok_or(SettingsError::Missing { field })
    }

    /// A duration given in units of `unit_ms` milliseconds; `default` has the same unit.
    pub(super) fn duration(
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

    /// The range of ports that the processes of a machine may listen on.
    pub(super) fn ports(&self) -> Result<PortRange, SettingsError> {
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

    /// The addresses of the controllers that a process contacts first.
    pub(super) fn seeds(&self) -> Result<Vec<SocketAddr>, SettingsError> {
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

    /// The zones with their values, sorted by name.
    pub(super) fn zones(&self) -> Vec<(String, String)> {
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
