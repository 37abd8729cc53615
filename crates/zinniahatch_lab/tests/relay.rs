//! Faults of the lab's relay, seen from both of its ends.

use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use zinniahatch_lab::relay::LinkState;
use zinniahatch_lab::relay::TcpRelay;

const HOLD: Duration = Duration::from_millis(400);

async fn write_all(stream: &mut TcpStream, text: &str) {
    let written = stream.write_all(text.as_bytes()).await;
    written.expect("the connection is open");
}

async fn read_exactly(stream: &mut TcpStream, text: &str) {
    let mut bytes = vec![0; text.len()];
    let read = stream.read_exact(&mut bytes).await;
    read.expect("the connection is open");
    assert_eq!(bytes, text.as_bytes());
}

/// Guards against silences of the lab that lose bytes, change their order or close connections.
#[tokio::test(flavor = "multi_thread")]
async fn held_bytes_arrive_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let to = listener.local_addr().expect("it is bound").to_string();
    let link = LinkState::default();
    let relay = TcpRelay::start(&to, Duration::ZERO, link.clone()).await;
    let connect = async || {
        let near = TcpStream::connect(&*relay.address).await;
        let (far, _) = listener.accept().await.expect("the relay connects");
        (near.expect("the relay accepts"), far)
    };
    let (mut near, mut far) = connect().await;
    let ends = Instant::now() + HOLD;
    link.hold(HOLD);
    let (mut new_near, mut new_far) = connect().await;
    for text in ["a", "b", "c"] {
        write_all(&mut near, text).await;
        write_all(&mut far, text).await;
    }
    write_all(&mut new_near, "d").await;
    new_near.shutdown().await.expect("the connection is open");
    read_exactly(&mut near, "abc").await;
    assert!(Instant::now() >= ends);
    read_exactly(&mut far, "abc").await;
    let mut rest = String::new();
    let read = new_far.read_to_string(&mut rest).await;
    read.expect("the connection is closed in order");
    assert_eq!(rest, "d");
    assert_eq!(link.holds().len(), 1);
}
