//! Tests of the membership view for operators, with voters that are lost, behind or out of contact.

use super::harness::Cluster;
use super::replace;
use control_plane::service::membership::{MembersView, VoterView, view};
use std::time::Duration;

async fn observe(cluster: &Cluster, node: usize) -> MembersView {
    view(cluster.controller(node).view_sources()).await
}

fn voter(view: &MembersView, node: usize) -> &VoterView {
    let ip = format!("10.0.0.{node}");
    view.voters.iter().find(|voter| voter.ip == ip).unwrap()
}

#[tokio::test(start_paused = true)]
async fn view_in_contact_shows_all_voters_owners_and_one_holder_of_each_lease() {
    let cluster = Cluster::bootstrap(3, 51).await;
    // Waits until all links are up, so that every voter accepts the change.
    cluster.wait_until_settled().await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    let mut acting = Vec::new();
    for node in 1..=3 {
        let view = observe(&cluster, node).await;
        assert!(view.in_contact && view.votes && view.voting() == 3, "{view:?}");
        assert_eq!((view.membership_epoch, view.quorum(), view.tolerated_losses), (1, 2, 1));
        assert!(view.voters.iter().all(|voter| voter.behind.is_none()), "{view:?}");
        let config = view.config.unwrap();
        let key = view.keys.iter().find(|key| key.key == "config").unwrap();
        assert_eq!((&key.owner, key.epoch), (&config.owner, config.epoch));
        let leases: Vec<&str> = view.leases.iter().map(|lease| lease.name.as_str()).collect();
        assert_eq!(leases, ["index-keeper", "roll-out"]);
        for lease in view.leases {
            assert!(lease.fencing_token > 0, "{lease:?}");
            assert_eq!(lease.granted.unwrap().node, lease.holder, "{}", lease.name);
            acting.extend(lease.acts.then_some((lease.name, lease.holder, view.name.clone())));
        }
    }
    assert_eq!(acting.len(), 2, "{acting:?}");
    assert!(acting.iter().all(|(_, holder, reporter)| holder == reporter), "{acting:?}");
}

#[tokio::test(start_paused = true)]
async fn view_out_of_contact_shows_the_age_of_the_last_answers() {
    let mut cluster = Cluster::bootstrap(3, 52).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    cluster.crash(2);
    cluster.crash(3);
    let outage = Duration::from_secs(5);
    tokio::time::sleep(outage).await;
    let view = observe(&cluster, 1).await;
    assert!(!view.in_contact && view.voting() == 1, "{view:?}");
    for lost in [voter(&view, 2), voter(&view, 3)] {
        assert!(!lost.answered && !lost.votes, "{lost:?}");
        let age = u128::from(lost.last_answer_ms.unwrap());
        assert!(age >= outage.as_millis() && age < outage.as_millis() + 2000, "{age}");
    }
    assert!(voter(&view, 1).answered);
}

#[tokio::test(start_paused = true)]
async fn voter_that_missed_a_change_is_behind_until_the_next_one() {
    let mut cluster = Cluster::bootstrap(3, 53).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.crash(3);
    replace(&cluster, 1, 7, 8).await;
    cluster.start(3).await;
    cluster.wait_until_settled().await;
    let view = observe(&cluster, 1).await;
    let lagging = voter(&view, 3);
    assert!(lagging.answered && lagging.behind.is_some(), "{lagging:?}");
    assert!(voter(&view, 1).behind.is_none() && voter(&view, 2).behind.is_none());
    replace(&cluster, 1, 8, 9).await;
    cluster.wait_until_settled().await;
    let view = observe(&cluster, 2).await;
    assert_eq!(voter(&view, 3).behind, None, "{view:?}");
}

#[tokio::test(start_paused = true)]
async fn voter_whose_disk_stores_nothing_does_not_count_as_voting() {
    let cluster = Cluster::bootstrap(3, 54).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.stop_disk(3);
    let view = observe(&cluster, 1).await;
    assert!(view.in_contact && view.voting() == 2 && !voter(&view, 3).answered, "{view:?}");
    let own = observe(&cluster, 3).await;
    assert!(!voter(&own, 3).answered && own.voting() == 2, "{own:?}");
}
