//! SIGHUP while a process starts.

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal;
use std::io::Result;

/// SIGHUP, held back until the process handles it.
///
/// The platform sends it when it has changed the settings, also to a process that has just been started, and it
/// ends a process that has no handler. SIGTERM and SIGINT are not held: before there is a handler
/// nothing has been accepted, and the process may end at once.
#[derive(Debug)]
pub struct HeldHangup {
    signals: SigSet,
}

impl HeldHangup {
    /// Holds SIGHUP back on the calling thread and on those that it starts.
    ///
    /// # Errors
    ///
    /// The system refuses.
    pub fn hold() -> Result<Self> {
        let mut signals = SigSet::empty();
        signals.add(Signal::SIGHUP);
        signals.thread_block()?;
        Ok(Self { signals })
    }

    /// Delivers SIGHUP to the calling thread from now on, and one that has come meanwhile.
    ///
    /// # Errors
    ///
    /// The system refuses.
    pub fn release(self) -> Result<()> {
        Ok(self.signals.thread_unblock()?)
    }
}
