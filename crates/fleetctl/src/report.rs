//! Prints findings as text or JSON and chooses the exit code.

use crate::findings::{Finding, Severity};

/// Exit code: nothing was found that counts as a problem.
pub const EXIT_CLEAN: u8 = 0;
/// Exit code: a problem was found.
pub const EXIT_FINDINGS: u8 = 1;
/// Exit code: the command itself failed, for example because no controller answered.
pub const EXIT_FAILURE: u8 = 2;

/// Returns the exit code for these findings. Warnings count only if `strict` is set.
pub fn exit_code(findings: &[Finding], strict: bool) -> u8 {
    let is_counted = |finding: &Finding| strict || finding.weight == Severity::Error;
    if findings.iter().any(is_counted) { EXIT_FINDINGS } else { EXIT_CLEAN }
}

/// Formats the findings as text, one line each.
pub fn text(findings: &[Finding]) -> String {
    if findings.is_empty() {
        return "no findings\n".to_owned();
    }
    let line = |finding: &Finding| {
        let severity = match finding.weight {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        format!("{severity}: {} [{}]: {}\n", finding.place, finding.code, finding.text)
    };
    findings.iter().map(line).collect()
}

/// Formats the findings as one JSON object.
pub fn json(findings: &[Finding]) -> String {
    serde_json::json!({ "findings": findings }).to_string()
}

#[cfg(test)]
#[path = "report_tests.rs"]
mod tests;
