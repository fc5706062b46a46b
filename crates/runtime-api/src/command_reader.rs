//! The server side of the codec: decodes lines of commands from bytes that arrive in chunks of any size.

use bytes::BytesMut;
use thiserror::Error;

use crate::line_buffer::LineBuffer;
use crate::tokenizer::{Command, parse_line};

/// The maximum length of a line, and of a payload, in bytes; the default of HAProxy's `tune.bufsize`.
pub const MAX_LINE_BYTES: usize = 16_384;

/// The error for a line or payload that is longer than [`MAX_LINE_BYTES`]. The rest of the connection can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("Line too long; allowed: {MAX_LINE_BYTES} bytes")]
pub struct LineTooLong;

/// Buffers received bytes and returns complete lines of commands.
#[derive(Default)]
pub struct CommandReader {
    lines: LineBuffer,
    /// The line of which the payload is incomplete.
    incomplete: Option<PayloadLine>,
}

/// A line of commands and the part of its payload that was received. The line is kept as text, which is shorter than
/// its commands.
struct PayloadLine {
    line: String,
    payload: String,
    /// The line that terminates the payload.
    terminator: String,
}

impl PayloadLine {
    /// Appends a line to the payload.
    fn push(&mut self, line: &str) -> Result<(), LineTooLong> {
        if self.payload.len() + line.len() >= MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        self.payload.push_str(line);
        self.payload.push('\n');
        Ok(())
    }

    /// Returns the commands, the last one with the payload.
    fn finish(self) -> Vec<Command> {
        let mut commands = parse_line(&self.line);
        take_payload_marker(&mut commands);
        if let Some(last) = commands.last_mut() {
            last.payload = Some(self.payload);
        }
        commands
    }
}

impl CommandReader {
    /// Returns the buffer to read into. It has spare capacity for one read from a socket.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.lines.buffer()
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.lines.buffer().extend_from_slice(bytes);
    }

    /// Removes the next complete line, with its payload, and returns its commands. Returns `None` if more bytes are
    /// needed.
    ///
    /// # Errors
    /// The line or its payload is too long. The reader must not be used afterwards.
    pub fn next_line(&mut self) -> Result<Option<Vec<Command>>, LineTooLong> {
        while let Some(line) = self.next_raw_line()? {
            match self.incomplete.take() {
                Some(incomplete) if line == incomplete.terminator => return Ok(Some(incomplete.finish())),
                Some(mut incomplete) => {
                    incomplete.push(&line)?;
                    self.incomplete = Some(incomplete);
                }
                None => {
                    let mut commands = parse_line(&line);
                    let Some(terminator) = take_payload_marker(&mut commands) else {
                        return Ok(Some(commands));
                    };
                    self.incomplete = Some(PayloadLine { line, payload: String::new(), terminator });
                }
            }
        }
        Ok(None)
    }

    fn next_raw_line(&mut self) -> Result<Option<String>, LineTooLong> {
        let line_len = self.lines.next_line_len().unwrap_or(self.lines.pending().len());
        if line_len > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        let decode = |line: &[u8]| String::from_utf8_lossy(line).trim_end_matches('\r').to_string();
        Ok(self.lines.next_line(decode))
    }
}

/// Removes the last word if it announces a payload, and returns the line that terminates the payload: an empty line for
/// `<<`, the line `END` for `<<END`.
fn take_payload_marker(commands: &mut [Command]) -> Option<String> {
    let last = commands.last_mut()?;
    let terminator = last.words.last()?.strip_prefix("<<")?.to_string();
    last.words.pop();
    Some(terminator)
}
