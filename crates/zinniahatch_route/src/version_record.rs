//! Versions at which streams may have begun, as the platform's store has them for each region.
//!
//! A stream begins at a version only once the record of the region names it, so that a fresh read of
//! the records of all regions shows that no other version has served. What a node sees by itself, or
//! is told, can be older than it looks: the node may have stood still, or be cut off.

use crate::StreamOrigin;
use zinniahatch_base::prelude::*;

domain! {
    /// The versions at which streams of a region may have begun.
    #[derive(Eq, Default)]
    pub struct VersionRecord {
        /// Era of the store in which the record was written. A store that was restored from an older
        /// backup lacks what has served since.
        pub era: u64,
        /// The versions that have served within the longest time of a stream.
        pub versions: BTreeSet<StreamOrigin>,
        /// Whether these are all of them.
        #[serde(default)]
        pub complete: bool,
    }
}

/// Returns the only version of a service at which a stream can have begun, by the records that a
/// store of this era has; `None` if there are several, or if they do not show it.
pub fn sole_recorded<'a>(
    records: &BTreeMap<RegionId, VersionRecord>,
    regions: impl Iterator<Item = &'a RegionId>,
    service: ShortTag,
    era: u64,
) -> Option<StreamOrigin> {
    let mut found = None;
    for region in regions {
        let record = records.get(region)?;
        if !record.complete || record.era != era {
            return None;
        }
        for origin in &record.versions {
            if origin.service == service && *found.get_or_insert(*origin) != *origin {
                return None;
            }
        }
    }
    found.filter(|origin: &StreamOrigin| origin.is_known())
}
