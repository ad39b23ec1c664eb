//! Whose messages still count after a disk was lost.

use pouch::node::Role;
use pouch::wire::Hello;
use sorting::members::Members;

fn hello(role: Role, life: u64) -> Hello {
    Hello { ip: "10.0.0.7".into(), role: role as u32, life, ..Default::default() }
}

#[test]
fn a_lost_disk_ends_former_lives_of_its_postmaster_and_not_the_carrier_beside_it() {
    let m = Members::default();
    let (old, new) = (hello(Role::Postmaster, 1), hello(Role::Postmaster, 2));
    let carrier = hello(Role::Carrier, 3);
    for h in [&old, &new, &carrier] {
        m.enter(h);
    }
    m.bury("10.0.0.7", 2);
    assert!(m.is_dead(&old));
    assert!(!m.is_dead(&new) && !m.is_dead(&carrier));
}
