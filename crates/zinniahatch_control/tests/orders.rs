//! Only one node at a time may send orders, also to engines that ignore fencing tokens.

use std::time::Duration;
use std::time::Instant;
use zinniahatch_control::OrderLease;

const TTL: Duration = Duration::from_secs(10);
/// Time for which a sent order may still arrive: the engine client's timeout per call.
const ORDER_TIME: Duration = Duration::from_secs(2);

#[test]
fn permit_without_lease_is_none() {
    assert_eq!(OrderLease::default().permit(Instant::now(), true), None);
}

#[test]
fn permit_while_renewed_gives_the_fencing_token() {
    let now = Instant::now();
    let mut lease = OrderLease::default();
    lease.acquired(now, 7, TTL);
    assert_eq!(lease.permit(now, true), Some(7));
    lease.renewed(now + Duration::from_secs(6));
    assert_eq!(lease.permit(now + Duration::from_secs(12), true), Some(7));
    lease.lost();
    assert_eq!(lease.permit(now, true), None);
}

/// Guards against an engine loading an old model again. The lease holder was paused before it
/// sent an order, its lease expired and another node took over; after the pause it would send the
/// order. The engine ignores fencing tokens, so the holder's own clock must prevent this.
#[test]
fn permit_after_pause_is_none() {
    let now = Instant::now();
    let mut lease = OrderLease::default();
    lease.acquired(now, 7, TTL);
    assert_eq!(lease.permit(now + TTL, false), None);
}

/// Guards against orders of two nodes overlapping at one engine. The old holder sends its last
/// order just before it must stop; the new one acquires the lease the moment it expires. More
/// than an order's timeout must pass between the last order of the old holder and the first of
/// the new one.
#[test]
fn permit_of_two_holders_never_overlaps() {
    let start = Instant::now();
    let mut old = OrderLease::default();
    old.acquired(start, 7, TTL);
    let expiry = start + TTL;
    let mut new = OrderLease::default();
    new.acquired(expiry, 8, TTL);
    let step = Duration::from_millis(10);
    let times = (0..2_000).map(|count| start + step * count);
    let last_old = times
        .clone()
        .filter(|at| old.permit(*at, false).is_some())
        .max()
        .expect("the old holder may send orders");
    let first_new = times
        .filter(|at| *at >= expiry && new.permit(*at, false).is_some())
        .min()
        .expect("the new holder may send orders");
    assert!(first_new.duration_since(last_old) > ORDER_TIME);
}

/// Guards against overestimating the lease after slow responses of the store: the time counts
/// from the sending of the call, and a late response to an earlier renewal changes nothing.
#[test]
fn renewed_out_of_order_keeps_the_latest() {
    let now = Instant::now();
    let mut lease = OrderLease::default();
    lease.acquired(now, 7, TTL);
    lease.renewed(now + Duration::from_secs(5));
    lease.renewed(now + Duration::from_secs(1));
    assert_eq!(lease.permit(now + Duration::from_secs(12), true), Some(7));
}
