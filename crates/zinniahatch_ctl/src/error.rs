//! Errors and exit codes.

use thiserror::Error;
use zinniahatch_config::ConfigError;

/// Error of a command; each kind has its own exit code.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The input is invalid, or the system refused it; nothing was changed. Exit code 1.
    #[error("{0}")]
    Refused(String),
    /// A configuration file is invalid; nothing was changed. Exit code 1.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Another change was applied first; nothing was changed. Exit code 3.
    #[error("{0}")]
    Conflict(String),
    /// It is unknown whether the change is in force. Exit code 4.
    #[error("{0}")]
    Unknown(String),
    /// The node or the store is unreachable. Exit code 5.
    #[error("the node is unreachable: {0}")]
    Unreached(String),
}

impl CtlError {
    /// Returns the exit code.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Config(_) => 1,
            Self::Conflict(_) => 3,
            Self::Unknown(_) => 4,
            Self::Unreached(_) => 5,
        }
    }
}
