//! What changed from one body of a configuration to the next, as pieces to copy and to insert.
//!
//! A body is the operator's own text, and its digest is that of these very bytes; so a delta gives
//! the text again and not merely the same meaning. Bodies are cut behind each closing brace, which
//! makes an element (a route, a service, a tenant, the limits) one part or a few; a part that both
//! bodies have is copied, wherever it stood, and the order is that of the new body.

use crate::wire::{ConfigDelta, DeltaOp};

/// Why a delta doesn't fit the body that it is applied to.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum DeltaError {
    /// a piece lies outside of the former body
    OutOfRange,
    /// the body gets larger than {0} bytes
    TooLarge(usize),
}

/// Parts shorter than this are found only where the copy under way goes on: they stand at too many
/// places, and naming one costs as much as inserting it.
const SHORTEST_COPY: usize = 16;

fn parts(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    body.split_inclusive(|byte| *byte == b'}')
}

/// The pieces so far, and where in the former body the last copy ended.
struct Builder<'a> {
    former: &'a [u8],
    ops: Vec<DeltaOp>,
    copied_to: usize,
}

impl Builder<'_> {
    /// Appends a part that goes on where the last copy ended, if it does.
    fn goes_on(&mut self, part: &[u8]) -> bool {
        let Some(last) = self.ops.last_mut().filter(|op| op.insert.is_empty()) else {
            return false;
        };
        if !self.former[self.copied_to..].starts_with(part) {
            return false;
        }
        last.length += part.len() as u64;
        self.copied_to += part.len();
        true
    }

    fn copy(&mut self, from: usize, length: usize) {
        self.ops.push(DeltaOp { from: from as u64, length: length as u64, insert: Vec::new() });
        self.copied_to = from + length;
    }

    fn insert(&mut self, part: &[u8]) {
        match self.ops.last_mut() {
            Some(last) => last.insert.extend_from_slice(part),
            None => {
                self.ops.push(DeltaOp { from: 0, length: 0, insert: part.to_vec() });
            }
        }
    }
}

/// The delta that makes `new` of `former`.
pub fn between(former: &[u8], new: &[u8]) -> ConfigDelta {
    let mut places: hashbrown::HashMap<&[u8], usize, ahash::RandomState> =
        hashbrown::HashMap::default();
    let mut at = 0;
    for part in parts(former) {
        places.entry(part).or_insert(at);
        at += part.len();
    }
    let mut builder = Builder { former, ops: Vec::new(), copied_to: 0 };
    for part in parts(new) {
        if builder.goes_on(part) {
            continue;
        }
        match places.get(part).filter(|_| part.len() >= SHORTEST_COPY) {
            Some(from) => builder.copy(*from, part.len()),
            None => builder.insert(part),
        }
    }
    ConfigDelta { ops: builder.ops }
}

/// The body that a delta makes of `former`, of `most` bytes at the most.
///
/// # Errors
///
/// The delta does not belong to `former`, its packing is broken, or it makes more than `most` bytes.
pub fn apply(delta: &ConfigDelta, former: &[u8], most: usize) -> Result<bytes::Bytes, DeltaError> {
    let mut body = Vec::with_capacity(former.len());
    for op in &delta.ops {
        let from = usize::try_from(op.from).map_err(|_| DeltaError::OutOfRange)?;
        let length = usize::try_from(op.length).map_err(|_| DeltaError::OutOfRange)?;
        let end = from.checked_add(length).ok_or(DeltaError::OutOfRange)?;
        let copied = former.get(from..end).ok_or(DeltaError::OutOfRange)?;
        if body.len() + copied.len() + op.insert.len() > most {
            return Err(DeltaError::TooLarge(most));
        }
        body.extend_from_slice(copied);
        body.extend_from_slice(&op.insert);
    }
    Ok(body.into())
}

#[cfg(test)]
#[path = "delta_tests.rs"]
mod tests;
