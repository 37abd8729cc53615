//! Clock that measures the age of proofs.

use nix::errno::Errno;
use nix::time::ClockId;
use nix::time::clock_gettime;
use zinniahatch_base::prelude::*;

/// Number of bits dropped from the random stamp offset, which leaves room for the clock value.
const OFFSET_BITS: u32 = 8;

/// Clock that keeps running while the machine is suspended, unlike the monotonic one.
///
/// Failure: a machine is suspended for a minute. By the monotonic clock no time has passed, so
/// state from before the suspension still counts as fresh.
#[derive(Debug)]
pub(crate) struct BootClock {
    /// Added to each stamp, so that a stamp sent by an earlier process is not accepted as one of
    /// this process.
    offset: u64,
    started: Duration,
}

impl BootClock {
    /// Creates the clock of a process; `draw` is a random number.
    ///
    /// # Errors
    ///
    /// The kernel does not support this clock.
    pub(crate) fn new(draw: u64) -> Result<Self, Errno> {
        let started = clock_gettime(ClockId::CLOCK_BOOTTIME)?.into();
        Ok(Self {
            offset: draw >> OFFSET_BITS,
            started,
        })
    }

    /// Returns the time since the machine booted.
    pub(crate) fn now(&self) -> Duration {
        // The clock was available at start, so this call does not fail.
        clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(self.started, Duration::from)
    }

    /// Encodes a time as the stamp that other nodes echo.
    pub(crate) fn stamp(&self, at: Duration) -> u64 {
        self.offset.wrapping_add(at.as_micros() as u64)
    }

    /// Decodes an echoed stamp; returns `None` if this process did not send it.
    pub(crate) fn sent_at(&self, stamp: u64, now: Duration) -> Option<Duration> {
        let at = Duration::from_micros(stamp.checked_sub(self.offset)?);
        (self.started <= at && at <= now).then_some(at)
    }
}
