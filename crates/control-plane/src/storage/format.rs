//! Bytes on the disk.

use fleet_core::wire::Register;
use prost::Message;

const MAGIC: u32 = 0xA215_ED01;
/// Bytes of a slot before its body: magic, checksum, sequence number, length.
pub const SLOT_HEADER_BYTES: usize = 24;
/// Bytes of a record before its body: length, checksum, sequence number of its slot.
pub const RECORD_HEADER_BYTES: usize = 16;

/// Everything that a member keeps.
#[derive(Clone, PartialEq, Message)]
pub struct State {
    /// One register a key, in no order.
    #[prost(message, repeated, tag = "1")]
    pub registers: Vec<Register>,
    /// Whether the member may vote with these registers.
    #[prost(bool, tag = "2")]
    pub voting: bool,
}

/// One change of the state.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// The registers that changed, each whole.
    #[prost(message, repeated, tag = "1")]
    pub registers: Vec<Register>,
    /// The flag of the state from this record on.
    #[prost(bool, tag = "2")]
    pub voting: bool,
    /// Forget all registers that were kept before this record.
    #[prost(bool, tag = "3")]
    pub reset: bool,
}

impl Record {
    /// Joins a later record to this one; the outcome is that of both in their order.
    pub fn merge(&mut self, later: &Record) {
        if later.reset {
            self.registers.clear();
            self.reset = true;
        }
        self.voting = later.voting;
        put_all(&mut self.registers, &later.registers);
    }
}

/// Each register takes the place of the one of its key.
fn put_all(registers: &mut Vec<Register>, newer: &[Register]) {
    for register in newer {
        match registers.iter_mut().find(|previous| previous.key == register.key) {
            Some(previous) => *previous = register.clone(),
            None => registers.push(register.clone()),
        }
    }
}

/// A slot as it is written: head and state.
pub fn slot_bytes(seq: u64, state: &State) -> Vec<u8> {
    let body = state.encode_to_vec();
    let mut out = Vec::with_capacity(SLOT_HEADER_BYTES + body.len());
    out.extend_from_slice(&MAGIC.to_le_bytes());
    out.extend_from_slice(&sum(seq, &body).to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&(body.len() as u64).to_le_bytes());
    out.extend_from_slice(&body);
    out
}

/// What a slot's file was found to hold.
pub enum Slot {
    /// Never written.
    Blank,
    /// Torn or spoilt.
    Damaged,
    /// Sequence number and state.
    Valid(u64, State),
}

/// Reads a slot, checking its sum.
pub fn read_slot(b: &[u8]) -> Slot {
    let Some(header) = b.get(..SLOT_HEADER_BYTES) else {
        return if b.iter().all(|x| *x == 0) { Slot::Blank } else { Slot::Damaged };
    };
    if header.iter().all(|x| *x == 0) {
        return Slot::Blank;
    }
    let seq = u64_at(header, 8);
    let len = u64_at(header, 16) as usize;
    let Some(body) =
        SLOT_HEADER_BYTES.checked_add(len).and_then(|end| b.get(SLOT_HEADER_BYTES..end))
    else {
        return Slot::Damaged;
    };
    if u32_at(header, 0) != MAGIC || u32_at(header, 4) != sum(seq, body) {
        return Slot::Damaged;
    }
    State::decode(body).map_or(Slot::Damaged, |s| Slot::Valid(seq, s))
}

/// A record as it is written behind the slot `seq`.
pub fn record_bytes(seq: u64, r: &Record) -> Vec<u8> {
    let body = r.encode_to_vec();
    let mut out = Vec::with_capacity(RECORD_HEADER_BYTES + body.len());
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&sum(seq, &body).to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&body);
    out
}

/// The valid records of the log that follow the slot `seq`, and where they end.
pub fn read_log(b: &[u8], seq: u64) -> (Vec<Record>, usize) {
    let mut out = Vec::new();
    let mut at = 0;
    while let Some(header) = b.get(at..at + RECORD_HEADER_BYTES) {
        let len = u32_at(header, 0) as usize;
        let Some(body) = b.get(at + RECORD_HEADER_BYTES..at + RECORD_HEADER_BYTES + len) else {
            break;
        };
        if len == 0 || u64_at(header, 8) != seq || u32_at(header, 4) != sum(seq, body) {
            break;
        }
        let Ok(r) = Record::decode(body) else { break };
        out.push(r);
        at += RECORD_HEADER_BYTES + len;
    }
    (out, at)
}

fn sum(seq: u64, body: &[u8]) -> u32 {
    let mut h = crc32fast::Hasher::new();
    h.update(&seq.to_le_bytes());
    h.update(&(body.len() as u64).to_le_bytes());
    h.update(body);
    h.finalize()
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]])
}

fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from(u32_at(b, at)) | (u64::from(u32_at(b, at + 4)) << 32)
}

impl State {
    /// Carries a record out.
    pub fn apply(&mut self, record: &Record) {
        if record.reset {
            self.registers.clear();
        }
        self.voting = record.voting;
        put_all(&mut self.registers, &record.registers);
    }
}
