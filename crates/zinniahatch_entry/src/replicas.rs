//! State that this node observes of replicas: health, crashes, rate limits and the requests behind
//! crashes.

pub(crate) mod address_checks;
pub(crate) mod crash_detection;
pub(crate) mod limit_metrics;
pub(crate) mod notice;
pub(crate) mod notice_metrics;
pub(crate) mod part_metrics;
pub(crate) mod part_quarantine;
pub(crate) mod probe;
pub(crate) mod quarantine;
pub(crate) mod rate_limit;
pub(crate) mod send_admission;
pub(crate) mod unknown_headers;
pub(crate) mod warmth_checks;
