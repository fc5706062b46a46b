//! Reads the lines of the input and counts them for error messages.

use std::io::BufRead;

use crate::error::{AdapterError, EventError};
use crate::event_reader::EventReader;

/// The input, read line by line.
pub struct BatchInput<R> {
    input: R,
    /// Number of the current line, from 1.
    line_number: usize,
    /// The current line, without its line feed.
    line: String,
}

impl<R: BufRead> BatchInput<R> {
    /// Returns a reader before line 1 of an input.
    pub fn new(input: R) -> Self {
        BatchInput { input, line_number: 0, line: String::new() }
    }

    /// Reads the next line. Returns false at the end of the input, which is allowed only between batches. Blocks until
    /// a line is available.
    ///
    /// # Errors
    /// Returns an error if the input can't be read or ends inside the line.
    pub fn next_line(&mut self) -> Result<bool, AdapterError> {
        self.line.clear();
        self.line_number += 1;
        let line = self.line_number;
        let result = self.input.read_line(&mut self.line);
        if result.map_err(|source| AdapterError::Read { line, source })? == 0 {
            return Ok(false);
        }
        if self.line.pop() != Some('\n') {
            return Err(AdapterError::TruncatedLine(line));
        }
        Ok(true)
    }

    /// Reads the next line of a batch. Blocks until a line is available.
    ///
    /// # Errors
    /// Returns an error if the input can't be read or ends inside the batch.
    pub fn next_line_of_batch(&mut self) -> Result<(), AdapterError> {
        if self.next_line()? { Ok(()) } else { Err(AdapterError::TruncatedBatch(self.line_number)) }
    }

    /// Returns a reader of the fields of the current line.
    pub fn event(&self) -> EventReader<'_> {
        EventReader::new(&self.line)
    }

    /// Adds the number and the tag of the current line to an error.
    pub fn locate(&self, error: impl Into<EventError>) -> AdapterError {
        AdapterError::Event {
            line: self.line_number,
            tag: self.event().tag().to_string(),
            source: error.into(),
        }
    }
}
