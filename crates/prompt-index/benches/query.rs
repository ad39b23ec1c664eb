//! Relative figures: the index against a naive scan of every block at every holder.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use prompt_index::{Cell, Chain, HolderBitmap};
use std::hint::black_box;

const BLOCKS: usize = 32;

fn filled(
    holders: usize,
    chains: usize,
) -> (Cell, Vec<Chain>, Vec<std::collections::HashSet<u64>>) {
    let cell = Cell::new(1 << 22);
    let numbers: Vec<_> = (0..holders).filter_map(|_| cell.admit()).collect();
    let mut naive = vec![std::collections::HashSet::new(); holders];
    let chains: Vec<Chain> = (0..chains as u64)
        .map(|c| Chain::new(7, (0..BLOCKS as u64).map(|b| (c * 1000 + b, 64))))
        .collect();
    for (i, c) in chains.iter().enumerate() {
        cell.learn(7, c);
        for (n, no) in numbers.iter().enumerate() {
            let depth = (i * 7 + (n % 4) * 11) % (BLOCKS + 1);
            for b in &c.0[..depth] {
                cell.registered(*no, 7, b.raw, None);
                naive[n].insert(b.hash);
            }
        }
    }
    (cell, chains, naive)
}

fn query(c: &mut Criterion) {
    let mut g = c.benchmark_group("query");
    g.sample_size(20);
    for holders in [16, 64, 256] {
        let (cell, chains, naive) = filled(holders, 64);
        let mut at = 0;
        g.bench_function(BenchmarkId::new("index", holders), |b| {
            b.iter(|| {
                at += 1;
                black_box(cell.query(&chains[at % chains.len()], &HolderBitmap::ALL))
            })
        });
        g.bench_function(BenchmarkId::new("naive", holders), |b| {
            b.iter(|| {
                at += 1;
                let chain = &chains[at % chains.len()];
                let depths: Vec<usize> = naive
                    .iter()
                    .map(|h| chain.0.iter().take_while(|b| h.contains(&b.hash)).count())
                    .collect();
                black_box(depths)
            })
        });
    }
    for entries in [10_000usize, 100_000, 1_000_000] {
        let (cell, chains, _) = filled(4, entries / BLOCKS);
        let mut at = 0;
        g.bench_function(BenchmarkId::new("entries", entries), |b| {
            b.iter(|| {
                at += 1;
                black_box(cell.query(&chains[at % chains.len()], &HolderBitmap::ALL))
            })
        });
    }
    g.finish();
}

criterion_group!(benches, query);
criterion_main!(benches);
