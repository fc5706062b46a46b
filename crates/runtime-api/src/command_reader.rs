//! The server's end: bytes, as they come off a socket in pieces of any size, to lines of commands.

use bytes::BytesMut;
use thiserror::Error;

use crate::line_buffer::LineBuffer;
use crate::tokenizer::{Command, parse_line};

/// Longest line, and longest payload; HAProxy's `tune.bufsize`.
pub const MAX_LINE_BYTES: usize = 16_384;

/// A line or payload is longer than [`MAX_LINE_BYTES`]: the connection can't be followed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("Line too long; allowed: {MAX_LINE_BYTES} bytes")]
pub struct LineTooLong;

/// Collects bytes and gives out whole lines of commands.
#[derive(Default)]
pub struct CommandReader {
    lines: LineBuffer,
    /// The line whose payload is being read.
    incomplete: Option<PayloadLine>,
}

/// A line of commands whose payload is still to come.
struct PayloadLine {
    commands: Vec<Command>,
    payload: String,
    /// The line that ends the payload.
    terminator: String,
}

impl PayloadLine {
    /// Adds a line of the payload.
    fn push(&mut self, line: &str) -> Result<(), LineTooLong> {
        if self.payload.len() + line.len() >= MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        self.payload.push_str(line);
        self.payload.push('\n');
        Ok(())
    }

    /// The commands, of which the last gets the payload.
    fn finish(mut self) -> Vec<Command> {
        if let Some(last) = self.commands.last_mut() {
            last.payload = Some(self.payload);
        }
        self.commands
    }
}

impl CommandReader {
    /// Where to read into, with room for one read off a socket.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.lines.buffer()
    }

    /// Adds bytes that were read elsewhere.
    pub fn push(&mut self, bytes: &[u8]) {
        self.lines.buffer().extend_from_slice(bytes);
    }

    /// The commands of the next whole line with its payload; `None` until there is one.
    ///
    /// # Errors
    /// [`LineTooLong`]; the reader can't be used any further.
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
                    self.incomplete = Some(PayloadLine { commands, payload: String::new(), terminator });
                }
            }
        }
        Ok(None)
    }

    fn next_raw_line(&mut self) -> Result<Option<String>, LineTooLong> {
        let len = self.lines.next_line_len().unwrap_or(self.lines.pending().len());
        if len > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        let text = |line: &[u8]| String::from_utf8_lossy(line).trim_end_matches('\r').to_string();
        Ok(self.lines.next_line(text))
    }
}

/// Removes a last word `<<` or `<<END`, which announces a payload up to an empty line, or up to the line `END`;
/// the line that ends the payload.
fn take_payload_marker(commands: &mut [Command]) -> Option<String> {
    let last = commands.last_mut()?;
    let terminator = last.words.last()?.strip_prefix("<<")?.to_string();
    last.words.pop();
    Some(terminator)
}
