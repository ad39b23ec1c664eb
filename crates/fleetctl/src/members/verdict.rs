//! Whether the control plane has a quorum, and would keep it after the tolerated losses.

use super::MembersView;

/// The number of voting voters, compared with the quorum and the tolerated losses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub enum Verdict {
    /// A quorum would remain after the tolerated losses.
    Healthy,
    /// There is a quorum, but it would not survive the tolerated losses.
    AtRisk,
    /// Fewer voters than a quorum vote: control state can be neither read nor changed.
    NoQuorum,
}

impl Verdict {
    /// Computes the verdict from one controller's report.
    pub fn from_view(view: &MembersView) -> Verdict {
        let (voting, quorum) = (view.voting(), view.quorum());
        if voting < quorum {
            return Verdict::NoQuorum;
        }
        if voting < quorum + view.tolerated_losses {
            return Verdict::AtRisk;
        }
        Verdict::Healthy
    }

    /// Formats the verdict and the numbers behind it as one line.
    pub fn text(self, view: &MembersView) -> String {
        let (voting, voters, quorum) = (view.voting(), view.voters.len(), view.quorum());
        let losses = view.tolerated_losses;
        let verdict = match self {
            Verdict::Healthy => "healthy",
            Verdict::AtRisk => "at risk",
            Verdict::NoQuorum => "no quorum",
        };
        format!(
            "{verdict}: {voting} of {voters} voters vote, quorum {quorum}, \
             tolerated losses {losses}"
        )
    }
}

#[cfg(test)]
#[path = "verdict_tests.rs"]
mod tests;
