//! Errors and exit codes.

use thiserror::Error;
use zinniahatch_config::ConfigError;

/// Why a command failed; each kind has its own exit code.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The input is wrong, or the system refused it; nothing was changed. Exit code 1.
    #[error("{0}")]
    Refused(String),
    /// A configuration file is wrong; nothing was changed. Exit code 1.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Another change came first; nothing was changed. Exit code 3.
    #[error("{0}")]
    Conflict(String),
    /// Whether the change is in force is not known. Exit code 4.
    #[error("{0}")]
    Unknown(String),
    /// The node was not reached. Exit code 5.
    #[error("the node is not reached: {0}")]
    Unreached(String),
}

impl CtlError {
    /// Gives the exit code.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Config(_) => 1,
            Self::Conflict(_) => 3,
            Self::Unknown(_) => 4,
            Self::Unreached(_) => 5,
        }
    }
}
