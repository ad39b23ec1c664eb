//! Streams over links that are blocked, reset, healed and slow.

use super::*;

const ONE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const TWO: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn at(machine: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(machine.into(), 7)
}

async fn connected(network: &Network) -> (DuplexStream, DuplexStream) {
    let mut listener = network.listen(at(TWO)).expect("address is free");
    let near = network.connect(ONE, at(TWO)).await.expect("network is open");
    (near, listener.accept().await.expect("connection arrives"))
}

async fn reads(stream: &mut DuplexStream, limit_ms: u64) -> Option<Vec<u8>> {
    let mut got = [0; 4];
    let reading = stream.read_exact(&mut got);
    let read = tokio::time::timeout(Duration::from_millis(limit_ms), reading).await;
    read.ok()?.ok()?;
    Some(got.to_vec())
}

#[tokio::test(start_paused = true)]
async fn bytes_arrive_in_order_after_a_delay() {
    let network = Network::new(1);
    let (mut near, mut far) = connected(&network).await;
    let sent = tokio::time::Instant::now();
    near.write_all(b"ab").await.expect("open");
    near.write_all(b"cd").await.expect("open");
    assert_eq!(reads(&mut far, 100).await.as_deref(), Some(&b"abcd"[..]));
    assert!(sent.elapsed() >= Duration::from_micros(constants::MIN_DELAY_US));
}

#[tokio::test(start_paused = true)]
async fn a_block_holds_bytes_back_in_one_direction_only() {
    let network = Network::new(1);
    let (mut near, mut far) = connected(&network).await;
    network.block(ONE, TWO);
    near.write_all(b"abcd").await.expect("buffered");
    far.write_all(b"efgh").await.expect("buffered");
    assert_eq!(reads(&mut far, 1000).await, None);
    assert_eq!(reads(&mut near, 1000).await.as_deref(), Some(&b"efgh"[..]));
    network.heal(ONE, TWO);
    assert_eq!(reads(&mut far, 100).await.as_deref(), Some(&b"abcd"[..]));
}

#[tokio::test(start_paused = true)]
async fn a_long_block_closes_the_connection_at_both_ends() {
    let network = Network::new(1);
    let (mut near, mut far) = connected(&network).await;
    network.block(ONE, TWO);
    near.write_all(b"abcd").await.expect("buffered");
    tokio::time::sleep(constants::BLOCKED_STREAM_TIMEOUT * 2).await;
    network.heal(ONE, TWO);
    assert_eq!(far.read(&mut [0; 4]).await.ok(), Some(0));
    assert!(near.write_all(b"abcd").await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_reset_loses_bytes_in_flight() {
    let network = Network::new(1);
    let (mut near, mut far) = connected(&network).await;
    near.write_all(b"abcd").await.expect("buffered");
    network.reset_between(ONE, TWO);
    assert_eq!(far.read(&mut [0; 4]).await.ok(), Some(0));
    assert!(network.connect(ONE, at(TWO)).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_closed_port_refuses_and_a_powered_off_machine_hangs() {
    let network = Network::new(1);
    let refused = network.connect(ONE, at(TWO)).await.map(|_| ());
    assert_eq!(refused.map_err(|e| e.kind()), Err(std::io::ErrorKind::ConnectionRefused));
    network.power_off(TWO);
    let hanging = network.connect(ONE, at(TWO));
    assert!(tokio::time::timeout(Duration::from_secs(60), hanging).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_slow_link_delays_bytes_and_keeps_their_order() {
    let network = Network::new(1);
    let (mut near, mut far) = connected(&network).await;
    network.slow_down(TWO, true);
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        let sent = tokio::time::Instant::now();
        near.write_all(b"abcd").await.expect("open");
        assert_eq!(reads(&mut far, 1000).await.as_deref(), Some(&b"abcd"[..]));
        longest = longest.max(sent.elapsed());
    }
    assert!(longest > Duration::from_millis(100), "{longest:?}");
}
