//! Reads hourly usage counts from the store.

use crate::GatewayCore;
use futures_util::StreamExt;
use futures_util::stream;
use zinniahatch_platform::StoreClient;
use zinniahatch_report::CountGap;
use zinniahatch_report::CountTable;
use zinniahatch_report::HourlyCounts;

/// Concurrent reads for one report, far below the store's rate limit.
const CONCURRENT_READS: usize = 8;
const PREFIX: &str = "report/";

/// Returns the store key of one data centre's counts for a shard and hour.
pub fn hour_key(data_centre: &str, shard: u16, hour: u64) -> String {
    format!("{PREFIX}{data_centre}/{shard:02}/{hour}")
}

/// Returns the hour in a store key.
pub(crate) fn hour_of(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Counts read for a report, with the gaps and the values that could not be read.
#[derive(Default)]
pub(crate) struct ReadCounts {
    pub(crate) table: CountTable,
    pub(crate) gaps: Vec<CountGap>,
    pub(crate) unread: Vec<Box<str>>,
}

/// Reads the counts of the hours `from` to `until`, both included.
pub(crate) async fn read_counts(core: &GatewayCore, from: u64, until: u64) -> ReadCounts {
    let store = core.config_updater.store();
    let mut counts = ReadCounts::default();
    let keys = match store.list(PREFIX).await {
        Ok(keys) => keys,
        Err(error) => {
            counts.unread.push(format!("the store: {error}").into());
            return counts;
        }
    };
    // Counts of an hour may be in the value of the next hour, if their batch was sealed then.
    let wanted = keys
        .into_iter()
        .filter(|key| hour_of(key).is_some_and(|hour| (from..=until + 1).contains(&hour)));
    let mut values = stream::iter(wanted)
        .map(|key| async move { (store.get(&key).await, key) })
        .buffer_unordered(CONCURRENT_READS);
    while let Some((result, key)) = values.next().await {
        let hourly = match result {
            Ok(Some(value)) => serde_json::from_str::<HourlyCounts>(&value.value).ok(),
            Ok(None) | Err(_) => None,
        };
        match hourly {
            Some(hourly) => {
                counts.table.merge(&hourly.counts);
                counts.gaps.extend(hourly.gaps);
            }
            None => counts.unread.push(key),
        }
    }
    counts
}
