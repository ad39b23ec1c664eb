//! Tests of `verdict`.

use super::*;
use control_plane::service::membership::VoterView;

/// Voters of membership epoch 4, of which so many vote.
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
fn the_tolerated_losses_have_to_leave_a_quorum() {
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
    for (voters, voting, losses, want) in table {
        let view = view(voters, voting, losses);
        assert_eq!(Verdict::of(&view), want, "{}", want.text(&view));
    }
}

#[test]
fn a_vote_counts_only_if_it_was_answered_under_the_same_membership() {
    let mut one_behind = view(3, 3, 1);
    one_behind.voters[0].membership_epoch = 3;
    assert_eq!(Verdict::of(&one_behind), Verdict::AtRisk);
    let mut one_unanswered = view(3, 3, 1);
    one_unanswered.voters[2].answered = false;
    assert_eq!(Verdict::of(&one_unanswered), Verdict::AtRisk);
}
