//! Errors of the settings file.

/// Why the settings file cannot be used.
#[derive(Debug, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum SettingsError {
    /// the variable ANISEDYKE_SETTINGS names no settings file
    VariableUnset,
    /// the settings file {0} can't be read: {1}
    Unreadable(String, String),
    /// {field}: missing from the settings file
    Missing {
        /// name of the field
        field: &'static str,
    },
    /// line {line}: {field}: `{value}` is not {expected}
    Malformed {
        /// number of the line, from 1
        line: usize,
        /// name of the field
        field: String,
        /// the value found
        value: String,
        /// description of a valid value, with its article
        expected: &'static str,
    },
    /// line {line}: not of the form name=value
    NotKeyValue {
        /// number of the line, from 1
        line: usize,
    },
}
