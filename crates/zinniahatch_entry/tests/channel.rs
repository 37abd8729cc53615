//! A channel against a hostile backend server: whose answer is it, is it whole, may it be kept?

use http::Method;
use proptest::prelude::*;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use zinniahatch_base::prelude::StoreRevision;
use zinniahatch_entry::BackendChannel;
use zinniahatch_entry::ChannelError;
use zinniahatch_route::ColdGate;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaPermit;
use zinniahatch_route::ReplicaTable;

const LIMIT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\ncontent-length: 5\r\n\r\nhello";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: other\r\ncontent-length: 5\r\n\r\nwrong";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";

/// Serves one connection: reads a request, writes the bytes, and closes or stays.
async fn stand(answer: Vec<u8>, closes: bool) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(&answer).await;
        if !closes {
            std::future::pending::<()>().await;
        }
    });
    address
}

/// Gives leave to write a request to a replica at an address.
fn permit(address: SocketAddrV4) -> ReplicaPermit {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    let entry = ReplicaEntry {
        id: "i-1".into(),
        started_ms: 1,
        service: "s".into(),
        address,
        data_centre: "a".into(),
        slots: 8,
        leaving: false,
        gone_in: None,
        cold_for: Duration::ZERO,
        revision: StoreRevision::from(1),
    };
    table.upsert(entry, now);
    let claim = table.reserve(&mut ColdGate::default(), "i-1", 0, now);
    table.permit(claim.unwrap(), now).unwrap()
}

async fn exchange(address: SocketAddrV4) -> (Result<Vec<u8>, ChannelError>, BackendChannel) {
    let mut channel = BackendChannel::connect(address, LIMIT).await.unwrap();
    let result = async {
        channel.send(permit(address), REQUEST, &[]).await?;
        channel.read_head(&Method::GET, "mine").await?;
        let mut body = Vec::new();
        while let Some(piece) = channel.read_body().await? {
            body.extend_from_slice(&piece);
        }
        Ok(body)
    }
    .await;
    (result, channel)
}

#[test_case(WHOLE, true; "length")]
#[test_case(CHUNKED, true; "chunked")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-attempt-id: mine\r\ncontent-length: 5\r\n\r\nhello", true; "after_an_interim_answer")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello", false; "closing_is_not_kept")]
#[tokio::test]
async fn read_whole_answer(answer: &str, kept: bool) {
    let address = stand(answer.into(), false).await;
    let (body, channel) = exchange(address).await;
    assert_eq!(body.unwrap(), b"hello");
    assert_eq!(channel.is_reusable(), kept);
}

/// An answer without a length ends with its channel. Closed, it is whole; the channel is spent.
#[tokio::test]
async fn read_unframed_answer() {
    let text = "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\n\r\nhello";
    let address = stand(text.into(), true).await;
    let (body, channel) = exchange(address).await;
    assert_eq!(body.unwrap(), b"hello");
    assert!(!channel.is_reusable());
}

/// A caller got another caller's record: the replica answered an earlier request a second time,
/// just where the next answer was due. The late one names another attempt and is thrown away.
#[tokio::test]
async fn read_head_skips_a_late_second_answer() {
    let address = stand(format!("{FOREIGN}{WHOLE}").into(), false).await;
    let (body, channel) = exchange(address).await;
    assert_eq!(body.unwrap(), b"hello");
    assert!(
        !channel.is_reusable(),
        "what else it may send belongs to nobody"
    );
}

/// A second answer right behind the first made the channel's next request end with it. Surplus
/// bytes end the channel.
#[tokio::test]
async fn is_reusable_with_surplus_bytes() {
    let address = stand(format!("{WHOLE}{FOREIGN}").into(), false).await;
    let (body, mut channel) = exchange(address).await;
    assert_eq!(body.unwrap(), b"hello");
    assert!(!channel.is_reusable() || !channel.is_fresh(Instant::now()));
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello"; "two_lengths")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nhello"; "no_number")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello"; "unknown_coding")]
#[test_case("garbage garbage garbage\r\n\r\n"; "no_answer")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello"; "bad_chunk")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: other\r\n\r\nhello"; "unframed_answer_of_another")]
#[tokio::test]
async fn read_malformed_answer(answer: &str) {
    let address = stand(answer.into(), true).await;
    let (body, channel) = exchange(address).await;
    assert!(matches!(body, Err(ChannelError::Malformed(_))), "{body:?}");
    assert!(!channel.is_reusable());
}

#[tokio::test]
async fn connect_to_nobody_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    drop(listener);
    let error = BackendChannel::connect(address, LIMIT).await.unwrap_err();
    assert_eq!(error, ChannelError::Refused);
}

/// A replica refused a long dossier before it had read it, and kept the channel. The rest of the
/// body, or the next request, would have been read as the rest of the first.
#[tokio::test]
async fn send_stops_at_an_early_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut some = vec![0; 16];
        stream.read_exact(&mut some).await.unwrap();
        stream.write_all(WHOLE.as_bytes()).await.unwrap();
        std::future::pending::<()>().await;
    });
    let mut channel = BackendChannel::connect(address, LIMIT).await.unwrap();
    let long = vec![b'x'; 64 << 20];
    channel.send(permit(address), REQUEST, &long).await.unwrap();
    let head = channel.read_head(&Method::POST, "mine").await.unwrap();
    assert_eq!(head.status, 200);
    while channel.read_body().await.unwrap().is_some() {}
    assert!(!channel.is_reusable());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// The oracle: an answer cut anywhere is never taken for a whole one.
    #[test]
    fn read_answer_cut_at_each_byte(cut in 0_usize..CHUNKED.len(), chunked in any::<bool>()) {
        let whole = if chunked { CHUNKED } else { WHOLE };
        let cut = cut.min(whole.len() - 1);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let body = runtime.block_on(async {
            let address = stand(whole.as_bytes()[..cut].to_vec(), true).await;
            exchange(address).await.0
        });
        prop_assert!(body.is_err(), "cut at {cut}: {body:?}");
    }
}
