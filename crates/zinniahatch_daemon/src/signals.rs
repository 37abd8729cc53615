//! Signals that a node of the first interface handles.

use log::info;
use log::warn;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use zinniahatch_config::NodeSettings;

/// Signals that the node handles.
pub(crate) struct NodeSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl NodeSignals {
    pub(crate) fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop and returns its name.
    pub(crate) async fn stop(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }

    /// Waits for a signal to stop and returns its name; checks the settings at each signal of a change.
    pub(crate) async fn stop_checking_settings(
        &mut self,
        settings: &NodeSettings,
        load_settings: impl Fn() -> Result<NodeSettings, String>,
    ) -> &'static str {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return "SIGTERM",
                _ = self.interrupt.recv() => return "SIGINT",
                _ = self.hangup.recv() => match load_settings() {
                    Ok(loaded) if loaded == *settings => info!("settings read again: unchanged"),
                    Ok(_) => info!("settings read again: changed; takes effect at the next start"),
                    Err(error) => warn!("settings read again: rejected: {error}"),
                }
            }
        }
    }
}
