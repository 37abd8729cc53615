//! HTTP server of a test double, on a port chosen by the operating system.

use salvo::Listener;
use salvo::Router;
use salvo::Server;
use salvo::conn::TcpListener;
use tokio::net::TcpListener as RawListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// A running HTTP server; it stops when dropped.
pub struct FakeServer {
    /// Its address as `IP:port`.
    pub address: Box<str>,
    task: JoinHandle<()>,
}

impl FakeServer {
    /// Serves a router on a free port of the loopback interface.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(router: Router) -> Self {
        let acceptor = TcpListener::new("127.0.0.1:0")
            .try_bind()
            .await
            .expect("a port is free");
        let address = acceptor
            .local_addr()
            .expect("a bound socket has an address");
        let task = tokio::spawn(Server::new(acceptor).serve(router));
        Self {
            address: address.to_string().into(),
            task,
        }
    }

    /// Serves each connection to a free port of the loopback interface with a function.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub(super) async fn start_raw<S>(serve: impl Fn(TcpStream) -> S + Send + 'static) -> Self
    where
        S: Future<Output = ()> + Send + 'static,
    {
        let listener = RawListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream));
            }
        });
        Self {
            address: address.to_string().into(),
            task,
        }
    }

    /// Returns the address as a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops the server at once; open connections break.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
