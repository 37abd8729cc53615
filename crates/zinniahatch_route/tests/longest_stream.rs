//! Tests of the longest time for which streams may last.

use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::LongestStream;

/// Guards against streams whose beginning is forgotten because a later version of the desired state
/// allows only shorter ones.
#[test]
fn lower_limit_waits_for_streams_of_former_one() {
    let began = Instant::now();
    let after = |seconds| began + Duration::from_secs(seconds);
    let mut longest = LongestStream::default();
    longest.update(Duration::from_secs(60), began);
    longest.update(Duration::from_secs(60), after(100));
    longest.update(Duration::from_secs(20), after(159));
    assert_eq!(longest.limit(), Some(Duration::from_secs(60)));
    longest.update(Duration::from_secs(20), after(160));
    assert_eq!(longest.limit(), Some(Duration::from_secs(20)));
    longest.update(Duration::from_secs(30), after(161));
    assert_eq!(longest.limit(), Some(Duration::from_secs(30)));
}

/// Guards against a node that takes the unknown time of streams for none, so that it has followed
/// everything for long enough.
#[test]
fn limit_is_unknown_without_a_desired_state() {
    let mut longest = LongestStream::default();
    assert_eq!(longest.limit(), None);
    longest.update(Duration::ZERO, Instant::now());
    assert_eq!(longest.limit(), Some(Duration::ZERO));
}
