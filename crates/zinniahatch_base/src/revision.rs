//! The order of what the platform's store says.

use crate::domain;

/// Bits of the number in the packed form; a store that writes 10,000 times a second fills them in 50 years.
const NUMBER_BITS: u32 = 44;

domain! {
    /// A revision of the platform's store. A store that came back from an older copy gives its numbers out again, in
    /// a later era; whatever it says then is newer than all that it said before.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct StoreRevision {
        /// How often the store has come back from a copy.
        pub era: u64,
        /// The number that it gave, which rises with each change within an era; 0 where there was none.
        pub number: u64,
    }
}

impl StoreRevision {
    /// Gives one number that rises with the revision.
    pub const fn packed(self) -> u64 {
        (self.era << NUMBER_BITS) | self.number
    }

    /// Reads the packed form.
    pub const fn unpack(packed: u64) -> Self {
        Self {
            era: packed >> NUMBER_BITS,
            number: packed & ((1 << NUMBER_BITS) - 1),
        }
    }
}

impl From<u64> for StoreRevision {
    /// Makes a revision of a store that never came back from a copy.
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}
