//! A settings file that holds a process at its start until a test lets it go on.

use crate::site::wait_until;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use tokio::io::AsyncWriteExt;
use tokio::net::unix::pipe::OpenOptions;
use tokio::net::unix::pipe::Sender;

/// A settings file in whose place a named pipe stands: its first reader waits for [`HeldStart::release`].
#[derive(Debug)]
pub struct SettingsGate {
    path: PathBuf,
    text: String,
}

/// A process that has begun to read its settings.
#[derive(Debug)]
pub struct HeldStart {
    text: String,
    sender: Sender,
}

impl SettingsGate {
    /// Replaces a settings file by a named pipe.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be read or the pipe cannot be made.
    pub fn close(path: &Path) -> Self {
        let text = std::fs::read_to_string(path).expect("the settings were written");
        std::fs::remove_file(path).expect("the settings can be removed");
        let made = Command::new("mkfifo").arg(path).status();
        assert!(made.is_ok_and(|status| status.success()), "no named pipe");
        Self {
            path: path.into(),
            text,
        }
    }

    /// Waits until a process reads its settings, and puts the file back for whoever reads it later.
    ///
    /// # Panics
    ///
    /// Panics if no process reads the settings in time or the file cannot be written.
    pub async fn wait_reached(self) -> HeldStart {
        let mut sender = None;
        // A named pipe without a reader cannot be opened for writing.
        wait_until("a process reads its settings", async || {
            sender = OpenOptions::new().open_sender(&self.path).ok();
            sender.is_some()
        })
        .await;
        std::fs::remove_file(&self.path).expect("the pipe can be removed");
        std::fs::write(&self.path, &self.text).expect("the settings can be written");
        HeldStart {
            text: self.text,
            sender: sender.expect("the pipe was opened"),
        }
    }
}

impl HeldStart {
    /// Lets the process read its settings.
    pub async fn release(mut self) {
        // Fails if the process has ended, which the test finds out.
        let _ = self.sender.write_all(self.text.as_bytes()).await;
    }
}
