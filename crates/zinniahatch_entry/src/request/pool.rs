//! Pool of reusable connections by address.
//!
//! A replica accepts a limited number of connections from all callers together and resets those
//! beyond it. Each node therefore keeps to its own share of that limit, without coordination.

use crate::request::connection::BackendConnection;
use crate::request::connection::ConnectionError;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// Time limit for connecting inside a region. Three lost packets in a row take longer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 64;

/// Connections to one address.
#[derive(Debug, Default)]
struct AddressPool {
    idle: Vec<BackendConnection>,
    open: usize,
}

/// All outgoing connections of a node.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    rows: RefCell<BTreeMap<SocketAddrV4, AddressPool>>,
}

/// Why no connection is available.
#[derive(Debug)]
pub enum PoolError {
    /// This node's share of the connections is in use.
    Full,
    /// No connection was made.
    Unreached(ConnectionError),
}

impl ConnectionPool {
    /// Takes an idle connection, the most recently used first, so that the others reach their idle
    /// limit.
    fn acquire_idle(&self, address: SocketAddrV4, now: Instant) -> Option<BackendConnection> {
        let mut rows = self.rows.borrow_mut();
        let row = rows.get_mut(&address)?;
        while let Some(mut connection) = row.idle.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
            row.open = row.open.saturating_sub(1);
        }
        None
    }

    /// Takes an idle connection or opens a new one, up to `limit` connections to the address.
    pub(crate) async fn acquire(
        &self,
        address: SocketAddrV4,
        limit: usize,
        now: Instant,
    ) -> Result<BackendConnection, PoolError> {
        if let Some(connection) = self.acquire_idle(address, now) {
            return Ok(connection);
        }
        self.open(address, limit).await
    }

    /// Takes a connection like `acquire`, which counts as closed if it is dropped before its release.
    ///
    /// # Errors
    ///
    /// No connection is available.
    pub async fn lease(
        &self,
        address: SocketAddrV4,
        limit: usize,
    ) -> Result<LeasedConnection<'_>, PoolError> {
        let connection = self.acquire(address, limit, Instant::now()).await?;
        Ok(LeasedConnection {
            pool: self,
            address,
            connection: Some(connection),
        })
    }

    /// Opens a new connection in place of an idle one if there are `limit`.
    ///
    /// Idle connections may have gone silent for good, which shows only once they are used.
    pub(crate) async fn open(
        &self,
        address: SocketAddrV4,
        limit: usize,
    ) -> Result<BackendConnection, PoolError> {
        {
            let mut rows = self.rows.borrow_mut();
            let row = rows.entry(address).or_default();
            if row.open >= limit {
                row.idle.pop().ok_or(PoolError::Full)?;
                row.open -= 1;
            }
            row.open += 1;
        }
        let pending = PendingConnect {
            pool: self,
            address,
            confirmed: false,
        };
        let connection = BackendConnection::connect(address, CONNECT_TIMEOUT)
            .await
            .map_err(PoolError::Unreached)?;
        pending.confirm();
        Ok(connection)
    }

    /// Returns a connection to the pool. It is kept if its response was read completely.
    pub(crate) fn release(
        &self,
        address: SocketAddrV4,
        mut connection: BackendConnection,
        now: Instant,
    ) {
        let mut rows = self.rows.borrow_mut();
        let row = rows.entry(address).or_default();
        if connection.is_reusable() && row.idle.len() < MAX_IDLE {
            connection.mark_idle(now);
            row.idle.push(connection);
            return;
        }
        row.open = row.open.saturating_sub(1);
    }

    /// Records that an acquired connection was closed.
    pub(crate) fn note_closed(&self, address: SocketAddrV4) {
        if let Some(row) = self.rows.borrow_mut().get_mut(&address) {
            row.open = row.open.saturating_sub(1);
        }
    }

    /// Closes all idle connections to an address. If one went silent, the others may have too.
    pub(crate) fn close_idle(&self, address: SocketAddrV4) {
        if let Some(row) = self.rows.borrow_mut().get_mut(&address) {
            row.open = row.open.saturating_sub(row.idle.len());
            row.idle.clear();
        }
    }

    /// Closes connections that have been idle too long and removes addresses without connections.
    pub(crate) fn evict_idle(&self, now: Instant) {
        let mut rows = self.rows.borrow_mut();
        for row in rows.values_mut() {
            let before = row.idle.len();
            row.idle.retain_mut(|connection| connection.is_usable(now));
            row.open = row.open.saturating_sub(before - row.idle.len());
        }
        rows.retain(|_, row| row.open > 0);
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.rows.borrow().values().map(|row| row.open).sum()
    }
}

/// A connection of a pool that is released or closed when this is dropped.
#[derive(Debug)]
pub struct LeasedConnection<'a> {
    pool: &'a ConnectionPool,
    address: SocketAddrV4,
    connection: Option<BackendConnection>,
}

impl LeasedConnection<'_> {
    /// Returns the connection, until it is released.
    pub fn get(&mut self) -> Option<&mut BackendConnection> {
        self.connection.as_mut()
    }

    /// Returns the connection to the pool.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.release(self.address, connection, Instant::now());
        }
    }
}

impl Drop for LeasedConnection<'_> {
    fn drop(&mut self) {
        if self.connection.is_some() {
            self.pool.note_closed(self.address);
        }
    }
}

/// Releases the reserved slot of a connection if its caller leaves while it is being opened.
struct PendingConnect<'a> {
    pool: &'a ConnectionPool,
    address: SocketAddrV4,
    confirmed: bool,
}

impl PendingConnect<'_> {
    fn confirm(mut self) {
        self.confirmed = true;
    }
}

impl Drop for PendingConnect<'_> {
    fn drop(&mut self) {
        if !self.confirmed {
            self.pool.note_closed(self.address);
        }
    }
}
