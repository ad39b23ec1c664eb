//! Files on a simulated disk that loses power, fills up and refuses syncs: what was answered as
//! kept is there after opening again.

use super::*;
use fleet_core::wire::{Ballot, Register};
use std::collections::BTreeMap;
use std::io;

const LAYOUT: Layout = Layout { slot: 600, log: 1200 };
const SECTOR: usize = 64;

#[derive(Default, Clone)]
struct SimFile {
    durable: Vec<u8>,
    content: Vec<u8>,
    pending: Vec<(usize, Vec<u8>)>,
    entry_durable: bool,
}

fn put(content: &mut Vec<u8>, at: usize, bytes: &[u8]) {
    if content.len() < at + bytes.len() {
        content.resize(at + bytes.len(), 0);
    }
    content[at..at + bytes.len()].copy_from_slice(bytes);
}

/// A disk whose faults are drawn from a seed.
#[derive(Default, Clone)]
struct SimDisk {
    files: BTreeMap<String, SimFile>,
    /// bytes that can still be written, if it is filling up
    space: Option<usize>,
    syncs_fail: bool,
    draw: u64,
}

impl SimDisk {
    fn random_bool(&mut self, below: u64) -> u64 {
        self.draw = self.draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(99_991);
        (self.draw >> 33) % below
    }

    /// Each entry and each sector that was not synced is there or not.
    fn lose_power(&mut self) {
        for name in self.files.keys().cloned().collect::<Vec<_>>() {
            let mut file = self.files.remove(&name).unwrap();
            if !file.entry_durable && self.random_bool(2) == 0 {
                continue;
            }
            for (at, bytes) in std::mem::take(&mut file.pending) {
                for (i, sector) in bytes.chunks(SECTOR).enumerate() {
                    if self.random_bool(3) > 0 {
                        put(&mut file.durable, at + i * SECTOR, sector);
                    }
                }
            }
            file.content.clone_from(&file.durable);
            file.entry_durable = true;
            self.files.insert(name, file);
        }
        (self.space, self.syncs_fail) = (None, false);
    }
}

impl Storage for SimDisk {
    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.files.get(name).map(|file| file.content.clone()).unwrap_or_default())
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(self.files.get(name).map_or(0, |file| file.content.len() as u64))
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let fits = self.space.unwrap_or(usize::MAX).min(bytes.len());
        self.space = self.space.map(|space| space - fits);
        let file = self.files.entry(name.to_owned()).or_default();
        put(&mut file.content, offset as usize, &bytes[..fits]);
        file.pending.push((offset as usize, bytes[..fits].to_vec()));
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.syncs_fail {
            return Err(io::ErrorKind::Other.into());
        }
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.durable.clone_from(&file.content);
        file.pending.clear();
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.files.values_mut().for_each(|file| file.entry_durable = true);
        Ok(())
    }
}

#[derive(Debug, Clone)]
enum Step {
    Keep { key: u8, size: usize },
    FillUp { space: usize },
    FreeSpace,
    FailSyncs { fail: bool },
    LosePower { seed: u64 },
}

fn step() -> impl proptest::strategy::Strategy<Value = Step> {
    use proptest::prelude::*;
    prop_oneof![
        12 => (0u8..3, 0usize..500).prop_map(|(key, size)| Step::Keep { key, size }),
        2 => (0usize..900).prop_map(|space| Step::FillUp { space }),
        2 => Just(Step::FreeSpace),
        1 => any::<bool>().prop_map(|fail| Step::FailSyncs { fail }),
        3 => any::<u64>().prop_map(|seed| Step::LosePower { seed }),
    ]
}

fn record(key: u8, n: u64, size: usize) -> Record {
    let ballot = Ballot { n, node: 1, seq: 0 };
    let value = vec![n as u8; size].into();
    let register = Register { key: key.to_string(), promised: ballot, accepted: ballot, value };
    Record { registers: vec![register], voting: n.is_multiple_of(2), reset: false }
}

/// What was told, and what was tried after it without an answer of success.
#[derive(Default)]
struct Acknowledged {
    stored: BTreeMap<u8, u64>,
    tried: BTreeMap<u8, u64>,
    last_stored: u64,
}

impl Acknowledged {
    fn check(&self, state: &State) -> Result<(), String> {
        for (key, stored) in &self.stored {
            let register = state.registers.iter().find(|r| r.key == key.to_string());
            let found = register.map_or(0, |r| r.accepted.n);
            if !(*stored..=self.tried[key]).contains(&found) {
                return Err(format!(
                    "{key}: told {stored}, tried {}, found {found}",
                    self.tried[key]
                ));
            }
            if register.is_some_and(|r| r.value.iter().any(|b| *b != found as u8)) {
                return Err(format!("{key}: value of {found} is mixed"));
            }
        }
        let newest = state.registers.iter().map(|r| r.accepted.n).max().unwrap_or(0);
        if newest < self.last_stored || (newest > 0 && state.voting != newest.is_multiple_of(2)) {
            return Err(format!(
                "newest {newest}, told {}, flag {}",
                self.last_stored, state.voting
            ));
        }
        Ok(())
    }
}

fn reopen(mut disk: SimDisk, seed: u64) -> (Files<SimDisk>, State) {
    disk.draw = seed;
    disk.lose_power();
    Files::open_in(disk, LAYOUT).unwrap_or_else(|error| panic!("{error}"))
}

fn run(steps: &[Step]) -> Result<(), String> {
    let (mut files, _) = Files::open_in(SimDisk::default(), LAYOUT).map_err(|e| e.to_string())?;
    let mut acknowledged = Acknowledged::default();
    for (n, step) in (1..).zip(steps) {
        match step {
            Step::Keep { key, size } => {
                acknowledged.tried.insert(*key, n);
                if files.persist([record(*key, n, *size)].iter()).is_ok() {
                    acknowledged.stored.clone_from(&acknowledged.tried);
                    acknowledged.last_stored = n;
                }
            }
            Step::FillUp { space } => files.storage.space = Some(*space),
            Step::FreeSpace => files.storage.space = None,
            Step::FailSyncs { fail } => files.storage.syncs_fail = *fail,
            Step::LosePower { seed } => {
                let state;
                (files, state) = reopen(files.storage, *seed);
                acknowledged.check(&state)?;
                acknowledged.last_stored =
                    state.registers.iter().map(|r| r.accepted.n).max().unwrap_or(0);
                for register in &state.registers {
                    let key = register.key.parse().map_err(|_| "key".to_owned())?;
                    acknowledged.stored.insert(key, register.accepted.n);
                }
                acknowledged.tried.clone_from(&acknowledged.stored);
            }
        }
    }
    Ok(())
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 2000, failure_persistence: None, ..Default::default() })]
    #[test]
    fn what_was_kept_is_there_again(steps in proptest::collection::vec(step(), 1..120)) {
        run(&steps).map_err(proptest::test_runner::TestCaseError::fail)?;
    }

    /// Power is lost before the first files are laid down: an entry lost by itself is made again.
    #[test]
    fn a_first_start_can_be_cut_off_anywhere(space in 0usize..4000, seed: u64) {
        let mut disk = SimDisk { space: Some(space), ..Default::default() };
        // The files that were begun stay behind whatever the open said.
        for name in SLOTS {
            let _ = preallocate(&mut disk, name, LAYOUT.slot);
        }
        let (files, _) = reopen(disk, seed);
        let (mut files, state) = reopen(files.storage, seed);
        proptest::prop_assert!(files.empty, "nothing was ever kept, so it is a first start still");
        proptest::prop_assert_eq!(state, State::default());
        files.persist([record(1, 2, 10)].iter()).unwrap();
        let (files, state) = reopen(files.storage, seed);
        proptest::prop_assert!(!files.empty && state.voting && state.registers.len() == 1);
    }
}

/// The disk fills up once the state has grown to two thirds of its slots: they have grown before.
#[test]
fn slots_grow_before_the_state_needs_them() {
    let (mut files, _) = Files::open_in(SimDisk::default(), LAYOUT).unwrap();
    for n in 1..20 {
        files.persist([record((n % 3) as u8, n, 300)].iter()).unwrap();
    }
    let sizes =
        |files: &Files<SimDisk>| SLOTS.map(|name| files.storage.length(name).unwrap() as usize);
    assert!(sizes(&files).iter().all(|size| *size >= 3 * 300 * 3 / 2));
    let before = sizes(&files);
    for n in 20..30 {
        files.persist([record((n % 3) as u8, n, 320)].iter()).unwrap();
    }
    assert_eq!(sizes(&files), before);
}
