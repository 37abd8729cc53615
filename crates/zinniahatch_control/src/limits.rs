//! Intervals, timeouts and lease times of the control protocol.

use zinniahatch_base::prelude::*;

/// Interval between heartbeats to each member of the data centre.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a member is suspected.
///
/// Three heartbeat intervals, so that a single lost frame does not raise a suspicion.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(3_200);
/// Time after [`SUSPECT_AFTER`] in which others can refute the suspicion of a member.
///
/// One heartbeat carries the suspicion to them and one carries the refutation back.
pub(crate) const REFUTE_TIME: Duration = Duration::from_millis(2_200);
/// Silence after which a member is removed from the member table.
pub const MEMBER_TTL: Duration = Duration::from_secs(60);
/// Lease duration, counted from the sending of the last heartbeat that the coordinator echoed.
///
/// Longer than [`SUSPECT_AFTER`], so that the next coordinator takes over before the leases of
/// a failed one expire, and no node has to stop using its slots.
pub const LEASE_TTL: Duration = Duration::from_secs(6);
/// Time beyond [`LEASE_TTL`] for which a coordinator counts the slots of a silent holder.
///
/// The holder counts from the sending of a heartbeat and the coordinator from its arrival, both
/// on monotonic clocks, so the holder stops first. The margin covers clock drift.
pub const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Gap between two ticks beyond which a node concludes that its process was paused.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Time for which a new node waits for replies from its seeds before it may coordinate pools.
pub(crate) const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Interval between heartbeats to an address that has not replied.
pub(crate) const CONTACT_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum interval between summaries to other data centres.
pub(crate) const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum summary interval per other data centre.
///
/// The interval grows with the number of data centres, so that the bytes for passing summaries
/// on to members do not grow with it.
pub(crate) const SUMMARY_INTERVAL_PER_LINK: Duration = Duration::from_millis(85);
/// Age after which a summary is no longer used for placement.
pub(crate) const SUMMARY_MAX_AGE: Duration = Duration::from_secs(6);
/// Interval after which pool statuses and summary addresses are sent even if unchanged.
pub(crate) const REFRESH_INTERVAL: Duration = Duration::from_secs(3);
/// Minimum interval between two reports for one pool.
pub(crate) const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reports while no change requires an earlier one.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval after which an unconfirmed grant is sent again.
pub(crate) const GRANT_RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an echoed heartbeat after which the transport opens a new connection.
pub(crate) const REDIAL_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Timeout of a configuration pull, after which another peer is tried.
pub(crate) const PULL_TIMEOUT: Duration = Duration::from_millis(700);
