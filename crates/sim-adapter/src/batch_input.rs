//! The lines of the input, numbered for errors.

use std::io::BufRead;

use crate::error::{AdapterError, EventError};
use crate::event_reader::EventReader;

/// Reads the input line by line.
pub struct BatchInput<R> {
    input: R,
    line_number: usize,
    line: String,
}

impl<R: BufRead> BatchInput<R> {
    /// Reads from here, beginning with line 1.
    pub fn new(input: R) -> Self {
        BatchInput { input, line_number: 0, line: String::new() }
    }

    /// Goes to the next line; false at the end of the input, which may come between batches only.
    ///
    /// # Errors
    /// The input can't be read, or ends inside the line.
    pub fn next_line(&mut self) -> Result<bool, AdapterError> {
        self.line.clear();
        self.line_number += 1;
        let line = self.line_number;
        let read = self.input.read_line(&mut self.line);
        if read.map_err(|source| AdapterError::Read { line, source })? == 0 {
            return Ok(false);
        }
        if self.line.pop() != Some('\n') {
            return Err(AdapterError::CutInsideLine(line));
        }
        Ok(true)
    }

    /// Goes to the next line of a batch.
    ///
    /// # Errors
    /// The input can't be read, or ends inside the batch.
    pub fn next_line_of_batch(&mut self) -> Result<(), AdapterError> {
        if self.next_line()? { Ok(()) } else { Err(AdapterError::CutInsideBatch(self.line_number)) }
    }

    /// Reads the fields of the current line.
    pub fn event(&self) -> EventReader<'_> {
        EventReader::new(&self.line)
    }

    /// Says which line an error is about.
    pub fn locate(&self, error: impl Into<EventError>) -> AdapterError {
        AdapterError::Event {
            line: self.line_number,
            tag: self.event().tag().to_string(),
            source: error.into(),
        }
    }
}
