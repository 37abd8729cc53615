//! Kept channels, by the address that they lead to.
//!
//! A replica accepts a bounded number of channels from all callers together and resets those
//! beyond it, so each node keeps to its part of that bound without asking the others.

use crate::request::channel::BackendChannel;
use crate::request::channel::ChannelError;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// Time for a connection inside a region; three lost packets in a row take longer.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// Idle channels kept for one address at most.
const MOST_IDLE: usize = 64;

/// Channels to one address.
#[derive(Debug, Default)]
struct PoolRow {
    idle: Vec<BackendChannel>,
    open: usize,
}

/// All channels of a node.
#[derive(Debug, Default)]
pub(crate) struct ChannelPool {
    rows: RefCell<BTreeMap<SocketAddrV4, PoolRow>>,
}

/// Why no channel was to be had.
#[derive(Debug)]
pub(crate) enum PoolError {
    /// This node's part of the bound is in use.
    Full,
    /// No connection was made.
    Unreached(ChannelError),
}

impl ChannelPool {
    /// Takes a kept channel, the last used first, so that the others reach their idle limit.
    fn take_idle(&self, address: SocketAddrV4, now: Instant) -> Option<BackendChannel> {
        let mut rows = self.rows.borrow_mut();
        let row = rows.get_mut(&address)?;
        while let Some(mut channel) = row.idle.pop() {
            if channel.is_fresh(now) {
                return Some(channel);
            }
            row.open = row.open.saturating_sub(1);
        }
        None
    }

    /// Takes a kept channel or makes a new one, `most` in all for the address.
    pub(crate) async fn take(
        &self,
        address: SocketAddrV4,
        most: usize,
        now: Instant,
    ) -> Result<BackendChannel, PoolError> {
        if let Some(channel) = self.take_idle(address, now) {
            return Ok(channel);
        }
        {
            let mut rows = self.rows.borrow_mut();
            let row = rows.entry(address).or_default();
            if row.open >= most {
                return Err(PoolError::Full);
            }
            row.open += 1;
        }
        let place = OpenPlace {
            pool: self,
            address,
            kept: false,
        };
        let channel = BackendChannel::connect(address, CONNECT_TIME)
            .await
            .map_err(PoolError::Unreached)?;
        place.keep();
        Ok(channel)
    }

    /// Gives a channel back; it is kept if its answer was read whole.
    pub(crate) fn give(&self, address: SocketAddrV4, mut channel: BackendChannel, now: Instant) {
        let mut rows = self.rows.borrow_mut();
        let row = rows.entry(address).or_default();
        if channel.is_reusable() && row.idle.len() < MOST_IDLE {
            channel.rest(now);
            row.idle.push(channel);
            return;
        }
        row.open = row.open.saturating_sub(1);
    }

    /// Notes that a channel that was taken is closed.
    pub(crate) fn lose(&self, address: SocketAddrV4) {
        if let Some(row) = self.rows.borrow_mut().get_mut(&address) {
            row.open = row.open.saturating_sub(1);
        }
    }

    /// Closes all kept channels to an address: when one went silent, the others may be too.
    pub(crate) fn purge(&self, address: SocketAddrV4) {
        if let Some(row) = self.rows.borrow_mut().get_mut(&address) {
            row.open = row.open.saturating_sub(row.idle.len());
            row.idle.clear();
        }
    }

    /// Closes what has been idle too long and forgets addresses without channels.
    pub(crate) fn tick(&self, now: Instant) {
        let mut rows = self.rows.borrow_mut();
        for row in rows.values_mut() {
            let before = row.idle.len();
            row.idle.retain_mut(|channel| channel.is_fresh(now));
            row.open = row.open.saturating_sub(before - row.idle.len());
        }
        rows.retain(|_, row| row.open > 0);
    }

    /// Gives the number of open channels.
    pub(crate) fn open(&self) -> usize {
        self.rows.borrow().values().map(|row| row.open).sum()
    }
}

/// Gives the place of a connection back if its caller leaves while it is being made.
struct OpenPlace<'a> {
    pool: &'a ChannelPool,
    address: SocketAddrV4,
    kept: bool,
}

impl OpenPlace<'_> {
    fn keep(mut self) {
        self.kept = true;
    }
}

impl Drop for OpenPlace<'_> {
    fn drop(&mut self) {
        if !self.kept {
            self.pool.lose(self.address);
        }
    }
}
