//! A set of holders of one cell, stored inline as an array of words.

/// Number of 64-bit words in a bitmap.
pub const WORDS: usize = 4;
/// Maximum number of holders in one cell.
pub const HOLDERS: usize = WORDS * 64;

/// A set of holders of one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[repr(transparent)]
pub struct HolderBitmap(pub [u64; WORDS]);

impl HolderBitmap {
    /// The empty set.
    pub const EMPTY: HolderBitmap = HolderBitmap([0; WORDS]);
    /// The set of all holder indexes, whether in use or not.
    pub const ALL: HolderBitmap = HolderBitmap([u64::MAX; WORDS]);

    /// A set of one holder.
    pub fn single(holder: u8) -> Self {
        let mut bitmap = Self::EMPTY;
        bitmap.set(holder);
        bitmap
    }

    /// Adds a holder.
    pub fn set(&mut self, holder: u8) {
        self.0[usize::from(holder) / 64] |= 1 << (holder % 64);
    }

    /// Removes a holder.
    pub fn clear(&mut self, holder: u8) {
        self.0[usize::from(holder) / 64] &= !(1 << (holder % 64));
    }

    /// Whether the set contains a holder.
    pub fn has(&self, holder: u8) -> bool {
        self.0[usize::from(holder) / 64] >> (holder % 64) & 1 == 1
    }

    /// The intersection of two sets.
    pub fn and(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] & other.0[i]))
    }

    /// The holders of this set that are not in `other`.
    pub fn minus(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] & !other.0[i]))
    }

    /// The union of two sets.
    pub fn or(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] | other.0[i]))
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0 == [0; WORDS]
    }

    /// The number of holders in the set.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|word| word.count_ones()).sum()
    }

    /// The holders in the set, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u8> + '_ {
        self.0.iter().enumerate().flat_map(|(index, word)| {
            let mut remaining = *word;
            std::iter::from_fn(move || {
                if remaining == 0 {
                    return None;
                }
                let bit = remaining.trailing_zeros();
                remaining &= remaining - 1;
                Some(index as u8 * 64 + bit as u8)
            })
        })
    }
}
