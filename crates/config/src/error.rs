//! Errors in a file, each with its place.

use std::fmt;
use std::path::{Path, PathBuf};

/// One error in a file: where it is, what is wrong, and what is allowed there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub file: PathBuf,
    /// From 1; 0 where the file as a whole is meant.
    pub line: u32,
    /// Path of the element, as `/lockcroft/fleet`; empty where the file as a whole is meant.
    pub element: String,
    /// What is wrong.
    pub message: String,
    /// What is allowed.
    pub expected: Option<String>,
}

impl ConfigError {
    /// An error that belongs to no element.
    pub(crate) fn without_element(file: &Path, line: u32, message: String) -> Self {
        ConfigError { file: file.into(), line, element: String::new(), message, expected: None }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}:{}: ", self.file.display(), self.line)?;
        if !self.element.is_empty() {
            write!(out, "{}: ", self.element)?;
        }
        out.write_str(&self.message)?;
        match &self.expected {
            Some(expected) => write!(out, "; allowed: {expected}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ConfigError {}

/// All errors in a file, one a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        ConfigErrors(vec![error])
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        out.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ConfigErrors {}
