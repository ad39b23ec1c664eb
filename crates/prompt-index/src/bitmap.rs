//! A set of holders of one cell: a flat array of words, no heap.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

pub const WORDS: usize = 4;
pub const HOLDERS: usize = WORDS * 64;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[repr(transparent)]
pub struct HolderBitmap(pub [u64; WORDS]);

impl HolderBitmap {
    pub const EMPTY: HolderBitmap = HolderBitmap([0; WORDS]);
    pub const ALL: HolderBitmap = HolderBitmap([u64::MAX; WORDS]);

    pub fn one(n: u8) -> Self {
        let mut b = Self::EMPTY;
        b.set(n);
        b
    }

    pub fn set(&mut self, n: u8) {
        self.0[usize::from(n) / 64] |= 1 << (n % 64);
    }

    pub fn clear(&mut self, n: u8) {
        self.0[usize::from(n) / 64] &= !(1 << (n % 64));
    }

    pub fn has(&self, n: u8) -> bool {
        self.0[usize::from(n) / 64] >> (n % 64) & 1 == 1
    }

    pub fn and(&self, o: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] & o.0[i]))
    }

    pub fn minus(&self, o: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] & !o.0[i]))
    }

    pub fn or(&self, o: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i] | o.0[i]))
    }

    pub fn is_empty(&self) -> bool {
        self.0 == [0; WORDS]
    }

    pub fn count(&self) -> u32 {
        self.0.iter().map(|w| w.count_ones()).sum()
    }

    pub fn iter(&self) -> impl Iterator<Item = u8> + '_ {
        self.0.iter().enumerate().flat_map(|(i, w)| {
            let mut w = *w;
            std::iter::from_fn(move || {
                if w == 0 {
                    return None;
                }
                let n = w.trailing_zeros();
                w &= w - 1;
                Some(i as u8 * 64 + n as u8)
            })
        })
    }
}
