//! Other data centres: their summaries, and the requests sent there since.

use crate::limits::SUMMARY_MAX_AGE;
use zinniahatch_base::prelude::*;
use zinniahatch_protocol::DataCentreSummary;
use zinniahatch_protocol::EntryAddress;
use zinniahatch_protocol::PoolStatus;

/// Time over which the usable free capacity of a recovered data centre ramps up.
///
/// Its caches are cold, so requests there cost more at first. Without a ramp, every node would
/// send its overflow there within the same second.
const RAMP_TIME: Duration = Duration::from_secs(20);
/// Absence after which a recovered data centre is ramped up.
const RAMP_ABSENCE: Duration = Duration::from_secs(8);

/// One other data centre.
#[derive(Clone, Debug)]
pub struct RemoteDataCentre {
    /// The timestamp of the newest summary, in milliseconds since the epoch.
    pub stamp: u64,
    /// When the newest summary arrived.
    pub received_at: Instant,
    /// The statuses of its pools.
    pub pools: BTreeMap<ServiceId, PoolStatus>,
    /// Its serving entry VMs.
    pub entries: Vec<EntryAddress>,
    sent_since_summary: BTreeMap<ServiceId, u32>,
    recovered_at: Instant,
    backoff_until: BTreeMap<ServiceId, Instant>,
    directory_entries: Vec<EntryAddress>,
    unannounced: Option<DataCentreSummary>,
}

/// All other data centres.
#[derive(Debug, Default)]
pub struct RemoteTable {
    data_centres: BTreeMap<DataCentreId, RemoteDataCentre>,
}

impl RemoteTable {
    /// Returns every known data centre.
    pub fn data_centres(&self) -> &BTreeMap<DataCentreId, RemoteDataCentre> {
        &self.data_centres
    }

    /// Returns the estimated free slots of a service in a data centre that this node may use.
    pub fn free(&self, now: Instant, data_centre: &str, service: &str) -> f64 {
        let Some(centre) = self.data_centres.get(data_centre) else {
            return 0.0;
        };
        let in_backoff = centre
            .backoff_until
            .get(service)
            .is_some_and(|until| now < *until);
        if in_backoff || now.duration_since(centre.received_at) > SUMMARY_MAX_AGE {
            return 0.0;
        }
        let Some(pool) = centre.pools.get(service) else {
            return 0.0;
        };
        let sent_since_summary = centre.sent_since_summary.get(service).copied().unwrap_or(0);
        let free = f64::from(
            pool.free
                .saturating_sub(pool.waiting)
                .saturating_sub(sent_since_summary),
        );
        let ramp = now.duration_since(centre.recovered_at).as_secs_f64() / RAMP_TIME.as_secs_f64();
        free * ramp.clamp(0.05, 1.0)
    }

    /// Returns the serving entry VMs of a data centre.
    pub fn entries(&self, data_centre: &str) -> &[EntryAddress] {
        self.data_centres
            .get(data_centre)
            .map_or(&[], |centre| &centre.entries)
    }

    /// Looks up the address of a node of another data centre in summaries and the directory.
    pub fn find_entry(&self, node: &str) -> Option<&EntryAddress> {
        self.data_centres
            .values()
            .flat_map(|centre| centre.entries.iter().chain(&centre.directory_entries))
            .find(|entry| &*entry.node == node)
    }

    /// Applies a summary; one received directly from its data centre is queued for the members of
    /// this data centre.
    ///
    /// A summary from a member is not passed on: every member would send every other one what all
    /// of them already have.
    pub fn apply_summary(&mut self, now: Instant, summary: &DataCentreSummary, direct: bool) {
        let centre = self
            .data_centres
            .entry(summary.data_centre.clone())
            .or_insert_with(|| new_data_centre(now));
        if summary.stamp <= centre.stamp {
            return;
        }
        if now.duration_since(centre.received_at) > RAMP_ABSENCE {
            centre.recovered_at = now;
        }
        centre.stamp = summary.stamp;
        centre.received_at = now;
        centre.unannounced = direct.then(|| summary.clone());
        centre.sent_since_summary.clear();
        for pool in &summary.pools {
            centre.pools.insert(pool.service.clone(), pool.clone());
        }
        if let Some(entries) = &summary.entries {
            centre.entries.clone_from(entries);
        }
    }

    /// Stores addresses from the directory, used until the first summary provides newer ones.
    pub fn set_directory_entries(
        &mut self,
        now: Instant,
        data_centre: &str,
        entries: Vec<EntryAddress>,
    ) {
        let centre = self
            .data_centres
            .entry(data_centre.into())
            .or_insert_with(|| new_data_centre(now));
        if now.duration_since(centre.received_at) > SUMMARY_MAX_AGE || centre.entries.is_empty() {
            centre.entries.clone_from(&entries);
        }
        centre.directory_entries = entries;
    }

    /// Records a request sent to a data centre.
    pub fn record_sent(&mut self, data_centre: &str, service: &ServiceId) {
        if let Some(centre) = self.data_centres.get_mut(data_centre) {
            *centre
                .sent_since_summary
                .entry(service.clone())
                .or_default() += 1;
        }
    }

    /// Records a refusal or a failed connection; the data centre gets no requests for 500 ms.
    pub fn record_refusal(&mut self, now: Instant, data_centre: &str, service: &ServiceId) {
        const REFUSAL_BACKOFF: Duration = Duration::from_millis(500);
        if let Some(centre) = self.data_centres.get_mut(data_centre) {
            centre
                .backoff_until
                .insert(service.clone(), now + REFUSAL_BACKOFF);
        }
    }

    /// Returns the summaries that have not been sent to the members of this data centre.
    pub fn take_unannounced(&mut self) -> Vec<DataCentreSummary> {
        self.data_centres
            .values_mut()
            .filter_map(|centre| centre.unannounced.take())
            .collect()
    }
}

fn new_data_centre(now: Instant) -> RemoteDataCentre {
    RemoteDataCentre {
        stamp: 0,
        received_at: now.checked_sub(Duration::from_secs(3_600)).unwrap_or(now),
        pools: BTreeMap::new(),
        entries: Vec::new(),
        sent_since_summary: BTreeMap::new(),
        recovered_at: now,
        backoff_until: BTreeMap::new(),
        directory_entries: Vec::new(),
        unannounced: None,
    }
}
