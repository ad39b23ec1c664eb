//! Compares index queries with a naive scan of every block at every holder.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use prompt_index::{Cell, Chain, HolderBitmap};
use std::hint::black_box;

const BLOCKS: usize = 32;

fn filled_cell(
    holders: usize,
    chains: usize,
) -> (Cell, Vec<Chain>, Vec<std::collections::HashSet<u64>>) {
    let cell = Cell::new(1 << 22);
    let slots: Vec<_> = (0..holders).filter_map(|_| cell.admit()).collect();
    let mut naive = vec![std::collections::HashSet::new(); holders];
    let chains: Vec<Chain> = (0..chains as u64)
        .map(|chain| Chain::new(7, (0..BLOCKS as u64).map(|block| (chain * 1000 + block, 64))))
        .collect();
    for (i, chain) in chains.iter().enumerate() {
        cell.insert_chain(7, chain);
        for (holder, slot) in slots.iter().enumerate() {
            let depth = (i * 7 + (holder % 4) * 11) % (BLOCKS + 1);
            for block in &chain.0[..depth] {
                cell.register_block(*slot, 7, block.block_hash, None);
                naive[holder].insert(block.hash);
            }
        }
    }
    (cell, chains, naive)
}

fn query(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("query");
    group.sample_size(20);
    for holders in [16, 64, 256] {
        let (cell, chains, naive) = filled_cell(holders, 64);
        let mut next = 0;
        group.bench_function(BenchmarkId::new("index", holders), |bencher| {
            bencher.iter(|| {
                next += 1;
                black_box(cell.query(&chains[next % chains.len()], &HolderBitmap::ALL))
            })
        });
        group.bench_function(BenchmarkId::new("naive", holders), |bencher| {
            bencher.iter(|| {
                next += 1;
                let chain = &chains[next % chains.len()];
                let depths: Vec<usize> = naive
                    .iter()
                    .map(|cached| {
                        chain.0.iter().take_while(|block| cached.contains(&block.hash)).count()
                    })
                    .collect();
                black_box(depths)
            })
        });
    }
    for entries in [10_000usize, 100_000, 1_000_000] {
        let (cell, chains, _) = filled_cell(4, entries / BLOCKS);
        let mut next = 0;
        group.bench_function(BenchmarkId::new("entries", entries), |bencher| {
            bencher.iter(|| {
                next += 1;
                black_box(cell.query(&chains[next % chains.len()], &HolderBitmap::ALL))
            })
        });
    }
    group.finish();
}

criterion_group!(benches, query);
criterion_main!(benches);
