//! Size on the wire of each item, at three fleet sizes, on which docs/CAPACITY.md is based.
//! `cargo test -p fleet-core --test sizes -- --nocapture` prints them.

use fleet_core::load::{Load, LoadByEngine, encode_report};
use fleet_core::wire::{
    CachedParts, Engine, FleetUpdate, Invalidation, PartLocation, RingEntry, WeightsVersion,
};
use prost::Message;

const SIZES: [usize; 3] = [90, 280, 760];

/// Size of each additional item, which must be the same between all fleet sizes.
fn slope(what: &str, bytes: impl Fn(usize) -> usize) -> f64 {
    let sizes: Vec<usize> = SIZES.iter().map(|n| bytes(*n)).collect();
    let bytes_per_item =
        |a: usize, b: usize| (sizes[b] - sizes[a]) as f64 / (SIZES[b] - SIZES[a]) as f64;
    let (low, high) = (
        bytes_per_item(0, 1).min(bytes_per_item(1, 2)),
        bytes_per_item(0, 1).max(bytes_per_item(1, 2)),
    );
    println!("{what}: {sizes:?} bytes at {SIZES:?}, {low:.2} to {high:.2} each");
    assert!(high <= low * 1.1 + 0.1, "{what} grows faster than its items");
    high
}

#[test]
fn load_report_takes_a_few_bytes_per_engine() {
    let bytes = |n: usize| {
        let all: LoadByEngine = (0..n as u32)
            .map(|i| {
                (i * 7919, Load { pending_prefill_tokens: 6000, in_flight: 6, interactive: 4 })
            })
            .collect();
        encode_report(&all).encoded_len()
    };
    assert!(slope("loads, an engine", bytes) <= 8.0);
}

#[test]
fn engine_update_and_ring_entry_sizes_are_bounded() {
    let engine = |n: usize| FleetUpdate {
        engines: (0..n)
            .map(|i| Engine {
                id: format!("i-{i:010x}"),
                call_seq: 100,
                service: "huvo11a".into(),
                address: "10.128.100.100:8080".into(),
                zone: "zone-a".into(),
                slots: 12,
                weights: vec![WeightsVersion { model: "daka510000".into(), version: 2 }],
                ..Default::default()
            })
            .collect(),
        ..Default::default()
    };
    assert!(slope("view, an engine", |n| engine(n).encoded_len()) <= 96.0);
    let entry = |i: usize| RingEntry {
        scope: 0,
        invalidation: Some(Invalidation::Part(PartLocation {
            holder: format!("i-{i:010x}"),
            salt: "daka510000|2|#1".into(),
            part: u64::MAX >> 16,
            cached_tokens: 0,
        })),
    };
    let ring = |n: usize| (0..n).map(|i| entry(i).encoded_len() + 2).sum::<usize>();
    assert!(slope("ring, an evicted part", ring) <= 48.0);
    let cached_parts = |n: usize| {
        let parts: Vec<u64> = (0..n as u64).map(|i| i << 20).collect();
        let cached_tokens = vec![3780; n];
        CachedParts { holder: "i-00".into(), salt: "m|2|#1".into(), parts, cached_tokens }
            .encoded_len()
    };
    assert!(slope("finding at one holder, a part", cached_parts) <= 11.0);
}
