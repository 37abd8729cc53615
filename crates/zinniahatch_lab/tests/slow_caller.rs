//! Tests of callers that read slowly, with real entry VMs.

use std::time::Duration;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;
use zinniahatch_lab::site::HOST;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::test_doubles::replica::ReplicaBehaviour;
use zinniahatch_lab::test_doubles::replica::StreamShape;

/// More than the buffers between replica and caller hold, and longer than the time of the caller.
const SHAPE: StreamShape = StreamShape {
    events: 20_000,
    pause: Duration::from_millis(1),
};
/// More than the kernel buffers of a connection whose caller has a small buffer.
const LARGE_BYTES: usize = 16 << 20;
const CALLER_BUFFER_BYTES: u32 = 64 << 10;
/// Number of pauses while such an answer is read, and their length: 5 s in all, within the grace period
/// of 8 s.
const READ_PAUSES: usize = 100;
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Remaining time that the caller states in its request.
const CALLER_TIME: Duration = Duration::from_secs(3);
/// Length of the attempt's id, which each event repeats.
const ID_BYTES: usize = 8_000;

/// Guards against a truncated stream that looks complete, when the deadline passed while the caller
/// was not reading.
#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_off_does_not_look_whole() {
    let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    let attempt = "a".repeat(ID_BYTES);
    let request = site.request_with_timeout(0, "/stream/look", &attempt, CALLER_TIME);
    let response = request.send().await.expect("the stream starts");
    sleep(CALLER_TIME + Duration::from_secs(1)).await;
    assert!(
        response.bytes().await.is_err(),
        "the truncated stream looks complete"
    );
}

/// Sends a request on a connection whose caller has a small buffer.
async fn send_raw(site: &SiteCluster, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket can be made");
    socket
        .set_recv_buffer_size(CALLER_BUFFER_BYTES)
        .expect("its buffer can be set");
    let address = site.entries[0].addresses[0].parse().expect("an address");
    let mut stream = socket.connect(address).await.expect("the node listens");
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: large\r\nX-Time-Remaining: 15000\r\n\
         Connection: close\r\n\r\n"
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the node reads");
    stream
}

/// Guards against a planned stop that ends the process while a caller still reads its answer.
#[test_case("/once/t"; "once")]
#[test_case("/plain/t"; "idempotent")]
#[tokio::test(flavor = "multi_thread")]
async fn answer_is_read_to_its_end_beside_a_stop(path: &str) {
    let site = SiteCluster::start(&[SiteRegion::new("north", 2, 1)], SHAPE).await;
    site.replicas[0]
        .0
        .set_behaviour(ReplicaBehaviour::Large(LARGE_BYTES));
    let mut stream = send_raw(&site, path).await;
    let mut answer = Vec::new();
    stream
        .read_buf(&mut answer)
        .await
        .expect("the answer begins");
    site.terminate(0);
    for pause in 1..=READ_PAUSES {
        sleep(READ_PAUSE).await;
        while answer.len() < pause * LARGE_BYTES / READ_PAUSES {
            let count = stream
                .read_buf(&mut answer)
                .await
                .expect("the answer goes on");
            assert_ne!(count, 0, "the answer ends after {} bytes", answer.len());
        }
    }
    stream
        .read_to_end(&mut answer)
        .await
        .expect("the answer ends");
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let body = &answer[head.expect("the answer has a head") + 4..];
    assert_eq!(body.len(), LARGE_BYTES);
}
