//! Tests of entry VMs that are told to stop while they start.

use std::net::TcpStream;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 1,
    pause: std::time::Duration::ZERO,
};
/// Number of starts; an entry VM that listens before it installs its signal handlers does so for a
/// fraction of a millisecond.
const STARTS: usize = 20;
/// The bit of SIGTERM in the mask of caught signals.
const SIGTERM_BIT: u64 = 1 << 14;

/// Guards against an entry VM that accepts connections before it handles SIGTERM, and so is killed
/// by it instead of draining.
#[tokio::test(flavor = "multi_thread")]
async fn stop_is_heeded_once_anything_answers() {
    let mut site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 0)], SHAPE).await;
    let front = site.entries[0].addresses[0].to_string();
    for _ in 0..STARTS {
        site.spawn(0);
        let caught = tokio::task::block_in_place(|| {
            while TcpStream::connect(&front).is_err() {}
            site.caught_signals(0)
        });
        assert_ne!(caught & SIGTERM_BIT, 0, "caught signals: {caught:x}");
        site.kill(0);
    }
    site.spawn(0);
    tokio::task::block_in_place(|| while TcpStream::connect(&front).is_err() {});
    site.terminate(0);
    wait_until("the entry VM exits", async || site.ended(0).is_some()).await;
    assert_eq!(site.ended(0), Some(true));
}
