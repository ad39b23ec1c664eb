//! A set of holders of one cell: a flat array of words, no heap.

/// Words of a bitmap.
pub const WORDS: usize = 4;
/// Holders of one cell.
pub const HOLDERS: usize = WORDS * 64;

/// A set of holders of one cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[repr(transparent)]
pub struct HolderBitmap(pub [u64; WORDS]);

impl HolderBitmap {
    /// No holder.
    pub const EMPTY: HolderBitmap = HolderBitmap([0; WORDS]);
    /// All holders.
    pub const ALL: HolderBitmap = HolderBitmap([u64::MAX; WORDS]);

    /// This holder alone.
    pub fn one(holder: u8) -> Self {
        let mut bitmap = Self::EMPTY;
        bitmap.set(holder);
        bitmap
    }

    /// Adds a holder.
    pub fn set(&mut self, holder: u8) {
        self.0[usize::from(holder) / 64] |= 1 << (holder % 64);
    }

    /// Takes a holder out.
    pub fn clear(&mut self, holder: u8) {
        self.0[usize::from(holder) / 64] &= !(1 << (holder % 64));
    }

    /// Whether a holder is in it.
    pub fn has(&self, holder: u8) -> bool {
        self.0[usize::from(holder) / 64] >> (holder % 64) & 1 == 1
    }

    /// Holders in both.
    pub fn and(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] & other.0[i]))
    }

    /// Holders in this one only.
    pub fn minus(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] & !other.0[i]))
    }

    /// Holders in either.
    pub fn or(&self, other: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] | other.0[i]))
    }

    /// Whether no holder is in it.
    pub fn is_empty(&self) -> bool {
        self.0 == [0; WORDS]
    }

    /// Holders in it.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|word| word.count_ones()).sum()
    }

    /// Its holders, lowest first.
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
