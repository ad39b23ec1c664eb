//! Explores all interleavings of a few threads with loom: writers of a shard, the set of live holders, and the reuse of
//! a slot.
#![cfg(feature = "checker")]

use loom::sync::Arc;
use prompt_index::alive::LiveHolders;
use prompt_index::shard::Shards;
use prompt_index::{Cell, Chain, HolderBitmap};

#[test]
fn concurrent_changes_of_one_word_are_never_lost() {
    loom::model(|| {
        let live_holders = Arc::new(LiveHolders::default());
        live_holders.set(1);
        let thread_handle = {
            let live_holders = live_holders.clone();
            loom::thread::spawn(move || live_holders.clear(1))
        };
        live_holders.set(2);
        assert!(thread_handle.join().unwrap());
        assert_eq!(live_holders.load(), HolderBitmap::single(2));
    });
}

#[test]
fn only_one_of_two_concurrent_calls_clears_a_holder() {
    loom::model(|| {
        let live_holders = Arc::new(LiveHolders::default());
        live_holders.set(5);
        let thread_handle = {
            let live_holders = live_holders.clone();
            loom::thread::spawn(move || live_holders.clear(5))
        };
        let cleared_here = live_holders.clear(5);
        assert!(cleared_here ^ thread_handle.join().unwrap());
    });
}

#[test]
fn concurrent_writes_to_a_shard_are_never_lost() {
    loom::model(|| {
        let shards = Arc::new(Shards::<u32>::default());
        let thread_handle = {
            let shards = shards.clone();
            loom::thread::spawn(move || {
                shards.with_shard_of(1, |map| *map.entry(1).or_insert(0) += 1)
            })
        };
        shards.with_shard_of(1, |map| *map.entry(1).or_insert(0) += 1);
        thread_handle.join().unwrap();
        assert_eq!(shards.with_shard_of(1, |map| map[&1]), 2);
    });
}

fn bounded_model() -> loom::model::Builder {
    let mut builder = loom::model::Builder::new();
    builder.preemption_bound = Some(2);
    builder
}

/// A late event of a removed holder sets no bit for the next holder of its slot, in any order of the two.
#[test]
fn late_event_never_marks_the_next_holder_of_the_slot() {
    bounded_model().check(|| {
        let cell = Arc::new(Cell::new(64));
        let holder = cell.admit().unwrap();
        let chain = Chain::new(3, [(1, 10)]);
        cell.insert_chain(3, &chain);
        let block_hash = chain.0[0].block_hash;
        let thread_handle = {
            let cell = cell.clone();
            loom::thread::spawn(move || cell.register_block(holder, 3, block_hash, None))
        };
        assert!(cell.remove(holder));
        while !cell.scrub(1000) {}
        let next = loop {
            let slot = cell.admit().unwrap();
            if slot.index == holder.index {
                break slot;
            }
        };
        thread_handle.join().unwrap();
        assert!(
            !cell
                .query(&chain, &HolderBitmap::single(next.index))
                .groups
                .iter()
                .any(|(_, holders)| holders.has(next.index))
        );
    });
}

/// A query concurrent with the removal of a holder may or may not see it; a query after the removal never does.
#[test]
fn query_sees_no_holder_after_its_removal() {
    bounded_model().check(|| {
        let cell = Arc::new(Cell::new(64));
        let holder = cell.admit().unwrap();
        let chain = Chain::new(3, [(1, 10)]);
        cell.insert_chain(3, &chain);
        cell.register_block(holder, 3, chain.0[0].block_hash, None);
        let thread_handle = {
            let (cell, chain) = (cell.clone(), chain.clone());
            loom::thread::spawn(move || {
                cell.query(&chain, &HolderBitmap::ALL).depth_of(holder.index)
            })
        };
        assert!(cell.remove(holder));
        assert_eq!(cell.query(&chain, &HolderBitmap::ALL).depth_of(holder.index), 0);
        assert!(thread_handle.join().unwrap() <= 1);
    });
}
