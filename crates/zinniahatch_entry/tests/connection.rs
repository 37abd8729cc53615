//! `BackendConnection` against misbehaving backend servers: responses to other attempts, truncated
//! bodies, reuse.

use bytes::Bytes;
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
use tokio::net::TcpSocket;
use tokio::task::yield_now;
use tokio::time::timeout;
use zinniahatch_base::prelude::StoreRevision;
use zinniahatch_entry::BackendConnection;
use zinniahatch_entry::ConnectionError;
use zinniahatch_route::ColdLimiter;
use zinniahatch_route::ReadBound;
use zinniahatch_route::ReplicaEntry;
use zinniahatch_route::ReplicaPermit;
use zinniahatch_route::ReplicaTable;

const CONNECT_LIMIT: Duration = Duration::from_secs(5);
/// Steps of a task in which the runtime polls its sockets at least once.
const POLLING_STEPS: usize = 200;
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\ncontent-length: 5\r\n\r\nhello";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: other\r\ncontent-length: 5\r\n\r\nwrong";
const SEALED: &str =
    "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\ncontent-length: 5\r\n\r\nhello";
const SEALED_CHUNKS: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
const ANONYMOUS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";

/// Serves one connection: reads a request, writes `response`, then closes the connection or keeps
/// it open.
async fn serve_once(response: Vec<u8>, closes: bool) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(&response).await;
        if !closes {
            std::future::pending::<()>().await;
        }
    });
    address
}

/// Returns a permit to send a request to a replica at an address.
fn permit(address: SocketAddrV4) -> ReplicaPermit {
    let now = Instant::now();
    let mut table = ReplicaTable::default();
    let entry = ReplicaEntry {
        id: "i-1".into(),
        started_ms: 1,
        service: "s".into(),
        version: Some("".into()),
        address,
        data_centre: "a".into(),
        slots: 8,
        leaving: false,
        gone_in: None,
        cold_for: Duration::ZERO,
        revision: StoreRevision::from(1),
    };
    table.upsert(entry, now);
    let reservation = table.reserve(&mut ColdLimiter::default(), "i-1", 0, now);
    table.permit(reservation.unwrap(), now).unwrap()
}

async fn exchange(address: SocketAddrV4) -> (Result<Vec<u8>, ConnectionError>, BackendConnection) {
    let mut connection = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap();
    let result = async {
        connection
            .send(permit(address), REQUEST, &Bytes::new())
            .await?;
        connection.read_head(&Method::GET, "mine").await?;
        let mut body = Vec::new();
        while let Some(chunk) = connection.read_body().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }
    .await;
    (result, connection)
}

/// Guards against a node that keeps the endless reply of another node.
#[test_case(5, Ok(b"hello".to_vec()); "at_the_bound")]
#[test_case(4, Err(ConnectionError::Excess(ReadBound::KeptBytes)); "above_it")]
#[tokio::test]
async fn read_whole_body_bound(limit: usize, expected: Result<Vec<u8>, ConnectionError>) {
    for response in [WHOLE, CHUNKED] {
        let address = serve_once(response.into(), false).await;
        let connecting = BackendConnection::connect(address, CONNECT_LIMIT);
        let mut connection = connecting.await.unwrap();
        let empty = Bytes::new();
        let sending = connection.send(permit(address), REQUEST, &empty);
        sending.await.unwrap();
        let head = connection.read_head(&Method::GET, "mine").await;
        assert!(head.is_ok(), "{head:?}");
        assert_eq!(connection.read_whole_body(limit).await, expected);
        assert_eq!(connection.is_reusable(), expected.is_ok());
    }
}

#[test_case(WHOLE, true; "length")]
#[test_case(CHUNKED, true; "chunked")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-attempt-id: mine\r\ncontent-length: 5\r\n\r\nhello", true; "after_an_interim_answer")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello", false; "closing_is_not_kept")]
#[tokio::test]
async fn read_complete_response(response: &str, kept: bool) {
    let address = serve_once(response.into(), false).await;
    let (body, connection) = exchange(address).await;
    assert_eq!(body.unwrap(), b"hello");
    assert_eq!(connection.is_reusable(), kept);
}

/// Guards against a request that runs although its caller has left: its last bytes still waited to be
/// sent when the connection was closed.
#[tokio::test]
async fn abandoned_request_is_not_delivered() {
    let socket = TcpSocket::new_v4().unwrap();
    // With a small window, most of the request stays in the send buffer.
    socket.set_recv_buffer_size(2_048).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    let mut connection = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let body = vec![b'x'; 64 << 10];
    connection
        .send(permit(address), REQUEST, &body.clone().into())
        .await
        .unwrap();
    drop(connection);
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received).await;
    assert!(end.is_err(), "{} bytes and an orderly end", received.len());
    assert!(received.len() < REQUEST.len() + body.len());
}

/// A response without a length ends when its connection closes. It is complete, but the connection
/// cannot be reused.
#[tokio::test]
async fn read_unframed_response() {
    let text = "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\n\r\nhello";
    let address = serve_once(text.into(), true).await;
    let (body, connection) = exchange(address).await;
    assert_eq!(body.unwrap(), b"hello");
    assert!(!connection.is_reusable());
}

/// Guards against a caller receiving another caller's response. It happens when a replica answers
/// an earlier request a second time, just where the next response is due. The late response names
/// another attempt and is discarded.
#[tokio::test]
async fn read_head_skips_late_second_response() {
    let address = serve_once(format!("{FOREIGN}{WHOLE}").into(), false).await;
    let (body, connection) = exchange(address).await;
    assert_eq!(body.unwrap(), b"hello");
    assert!(
        !connection.is_reusable(),
        "any further bytes belong to no request"
    );
}

/// Guards against reuse of a connection on which a second response directly follows the first,
/// since the next request would receive it. Surplus bytes make the connection unusable.
#[tokio::test]
async fn is_reusable_with_surplus_bytes() {
    let address = serve_once(format!("{WHOLE}{FOREIGN}").into(), false).await;
    let (body, mut connection) = exchange(address).await;
    assert_eq!(body.unwrap(), b"hello");
    assert!(!connection.is_reusable() || !connection.is_usable(Instant::now()));
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello"; "two_lengths")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nhello"; "no_number")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello"; "unknown_coding")]
#[test_case("garbage garbage garbage\r\n\r\n"; "no_answer")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhello"; "bad_chunk")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: other\r\n\r\nhello"; "unframed_answer_of_another")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: +5\r\n\r\nhello"; "signed_length")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\n"; "negative_length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n\r\n0\r\n\r\n"; "second_coding")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: x\r\n\r\n0\r\n\r\n"; "chunks_and_no_number")]
#[test_case("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"; "chunks_in_an_older_version")]
#[test_case("HTTP/1.1 204 No Content\r\ncontent-length: +5\r\n\r\n"; "signed_length_without_a_body")]
#[tokio::test]
async fn read_malformed_response(response: &str) {
    let address = serve_once(response.into(), true).await;
    let (body, connection) = exchange(address).await;
    assert!(
        matches!(body, Err(ConnectionError::Malformed(_))),
        "{body:?}"
    );
    assert!(!connection.is_reusable());
}

#[tokio::test]
async fn connect_without_listener_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    drop(listener);
    let error = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap_err();
    assert_eq!(error, ConnectionError::Refused);
}

/// Guards against reuse of a connection whose replica refused a long request before it had read the
/// body. The replica would read the rest of the body, or the next request, as part of the first.
#[tokio::test]
async fn send_stops_at_early_response() {
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
    let mut connection = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap();
    let long = vec![b'x'; 64 << 20];
    connection
        .send(permit(address), REQUEST, &long.into())
        .await
        .unwrap();
    let head = connection.read_head(&Method::POST, "mine").await.unwrap();
    assert_eq!(head.status, 200);
    while connection.read_body().await.unwrap().is_some() {}
    assert!(!connection.is_reusable());
}

/// Guards against a request whose rest is held back once its response has begun, so that neither goes on.
#[test_case("HTTP/1.1 100 Continue\r\n\r\n", SEALED; "interim")]
#[test_case("HTTP/1.1 10", "3 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\ncontent-length: 5\r\n\r\nhello"; "part_of_an_interim")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\ncontent-length: 5\r\n\r\n", "hello"; "head")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\ncontent-length: 5\r\n\r\nhe", "llo"; "part_of_a_body")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n", "3\r\nllo\r\n0\r\n\r\n"; "chunk")]
#[tokio::test]
async fn early_response_that_goes_on_after_the_request(early: &str, rest: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    let body = vec![b'x'; 16 << 20];
    let mut connection = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    // The response begins before the request is sent, which the runtime learns by polling its sockets.
    stream.write_all(early.as_bytes()).await.unwrap();
    for _ in 0..POLLING_STEPS {
        yield_now().await;
    }
    let request_bytes = REQUEST.len() + body.len();
    let serving = tokio::spawn(async move {
        let mut request = vec![0; request_bytes];
        stream.read_exact(&mut request).await.unwrap();
        stream.write_all(rest.as_bytes()).await.unwrap();
        stream
    });
    let exchange = async {
        connection
            .send(permit(address), REQUEST, &body.into())
            .await?;
        connection.read_replica_head(&Method::POST, "mine").await?;
        connection.read_whole_body(5).await
    };
    let result = timeout(CONNECT_LIMIT, exchange).await;
    assert_eq!(result.expect("it goes on"), Ok(b"hello".to_vec()));
    serving.await.unwrap();
}

/// Guards against a part of a response that is taken for a whole one: its connection was reset while the
/// request was still being sent, and the reset was reported to the write alone.
#[test_case("content-length: 5\r\n\r\nhello", Some("hello"); "length")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Some("hello"); "chunks")]
#[test_case("\r\nhello", None; "without_an_end")]
#[test_case("content-length: 6\r\n\r\nhello", None; "length_not_reached")]
#[tokio::test]
async fn early_response_that_is_reset(rest: &str, expected: Option<&str>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    let text = format!("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\n{rest}");
    let mut connection = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream.set_zero_linger().unwrap();
    drop(stream);
    // The response and the reset have arrived before the request is sent, and the write may come first.
    let body = vec![b'x'; 1 << 20];
    let result = async {
        connection
            .send(permit(address), REQUEST, &body.clone().into())
            .await?;
        connection.read_head(&Method::GET, "mine").await?;
        connection.read_whole_body(body.len()).await
    }
    .await;
    assert_eq!(result.ok().as_deref(), expected.map(str::as_bytes));
    assert!(!connection.is_reusable());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// A response truncated at any byte is never taken for a complete one.
    #[test]
    fn read_response_cut_at_each_byte(cut in 0_usize..CHUNKED.len(), chunked in any::<bool>()) {
        let whole = if chunked { CHUNKED } else { WHOLE };
        let cut = cut.min(whole.len() - 1);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let body = runtime.block_on(async {
            let address = serve_once(whole.as_bytes()[..cut].to_vec(), true).await;
            exchange(address).await.0
        });
        prop_assert!(body.is_err(), "cut at {cut}: {body:?}");
    }
}

/// Guards against a response that something ended early, or whose framing contradicts itself, and that is
/// taken for a whole one.
#[test_case("content-length: 5\r\n\r\nhell", None; "length_not_reached")]
#[test_case("transfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n", None; "last_chunk_missing")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", None; "last_chunk_cut")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx: 1\r\n", None; "trailers_cut")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx: 1\r\n\r\n", Some("hello"); "trailers")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx\r\n\r\n", None; "trailer_without_a_name")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx y: 1\r\n\r\n", None; "trailer_with_a_blank_in_its_name")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n\r\n\r\n", None; "chunk_size_missing")]
#[test_case("transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n;x\r\n\r\n", None; "chunk_extension_alone")]
#[test_case("transfer-encoding: chunked\r\n\r\n5;x\r\nhello\r\n0 ;y\r\n\r\n", Some("hello"); "chunk_extensions")]
#[test_case("transfer-encoding: chunk\r\n\r\n", None; "coding_cut")]
#[test_case("content-length: 5\r\ncontent-length: 4\r\n\r\nhello", None; "lengths_differ")]
#[test_case("content-length: 5\r\ncontent-length: 5\r\n\r\nhello", Some("hello"); "lengths_alike")]
#[test_case("content-length: \r\n\r\n", None; "length_cut")]
#[test_case("content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Some("hello"); "length_and_chunks")]
#[test_case("content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhe", None; "length_and_chunks_cut")]
#[tokio::test]
async fn response_is_framed_as_it_says(rest: &str, expected: Option<&str>) {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\n";
    let address = serve_once(format!("{head}{rest}").into_bytes(), true).await;
    let (body, _) = exchange(address).await;
    assert_eq!(body.ok().as_deref(), expected.map(str::as_bytes));
}

/// Guards against the beginning of a head, or an interim response, that is taken for a response.
#[test_case("HTTP/1.1 20"; "status_cut")]
#[test_case("HTTP/1.1 20\r\n\r\n"; "status_cut_and_ended")]
#[test_case("HTTP/1.1 200\r\n\r\n"; "status_alone")]
#[test_case("HTTP/1.1 204 No Con\r\n\r\n"; "status_without_a_body_alone")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\n"; "interim_alone")]
#[test_case("HTTP/1.1 103 Early Hints\r\nx-attempt-id: mine\r\nx-server-seal: s\r\n\r\nHTTP/1.1 200 OK\r\n"; "interim_and_status")]
#[tokio::test]
async fn cut_head_is_no_response(response: &str) {
    let address = serve_once(response.into(), true).await;
    let mut connection = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap();
    connection
        .send(permit(address), REQUEST, &Bytes::new())
        .await
        .unwrap();
    let head = connection.read_replica_head(&Method::GET, "mine").await;
    assert!(head.is_err(), "{head:?}");
}

/// Guards against a response of another node whose head was ended early on the way: without its framing,
/// the end of the connection would end it.
#[test_case(SEALED, true; "length")]
#[test_case(SEALED_CHUNKS, true; "chunks")]
#[test_case("HTTP/1.1 204 No Content\r\nx-attempt-id: mine\r\nx-server-seal: s\r\n\r\n", true; "without_a_body")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\n\r\n", false; "cut_before_its_framing")]
#[test_case("HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\n\r\n2\r\nhe\r\n", false; "chunks_without_their_header")]
#[tokio::test]
async fn node_response_is_framed(response: &str, expected: bool) {
    let address = serve_once(response.into(), true).await;
    let mut connection = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap();
    connection
        .send(permit(address), REQUEST, &Bytes::new())
        .await
        .unwrap();
    let head = connection.read_replica_head(&Method::GET, "mine").await;
    assert_eq!(head.unwrap().framed().is_ok(), expected);
}

/// Guards against bytes after a complete response that are given to the next caller as its answer.
#[test_case(&[SEALED], Some("hello"); "own")]
#[test_case(&[ANONYMOUS, SEALED], Some("hello"); "anonymous_before")]
#[test_case(&[FOREIGN, ANONYMOUS, SEALED], Some("hello"); "others_before")]
#[test_case(&[ANONYMOUS], None; "anonymous_alone")]
#[test_case(&[WHOLE], None; "without_a_seal")]
#[test_case(&["HTTP/1.1 204 No Content\r\nx-attempt-id: mine\r\nx-server-seal:\r\n\r\n"], None; "with_an_empty_seal")]
#[test_case(&["HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\nkeep-alive: timeout=5\r\n\r\nhello"], None; "without_an_end_and_kept")]
#[test_case(&["HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\nconnection: Keep-Alive\r\n\r\nhello"], None; "without_an_end_and_kept_by_an_option")]
#[test_case(&["HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\nkeep-alive: timeout=5\r\nconnection: close\r\n\r\nhello"], Some("hello"); "until_it_closes")]
#[test_case(&["HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\nx-server-seal: s\r\n\r\nhello"], Some("hello"); "without_an_end")]
#[test_case(&["HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: mine\r\nx-not-executed: 1\r\nkeep-alive: timeout=5\r\n\r\nfull"], Some("full"); "refusal_without_an_end")]
#[tokio::test]
async fn replica_response_names_its_attempt(responses: &[&str], expected: Option<&str>) {
    let address = serve_once(responses.concat().into_bytes(), true).await;
    let mut connection = BackendConnection::connect(address, CONNECT_LIMIT)
        .await
        .unwrap();
    connection
        .send(permit(address), REQUEST, &Bytes::new())
        .await
        .unwrap();
    let head = connection.read_replica_head(&Method::GET, "mine").await;
    assert_eq!(head.is_ok(), expected.is_some(), "{head:?}");
    let Some(expected) = expected else {
        return;
    };
    let body = connection.read_body().await.unwrap().unwrap();
    assert_eq!(body, expected);
}
