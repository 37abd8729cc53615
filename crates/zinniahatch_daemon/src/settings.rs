//! Reading of the settings file.

use std::io::Write;
use std::thread::sleep;
use thiserror::Error;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ConfigError;
use zinniahatch_config::EntrySettings;
use zinniahatch_config::NodeSettings;
use zinniahatch_platform::SETTINGS_VARIABLE;

/// Time that the platform has to place the settings of a process that starts.
const PLACE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two reads of settings that are not right yet.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// Why there are no settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// They are invalid.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Unread {
        /// Path of the file.
        file: Box<str>,
        /// What the system says.
        error: std::io::Error,
    },
    /// Nothing names the file.
    #[error("no settings file given; use --config FILE or set {SETTINGS_VARIABLE}")]
    NoFile,
}

/// Settings of either interface.
pub(crate) enum DaemonSettings {
    /// Of an entry VM on the platform.
    Entry(EntrySettings),
    /// Of a node of the first interface.
    Node(NodeSettings),
}

/// The file that holds the settings.
pub(crate) struct SettingsFile {
    path: Box<str>,
}

impl SettingsFile {
    /// Takes the file that the command line names, or else the platform.
    ///
    /// # Errors
    ///
    /// Neither names one.
    pub(crate) fn find(named: Option<String>) -> Result<Self, SettingsError> {
        let path = named.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
        let path = path.ok_or(SettingsError::NoFile)?.into();
        Ok(Self { path })
    }

    /// Returns the path of the file.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// The file cannot be read or the settings are invalid.
    pub(crate) fn read(&self) -> Result<DaemonSettings, SettingsError> {
        let text = self.text()?;
        if EntrySettings::matches_file(&text) {
            let settings = EntrySettings::parse(&self.path, &text)?;
            return Ok(DaemonSettings::Entry(settings));
        }
        let settings = NodeSettings::parse(&self.path, &text)?;
        Ok(DaemonSettings::Node(settings))
    }

    /// Reads the settings until they are right, for as long as they may be in the course of being placed.
    ///
    /// An error is printed at once, for those who start the process by hand.
    ///
    /// # Errors
    ///
    /// The settings do not become right in time.
    pub(crate) fn read_placed(&self) -> Result<DaemonSettings, SettingsError> {
        let began = Instant::now();
        let mut printed: Box<str> = "".into();
        loop {
            let error = match self.read() {
                Ok(settings) => return Ok(settings),
                Err(error) => error,
            };
            if began.elapsed() >= PLACE_TIMEOUT {
                return Err(error);
            }
            let message: Box<str> = error.to_string().into();
            if message != printed {
                // Standard error may be closed.
                let _ = writeln!(
                    std::io::stderr(),
                    "zinniahatchd: {message}; reading the settings again for {} s",
                    PLACE_TIMEOUT.as_secs()
                );
                printed = message;
            }
            sleep(READ_PAUSE);
        }
    }

    /// Reads the settings of an entry VM.
    ///
    /// # Errors
    ///
    /// The file cannot be read or the settings are invalid.
    pub(crate) fn read_entry(&self) -> Result<EntrySettings, SettingsError> {
        Ok(EntrySettings::parse(&self.path, &self.text()?)?)
    }

    /// Reads the settings of a node of the first interface.
    ///
    /// # Errors
    ///
    /// The file cannot be read or the settings are invalid.
    pub(crate) fn read_node(&self) -> Result<NodeSettings, SettingsError> {
        Ok(NodeSettings::parse(&self.path, &self.text()?)?)
    }

    fn text(&self) -> Result<String, SettingsError> {
        std::fs::read_to_string(&*self.path).map_err(|error| SettingsError::Unread {
            file: self.path.clone(),
            error,
        })
    }
}
