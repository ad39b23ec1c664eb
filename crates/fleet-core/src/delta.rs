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
const SHORTEST_COPY: usize = 16;

fn parts(body: &[u8]) -> impl Iterator<Item = &[u8]> {
    body.split_inclusive(|byte| *byte == b'}')
}

/// The operations so far, and the end of the last copied range in the base body.
struct Builder<'a> {
    former: &'a [u8],
    ops: Vec<DeltaOp>,
    copied_to: usize,
}

impl Builder<'_> {
    /// Extends the previous copy by this part if the base body continues with it; returns whether it does.
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

/// Computes the delta that turns `base` into `new`.
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

/// Applies a delta to `base`; the result has at most `max_bytes` bytes.
///
/// # Errors
///
/// The delta copies a range outside of `base`, or its result is larger than `max_bytes`.
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
