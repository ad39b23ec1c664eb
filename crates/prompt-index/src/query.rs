//! How deep each holder keeps a chain: a binary search of the points where holders drop off.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::bitmap::HolderBitmap;
use smallvec::SmallVec;

/// Holders of equal depth together, deepest first; those that keep nothing are not named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Depths {
    pub groups: SmallVec<[(usize, HolderBitmap); 8]>,
    pub lookups: u32,
}

impl Depths {
    pub fn of(&self, holder: u8) -> usize {
        self.groups.iter().find(|(_, b)| b.has(holder)).map_or(0, |(d, _)| *d)
    }
}

/// `probe` gives the holders of the block at a place of the chain, the dead left out already.
pub fn depths(blocks: usize, mut probe: impl FnMut(usize) -> HolderBitmap) -> Depths {
    let mut out = Depths::default();
    if blocks == 0 {
        return out;
    }
    out.lookups = 1;
    let first = probe(0);
    // each span: survivors keep at least `lo` blocks and at most `hi`
    let mut open: SmallVec<[(usize, usize, HolderBitmap); 16]> = SmallVec::new();
    open.push((1, blocks, first));
    while let Some((lo, hi, who)) = open.pop() {
        if who.is_empty() {
            continue;
        }
        if lo == hi {
            out.groups.push((lo, who));
            continue;
        }
        let mid = (lo + hi).div_ceil(2);
        out.lookups += 1;
        let deep = probe(mid - 1).and(&who);
        open.push((lo, mid - 1, who.minus(&deep)));
        open.push((mid, hi, deep));
    }
    out
}
