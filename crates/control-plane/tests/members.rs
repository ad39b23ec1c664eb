//! Whose messages still count after a disk was lost.

use control_plane::members::Members;
use fleet_core::node::Role;
use fleet_core::wire::Handshake;

fn hello(role: Role, incarnation: u64) -> Handshake {
    Handshake { ip: "10.0.0.7".into(), role: role as u32, incarnation, ..Default::default() }
}

#[test]
fn a_lost_disk_ends_former_incarnations_of_its_controller_and_not_the_router_beside_it() {
    let m = Members::default();
    let (old, new) = (hello(Role::Controller, 1), hello(Role::Controller, 2));
    let router = hello(Role::Router, 3);
    for h in [&old, &new, &router] {
        m.enter(h);
    }
    m.bury("10.0.0.7", 2);
    assert!(m.is_dead(&old));
    assert!(!m.is_dead(&new) && !m.is_dead(&router));
}
