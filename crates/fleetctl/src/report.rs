//! Findings for people and for programs, and the exit code that goes with them.

use crate::findings::{Finding, Weight};

/// Exit code: nothing was found.
pub const CLEAN: u8 = 0;
/// Exit code: something was found.
pub const FOUND: u8 = 1;
/// Exit code: the check could not be made.
pub const UNCHECKED: u8 = 2;

/// The exit code for these findings. Warnings count only where the caller is strict.
pub fn exit(findings: &[Finding], strict: bool) -> u8 {
    let counts = |finding: &Finding| strict || finding.weight == Weight::Error;
    if findings.iter().any(counts) { FOUND } else { CLEAN }
}

/// The findings for people, a line each.
pub fn text(findings: &[Finding]) -> String {
    if findings.is_empty() {
        return "no findings\n".to_owned();
    }
    let line = |finding: &Finding| {
        let weight = match finding.weight {
            Weight::Error => "error",
            Weight::Warning => "warning",
        };
        format!("{weight}: {} [{}]: {}\n", finding.place, finding.code, finding.text)
    };
    findings.iter().map(line).collect()
}

/// The findings as one JSON object.
pub fn json(findings: &[Finding]) -> String {
    serde_json::json!({ "findings": findings }).to_string()
}

#[cfg(test)]
#[path = "report_tests.rs"]
mod tests;
