//! All interleavings of a few threads: a shard, the alive bitmap, and a number's second incarnation.
#![cfg(feature = "checker")]

use loom::sync::Arc;
use prompt_index::alive::Alive;
use prompt_index::shard::Shards;
use prompt_index::{Cell, Chain, HolderBitmap};

#[test]
fn alive_bits_of_one_word_are_never_lost() {
    loom::model(|| {
        let a = Arc::new(Alive::default());
        a.raise(1);
        let t = {
            let a = a.clone();
            loom::thread::spawn(move || a.clear(1))
        };
        a.raise(2);
        assert!(t.join().unwrap());
        assert_eq!(a.load(), HolderBitmap::one(2));
    });
}

#[test]
fn only_one_of_two_clears_it() {
    loom::model(|| {
        let a = Arc::new(Alive::default());
        a.raise(5);
        let t = {
            let a = a.clone();
            loom::thread::spawn(move || a.clear(5))
        };
        let here = a.clear(5);
        assert!(here ^ t.join().unwrap());
    });
}

#[test]
fn two_writers_of_a_shard_lose_nothing() {
    loom::model(|| {
        let s = Arc::new(Shards::<u32>::default());
        let t = {
            let s = s.clone();
            loom::thread::spawn(move || s.with(1, |m| *m.entry(1).or_insert(0) += 1))
        };
        s.with(1, |m| *m.entry(1).or_insert(0) += 1);
        t.join().unwrap();
        assert_eq!(s.with(1, |m| m[&1]), 2);
    });
}

fn bounded() -> loom::model::Builder {
    let mut b = loom::model::Builder::new();
    b.preemption_bound = Some(2);
    b
}

/// An event of a holder that goes: whatever the order, its number's next incarnation keeps nothing.
#[test]
fn late_event_never_marks_the_next_incarnation() {
    bounded().check(|| {
        let cell = Arc::new(Cell::new(64));
        let h = cell.admit().unwrap();
        let c = Chain::new(3, [(1, 10)]);
        cell.learn(3, &c);
        let raw = c.0[0].raw;
        let t = {
            let cell = cell.clone();
            loom::thread::spawn(move || cell.registered(h, 3, raw, None))
        };
        assert!(cell.remove(h));
        while !cell.scrub(1000) {}
        let next = loop {
            let n = cell.admit().unwrap();
            if n.index == h.index {
                break n;
            }
        };
        t.join().unwrap();
        assert!(
            !cell
                .query(&c, &HolderBitmap::one(next.index))
                .groups
                .iter()
                .any(|(_, b)| b.has(next.index))
        );
    });
}

/// A query beside a holder's end sees it or not, and never after the end is known.
#[test]
fn a_query_beside_the_end_of_a_holder() {
    bounded().check(|| {
        let cell = Arc::new(Cell::new(64));
        let h = cell.admit().unwrap();
        let c = Chain::new(3, [(1, 10)]);
        cell.learn(3, &c);
        cell.registered(h, 3, c.0[0].raw, None);
        let t = {
            let (cell, c) = (cell.clone(), c.clone());
            loom::thread::spawn(move || cell.query(&c, &HolderBitmap::ALL).of(h.index))
        };
        assert!(cell.remove(h));
        assert_eq!(cell.query(&c, &HolderBitmap::ALL).of(h.index), 0);
        assert!(t.join().unwrap() <= 1);
    });
}
