//! The index against a naive model, and what each of its promises costs.
#![cfg(not(feature = "checker"))]

use prompt_index::{Cell, Chain, HolderBitmap, HolderNo, Index};

const SEED: u64 = 9;

fn chain(parts: &[(u64, u64)]) -> Chain {
    Chain::new(SEED, parts.iter().copied())
}

fn depth(c: &Cell, chain: &Chain, h: HolderNo) -> usize {
    c.query(chain, &HolderBitmap::ALL).of(h.index)
}

#[test]
fn worked_example_of_the_source() {
    let cell = Cell::new(10_000);
    let h: Vec<HolderNo> = (0..4).map(|_| cell.admit().unwrap()).collect();
    let c = chain(&(0..8).map(|i| (i, 10)).collect::<Vec<_>>());
    cell.learn(SEED, &c);
    for (n, d) in [(0, 6), (1, 4), (2, 8), (3, 2)] {
        for b in &c.0[..d] {
            assert!(cell.registered(h[n], SEED, b.raw, None));
        }
    }
    let got = cell.query(&c, &HolderBitmap::ALL);
    let ranked: Vec<(usize, Vec<u8>)> =
        got.groups.iter().map(|(d, b)| (*d, b.iter().collect())).collect();
    let i = |n: usize| h[n].index;
    assert_eq!(ranked, vec![(8, vec![i(2)]), (6, vec![i(0)]), (4, vec![i(1)]), (2, vec![i(3)])]);
    assert!(got.lookups < 32, "{} look-ups", got.lookups);
    let some = cell.query(&c, &HolderBitmap::one(i(1)));
    assert_eq!(some.groups.len(), 1);
}

#[test]
fn a_hash_names_all_that_goes_before_it() {
    let (a, b) = (chain(&[(1, 5), (2, 5), (3, 5)]), chain(&[(9, 5), (2, 5), (3, 5)]));
    assert_ne!(a.0[2].hash, b.0[2].hash);
    assert_eq!(a.0[2].raw, b.0[2].raw);
    assert_ne!(chain(&[(1, 5)]).0[0].hash, chain(&[(1, 6)]).0[0].hash);
    assert_ne!(Chain::new(1, [(1, 5)]).0[0].hash, Chain::new(2, [(1, 5)]).0[0].hash);
    assert_eq!((a.tokens(0), a.tokens(2), a.tokens(9)), (0, 10, 0));
}

#[test]
fn hundreds_of_parts_are_bounded() {
    let c = Chain::new(SEED, (0..900).map(|i| (i, 1)));
    assert_eq!(c.len(), fleet_core::constants::CHAIN_BLOCKS);
    let again = Chain::new(SEED, (0..9).map(|_| (4, 1)));
    let cell = Cell::new(1000);
    let h = cell.admit().unwrap();
    cell.learn(SEED, &again);
    cell.registered(h, SEED, again.0[0].raw, None);
    assert_eq!(depth(&cell, &again, h), 9, "one repeated part is kept wherever it stands");
}

#[test]
fn events_before_the_chain_wait_for_it_and_an_inner_gap_ends_the_prefix() {
    let cell = Cell::new(1000);
    let h = cell.admit().unwrap();
    let c = chain(&[(1, 10), (2, 10), (3, 10)]);
    for b in &c.0 {
        cell.registered(h, SEED, b.raw, None);
    }
    assert_eq!(depth(&cell, &c, h), 0);
    cell.learn(SEED, &c);
    assert_eq!(depth(&cell, &c, h), 3);
    cell.evicted(h, c.0[1].raw, 0);
    assert_eq!(depth(&cell, &c, h), 1);
    cell.registered(h, SEED, c.0[1].raw, None);
    assert_eq!(depth(&cell, &c, h), 3);
}

#[test]
fn a_part_kept_only_partly_sets_no_bit_and_stands_in_the_tiers() {
    let cell = Cell::new(1000);
    let h = cell.admit().unwrap();
    let c = chain(&[(1, 100)]);
    cell.learn(SEED, &c);
    cell.registered(h, SEED, c.0[0].raw, Some(48));
    assert_eq!(depth(&cell, &c, h), 0);
    assert_eq!(cell.tiers.tokens(h.index, c.0[0].raw), 48);
    cell.registered(h, SEED, c.0[0].raw, Some(96));
    assert_eq!(depth(&cell, &c, h), 1);
    assert_eq!(cell.tiers.tokens(h.index, c.0[0].raw), 0);
    cell.evicted(h, c.0[0].raw, 16);
    assert_eq!(depth(&cell, &c, h), 0);
    assert_eq!(cell.tiers.tokens(h.index, c.0[0].raw), 16);
}

#[test]
fn gone_counts_at_once_and_a_number_comes_back_only_scrubbed() {
    let cell = Cell::new(4000);
    let all: Vec<HolderNo> = std::iter::from_fn(|| cell.admit()).collect();
    assert_eq!(all.len(), 256);
    let c = chain(&[(1, 10), (2, 10)]);
    cell.learn(SEED, &c);
    for h in &all {
        cell.registered(*h, SEED, c.0[0].raw, None);
    }
    assert!(cell.remove(all[7]));
    assert!(!cell.remove(all[7]), "gone twice is gone once");
    assert_eq!(cell.query(&c, &HolderBitmap::ALL).groups[0].1.count(), 255);
    assert!(cell.admit().is_none(), "not before the scrub");
    let mut turns = 0;
    while !cell.scrub(16) {
        turns += 1;
    }
    assert!(turns > 4, "bounded turns");
    let next = cell.admit().unwrap();
    assert_eq!(next.index, all[7].index);
    assert_eq!(depth(&cell, &c, next), 0, "nothing of the former incarnation");
    assert!(
        !cell.registered(all[7], SEED, c.0[0].raw, None),
        "late event of the former incarnation"
    );
    assert!(!cell.evicted(all[7], c.0[0].raw, 0));
    assert_eq!(depth(&cell, &c, next), 0);
}

#[test]
fn scrub_drops_entries_that_nobody_keeps_and_void_seeds() {
    let cell = Cell::new(4000);
    let (a, b) = (cell.admit().unwrap(), cell.admit().unwrap());
    let (one, two) = (chain(&[(1, 10)]), Chain::new(8, [(1, 10)]));
    cell.learn(SEED, &one);
    cell.learn(8, &two);
    cell.registered(a, SEED, one.0[0].raw, None);
    cell.registered(b, 8, two.0[0].raw, None);
    assert_eq!((cell.entries(), cell.blocks()), (2, 2));
    cell.remove(a);
    while !cell.scrub(64) {}
    assert_eq!((cell.entries(), cell.blocks()), (1, 1));
    cell.void(8);
    while !cell.scrub(64) {}
    assert_eq!((cell.entries(), cell.blocks()), (0, 0));
}

#[test]
fn entries_are_bounded_and_the_least_recently_asked_go() {
    let cell = Cell::new(1024);
    let h = cell.admit().unwrap();
    let kept = chain(&[(1, 10), (2, 10)]);
    cell.learn(SEED, &kept);
    for i in 0..20_000u64 {
        let c = chain(&[(1, 10), (i + 10, 10)]);
        cell.learn(SEED, &c);
        cell.registered(h, SEED, c.0[1].raw, None);
        assert!(cell.knows(kept.0[1].hash) || cell.knows(kept.0[0].hash));
    }
    assert!(cell.entries() <= 1024 + 256 && cell.blocks() <= 1024 + 256);
}

#[test]
fn more_holders_than_a_cell_carries_get_another_cell_and_never_a_wrong_bit() {
    let index = Index::new(4000);
    for i in 0..600 {
        index.admit(&format!("e{i}"));
    }
    assert_eq!(index.cells().len(), 3);
    let c = index.chain("m|1|#1", [(5, 10)]);
    index.learn("m|1|#1", &c);
    index.registered("e599", "m|1|#1", 5, None);
    let found: Vec<(usize, Vec<u8>)> = index
        .cells()
        .iter()
        .enumerate()
        .flat_map(|(n, cell)| {
            let d = cell.query(&c, &HolderBitmap::ALL);
            d.groups.iter().map(|(_, b)| (n, b.iter().collect())).collect::<Vec<_>>()
        })
        .collect();
    let at = index.at("e599").unwrap();
    assert_eq!(found, vec![(at.cell, vec![at.no.index])]);
    assert!(index.remove("e599") && !index.remove("e599"));
    assert!(index.at("e599").is_none());
    let moves = index.moves();
    index.registered("e599", "m|1|#1", 5, None);
    assert!(index.moves() > moves, "it is back under another number");
}

#[test]
fn void_salts_and_a_reset_leave_nothing() {
    let index = Index::new(4000);
    let (old, new) = ("m|1|#1", "m|2|#1");
    for salt in [old, new] {
        let c = index.chain(salt, [(5, 10)]);
        index.learn(salt, &c);
        index.registered("e", salt, 5, None);
    }
    index.void(|s| s == old);
    while !index.scrub(100_000) {}
    let held = |salt: &str| {
        let c = index.chain(salt, [(5, 10)]);
        index.cells().iter().map(|x| x.query(&c, &HolderBitmap::ALL).groups.len()).sum::<usize>()
    };
    assert_eq!((held(old), held(new)), (0, 1));
    index.reset();
    assert_eq!(held(new), 0);
    assert!(index.at("e").is_none());
}

/// What an engine keeps, as plainly as can be said.
#[derive(Default, Clone)]
struct Naive(std::collections::HashSet<u64>);

impl Naive {
    fn depth(&self, c: &Chain) -> usize {
        c.0.iter().take_while(|b| self.0.contains(&b.raw)).count()
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(64))]

    /// Events in any order and number, new incarnations of holders, evictions in the middle.
    #[test]
    fn agrees_with_the_naive_model(
        steps in proptest::collection::vec((0u8..9, 0usize..5, 0u64..6, 0usize..12), 1..200)
    ) {
        let cell = Cell::new(100_000);
        let chains: Vec<Chain> = (0..12u64)
            .map(|i| chain(&(0..=(i % 5)).map(|b| ((i / 3 * b + b) % 6, 10)).collect::<Vec<_>>()))
            .collect();
        let mut live: Vec<HolderNo> = (0..5).map(|_| cell.admit().unwrap()).collect();
        let mut former: Vec<HolderNo> = Vec::new();
        let mut model = vec![Naive::default(); 5];
        for (what, h, part, c) in steps {
            let raw = prompt_index::chain::raw(SEED, part);
            match what {
                0..=2 => {
                    for _ in 0..=(what % 2) {
                        cell.registered(live[h], SEED, raw, None);
                    }
                    model[h].0.insert(raw);
                }
                3 | 4 => {
                    for _ in 0..(what - 2) {
                        cell.evicted(live[h], raw, 0);
                    }
                    model[h].0.remove(&raw);
                }
                5 => {
                    cell.remove(live[h]);
                    former.push(live[h]);
                    model[h] = Naive::default();
                    live[h] = cell.admit().unwrap();
                }
                6 => { cell.scrub(7); }
                7 => for f in &former {
                    proptest::prop_assert!(!cell.registered(*f, SEED, raw, None));
                    proptest::prop_assert!(!cell.remove(*f));
                },
                _ => cell.learn(SEED, &chains[c]),
            }
            let asked = &chains[c];
            if asked.0.last().is_some_and(|b| cell.knows(b.hash)) {
                let got = cell.query(asked, &HolderBitmap::ALL);
                for (n, no) in live.iter().enumerate() {
                    proptest::prop_assert_eq!(got.of(no.index), model[n].depth(asked));
                }
                let (k, n) = (got.groups.len().max(1) as u32, asked.len() as u32);
                let log = u32::BITS - n.leading_zeros() + 1;
                proptest::prop_assert!(got.lookups <= k * log + 1 + log, "{} look-ups", got.lookups);
            }
        }
    }
}
