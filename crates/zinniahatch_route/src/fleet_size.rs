//! Number of nodes of the whole fleet, by which bounds that hold for all nodes together are split.
//!
//! Failure mode: a node of a large fleet knows the nodes of its own region and only a few of each
//! other one. If it split a bound between the nodes that it knows, the parts of all nodes would add
//! up to a multiple of the bound. Heartbeats therefore say how many nodes a region has.

use zinniahatch_base::prelude::*;

/// The largest size that each region was announced to have.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    regions: BTreeMap<RegionId, usize>,
}

impl FleetSize {
    /// Records the number of nodes of a region, as known or announced by one of its nodes.
    ///
    /// A smaller number does not replace a larger one: nodes that are no longer known may go on
    /// spending their parts of a bound.
    pub fn note(&mut self, region: &RegionId, nodes: usize) {
        if let Some(largest) = self.regions.get_mut(region) {
            *largest = nodes.max(*largest);
        } else {
            self.regions.insert(region.clone(), nodes);
        }
    }

    /// Returns the number of nodes of all regions. A region that was not heard of yet counts as
    /// large as the largest one.
    pub fn total<'a>(&'a self, regions: impl IntoIterator<Item = &'a RegionId>) -> usize {
        let largest = self.regions.values().copied().max().unwrap_or(0);
        let regions: BTreeSet<&RegionId> = regions.into_iter().chain(self.regions.keys()).collect();
        let sizes = regions.iter().map(|region| {
            let known = self.regions.get(*region).copied();
            known.unwrap_or(largest)
        });
        sizes.sum()
    }
}
