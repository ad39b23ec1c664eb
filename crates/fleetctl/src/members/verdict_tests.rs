//! Tests of `verdict`: which voters count, and how many are needed.

use super::*;
use control_plane::service::membership::VoterView;

/// A report with `voters` voters at membership epoch 4, the first `voting` of which vote.
fn view(voters: usize, voting: usize, tolerated_losses: usize) -> MembersView {
    let voter = |index| VoterView {
        answered: true,
        votes: index < voting,
        membership_epoch: 4,
        ..Default::default()
    };
    let voters = (0..voters).map(voter).collect();
    MembersView { membership_epoch: 4, tolerated_losses, voters, ..Default::default() }
}

#[test]
fn healthy_requires_a_quorum_after_the_tolerated_losses() {
    let table = [
        (3, 3, 1, Verdict::Healthy),
        (3, 2, 1, Verdict::AtRisk),
        (3, 2, 0, Verdict::Healthy),
        (3, 1, 0, Verdict::NoQuorum),
        (4, 4, 2, Verdict::AtRisk),
        (5, 5, 2, Verdict::Healthy),
        (5, 4, 2, Verdict::AtRisk),
        (5, 2, 2, Verdict::NoQuorum),
        (0, 0, 0, Verdict::NoQuorum),
    ];
    for (voters, voting, losses, expected) in table {
        let view = view(voters, voting, losses);
        assert_eq!(Verdict::from_view(&view), expected, "{}", expected.text(&view));
    }
}

#[test]
fn a_voter_counts_only_if_it_answered_at_the_same_membership_epoch() {
    let mut one_outdated = view(3, 3, 1);
    one_outdated.voters[0].membership_epoch = 3;
    assert_eq!(Verdict::from_view(&one_outdated), Verdict::AtRisk);
    let mut one_unanswered = view(3, 3, 1);
    one_unanswered.voters[2].answered = false;
    assert_eq!(Verdict::from_view(&one_unanswered), Verdict::AtRisk);
}
