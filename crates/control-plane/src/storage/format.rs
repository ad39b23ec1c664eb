//! Binary layout of snapshot slots and log records on disk.

use fleet_core::wire::Register;
use prost::Message;

const MAGIC: u32 = 0xA215_ED01;
/// Length of a slot's header in bytes: magic number, checksum, sequence number, length of the body.
pub const SLOT_HEADER_BYTES: usize = 24;
/// Length of a record's header in bytes: length of the body, checksum, sequence number of the slot it follows.
pub const RECORD_HEADER_BYTES: usize = 16;

/// The durable state of a member.
#[derive(Clone, PartialEq, Message)]
pub struct State {
    /// One register per key, in no particular order.
    #[prost(message, repeated, tag = "1")]
    pub registers: Vec<Register>,
    /// Whether the member may vote with these registers.
    #[prost(bool, tag = "2")]
    pub voting: bool,
}

/// A change of the state.
#[derive(Clone, PartialEq, Message)]
pub struct Record {
    /// The registers that changed, each with all its fields.
    #[prost(message, repeated, tag = "1")]
    pub registers: Vec<Register>,
    /// The new value of [`State::voting`].
    #[prost(bool, tag = "2")]
    pub voting: bool,
    /// Whether all earlier registers are removed before `registers` are applied.
    #[prost(bool, tag = "3")]
    pub reset: bool,
}

impl Record {
    /// Merges a later record into this one. Applying the result equals applying both in order.
    pub fn merge(&mut self, later: &Record) {
        if later.reset {
            self.registers.clear();
            self.reset = true;
        }
        self.voting = later.voting;
        insert_or_replace(&mut self.registers, &later.registers);
    }
}

/// Inserts each register, replacing the one with the same key.
fn insert_or_replace(registers: &mut Vec<Register>, newer: &[Register]) {
    for register in newer {
        match registers.iter_mut().find(|previous| previous.key == register.key) {
            Some(previous) => *previous = register.clone(),
            None => registers.push(register.clone()),
        }
    }
}

/// Encodes a slot: the header and the state.
pub fn encode_slot(seq: u64, state: &State) -> Vec<u8> {
    let body = state.encode_to_vec();
    let mut out = Vec::with_capacity(SLOT_HEADER_BYTES + body.len());
    out.extend_from_slice(&MAGIC.to_le_bytes());
    out.extend_from_slice(&checksum(seq, &body).to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&(body.len() as u64).to_le_bytes());
    out.extend_from_slice(&body);
    out
}

/// The content of a slot's file.
pub enum Slot {
    /// Never written.
    Blank,
    /// Torn or corrupt.
    Damaged,
    /// Sequence number and state of an intact slot.
    Valid(u64, State),
}

/// Decodes a slot and verifies its checksum.
pub fn read_slot(bytes: &[u8]) -> Slot {
    let Some(header) = bytes.get(..SLOT_HEADER_BYTES) else {
        return if bytes.iter().all(|byte| *byte == 0) { Slot::Blank } else { Slot::Damaged };
    };
    if header.iter().all(|byte| *byte == 0) {
        return Slot::Blank;
    }
    let seq = u64_at(header, 8);
    let len = u64_at(header, 16) as usize;
    let Some(body) =
        SLOT_HEADER_BYTES.checked_add(len).and_then(|end| bytes.get(SLOT_HEADER_BYTES..end))
    else {
        return Slot::Damaged;
    };
    if u32_at(header, 0) != MAGIC || u32_at(header, 4) != checksum(seq, body) {
        return Slot::Damaged;
    }
    State::decode(body).map_or(Slot::Damaged, |state| Slot::Valid(seq, state))
}

/// Encodes a log record that follows the slot with the sequence number `seq`.
pub fn encode_record(seq: u64, record: &Record) -> Vec<u8> {
    let body = record.encode_to_vec();
    let mut out = Vec::with_capacity(RECORD_HEADER_BYTES + body.len());
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(seq, &body).to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&body);
    out
}

/// Decodes the log records that follow the slot with the sequence number `seq`, up to the first invalid one. Returns
/// them and the offset at which they end.
pub fn read_log(bytes: &[u8], seq: u64) -> (Vec<Record>, usize) {
    let mut records = Vec::new();
    let mut offset = 0;
    while let Some(header) = bytes.get(offset..offset + RECORD_HEADER_BYTES) {
        let len = u32_at(header, 0) as usize;
        let Some(body) =
            bytes.get(offset + RECORD_HEADER_BYTES..offset + RECORD_HEADER_BYTES + len)
        else {
            break;
        };
        if len == 0 || u64_at(header, 8) != seq || u32_at(header, 4) != checksum(seq, body) {
            break;
        }
        let Ok(record) = Record::decode(body) else { break };
        records.push(record);
        offset += RECORD_HEADER_BYTES + len;
    }
    (records, offset)
}

fn checksum(seq: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&seq.to_le_bytes());
    hasher.update(&(body.len() as u64).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from(u32_at(bytes, offset)) | (u64::from(u32_at(bytes, offset + 4)) << 32)
}

impl State {
    /// Applies a record.
    pub fn apply(&mut self, record: &Record) {
        if record.reset {
            self.registers.clear();
        }
        self.voting = record.voting;
        insert_or_replace(&mut self.registers, &record.registers);
    }
}
