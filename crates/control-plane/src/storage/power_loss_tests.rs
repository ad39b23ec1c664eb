//! Storage on a simulated disk that loses power, runs full and fails syncs. Records that were acknowledged as durable
//! must be there after the files are opened again.

use super::*;
use fleet_core::wire::{Ballot, Register};
use std::collections::BTreeMap;
use std::io;

const FILE_SIZES: FileSizes = FileSizes { slot: 600, log: 1200 };
const SECTOR: usize = 64;

#[derive(Default, Clone)]
struct SimFile {
    durable: Vec<u8>,
    content: Vec<u8>,
    /// Writes since the last sync, as offset and bytes.
    unsynced: Vec<(usize, Vec<u8>)>,
    entry_durable: bool,
}

fn write_at(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    if content.len() < offset + bytes.len() {
        content.resize(offset + bytes.len(), 0);
    }
    content[offset..offset + bytes.len()].copy_from_slice(bytes);
}

/// A simulated disk. The damage of a power loss depends on `random_state`.
#[derive(Default, Clone)]
struct SimDisk {
    files: BTreeMap<String, SimFile>,
    /// Bytes that can still be written; unlimited if `None`.
    free_bytes: Option<usize>,
    syncs_fail: bool,
    random_state: u64,
}

impl SimDisk {
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(99_991);
        (self.random_state >> 33) % bound
    }

    /// Drops some of the unsynced directory entries and sectors, and clears the other faults.
    fn lose_power(&mut self) {
        for name in self.files.keys().cloned().collect::<Vec<_>>() {
            let mut file = self.files.remove(&name).unwrap();
            if !file.entry_durable && self.random_below(2) == 0 {
                continue;
            }
            for (offset, bytes) in std::mem::take(&mut file.unsynced) {
                for (i, sector) in bytes.chunks(SECTOR).enumerate() {
                    if self.random_below(3) > 0 {
                        write_at(&mut file.durable, offset + i * SECTOR, sector);
                    }
                }
            }
            file.content.clone_from(&file.durable);
            file.entry_durable = true;
            self.files.insert(name, file);
        }
        (self.free_bytes, self.syncs_fail) = (None, false);
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
        let writable = self.free_bytes.unwrap_or(usize::MAX).min(bytes.len());
        self.free_bytes = self.free_bytes.map(|free_bytes| free_bytes - writable);
        let file = self.files.entry(name.to_owned()).or_default();
        write_at(&mut file.content, offset as usize, &bytes[..writable]);
        file.unsynced.push((offset as usize, bytes[..writable].to_vec()));
        if writable < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.syncs_fail {
            return Err(io::ErrorKind::Other.into());
        }
        let file = self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        file.durable.clone_from(&file.content);
        file.unsynced.clear();
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.files.values_mut().for_each(|file| file.entry_durable = true);
        Ok(())
    }
}

#[derive(Debug, Clone)]
enum Step {
    Persist { key: u8, size: usize },
    FillUp { free_bytes: usize },
    FreeSpace,
    FailSyncs { fail: bool },
    LosePower { seed: u64 },
}

fn step() -> impl proptest::strategy::Strategy<Value = Step> {
    use proptest::prelude::*;
    prop_oneof![
        12 => (0u8..3, 0usize..500).prop_map(|(key, size)| Step::Persist { key, size }),
        2 => (0usize..900).prop_map(|free_bytes| Step::FillUp { free_bytes }),
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

/// The records that were acknowledged, and those that were attempted but may not be durable. Records are numbered in
/// the order of the steps.
#[derive(Default)]
struct Acknowledged {
    /// The last acknowledged record of each key.
    stored: BTreeMap<u8, u64>,
    /// The last attempted record of each key.
    attempted: BTreeMap<u8, u64>,
    last_stored: u64,
}

impl Acknowledged {
    fn check(&self, state: &State) -> Result<(), String> {
        for (key, stored) in &self.stored {
            let register = state.registers.iter().find(|r| r.key == key.to_string());
            let found = register.map_or(0, |r| r.accepted.n);
            if !(*stored..=self.attempted[key]).contains(&found) {
                return Err(format!(
                    "key {key}: acknowledged {stored}, attempted {}, found {found}",
                    self.attempted[key]
                ));
            }
            if register.is_some_and(|r| r.value.iter().any(|b| *b != found as u8)) {
                return Err(format!("key {key}: value of record {found} is corrupt"));
            }
        }
        let newest = state.registers.iter().map(|r| r.accepted.n).max().unwrap_or(0);
        if newest < self.last_stored || (newest > 0 && state.voting != newest.is_multiple_of(2)) {
            return Err(format!(
                "newest record {newest}, acknowledged {}, voting flag {}",
                self.last_stored, state.voting
            ));
        }
        Ok(())
    }
}

fn reopen_after_power_loss(mut disk: SimDisk, seed: u64) -> (StateFiles<SimDisk>, State) {
    disk.random_state = seed;
    disk.lose_power();
    StateFiles::open_in(disk, FILE_SIZES).unwrap_or_else(|error| panic!("{error}"))
}

fn run(steps: &[Step]) -> Result<(), String> {
    let (mut files, _) =
        StateFiles::open_in(SimDisk::default(), FILE_SIZES).map_err(|e| e.to_string())?;
    let mut acknowledged = Acknowledged::default();
    for (n, step) in (1..).zip(steps) {
        match step {
            Step::Persist { key, size } => {
                acknowledged.attempted.insert(*key, n);
                if files.persist([record(*key, n, *size)].iter()).is_ok() {
                    acknowledged.stored.clone_from(&acknowledged.attempted);
                    acknowledged.last_stored = n;
                }
            }
            Step::FillUp { free_bytes } => files.storage.free_bytes = Some(*free_bytes),
            Step::FreeSpace => files.storage.free_bytes = None,
            Step::FailSyncs { fail } => files.storage.syncs_fail = *fail,
            Step::LosePower { seed } => {
                let state;
                (files, state) = reopen_after_power_loss(files.storage, *seed);
                acknowledged.check(&state)?;
                acknowledged.last_stored =
                    state.registers.iter().map(|r| r.accepted.n).max().unwrap_or(0);
                for register in &state.registers {
                    let key = register.key.parse().map_err(|_| "key".to_owned())?;
                    acknowledged.stored.insert(key, register.accepted.n);
                }
                acknowledged.attempted.clone_from(&acknowledged.stored);
            }
        }
    }
    Ok(())
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config { cases: 2000, failure_persistence: None, ..Default::default() })]
    #[test]
    fn acknowledged_records_survive_power_loss(steps in proptest::collection::vec(step(), 1..120)) {
        run(&steps).map_err(proptest::test_runner::TestCaseError::fail)?;
    }

    /// Power is lost during the first start, before all files are preallocated. A lost file is created again, and the
    /// disk still counts as empty.
    #[test]
    fn first_start_can_be_repeated_after_power_loss_at_any_point(free_bytes in 0usize..4000, seed: u64) {
        let mut disk = SimDisk { free_bytes: Some(free_bytes), ..Default::default() };
        // Errors are ignored: partly written files stay on the disk.
        for name in SLOTS {
            let _ = preallocate(&mut disk, name, FILE_SIZES.slot);
        }
        let (files, _) = reopen_after_power_loss(disk, seed);
        let (mut files, state) = reopen_after_power_loss(files.storage, seed);
        proptest::prop_assert!(files.was_empty, "nothing was stored, so this is still a first start");
        proptest::prop_assert_eq!(state, State::default());
        files.persist([record(1, 2, 10)].iter()).unwrap();
        let (files, state) = reopen_after_power_loss(files.storage, seed);
        proptest::prop_assert!(!files.was_empty && state.voting && state.registers.len() == 1);
    }
}

/// A slot is enlarged once the state fills two thirds of it, so that a disk that runs full later still has room for the
/// state.
#[test]
fn slots_grow_before_the_state_needs_them() {
    let (mut files, _) = StateFiles::open_in(SimDisk::default(), FILE_SIZES).unwrap();
    for n in 1..20 {
        files.persist([record((n % 3) as u8, n, 300)].iter()).unwrap();
    }
    let slot_sizes = |files: &StateFiles<SimDisk>| {
        SLOTS.map(|name| files.storage.length(name).unwrap() as usize)
    };
    assert!(slot_sizes(&files).iter().all(|size| *size >= 3 * 300 * 3 / 2));
    let before = slot_sizes(&files);
    for n in 20..30 {
        files.persist([record((n % 3) as u8, n, 320)].iter()).unwrap();
    }
    assert_eq!(slot_sizes(&files), before);
}
