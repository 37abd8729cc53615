//! Orders to engines: one giver at a time, also for engines that ignore fencing numbers.

use std::time::Duration;
use std::time::Instant;
use zinniahatch_control::OrderGate;

const TTL: Duration = Duration::from_secs(10);
/// Time for which an order on its way may still arrive: the engine client's limit for one call.
const ORDER_TIME: Duration = Duration::from_secs(2);

#[test]
fn permit_without_lease_is_none() {
    assert_eq!(OrderGate::default().permit(Instant::now(), true), None);
}

#[test]
fn permit_while_renewed_gives_the_fence() {
    let now = Instant::now();
    let mut gate = OrderGate::default();
    gate.acquired(now, 7, TTL);
    assert_eq!(gate.permit(now, true), Some(7));
    gate.renewed(now + Duration::from_secs(6));
    assert_eq!(gate.permit(now + Duration::from_secs(12), true), Some(7));
    gate.lost();
    assert_eq!(gate.permit(now, true), None);
}

/// An engine loads the old model again. The giver was frozen with an order in hand, its lease
/// lapsed, another took over; on waking it sends the order. The engine ignores fencing numbers, so
/// the giver's own clock must stop it.
#[test]
fn permit_after_pause_is_none() {
    let now = Instant::now();
    let mut gate = OrderGate::default();
    gate.acquired(now, 7, TTL);
    assert_eq!(gate.permit(now + TTL, false), None);
}

/// Two givers order one engine at once. The old one sent its last order just before its time ran
/// out; the new one took the lease the moment it lapsed. Between the last moment at which the old
/// one may send and the first at which the new one may, an order's whole time passes.
#[test]
fn permit_of_two_givers_never_overlaps() {
    let start = Instant::now();
    let mut old = OrderGate::default();
    old.acquired(start, 7, TTL);
    let lapse = start + TTL;
    let mut new = OrderGate::default();
    new.acquired(lapse, 8, TTL);
    let step = Duration::from_millis(10);
    let times = (0..2_000).map(|count| start + step * count);
    let last_old = times
        .clone()
        .filter(|at| old.permit(*at, false).is_some())
        .max()
        .expect("the old giver may order");
    let first_new = times
        .filter(|at| *at >= lapse && new.permit(*at, false).is_some())
        .min()
        .expect("the new giver may order");
    assert!(first_new.duration_since(last_old) > ORDER_TIME);
}

/// A lease is thought to last longer than it does. Its grant was slow to answer; the time counts
/// from the sending of the call, and a late answer to an earlier renewal changes nothing.
#[test]
fn renewed_out_of_order_keeps_the_latest() {
    let now = Instant::now();
    let mut gate = OrderGate::default();
    gate.acquired(now, 7, TTL);
    gate.renewed(now + Duration::from_secs(5));
    gate.renewed(now + Duration::from_secs(1));
    assert_eq!(gate.permit(now + Duration::from_secs(12), true), Some(7));
}
