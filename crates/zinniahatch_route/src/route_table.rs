//! Lookup of the route of a request.

use crate::DesiredRoute;
use crate::DesiredState;
use crate::longest_stream::take_up_time;
use std::rc::Rc;
use zinniahatch_base::prelude::*;

/// Routes of one version of the desired state, by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    hosts: BTreeMap<Box<str>, BTreeMap<Box<str>, Rc<DesiredRoute>>>,
}

impl RouteTable {
    /// Builds the table.
    pub fn new(state: &DesiredState) -> Self {
        let mut hosts: BTreeMap<Box<str>, BTreeMap<Box<str>, Rc<DesiredRoute>>> = BTreeMap::new();
        for route in &state.routes {
            hosts
                .entry(route.host.to_ascii_lowercase().into())
                .or_default()
                .insert(route.path_prefix.clone(), Rc::new(route.clone()));
        }
        Self {
            version: state.version,
            hosts,
        }
    }

    /// Returns the longest time for which a stream of a resumable route may be taken up.
    pub fn longest_resumable(&self) -> Duration {
        let routes = self.hosts.values().flat_map(BTreeMap::values);
        let resumable = routes.filter(|route| route.resumable);
        resumable
            .map(|route| take_up_time(route.timeout))
            .max()
            .unwrap_or_default()
    }

    /// Returns the version of the desired state; 0 if none is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the home regions that most bound routes of a host have in common; empty if no route
    /// is bound.
    ///
    /// Routes of one host may have different homes, and a caller queries by host alone.
    pub fn homes_of(&self, host: &str) -> BTreeSet<RegionId> {
        let mut counts: BTreeMap<RegionId, usize> = BTreeMap::new();
        let prefixes = self.hosts.get(host.to_ascii_lowercase().as_str());
        for route in prefixes.into_iter().flat_map(BTreeMap::values) {
            for home in &route.homes {
                *counts.entry(home.clone()).or_default() += 1;
            }
        }
        let most = counts.values().max().copied();
        counts
            .into_iter()
            .filter(|(_, count)| Some(*count) == most)
            .map(|(home, _)| home)
            .collect()
    }

    /// Returns the route with the longest prefix of the path.
    ///
    /// The path is looked up cut at each slash, the longest first, so that the cost depends on the
    /// depth of the path rather than the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<DesiredRoute>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let prefixes = self.hosts.get(host.as_str())?;
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(Rc::clone(route));
            }
            end = slash;
        }
        None
    }
}
