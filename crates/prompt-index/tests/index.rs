//! Tests of the index: examples of each guarantee, and random events compared with a naive model.
#![cfg(not(feature = "checker"))]

use prompt_index::{Cell, Chain, HolderBitmap, HolderSlot, Index};

const SEED: u64 = 9;

fn chain(parts: &[(u64, u64)]) -> Chain {
    Chain::new(SEED, parts.iter().copied())
}

fn depth(cell: &Cell, chain: &Chain, holder: HolderSlot) -> usize {
    cell.query(chain, &HolderBitmap::ALL).depth_of(holder.index)
}

#[test]
fn holders_are_grouped_by_depth_deepest_first() {
    let cell = Cell::new(10_000);
    let slots: Vec<HolderSlot> = (0..4).map(|_| cell.admit().unwrap()).collect();
    let prompt = chain(&(0..8).map(|i| (i, 10)).collect::<Vec<_>>());
    cell.insert_chain(SEED, &prompt);
    for (n, depth) in [(0, 6), (1, 4), (2, 8), (3, 2)] {
        for block in &prompt.0[..depth] {
            assert!(cell.register_block(slots[n], SEED, block.block_hash, None));
        }
    }
    let got = cell.query(&prompt, &HolderBitmap::ALL);
    let ranked: Vec<(usize, Vec<u8>)> =
        got.groups.iter().map(|(depth, holders)| (*depth, holders.iter().collect())).collect();
    let index = |n: usize| slots[n].index;
    assert_eq!(
        ranked,
        vec![(8, vec![index(2)]), (6, vec![index(0)]), (4, vec![index(1)]), (2, vec![index(3)])]
    );
    assert!(got.lookups < 32, "{} look-ups", got.lookups);
    let one_holder = cell.query(&prompt, &HolderBitmap::single(index(1)));
    assert_eq!(one_holder.groups.len(), 1);
}

#[test]
fn hash_covers_the_whole_prefix() {
    let (first, second) = (chain(&[(1, 5), (2, 5), (3, 5)]), chain(&[(9, 5), (2, 5), (3, 5)]));
    assert_ne!(first.0[2].hash, second.0[2].hash);
    assert_eq!(first.0[2].block_hash, second.0[2].block_hash);
    assert_ne!(chain(&[(1, 5)]).0[0].hash, chain(&[(1, 6)]).0[0].hash);
    assert_ne!(Chain::new(1, [(1, 5)]).0[0].hash, Chain::new(2, [(1, 5)]).0[0].hash);
    assert_eq!((first.tokens(0), first.tokens(2), first.tokens(9)), (0, 10, 0));
}

#[test]
fn chain_length_is_bounded_and_repeated_parts_share_a_block() {
    let prompt = Chain::new(SEED, (0..900).map(|i| (i, 1)));
    assert_eq!(prompt.len(), fleet_core::constants::MAX_LOOKUP_BLOCKS);
    let repeated = Chain::new(SEED, (0..9).map(|_| (4, 1)));
    let cell = Cell::new(1000);
    let holder = cell.admit().unwrap();
    cell.insert_chain(SEED, &repeated);
    cell.register_block(holder, SEED, repeated.0[0].block_hash, None);
    assert_eq!(
        depth(&cell, &repeated, holder),
        9,
        "a repeated part is cached at each of its positions"
    );
}

#[test]
fn earlier_events_apply_to_a_new_chain_and_a_gap_ends_the_prefix() {
    let cell = Cell::new(1000);
    let holder = cell.admit().unwrap();
    let prompt = chain(&[(1, 10), (2, 10), (3, 10)]);
    for block in &prompt.0 {
        cell.register_block(holder, SEED, block.block_hash, None);
    }
    assert_eq!(depth(&cell, &prompt, holder), 0);
    cell.insert_chain(SEED, &prompt);
    assert_eq!(depth(&cell, &prompt, holder), 3);
    cell.evict_block(holder, prompt.0[1].block_hash, 0);
    assert_eq!(depth(&cell, &prompt, holder), 1);
    cell.register_block(holder, SEED, prompt.0[1].block_hash, None);
    assert_eq!(depth(&cell, &prompt, holder), 3);
}

#[test]
fn partially_cached_block_sets_no_bit_and_has_its_tokens_recorded() {
    let cell = Cell::new(1000);
    let holder = cell.admit().unwrap();
    let prompt = chain(&[(1, 100)]);
    cell.insert_chain(SEED, &prompt);
    cell.register_block(holder, SEED, prompt.0[0].block_hash, Some(48));
    assert_eq!(depth(&cell, &prompt, holder), 0);
    assert_eq!(cell.partial_blocks.tokens(holder.index, prompt.0[0].block_hash), 48);
    cell.register_block(holder, SEED, prompt.0[0].block_hash, Some(96));
    assert_eq!(depth(&cell, &prompt, holder), 1);
    assert_eq!(cell.partial_blocks.tokens(holder.index, prompt.0[0].block_hash), 0);
    cell.evict_block(holder, prompt.0[0].block_hash, 16);
    assert_eq!(depth(&cell, &prompt, holder), 0);
    assert_eq!(cell.partial_blocks.tokens(holder.index, prompt.0[0].block_hash), 16);
}

#[test]
fn removal_takes_effect_at_once_and_a_slot_is_reused_only_after_the_scrub() {
    let cell = Cell::new(4000);
    let slots: Vec<HolderSlot> = std::iter::from_fn(|| cell.admit()).collect();
    assert_eq!(slots.len(), 256);
    let prompt = chain(&[(1, 10), (2, 10)]);
    cell.insert_chain(SEED, &prompt);
    for holder in &slots {
        cell.register_block(*holder, SEED, prompt.0[0].block_hash, None);
    }
    assert!(cell.remove(slots[7]));
    assert!(!cell.remove(slots[7]), "the second removal has no effect");
    assert_eq!(cell.query(&prompt, &HolderBitmap::ALL).groups[0].1.count(), 255);
    assert!(cell.admit().is_none(), "no slot is free before the scrub");
    let mut steps = 0;
    while !cell.scrub(16) {
        steps += 1;
    }
    assert!(steps > 4, "each step is bounded");
    let next = cell.admit().unwrap();
    assert_eq!(next.index, slots[7].index);
    assert_eq!(depth(&cell, &prompt, next), 0, "nothing is left of the previous holder");
    assert!(
        !cell.register_block(slots[7], SEED, prompt.0[0].block_hash, None),
        "late event of the previous holder"
    );
    assert!(!cell.evict_block(slots[7], prompt.0[0].block_hash, 0));
    assert_eq!(depth(&cell, &prompt, next), 0);
}

#[test]
fn scrub_removes_unused_entries_and_invalidated_seeds() {
    let cell = Cell::new(4000);
    let (removed, kept) = (cell.admit().unwrap(), cell.admit().unwrap());
    let (first, second) = (chain(&[(1, 10)]), Chain::new(8, [(1, 10)]));
    cell.insert_chain(SEED, &first);
    cell.insert_chain(8, &second);
    cell.register_block(removed, SEED, first.0[0].block_hash, None);
    cell.register_block(kept, 8, second.0[0].block_hash, None);
    assert_eq!((cell.entries(), cell.blocks()), (2, 2));
    cell.remove(removed);
    while !cell.scrub(64) {}
    assert_eq!((cell.entries(), cell.blocks()), (1, 1));
    cell.invalidate_seed(8);
    while !cell.scrub(64) {}
    assert_eq!((cell.entries(), cell.blocks()), (0, 0));
}

#[test]
fn entries_are_bounded_and_the_least_recently_used_are_evicted() {
    let cell = Cell::new(1024);
    let holder = cell.admit().unwrap();
    let kept = chain(&[(1, 10), (2, 10)]);
    cell.insert_chain(SEED, &kept);
    for i in 0..20_000u64 {
        let prompt = chain(&[(1, 10), (i + 10, 10)]);
        cell.insert_chain(SEED, &prompt);
        cell.register_block(holder, SEED, prompt.0[1].block_hash, None);
        assert!(cell.touch_chain(kept.0[1].hash) || cell.touch_chain(kept.0[0].hash));
    }
    assert!(cell.entries() <= 1024 + 256 && cell.blocks() <= 1024 + 256);
}

#[test]
fn holders_beyond_the_capacity_of_a_cell_go_to_another_cell() {
    let index = Index::new(4000);
    for i in 0..600 {
        index.admit(&format!("e{i}"));
    }
    assert_eq!(index.cells().len(), 3);
    let prompt = index.chain("m|1|#1", [(5, 10)]);
    index.insert_chain("m|1|#1", &prompt);
    index.register_part("e599", "m|1|#1", 5, None);
    let found: Vec<(usize, Vec<u8>)> = index
        .cells()
        .iter()
        .enumerate()
        .flat_map(|(n, cell)| {
            let depths = cell.query(&prompt, &HolderBitmap::ALL);
            depths
                .groups
                .iter()
                .map(|(_, holders)| (n, holders.iter().collect()))
                .collect::<Vec<_>>()
        })
        .collect();
    let location = index.location("e599").unwrap();
    assert_eq!(found, vec![(location.cell, vec![location.slot.index])]);
    assert!(index.remove("e599") && !index.remove("e599"));
    assert!(index.location("e599").is_none());
    let changes_before = index.location_changes();
    index.register_part("e599", "m|1|#1", 5, None);
    assert!(index.location_changes() > changes_before, "it is admitted to another slot");
}

#[test]
fn invalidated_salts_and_a_reset_leave_nothing() {
    let index = Index::new(4000);
    let (old, new) = ("m|1|#1", "m|2|#1");
    for salt in [old, new] {
        let prompt = index.chain(salt, [(5, 10)]);
        index.insert_chain(salt, &prompt);
        index.register_part("e", salt, 5, None);
    }
    index.invalidate_salts(|salt| salt == old);
    while !index.scrub(100_000) {}
    let holder_count = |salt: &str| {
        let prompt = index.chain(salt, [(5, 10)]);
        index
            .cells()
            .iter()
            .map(|cell| cell.query(&prompt, &HolderBitmap::ALL).groups.len())
            .sum::<usize>()
    };
    assert_eq!((holder_count(old), holder_count(new)), (0, 1));
    index.reset();
    assert_eq!(holder_count(new), 0);
    assert!(index.location("e").is_none());
}

/// The naive model: the hashes of the blocks that one holder has cached.
#[derive(Default, Clone)]
struct Naive(std::collections::HashSet<u64>);

impl Naive {
    fn depth(&self, chain: &Chain) -> usize {
        chain.0.iter().take_while(|block| self.0.contains(&block.block_hash)).count()
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(64))]

    /// Random sequences of repeated and late events, evictions, removals, scrubs and inserted chains.
    #[test]
    fn agrees_with_the_naive_model(
        steps in proptest::collection::vec((0u8..9, 0usize..5, 0u64..6, 0usize..12), 1..200)
    ) {
        let cell = Cell::new(100_000);
        let chains: Vec<Chain> = (0..12u64)
            .map(|i| chain(&(0..=(i % 5)).map(|block| ((i / 3 * block + block) % 6, 10)).collect::<Vec<_>>()))
            .collect();
        let mut live: Vec<HolderSlot> = (0..5).map(|_| cell.admit().unwrap()).collect();
        let mut former: Vec<HolderSlot> = Vec::new();
        let mut model = vec![Naive::default(); 5];
        for (action, holder, part, chain_index) in steps {
            let block_hash = prompt_index::chain::block_hash(SEED, part);
            match action {
                0..=2 => {
                    for _ in 0..=(action % 2) {
                        cell.register_block(live[holder], SEED, block_hash, None);
                    }
                    model[holder].0.insert(block_hash);
                }
                3 | 4 => {
                    for _ in 0..(action - 2) {
                        cell.evict_block(live[holder], block_hash, 0);
                    }
                    model[holder].0.remove(&block_hash);
                }
                5 => {
                    cell.remove(live[holder]);
                    former.push(live[holder]);
                    model[holder] = Naive::default();
                    live[holder] = cell.admit().unwrap();
                }
                6 => { cell.scrub(7); }
                7 => for removed in &former {
                    proptest::prop_assert!(!cell.register_block(*removed, SEED, block_hash, None));
                    proptest::prop_assert!(!cell.remove(*removed));
                },
                _ => cell.insert_chain(SEED, &chains[chain_index]),
            }
            let queried = &chains[chain_index];
            if queried.0.last().is_some_and(|block| cell.touch_chain(block.hash)) {
                let got = cell.query(queried, &HolderBitmap::ALL);
                for (n, slot) in live.iter().enumerate() {
                    proptest::prop_assert_eq!(got.depth_of(slot.index), model[n].depth(queried));
                }
                let (groups, blocks) = (got.groups.len().max(1) as u32, queried.len() as u32);
                let log = u32::BITS - blocks.leading_zeros() + 1;
                proptest::prop_assert!(got.lookups <= groups * log + 1 + log, "{} look-ups", got.lookups);
            }
        }
    }
}
