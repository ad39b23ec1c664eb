//! Findings for people and for programs, and the exit code that goes with them.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::findings::{Finding, Weight};

pub const CLEAN: u8 = 0;
pub const FOUND: u8 = 1;
pub const UNCHECKED: u8 = 2;

/// Warnings count only where the caller is strict.
pub fn exit(findings: &[Finding], strict: bool) -> u8 {
    let counts = |f: &Finding| strict || f.weight == Weight::Error;
    if findings.iter().any(counts) { FOUND } else { CLEAN }
}

pub fn text(findings: &[Finding]) -> String {
    if findings.is_empty() {
        return "no findings\n".to_owned();
    }
    let line = |f: &Finding| {
        let weight = match f.weight {
            Weight::Error => "error",
            Weight::Warning => "warning",
        };
        format!("{weight}: {} [{}]: {}\n", f.place, f.code, f.text)
    };
    findings.iter().map(line).collect()
}

pub fn json(findings: &[Finding]) -> String {
    serde_json::json!({ "findings": findings }).to_string()
}

#[cfg(test)]
#[path = "report_tests.rs"]
mod tests;
