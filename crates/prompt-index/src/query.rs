//! Finds how many leading blocks of a chain each holder has cached, by binary search over the chain.

use crate::bitmap::HolderBitmap;
use smallvec::SmallVec;

/// The depth to which holders have cached a chain. Holders of equal depth form one group, deepest first; holders
/// that have cached nothing are in no group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Depths {
    /// Depth in blocks, and the holders that have cached exactly that many leading blocks.
    pub groups: SmallVec<[(usize, HolderBitmap); 8]>,
    /// Number of look-ups that the query took.
    pub lookups: u32,
}

impl Depths {
    /// Depth of one holder; 0 if it has cached nothing.
    pub fn depth_of(&self, holder: u8) -> usize {
        self.groups.iter().find(|(_, holders)| holders.has(holder)).map_or(0, |(depth, _)| *depth)
    }
}

/// Computes the depths for a chain of so many `blocks`. `probe` returns the live holders that have cached the chain
/// up to and including the block at an index.
pub fn find_depths(blocks: usize, mut probe: impl FnMut(usize) -> HolderBitmap) -> Depths {
    let mut result = Depths::default();
    if blocks == 0 {
        return result;
    }
    result.lookups = 1;
    let first = probe(0);
    // Holders of a span (lo, hi, holders) have at least `lo` and at most `hi` leading blocks.
    let mut spans: SmallVec<[(usize, usize, HolderBitmap); 16]> = SmallVec::new();
    spans.push((1, blocks, first));
    while let Some((lo, hi, holders)) = spans.pop() {
        if holders.is_empty() {
            continue;
        }
        if lo == hi {
            result.groups.push((lo, holders));
            continue;
        }
        let mid = (lo + hi).div_ceil(2);
        result.lookups += 1;
        let deeper = probe(mid - 1).and(&holders);
        spans.push((lo, mid - 1, holders.minus(&deeper)));
        spans.push((mid, hi, deeper));
    }
    result
}
