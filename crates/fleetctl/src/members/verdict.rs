//! Whether enough voters are left.

use super::MembersView;

/// How the voters stand against what may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "camelCase")]
pub enum Verdict {
    /// A quorum would be left after the tolerated losses.
    Healthy,
    /// There is a quorum, and the tolerated losses would end it.
    AtRisk,
    /// No quorum votes: nothing can be changed or read.
    NoQuorum,
}

impl Verdict {
    /// Of one controller's view.
    pub fn of(view: &MembersView) -> Verdict {
        let (voting, quorum) = (view.voting(), view.quorum());
        if voting < quorum {
            return Verdict::NoQuorum;
        }
        if voting < quorum + view.tolerated_losses {
            return Verdict::AtRisk;
        }
        Verdict::Healthy
    }

    /// The verdict with its figures, as one line.
    pub fn text(self, view: &MembersView) -> String {
        let (voting, voters, quorum) = (view.voting(), view.voters.len(), view.quorum());
        let losses = view.tolerated_losses;
        let verdict = match self {
            Verdict::Healthy => "healthy",
            Verdict::AtRisk => "at risk",
            Verdict::NoQuorum => "no quorum",
        };
        format!(
            "{verdict}: {voting} of {voters} voters vote, a quorum is {quorum}, \
             {losses} more should be spare"
        )
    }
}

#[cfg(test)]
#[path = "verdict_tests.rs"]
mod tests;
