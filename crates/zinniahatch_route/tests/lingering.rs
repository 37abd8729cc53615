//! For how long a node reads a connection after its last answer.

use std::time::Duration;
use std::time::Instant;
use zinniahatch_route::LINGER_BYTES;
use zinniahatch_route::LINGER_QUIET_TIME;
use zinniahatch_route::LINGER_TIME;
use zinniahatch_route::LingerBudget;
use zinniahatch_route::LingerEnd;

const TICK: Duration = Duration::from_millis(100);

#[test]
fn linger_ends_when_caller_is_quiet() {
    let began = Instant::now();
    let mut budget = LingerBudget::new(began);
    let due_at = began + LINGER_QUIET_TIME;
    assert_eq!(budget.due(), (due_at, LingerEnd::Quiet));
    assert_eq!(budget.on_bytes(1, began + TICK), None);
    assert_eq!(budget.due(), (due_at + TICK, LingerEnd::Quiet));
}

/// Guards against a caller that keeps a connection for good by sending a little now and then.
#[test]
fn linger_ends_while_caller_sends() {
    let began = Instant::now();
    let mut budget = LingerBudget::new(began);
    let mut now = began;
    while now < budget.due().0 {
        assert_eq!(budget.on_bytes(1, now), None);
        now += TICK;
    }
    assert_eq!(budget.due(), (began + LINGER_TIME, LingerEnd::Time));
}

/// Guards against a caller whose endless body is read for as long as it arrives fast.
#[test]
fn linger_ends_after_too_many_bytes() {
    let began = Instant::now();
    let mut budget = LingerBudget::new(began);
    assert_eq!(budget.on_bytes(LINGER_BYTES - 1, began), None);
    assert_eq!(budget.on_bytes(1, began), Some(LingerEnd::Bytes));
    assert_eq!(budget.received(), LINGER_BYTES);
}
