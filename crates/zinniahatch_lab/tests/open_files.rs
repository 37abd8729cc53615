//! More connections at an entry VM than it has file descriptors and memory for, at the limits of the sites.

use futures_util::future::join_all;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_lab::site::AMPLE_RETRY_SLACK;
use zinniahatch_lab::site::HOST;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
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
const HEAD_BYTES: usize = 100_000;
/// Time in which the node reads what callers have sent.
const READ_PERIOD: Duration = Duration::from_secs(2);
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

/// Guards against a process that is killed with all its requests, since it keeps more heads that have not
/// arrived to their end than it has memory for.
#[tokio::test(flavor = "multi_thread")]
async fn partial_heads_stay_within_the_memory() {
    let site = start_site().await;
    let mut state = site.desired_state(2);
    state["limits"]["max_header_bytes"] = (HEAD_BYTES * 2).into();
    state["limits"]["header_timeout_ms"] = 30_000.into();
    site.write_desired_state(&state);
    wait_until("the limit is in force", async || {
        site.log(0).contains("\"to\":2")
    })
    .await;
    let front = &*site.entries[0].addresses[FRONT_LISTENER];
    let mut open = open_connections(front).await;
    let head = format!(
        "GET /plain/t HTTP/1.1\r\nHost: {HOST}\r\nX-Padding: {}",
        "p".repeat(HEAD_BYTES)
    );
    let writes = open.iter_mut().map(async |stream| {
        let write = timeout(ANSWER_TIMEOUT, stream.write_all(head.as_bytes())).await;
        write.is_ok_and(|write| write.is_ok())
    });
    let written = join_all(writes)
        .await
        .into_iter()
        .filter(|written| *written);
    let written = written.count();
    sleep(READ_PERIOD).await;
    let peak = site.peak_memory_kib(0) >> 10;
    assert!(
        peak < u64::from(MEMORY_MIB),
        "{peak} MiB, {written} written"
    );
    drop(open);
    wait_until("requests are served", async || {
        let response = site.request(0, "/plain/t", "after").send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
    .await;
}
