//! Tests of entry VMs that are told to stop while they start, or while their requests hang.

use reqwest::StatusCode;
use std::net::TcpStream;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
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

/// Guards against a request that gets neither an answer nor a refusal because its replica is still silent
/// at the end of the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn open_request_is_answered_at_the_end() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    site.replicas[0].0.set_behaviour(ReplicaBehaviour::Mute);
    let stop = async {
        wait_until("the request is sent", async || {
            !site.replicas[0].0.observations().arrivals.is_empty()
        })
        .await;
        site.terminate(0);
    };
    let (response, ()) = tokio::join!(site.request(0, "/once/t", "open").send(), stop);
    let response = response.expect("the request is answered");
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
}
