//! Writes at the system's limit of file sizes.

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal;
use std::io::Result;

/// Lets writes beyond the limit of file sizes fail, in place of ending the process.
///
/// Holds for the calling thread and for those that it starts from then on. The system sends SIGXFSZ to the
/// thread that writes, such as that of the decision log.
///
/// # Errors
///
/// The system refuses.
pub fn fail_writes_at_file_limit() -> Result<()> {
    let mut signals = SigSet::empty();
    signals.add(Signal::SIGXFSZ);
    Ok(signals.thread_block()?)
}
