//! How deep each holder keeps a chain: a binary search of the points where holders drop off.

use crate::bitmap::HolderBitmap;
use smallvec::SmallVec;

/// How deep holders keep a chain: those of equal depth together, deepest first. Those that keep nothing
/// are not named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Depths {
    /// Depth in blocks, and the holders that keep the chain so far and no further.
    pub groups: SmallVec<[(usize, HolderBitmap); 8]>,
    /// Look-ups that the query took.
    pub lookups: u32,
}

impl Depths {
    /// Depth of one holder; 0 if it keeps nothing.
    pub fn of(&self, holder: u8) -> usize {
        self.groups.iter().find(|(_, who)| who.has(holder)).map_or(0, |(depth, _)| *depth)
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
