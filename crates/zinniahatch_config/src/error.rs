//! The error of settings: it names file, section and key, and the remedy.

use thiserror::Error;

/// Says what is wrong in which file, section and key, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}: [{section}] {key}: {problem}; {remedy}")]
pub struct ConfigError {
    /// The file or part.
    pub file: Box<str>,
    /// The section, or `-` where the whole file is meant.
    pub section: Box<str>,
    /// The key, or `-` where the whole section is meant.
    pub key: Box<str>,
    /// What is wrong.
    pub problem: Box<str>,
    /// What would be right.
    pub remedy: Box<str>,
}

impl ConfigError {
    /// Makes an error.
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
