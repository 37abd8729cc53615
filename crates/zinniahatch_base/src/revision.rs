//! Revisions of the platform's key-value store and their order.

use crate::domain;

/// Bits of the number in the packed form; at 10,000 writes per second they overflow after 50 years.
const NUMBER_BITS: u32 = 44;

domain! {
    /// A revision of the platform's key-value store.
    ///
    /// A store that was restored from an older backup assigns its numbers again, in a later era. Every
    /// revision of the later era counts as newer than all revisions of the earlier one.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct StoreRevision {
        /// How many times the store has been restored from a backup.
        pub era: u64,
        /// The number that the store assigned, increasing with each change within an era; 0 if none.
        pub number: u64,
    }
}

impl StoreRevision {
    /// Packs the revision into one number that preserves its order.
    pub const fn packed(self) -> u64 {
        (self.era << NUMBER_BITS) | self.number
    }

    /// Unpacks the form that [`StoreRevision::packed`] returns.
    pub const fn unpack(packed: u64) -> Self {
        Self {
            era: packed >> NUMBER_BITS,
            number: packed & ((1 << NUMBER_BITS) - 1),
        }
    }
}

impl From<u64> for StoreRevision {
    /// Creates a revision of a store that was never restored from a backup.
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}
