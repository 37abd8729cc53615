//! Other data centres: their summaries, and what was sent there since.

use crate::limits::SUMMARY_FRESH;
use zinniahatch_base::prelude::*;
use zinniahatch_protocol::CentreSummary;
use zinniahatch_protocol::EntryAddress;
use zinniahatch_protocol::PoolStatus;

/// Time over which a data centre that comes back is trusted with its whole free capacity.
///
/// Its caches are cold, so a request there costs more at first; without a ramp every node sends
/// its overflow there in the same second.
const RAMP_TIME: Duration = Duration::from_secs(20);
/// Absence after which a return is ramped.
const RAMP_ABSENCE: Duration = Duration::from_secs(8);

/// One other data centre.
#[derive(Clone, Debug)]
pub struct RemoteCentre {
    /// The stamp of the newest summary.
    pub stamp: u64,
    /// When it arrived.
    pub heard: Instant,
    /// The states of its pools.
    pub pools: BTreeMap<ServiceId, PoolStatus>,
    /// Its serving entry VMs.
    pub entries: Vec<EntryAddress>,
    sent: BTreeMap<ServiceId, u32>,
    back_since: Instant,
    refused_until: BTreeMap<ServiceId, Instant>,
    listed: Vec<EntryAddress>,
    untold: Option<CentreSummary>,
}

/// All other data centres.
#[derive(Debug, Default)]
pub struct RemoteTable {
    centres: BTreeMap<DataCentreId, RemoteCentre>,
}

impl RemoteTable {
    /// Gives every known data centre.
    pub fn centres(&self) -> &BTreeMap<DataCentreId, RemoteCentre> {
        &self.centres
    }

    /// Gives the slots of a service that this node may count on in a data centre.
    pub fn free(&self, now: Instant, data_centre: &str, service: &str) -> f64 {
        let Some(centre) = self.centres.get(data_centre) else {
            return 0.0;
        };
        let refused = centre
            .refused_until
            .get(service)
            .is_some_and(|until| now < *until);
        if refused || now.duration_since(centre.heard) > SUMMARY_FRESH {
            return 0.0;
        }
        let Some(pool) = centre.pools.get(service) else {
            return 0.0;
        };
        let sent = centre.sent.get(service).copied().unwrap_or(0);
        let free = f64::from(pool.free.saturating_sub(pool.waiting).saturating_sub(sent));
        let ramp = now.duration_since(centre.back_since).as_secs_f64() / RAMP_TIME.as_secs_f64();
        free * ramp.clamp(0.05, 1.0)
    }

    /// Gives the serving entry VMs of a data centre.
    pub fn entries(&self, data_centre: &str) -> &[EntryAddress] {
        self.centres
            .get(data_centre)
            .map_or(&[], |centre| &centre.entries)
    }

    /// Finds the address of a node of another data centre, in summaries or in the directory.
    pub fn find_entry(&self, node: &str) -> Option<&EntryAddress> {
        self.centres
            .values()
            .flat_map(|centre| centre.entries.iter().chain(&centre.listed))
            .find(|entry| &*entry.node == node)
    }

    /// Takes a summary; one that came straight from its data centre is to be told to the members
    /// of this one.
    ///
    /// One that a member told is not told again: every member would tell every other what all of
    /// them have.
    pub fn take(&mut self, now: Instant, summary: &CentreSummary, direct: bool) {
        let centre = self
            .centres
            .entry(summary.data_centre.clone())
            .or_insert_with(|| new_centre(now));
        if summary.stamp <= centre.stamp {
            return;
        }
        if now.duration_since(centre.heard) > RAMP_ABSENCE {
            centre.back_since = now;
        }
        centre.stamp = summary.stamp;
        centre.heard = now;
        centre.untold = direct.then(|| summary.clone());
        centre.sent.clear();
        for pool in &summary.pools {
            centre.pools.insert(pool.service.clone(), pool.clone());
        }
        if let Some(entries) = &summary.entries {
            centre.entries.clone_from(entries);
        }
    }

    /// Takes addresses from the directory, used until the first summary brings fresher ones.
    pub fn take_directory(&mut self, now: Instant, data_centre: &str, entries: Vec<EntryAddress>) {
        let centre = self
            .centres
            .entry(data_centre.into())
            .or_insert_with(|| new_centre(now));
        if now.duration_since(centre.heard) > SUMMARY_FRESH || centre.entries.is_empty() {
            centre.entries.clone_from(&entries);
        }
        centre.listed = entries;
    }

    /// Notes a request sent to a data centre.
    pub fn note_sent(&mut self, data_centre: &str, service: &ServiceId) {
        if let Some(centre) = self.centres.get_mut(data_centre) {
            *centre.sent.entry(service.clone()).or_default() += 1;
        }
    }

    /// Notes that a data centre refused or could not be reached; it is left alone for a moment.
    pub fn note_refused(&mut self, now: Instant, data_centre: &str, service: &ServiceId) {
        const REST: Duration = Duration::from_millis(500);
        if let Some(centre) = self.centres.get_mut(data_centre) {
            centre.refused_until.insert(service.clone(), now + REST);
        }
    }

    /// Gives the summaries that the members of this data centre have not been told.
    pub fn take_untold(&mut self) -> Vec<CentreSummary> {
        self.centres
            .values_mut()
            .filter_map(|centre| centre.untold.take())
            .collect()
    }
}

fn new_centre(now: Instant) -> RemoteCentre {
    RemoteCentre {
        stamp: 0,
        heard: now.checked_sub(Duration::from_secs(3_600)).unwrap_or(now),
        pools: BTreeMap::new(),
        entries: Vec::new(),
        sent: BTreeMap::new(),
        back_since: now,
        refused_until: BTreeMap::new(),
        listed: Vec::new(),
        untold: None,
    }
}
