//! Connections that their holders give up.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;
use zinniahatch_entry::ConnectionPool;

/// Listens on a free port; connections are accepted by the system and never answered.
async fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        unreachable!("an IPv4 address was bound")
    };
    (listener, address)
}

/// Guards against exchanges that keep their places in the pool when their time runs out, until nothing can
/// be sent to that node.
#[tokio::test]
async fn connection_given_up_leaves_the_pool() {
    const EXCHANGES: usize = 20;
    const LIMIT: usize = 1;
    let (_listener, address) = listen().await;
    let pool = ConnectionPool::default();
    for _ in 0..EXCHANGES {
        let exchange = async {
            let mut lease = pool.lease(address, LIMIT).await.expect("a place is free");
            assert!(lease.get().is_some());
            assert_eq!(pool.open_count(), 1);
            std::future::pending::<()>().await;
        };
        assert!(timeout(Duration::from_millis(5), exchange).await.is_err());
        assert_eq!(pool.open_count(), 0);
    }
}

/// Guards against connections that are counted out of the pool twice.
#[tokio::test]
async fn connection_released_stays_in_the_pool() {
    let (_listener, address) = listen().await;
    let pool = ConnectionPool::default();
    pool.lease(address, 1)
        .await
        .expect("a place is free")
        .release();
    assert_eq!(pool.open_count(), 1);
    let lease = pool.lease(address, 1).await.expect("it is reused");
    assert_eq!(pool.open_count(), 1);
    drop(lease);
    assert_eq!(pool.open_count(), 0);
}
