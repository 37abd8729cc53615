//! More connections at an entry VM than it has file descriptors and memory for, at the limits of the sites.

use futures_util::future::join_all;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use zinniahatch_lab::site::AMPLE_RETRY_SLACK;
use zinniahatch_lab::site::HOST;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 3,
    pause: Duration::from_millis(100),
};
const MEMORY_MIB: u32 = 160;
const OPEN_FILES: u32 = 4_100;
const CONNECTIONS: usize = 5_000;
/// Connections that are opened at once.
const CONNECTORS: usize = 50;
const CONNECT_PERIOD: Duration = Duration::from_secs(4);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const CALLERS: usize = 20;
/// Position of the listener for callers.
const FRONT_LISTENER: usize = 0;

async fn start_site() -> SiteCluster {
    let mut site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    site.set_memory(MEMORY_MIB);
    site.set_open_files(OPEN_FILES);
    site.start_prepared(AMPLE_RETRY_SLACK).await
}

/// Opens connections to a listener for a while.
async fn open_connections(address: &str) -> Vec<TcpStream> {
    let end = Instant::now() + CONNECT_PERIOD;
    let connects = (0..CONNECTORS).map(async |_| {
        let mut open = Vec::new();
        while Instant::now() < end && open.len() < CONNECTIONS / CONNECTORS {
            let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            open.extend(connect.ok().and_then(Result::ok));
        }
        open
    });
    join_all(connects).await.into_iter().flatten().collect()
}

/// Sends a request for a stream on a connection that stays open; returns whether the whole stream arrives.
async fn is_served(stream: &mut TcpStream, attempt: &str) -> bool {
    let request = format!(
        "GET /stream/t HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Time-Remaining: 4000\r\n\r\n"
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let mut answer = Vec::new();
    let reading = async {
        while !answer.ends_with(b"\r\n0\r\n\r\n") && stream.read_buf(&mut answer).await? > 0 {}
        std::io::Result::Ok(())
    };
    let read = timeout(ANSWER_TIMEOUT, reading).await;
    read.is_ok_and(|read| read.is_ok()) && answer.starts_with(b"HTTP/1.1 200")
}

/// Guards against connections that only open, and leave no file descriptors for the replicas of requests on
/// others.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_leave_room_for_requests() {
    let site = start_site().await;
    let front = &*site.entries[0].addresses[FRONT_LISTENER];
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut stream = TcpStream::connect(front).await.expect("the node listens");
        let served = is_served(&mut stream, &format!("before-{number}")).await;
        assert!(served, "request {number} before");
        callers.push(stream);
    }
    let idle = open_connections(front).await;
    // They overlap, so that most of them need a connection of their own to the replica.
    let calls = callers
        .iter_mut()
        .enumerate()
        .map(async |(number, stream)| is_served(stream, &format!("beside-{number}")).await);
    let served = join_all(calls).await.into_iter().filter(|served| *served);
    assert_eq!(served.count(), CALLERS, "beside {} idle", idle.len());
    let peak = site.peak_memory_kib(0) >> 10;
    assert!(peak < u64::from(MEMORY_MIB), "{peak} MiB");
}
