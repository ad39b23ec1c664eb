//! Deltas between two configuration bodies, as ranges to copy and bytes to insert.
//!
//! A body is the operator's exact text, and its digest covers these bytes; a delta therefore has to reproduce the
//! text, not only its meaning. Bodies are split after each closing brace, which makes an element (a route, a service,
//! a tenant, the limits) one part or a few. A part that occurs in both bodies is copied from wherever it is in the
//! base, in the order of the new body.

use crate::wire::{ConfigDelta, DeltaOp};

/// Why a delta cannot be applied to a base body.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum DeltaError {
    /// the delta copies a range outside of the base body
    OutOfRange,
    /// the body is larger than {0} bytes
    TooLarge(usize),
}

/// Shorter parts are copied only when they extend the previous copy: they occur at too many positions, and a
/// reference to one costs as much as inserting it.
const MIN_COPY_BYTES: usize = 16;

fn split_elements(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    body.split_inclusive(|byte| *byte == b'}')
}

/// The operations so far, and the end of the last copied range in the base body.
struct DeltaBuilder<'a> {
    base: &'a [u8],
    ops: Vec<DeltaOp>,
    copy_end: usize,
}

impl DeltaBuilder<'_> {
    /// Extends the previous copy by this part if the base body continues with it; returns whether it does.
    fn extend_copy(&mut self, part: &[u8]) -> bool {
        let Some(last) = self.ops.last_mut().filter(|op| op.insert.is_empty()) else {
            return false;
        };
        if !self.base[self.copy_end..].starts_with(part) {
            return false;
        }
        last.length += part.len() as u64;
        self.copy_end += part.len();
        true
    }

    fn copy(&mut self, from: usize, length: usize) {
        self.ops.push(DeltaOp { from: from as u64, length: length as u64, insert: Vec::new() });
        self.copy_end = from + length;
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

/// Computes the delta that turns `base` into `new`.
pub fn between(base: &[u8], new: &[u8]) -> ConfigDelta {
    let mut offsets: hashbrown::HashMap<&[u8], usize, ahash::RandomState> =
        hashbrown::HashMap::default();
    let mut offset = 0;
    for part in split_elements(base) {
        offsets.entry(part).or_insert(offset);
        offset += part.len();
    }
    let mut builder = DeltaBuilder { base, ops: Vec::new(), copy_end: 0 };
    for part in split_elements(new) {
        if builder.extend_copy(part) {
            continue;
        }
        match offsets.get(part).filter(|_| part.len() >= MIN_COPY_BYTES) {
            Some(from) => builder.copy(*from, part.len()),
            None => builder.insert(part),
        }
    }
    ConfigDelta { ops: builder.ops }
}

/// Applies a delta to `base`; the result has at most `max_bytes` bytes.
///
/// # Errors
///
/// The delta copies a range outside of `base`, or its result is larger than `max_bytes`.
pub fn apply(
    delta: &ConfigDelta,
    base: &[u8],
    max_bytes: usize,
) -> Result<bytes::Bytes, DeltaError> {
    let mut body = Vec::with_capacity(base.len());
    for op in &delta.ops {
        let from = usize::try_from(op.from).map_err(|_| DeltaError::OutOfRange)?;
        let length = usize::try_from(op.length).map_err(|_| DeltaError::OutOfRange)?;
        let end = from.checked_add(length).ok_or(DeltaError::OutOfRange)?;
        let copied = base.get(from..end).ok_or(DeltaError::OutOfRange)?;
        if body.len() + copied.len() + op.insert.len() > max_bytes {
            return Err(DeltaError::TooLarge(max_bytes));
        }
        body.extend_from_slice(copied);
        body.extend_from_slice(&op.insert);
    }
    Ok(body.into())
}

#[cfg(test)]
#[path = "delta_tests.rs"]
mod tests;
