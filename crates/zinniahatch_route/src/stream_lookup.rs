//! Which nodes are told what began a stream, and which are asked.
//!
//! Their number does not grow with the fleet, and a node finds them whether or not the node that
//! began the stream still runs.

use crate::MemberTable;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// Nodes of the own region that are told of a stream.
const HOLDERS: usize = 2;
/// Nodes of a region that are asked: two nodes may disagree on one of the first three.
const ASKED: usize = 3;

/// A node that is told of a stream or asked for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LookupTarget {
    /// Its address.
    pub address: SocketAddrV4,
    /// Whether it is of another region, and passes the message on within it.
    pub passes_on: bool,
}

impl LookupTarget {
    fn local(address: SocketAddrV4) -> Self {
        Self {
            address,
            passes_on: false,
        }
    }

    fn remote(address: SocketAddrV4) -> Self {
        Self {
            address,
            passes_on: true,
        }
    }
}

impl MemberTable {
    /// Returns the nodes that the node which began a stream tells of it: some of its region, and one
    /// of another region.
    pub fn told_of<'a>(
        &self,
        stream: ContentDigest,
        own: &RegionId,
        others: impl Iterator<Item = &'a RegionId>,
        now: Instant,
    ) -> Vec<LookupTarget> {
        let local = self.holders_of(stream, own, HOLDERS, now);
        let elsewhere: Vec<SocketAddrV4> = others
            .flat_map(|region| self.holders_of(stream, region, 1, now))
            .collect();
        let index = stream.checked_rem(elsewhere.len() as u64);
        let remote = index.map(|index| elsewhere[index as usize]);
        let mut targets: Vec<LookupTarget> = local.into_iter().map(LookupTarget::local).collect();
        targets.extend(remote.map(LookupTarget::remote));
        targets
    }

    /// Returns the node of its region to which a node passes on what another region told it.
    pub fn passed_on_to(
        &self,
        stream: ContentDigest,
        own: &RegionId,
        now: Instant,
    ) -> Option<SocketAddrV4> {
        self.holders_of(stream, own, 1, now).pop()
    }

    /// Returns the nodes of its region that a node asks for a stream.
    pub fn asked_here(
        &self,
        stream: ContentDigest,
        own: &RegionId,
        now: Instant,
    ) -> Vec<LookupTarget> {
        let holders = self.holders_of(stream, own, ASKED, now);
        holders.into_iter().map(LookupTarget::local).collect()
    }

    /// Returns the nodes that a node asks for a stream that a caller takes up: some of its region, and
    /// one of each other region.
    pub fn asked_for<'a>(
        &self,
        stream: ContentDigest,
        own: &RegionId,
        others: impl Iterator<Item = &'a RegionId>,
        now: Instant,
    ) -> Vec<LookupTarget> {
        let mut targets = self.asked_here(stream, own, now);
        for region in others {
            let contact = self.holders_of(stream, region, 1, now);
            targets.extend(contact.into_iter().map(LookupTarget::remote));
        }
        targets
    }
}
