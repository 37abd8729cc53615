//! Starting a stand-in's server on a port of the operating system's choice.

use salvo::Listener;
use salvo::Router;
use salvo::Server;
use salvo::conn::TcpListener;
use tokio::task::JoinHandle;

/// A running stand-in; it ends when this is dropped.
pub struct FakeServer {
    /// Its address, `IP:port`.
    pub address: Box<str>,
    task: JoinHandle<()>,
}

impl FakeServer {
    /// Serves a router on a free port of the loopback interface.
    ///
    /// # Panics
    ///
    /// Where no port is free.
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

    /// Gives the address as a URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops at once; open connections break.
    pub fn kill(&self) {
        self.task.abort();
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
