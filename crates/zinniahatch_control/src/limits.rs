//! The times and bounds that the systems work with.

use zinniahatch_base::prelude::*;

/// Interval of heartbeats to each member of the data centre.
pub const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
/// Silence after which a member is suspected; three heartbeats, so that one lost frame is no verdict.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(3_200);
/// Time beyond [`SUSPECT_AFTER`] in which others vouch for a member that they hear: a heartbeat
/// there with the suspicion, and one back.
pub(crate) const VOUCH_TIME: Duration = Duration::from_millis(2_200);
/// Silence after which a member is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time for which slots may be used after the sending of the last heartbeat that the keeper echoed.
///
/// Longer than [`SUSPECT_AFTER`], so that the next keeper takes over before the leases of the dead
/// one have lapsed and nobody stops.
pub const LEASE_TIME: Duration = Duration::from_secs(6);
/// How much longer than [`LEASE_TIME`] a keeper counts the slots of a silent holder.
///
/// The holder counts from the sending of a heartbeat and the keeper from its arrival, both on
/// monotonic clocks, so the holder stops first; the margin covers clocks that run unequally.
pub const KEEPER_MARGIN: Duration = Duration::from_secs(1);
/// Gap between two ticks after which a node takes itself to have been paused.
pub(crate) const PAUSE_GAP: Duration = Duration::from_secs(2);
/// Time in which a fresh node waits for its first contacts before it counts itself as keeper.
pub(crate) const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Interval between contacts to an address that has not answered.
pub(crate) const CONTACT_EVERY: Duration = Duration::from_secs(2);
/// Shortest interval of summaries between data centres.
pub(crate) const SUMMARY_EVERY: Duration = Duration::from_secs(1);
/// Part of that interval for each other data centre, so that with many of them the bytes of
/// retelling do not grow with their number.
pub(crate) const SUMMARY_LINK: Duration = Duration::from_millis(85);
/// Age after which a summary is no longer used for choices.
pub(crate) const SUMMARY_FRESH: Duration = Duration::from_secs(6);
/// Summaries and pool states are told again after this time even where nothing changed.
pub(crate) const RETELL_EVERY: Duration = Duration::from_secs(3);
/// Shortest time between two reports of one pool.
pub(crate) const REPORT_GAP: Duration = Duration::from_millis(20);
/// Interval of reports while nobody waits.
pub(crate) const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Time after which a grant that was not obeyed is sent again.
pub(crate) const GRANT_AGAIN: Duration = Duration::from_millis(500);
/// Silence after which the transport is told to open a new connection.
pub(crate) const REDIAL_AFTER: Duration = Duration::from_millis(2_200);
/// Time for which a peer may answer a pull of configuration before another is asked.
pub(crate) const PULL_PATIENCE: Duration = Duration::from_millis(700);
