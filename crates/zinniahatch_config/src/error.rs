//! The error type of settings and configuration parts.

use thiserror::Error;

/// A problem in a file, section and key, with its remedy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}: [{section}] {key}: {problem}; {remedy}")]
pub struct ConfigError {
    /// The file or configuration part.
    pub file: Box<str>,
    /// The section, or `-` if the problem concerns the whole file.
    pub section: Box<str>,
    /// The key, or `-` if the problem concerns the whole section.
    pub key: Box<str>,
    /// The problem.
    pub problem: Box<str>,
    /// How to correct it.
    pub remedy: Box<str>,
}

impl ConfigError {
    /// Creates an error.
    pub fn new(file: &str, section: &str, key: &str, problem: &str, remedy: &str) -> Self {
        Self {
            file: file.into(),
            section: section.into(),
            key: key.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}
