//! Messages of earlier incarnations of a controller are ignored after it has lost its disk.

use control_plane::membership::peer_links::PeerLinks;
use control_plane::process::Process;
use fleet_core::node::{Node, Role};
use fleet_core::settings::Settings;
use fleet_core::transport::Tcp;
use fleet_core::wire::Handshake;
use std::sync::Arc;

fn handshake(role: Role, incarnation: u64) -> Handshake {
    Handshake { ip: "10.0.0.7".into(), role: role as u32, incarnation, ..Default::default() }
}

fn peer_links() -> PeerLinks {
    let text = "nodeName=a\nip=10.0.0.1\nzone=z\nportRange=1,9\n";
    let settings = Settings::parse(text).unwrap();
    let node = Node::seeded(&settings, Role::Controller, 1);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    PeerLinks::new(Arc::new(Process::new(node, settings, log)), Tcp::shared())
}

#[test]
fn lost_disk_retires_earlier_incarnations_of_the_controller_but_not_the_router_at_its_address() {
    let links = peer_links();
    let (old, new) = (handshake(Role::Controller, 1), handshake(Role::Controller, 2));
    let router = handshake(Role::Router, 3);
    for handshake in [&old, &new, &router] {
        links.register(handshake);
    }
    links.retire_incarnations("10.0.0.7", 2);
    assert!(links.is_retired(&old));
    assert!(!links.is_retired(&new) && !links.is_retired(&router));
}
