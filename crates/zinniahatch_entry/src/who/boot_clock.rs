//! The clock by which proofs age.

use nix::errno::Errno;
use nix::time::ClockId;
use nix::time::clock_gettime;
use zinniahatch_base::prelude::*;

/// Bits of the number by which the stamps of a process differ from those of others.
const OFFSET_BITS: u32 = 8;

/// A clock that runs on while the machine is suspended, unlike the steady one.
///
/// Failure: a machine is suspended for a minute. By the steady clock no time has passed, and what it knew before
/// still counts as fresh.
#[derive(Debug)]
pub(crate) struct BootClock {
    /// Added to each stamp, so that one which an earlier process sent is not taken for one of this.
    offset: u64,
    started: Duration,
}

impl BootClock {
    /// Starts the clock of a process; `draw` is a random number.
    ///
    /// # Errors
    ///
    /// The kernel has no such clock.
    pub(crate) fn new(draw: u64) -> Result<Self, Errno> {
        let started = clock_gettime(ClockId::CLOCK_BOOTTIME)?.into();
        Ok(Self {
            offset: draw >> OFFSET_BITS,
            started,
        })
    }

    /// Gives the time since the machine's start.
    pub(crate) fn now(&self) -> Duration {
        // It was there at the start, so that it is there now.
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(self.started, Duration::from)
    }

    /// Gives a moment as other nodes echo it.
    pub(crate) fn stamp(&self, at: Duration) -> u64 {
        self.offset.wrapping_add(at.as_micros() as u64)
    }

    /// Gives the moment of an echoed stamp; none where this process did not send it.
    pub(crate) fn sent_at(&self, stamp: u64, now: Duration) -> Option<Duration> {
        let at = Duration::from_micros(stamp.checked_sub(self.offset)?);
        (self.started <= at && at <= now).then_some(at)
    }
}
