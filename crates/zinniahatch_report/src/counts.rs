//! Counts by key: the rows and the table that holds them.

use crate::DelayHistogram;
use zinniahatch_base::prelude::*;

domain! {
    /// Key of a row: which requests it counts.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct CountKey {
        /// The hour, since the epoch.
        pub hour: u64,
        /// The client account.
        pub account: AccountId,
        /// The caller.
        pub caller: CallerId,
        /// The account's home region.
        pub home: RegionId,
        /// The region that served or refused the request.
        pub served: RegionId,
        /// The service.
        pub service: ServiceId,
        /// The preset under which the request was admitted.
        pub preset: PresetId,
        /// The number of the result code.
        pub code: u16,
    }

    /// Totals of the requests with one key.
    #[derive(Default)]
    pub struct CountRow {
        /// Requests.
        pub requests: u64,
        /// Prompt tokens.
        pub tokens_in: u64,
        /// Prompt tokens found in a prefix cache.
        pub tokens_cached: u64,
        /// Tokens generated.
        pub tokens_out: u64,
        /// Cost in millionths of the price list's currency unit.
        pub cost_micros: u64,
        /// Times to the first byte.
        pub first_byte: DelayHistogram,
        /// Times to the end of the response.
        pub whole: DelayHistogram,
    }

    /// Counts by key: the open or sealed counts of a node, or the merged counts of an hour.
    #[derive(Default)]
    pub struct CountTable {
        /// Rows by key, serialised as pairs because the keys of JSON objects must be strings.
        #[serde(with = "pairs")]
        pub rows: BTreeMap<CountKey, CountRow>,
    }
}

impl CountRow {
    /// Adds the totals of another row.
    pub fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.tokens_in += other.tokens_in;
        self.tokens_cached += other.tokens_cached;
        self.tokens_out += other.tokens_out;
        self.cost_micros += other.cost_micros;
        self.first_byte.merge(&other.first_byte);
        self.whole.merge(&other.whole);
    }
}

impl CountTable {
    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Adds a row to the row with the same key.
    pub fn add(&mut self, key: CountKey, row: &CountRow) {
        self.rows.entry(key).or_default().merge(row);
    }

    /// Adds all rows of another table.
    pub fn merge(&mut self, other: &Self) {
        for (key, row) in &other.rows {
            self.rows.entry(key.clone()).or_default().merge(row);
        }
    }

    /// Returns how many requests were counted.
    pub fn requests(&self) -> u64 {
        self.rows.values().map(|row| row.requests).sum()
    }
}

/// Serialises the rows as a list of pairs.
mod pairs {
    use super::BTreeMap;
    use super::CountKey;
    use super::CountRow;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(
        rows: &BTreeMap<CountKey, CountRow>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let list: Vec<(&CountKey, &CountRow)> = rows.iter().collect();
        list.serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<CountKey, CountRow>, D::Error> {
        let list: Vec<(CountKey, CountRow)> = Vec::deserialize(deserializer)?;
        Ok(list.into_iter().collect())
    }
}
