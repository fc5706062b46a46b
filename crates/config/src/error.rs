//! Errors in a file, each with its line and element.

use std::fmt;
use std::path::{Path, PathBuf};

/// An error in a file: its location, what was found, and what is allowed there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The path of the file.
    pub file: PathBuf,
    /// The line number, from 1; 0 if the error concerns the file as a whole.
    pub line: u32,
    /// The path of the element, such as `/lockcroft/fleet`; empty if the error concerns no single element.
    pub element: String,
    /// What was found.
    pub message: String,
    /// What is allowed there, if that can be stated.
    pub expected: Option<String>,
}

impl ConfigError {
    /// Returns an error that concerns no single element.
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

/// All errors in a file; displayed with one error per line.
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
