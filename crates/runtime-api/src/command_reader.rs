//! Bytes as they come off a socket, in pieces of any size, to lines of commands.

use bytes::BytesMut;

use crate::line_buffer::LineBuffer;
use crate::tokenizer::{Command, split};

/// A line, and a payload, may be so long; the guide's `tune.bufsize`.
pub const MAX_LINE_BYTES: usize = 16_384;

/// A line that has no end within [`MAX_LINE_BYTES`] bytes: the stream can't be followed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineTooLong;

/// Collects bytes, gives out whole lines.
#[derive(Default)]
pub struct CommandReader {
    lines: LineBuffer,
    /// A line whose payload is still coming, and the line that ends it.
    open: Option<(Vec<Command>, String, String)>,
}

impl CommandReader {
    /// Where to read into, with room for what a socket has at a time.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.lines.buffer()
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.lines.buffer().extend_from_slice(bytes);
    }

    /// The commands of the next whole line with its payload; `None` until there is one.
    ///
    /// # Errors
    /// [`LineTooLong`], for good.
    pub fn next_line(&mut self) -> Result<Option<Vec<Command>>, LineTooLong> {
        while let Some(line) = self.raw_line()? {
            let Some((mut commands, mut payload, end)) = self.open.take() else {
                let mut commands = split(&line);
                match opens_payload(&mut commands) {
                    Some(end) => self.open = Some((commands, String::new(), end)),
                    None => return Ok(Some(commands)),
                }
                continue;
            };
            if line == end {
                if let Some(last) = commands.last_mut() {
                    last.payload = Some(payload);
                }
                return Ok(Some(commands));
            }
            if payload.len() + line.len() >= MAX_LINE_BYTES {
                return Err(LineTooLong);
            }
            payload.push_str(&line);
            payload.push('\n');
            self.open = Some((commands, payload, end));
        }
        Ok(None)
    }

    fn raw_line(&mut self) -> Result<Option<String>, LineTooLong> {
        let long = self.lines.next_len().unwrap_or(self.lines.waiting().len());
        if long > MAX_LINE_BYTES {
            return Err(LineTooLong);
        }
        let text = |line: &[u8]| String::from_utf8_lossy(line).trim_end_matches('\r').to_string();
        Ok(self.lines.next_line(text))
    }
}

/// A last word `<<` asks for a payload up to an empty line, `<<END` for one up to the line `END`.
fn opens_payload(commands: &mut [Command]) -> Option<String> {
    let last = commands.last_mut()?;
    let end = last.words.last()?.strip_prefix("<<")?.to_string();
    last.words.pop();
    Some(end)
}
