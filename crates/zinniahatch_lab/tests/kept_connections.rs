//! Persistent connections of callers, with a real entry VM.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use zinniahatch_lab::cluster::ClusterOptions;
use zinniahatch_lab::cluster::LabCluster;
use zinniahatch_lab::users;

/// Idle time, longer than the time limit for receiving a request head.
const IDLE_TIME: Duration = Duration::from_secs(12);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

async fn start() -> LabCluster {
    let mut plan = users::aqsu();
    plan.regions.truncate(1);
    plan.regions[0].entries = 1;
    LabCluster::start(plan, &ClusterOptions::default()).await
}

fn send_request(stream: &mut TcpStream) -> usize {
    stream
        .set_read_timeout(Some(RESPONSE_TIMEOUT))
        .expect("the read timeout can be set");
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: node\r\n\r\n")
        .expect("the request is written");
    let mut response = [0; 1_024];
    stream.read(&mut response).expect("the node answers")
}

/// Guards against a request that gets no response because the entry VM closes the idle connection
/// at the same moment.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connection_stays_open() {
    let cluster = start().await;
    let mut stream = TcpStream::connect(&*cluster.nodes[0].http).expect("the node listens");
    assert!(send_request(&mut stream) > 0);
    stream
        .set_read_timeout(Some(IDLE_TIME))
        .expect("the read timeout can be set");
    let mut rest = [0; 1];
    let quiet = tokio::task::block_in_place(|| stream.read(&mut rest));
    let kind = quiet.as_ref().map_err(std::io::Error::kind);
    assert_eq!(
        kind,
        Err(ErrorKind::WouldBlock),
        "the node closed the idle connection"
    );
    assert!(send_request(&mut stream) > 0);
}
