//! What follows replica updates in their datagram.

use zinniahatch_route::ReadRange;
use zinniahatch_route::ReplicaEntry;

/// Software versions of replica entries, in their order.
///
/// They follow the entries, since nodes of earlier versions could not decode an entry with one more
/// field.
pub(crate) type EntryVersions = Vec<Option<Box<str>>>;

/// Returns the software versions of entries.
pub(crate) fn versions_of(entries: &[ReplicaEntry]) -> EntryVersions {
    let versions = entries.iter().map(|entry| entry.version.clone());
    versions.collect()
}

/// Sets the software versions of entries that were received without them.
pub(crate) fn attach_versions(entries: &mut [ReplicaEntry], versions: EntryVersions) {
    for (entry, version) in entries.iter_mut().zip(versions) {
        entry.version = version;
    }
}

/// Decodes what follows replica updates in their datagram: the software versions of the entries, and
/// the revisions that the updates cover. Nodes of earlier versions send none of the latter.
pub(crate) fn decode_tail(entries: &mut [ReplicaEntry], tail: &[u8]) -> Option<ReadRange> {
    let (versions, rest): (EntryVersions, _) = postcard::take_from_bytes(tail).ok()?;
    attach_versions(entries, versions);
    postcard::from_bytes(rest).ok()?
}
