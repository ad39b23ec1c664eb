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
pub(super) struct Fields<'a> {
    fields: hashbrown::HashMap<&'a str, Field<'a>>,
}

/// Creates the error for a malformed field, with its line.
fn malformed(field: &str, entry: Field<'_>, expected: &'static str) -> SettingsError {
    SettingsError::Malformed {
        line: entry.line,
        field: field.to_owned(),
        value: entry.value.to_owned(),
        expected,
    }
}

impl<'a> Fields<'a> {
    /// Splits a file into its fields.
    pub(super) fn parse(text: &'a str) -> Result<Self, SettingsError> {
        let mut fields = hashbrown::HashMap::new();
        for (index, raw_line) in text.lines().enumerate() {
            let trimmed = raw_line.trim();
            if trimmed.is_empty() || trimmed.starts_with('#') {
                continue;
            }
            let line = index + 1;
            let Some((name, value)) = trimmed.split_once('=') else {
                return Err(SettingsError::NotKeyValue { line });
            };
            fields.insert(name.trim(), Field { line, value: value.trim() });
        }
        Ok(Fields { fields })
    }

    fn find(&self, field: &str) -> Option<Field<'a>> {
        self.fields.get(field).copied()
    }

    /// The value of a field; `None` if it is missing.
    pub(super) fn optional<T: std::str::FromStr>(
        &self,
        field: &'static str,
        expected: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(entry) = self.find(field) else { return Ok(None) };
        let value = entry.value.parse().map_err(|_| malformed(field, entry, expected))?;
        Ok(Some(value))
    }

    /// The value of a required field.
    pub(super) fn required<T: std::str::FromStr>(
        &self,
        field: &'static str,
        expected: &'static str,
    ) -> Result<T, SettingsError> {
        self.optional(field, expected)?.ok_or(SettingsError::Missing { field })
    }

    /// A duration given in units of `unit_ms` milliseconds; `default` has the same unit.
    pub(super) fn duration(
        &self,
        field: &'static str,
        unit_ms: f64,
        default: f64,
    ) -> Result<Duration, SettingsError> {
        let Some(entry) = self.find(field) else {
            return Ok(Duration::from_secs_f64(default * unit_ms / 1000.0));
        };
        let units: f64 = entry.value.parse().map_err(|_| malformed(field, entry, "a number"))?;
        if !(units.is_finite() && (0.0..1e9).contains(&units)) {
            return Err(malformed(field, entry, "a duration"));
        }
        Ok(Duration::from_secs_f64(units * unit_ms / 1000.0))
    }

    /// The range of ports that the processes of a machine may listen on.
    pub(super) fn ports(&self) -> Result<PortRange, SettingsError> {
        let field = "portRange";
        let entry = self.find(field).ok_or(SettingsError::Missing { field })?;
        let read = || {
            let (first, last) = entry.value.split_once(',')?;
            Some(PortRange { first: first.trim().parse().ok()?, last: last.trim().parse().ok()? })
        };
        read()
            .filter(|range| range.first < range.last)
            .ok_or_else(|| malformed(field, entry, "two ports, the lower first"))
    }

    /// The addresses of the controllers that a process contacts first.
    pub(super) fn seeds(&self) -> Result<Vec<SocketAddr>, SettingsError> {
        let field = "seeds";
        let Some(entry) = self.find(field) else { return Ok(Vec::new()) };
        let parts = entry.value.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts
            .map(|part| {
                let item = Field { line: entry.line, value: part };
                part.parse().map_err(|_| malformed(field, item, "an address with a port"))
            })
            .collect()
    }

    /// The zones with their values, sorted by name.
    pub(super) fn zones(&self) -> Vec<(String, String)> {
        let mut zones: Vec<_> = self
            .fields
            .iter()
            .filter_map(|(name, entry)| {
                Some((name.strip_prefix("zones.")?.to_owned(), entry.value.to_owned()))
            })
            .collect();
        zones.sort();
        zones
    }
}
