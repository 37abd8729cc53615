//! The wait for a listen address that another socket holds.

use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_route::ListenWait;

const GRACE: Duration = Duration::from_secs(8);
/// Time for which the system keeps the address of a closed connection.
const CLOSED_CONNECTION_TIME: Duration = Duration::from_secs(60);

/// Guards against a wait that ends before whatever may hold the address has let it go, or never.
#[test_case(ErrorKind::AddrInUse; "taken")]
#[test_case(ErrorKind::AddrNotAvailable; "not_assigned")]
fn wait_ends_when_the_address_must_be_free(error: ErrorKind) {
    let began = Instant::now();
    let wait = ListenWait::new(GRACE, began);
    let mut now = began;
    while let Some(pause) = wait.next_pause(error, now) {
        assert!(!pause.is_zero());
        now += pause;
    }
    assert_eq!(wait.elapsed(now), GRACE + CLOSED_CONNECTION_TIME);
}

/// Guards against a wait for what does not pass.
#[test]
fn lasting_error_is_not_waited_for() {
    let now = Instant::now();
    let wait = ListenWait::new(GRACE, now);
    assert_eq!(wait.next_pause(ErrorKind::PermissionDenied, now), None);
}
