//! Compatibility of the data folder: one written by an earlier release is read completely, and the same records are
//! written as the same bytes.
//!
//! `fixtures/data-folder` contains both slots and a log of two records followed by a torn third one. The fixture must
//! not be changed, because data on the disks of controllers has to stay readable.

use control_plane::consensus::acceptor::Acceptor;
use control_plane::storage::backend::Directory;
use control_plane::storage::files::{FileSizes, StateFiles};
use control_plane::storage::format::{Record, State};
use fleet_core::wire::{
    Ballot, ConfigValue, LeaseValue, Member, Membership, RaiseId, Register, WeightsValue,
};
use prost::Message;
use std::path::{Path, PathBuf};

const FILES: [&str; 3] = ["slot0", "slot1", "log"];
/// Small sizes, to keep the fixture small.
const SMALL_SIZES: FileSizes = FileSizes { slot: 4096, log: 4096 };
/// Address of the node that the folder belongs to.
const OWN_IP: std::net::Ipv4Addr = std::net::Ipv4Addr::new(10, 0, 0, 2);

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/data-folder")
}

/// The path of a folder for one test, which does not exist yet.
fn empty_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("stored-data-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Copies the fixture, since opening a folder may write to it.
fn copy_fixture(name: &str) -> PathBuf {
    let path = empty_folder(name);
    std::fs::create_dir_all(&path).unwrap();
    for file in FILES {
        std::fs::copy(fixture().join(file), path.join(file)).unwrap();
    }
    path
}

fn open(path: &Path) -> (StateFiles<Directory>, State) {
    StateFiles::open_in(Directory::open(path).unwrap(), SMALL_SIZES).unwrap()
}

fn ballot(epoch: u64, seq: u64) -> Ballot {
    Ballot { n: epoch, node: 0x0a00_0001, seq }
}

fn register(key: &str, n: u64, value: &impl Message) -> Register {
    let (promised, accepted) = (ballot(n, 0), ballot(n, 3));
    Register { key: key.to_owned(), promised, accepted, value: value.encode_to_vec().into() }
}

fn membership() -> Membership {
    let member = |n: u8| Member {
        name: format!("n{n}"),
        ip: format!("10.0.0.{n}"),
        zone: format!("z{n}"),
        control: format!("10.0.0.{n}:8169"),
        joined_epoch: 1,
    };
    Membership { epoch: 4, members: (1..=3).map(member).collect() }
}

/// A register of the acceptor itself, whose key is no key of the control state.
fn acceptor_register(key: &str, n: u64, value: Vec<u8>) -> Register {
    let promised = Ballot { n, ..Default::default() };
    Register { key: key.to_owned(), promised, value: value.into(), ..Default::default() }
}

fn config() -> ConfigValue {
    ConfigValue {
        version: 9,
        isolation: 2,
        compressed_body: vec![1, 2, 3].into(),
        ..Default::default()
    }
}

fn lease() -> LeaseValue {
    let raise = Some(RaiseId { incarnation: 5, attempt: 6 });
    LeaseValue { fencing_token: 7, holder: "n1".into(), acting_node: "n2".into(), raise }
}

fn record(registers: Vec<Register>) -> Record {
    Record { registers, voting: true, reset: false }
}

/// The records of the fixture, in order; each was written separately.
fn records() -> Vec<Record> {
    vec![
        record(vec![
            acceptor_register("\u{1}membership", 0, membership().encode_to_vec()),
            acceptor_register("\u{1}recovery_epoch", 3, Vec::new()),
        ]),
        record(vec![register("config", 11, &config())]),
        // Doesn't fit into the log after the others: the state is written to the next slot, and the log starts anew.
        record(vec![register("filler", 12, &WeightsValue { version: 1 }), filler()]),
        record(vec![register("weights/m", 13, &WeightsValue { version: 8 })]),
        record(vec![register("duty/roll-out", 14, &lease())]),
    ]
}

fn filler() -> Register {
    Register { key: "filler".into(), value: vec![0; 3800].into(), ..Default::default() }
}

/// The last record, which a loss of power left incomplete.
fn torn_record() -> Record {
    record(vec![register("config", 99, &config())])
}

/// Writes the records of the fixture to a folder, and corrupts the last one.
fn write_folder(path: &Path) {
    let (mut files, _) = open(path);
    for record in records() {
        files.persist([&record].into_iter()).unwrap();
    }
    let log = path.join("log");
    let before = std::fs::read(&log).unwrap();
    files.persist([&torn_record()].into_iter()).unwrap();
    let mut after = std::fs::read(&log).unwrap();
    let first_change = (0..after.len()).find(|at| before[*at] != after[*at]).unwrap();
    after[first_change + 30] ^= 0xff;
    std::fs::write(&log, after).unwrap();
}

fn assert_state(state: State) {
    assert!(state.voting);
    let acceptor = Acceptor::new(OWN_IP, state);
    assert_eq!(acceptor.membership(), &membership());
    assert_eq!(acceptor.recovery_epoch(), 3);
    assert!(acceptor.votes());
    assert_eq!(acceptor.register("config"), Some(&register("config", 11, &config())));
    let weights = register("weights/m", 13, &WeightsValue { version: 8 });
    assert_eq!(acceptor.register("weights/m"), Some(&weights));
    assert_eq!(acceptor.register("duty/roll-out"), Some(&register("duty/roll-out", 14, &lease())));
    assert_eq!(acceptor.registers().count(), 4);
}

/// Changes the sequence number in a slot's header, so that its checksum no longer matches.
fn corrupt(path: &Path) {
    let mut bytes = std::fs::read(path).unwrap();
    bytes[8] ^= 0x55;
    std::fs::write(path, bytes).unwrap();
}

#[test]
fn folder_of_an_earlier_release_is_opened_without_its_torn_record() {
    let path = copy_fixture("open");
    let (files, state) = open(&path);
    assert!(!files.was_empty && !files.was_damaged);
    assert_state(state);
}

#[test]
fn same_records_are_written_as_the_same_bytes() {
    let path = empty_folder("write");
    write_folder(&path);
    for file in FILES {
        let (new, old) = (std::fs::read(path.join(file)), std::fs::read(fixture().join(file)));
        assert_eq!(new.unwrap(), old.unwrap(), "{file}");
    }
}

#[test]
fn damaged_older_slot_does_not_affect_the_state() {
    let path = copy_fixture("older");
    corrupt(&path.join("slot1"));
    let (files, state) = open(&path);
    assert!(files.was_damaged && !files.was_empty);
    assert_state(state);
}

#[test]
fn damaged_newest_slot_gives_the_state_of_the_older_one() {
    let path = copy_fixture("newest");
    corrupt(&path.join("slot0"));
    let (files, state) = open(&path);
    assert!(files.was_damaged);
    assert!(state.registers.iter().all(|register| register.key != "weights/m"));
}

#[test]
fn two_damaged_slots_are_opened_as_an_empty_state() {
    let path = copy_fixture("both");
    corrupt(&path.join("slot0"));
    corrupt(&path.join("slot1"));
    let (files, state) = open(&path);
    assert!(files.was_damaged && files.was_empty);
    assert_eq!(state, State::default());
}

#[test]
fn truncated_slot_never_makes_opening_fail() {
    let path = copy_fixture("cut");
    let complete = std::fs::read(path.join("slot0")).unwrap();
    for length in (0..complete.len()).step_by(7) {
        std::fs::write(path.join("slot0"), &complete[..length]).unwrap();
        let (_, state) = open(&path);
        assert!(state.registers.len() <= 6, "truncated to {length} bytes");
    }
}
