//! Whose messages still count after a disk was lost.

use control_plane::membership::Peers;
use fleet_core::node::Role;
use fleet_core::wire::Handshake;

fn handshake(role: Role, incarnation: u64) -> Handshake {
    Handshake { ip: "10.0.0.7".into(), role: role as u32, incarnation, ..Default::default() }
}

#[test]
fn a_lost_disk_ends_former_incarnations_of_its_controller_and_not_the_router_beside_it() {
    let m = Peers::default();
    let (old, new) = (handshake(Role::Controller, 1), handshake(Role::Controller, 2));
    let router = handshake(Role::Router, 3);
    for h in [&old, &new, &router] {
        m.register(h);
    }
    m.retire_incarnations("10.0.0.7", 2);
    assert!(m.is_retired(&old));
    assert!(!m.is_retired(&new) && !m.is_retired(&router));
}
