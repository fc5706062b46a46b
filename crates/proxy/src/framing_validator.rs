//! Validates the framing of requests on a client connection, to prevent request smuggling. If a request can be
//! read in several ways (two lengths, a length with chunked encoding, folded headers, malformed chunks), the HTTP
//! library picks one of them and continues, while the next hop may pick another. Such requests are rejected here.

use thiserror::Error;

/// The maximum length of a head, chunk size line or trailer line. The HTTP library's own limit is higher.
const MAX_HEAD_BYTES: usize = 16_384;
const MAX_HEADERS: usize = 100;

/// The maximum number of hexadecimal digits in a chunk size. It keeps the size within 60 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// The length of the line end after the data of a chunk.
const CHUNK_END_BYTES: u64 = 2;

/// The reason for which a request must not be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// A head, chunk size line or trailer line is longer than allowed.
    #[error("request head, chunk size line or trailer line is too long")]
    TooLong,
    /// A head ends with line feeds that have no carriage return.
    #[error("request head ends with a bare line feed")]
    BareLineFeed,
    /// A header continues on the next line.
    #[error("header is folded over several lines")]
    FoldedHeaders,
    /// The head is malformed, is not one of HTTP/1.x or has too many headers.
    #[error("malformed request head")]
    InvalidHead,
    /// `Content-Length` is not valid UTF-8 or does not fit into 64 bits.
    #[error("Content-Length is not a 64-bit number")]
    InvalidLength,
    /// `Content-Length` is repeated, is empty or has characters other than digits.
    #[error("Content-Length is repeated or has characters other than digits")]
    AmbiguousLength,
    /// `Transfer-Encoding` is repeated or is not `chunked`.
    #[error("Transfer-Encoding is repeated or is not chunked")]
    UnsupportedEncoding,
    /// A head has both `Content-Length` and `Transfer-Encoding`.
    #[error("Content-Length together with Transfer-Encoding")]
    ContentLengthWithTransferEncoding,
    /// The line with the size of a chunk is malformed.
    #[error("malformed chunk size line")]
    InvalidChunk,
}

/// The part of a request to which the next byte belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FramingState {
    /// A head; the bytes of it that were read.
    Head(Vec<u8>),
    /// A body of known length; the number of bytes that are still missing.
    Body(u64),
    /// The line with the size of a chunk; the bytes of it that were read.
    ChunkSize(Vec<u8>),
    /// A chunk and the line end after it; the number of bytes that are still missing.
    Chunk(u64),
    /// The trailer lines after the last chunk; the bytes of the current line that were read.
    Trailer(Vec<u8>),
}

impl FramingState {
    const NEW_HEAD: Self = FramingState::Head(Vec::new());
    const NEW_CHUNK: Self = FramingState::ChunkSize(Vec::new());
    const NEW_TRAILER: Self = FramingState::Trailer(Vec::new());
}

/// Validates the byte stream of a client connection, request by request. The default expects the first head.
#[derive(Clone, Debug)]
pub struct FramingValidator {
    state: FramingState,
}

impl Default for FramingValidator {
    fn default() -> Self {
        FramingValidator { state: FramingState::NEW_HEAD }
    }
}

impl FramingValidator {
    /// Validates the next bytes of the stream, which may end anywhere within a request.
    ///
    /// # Errors
    /// Neither these bytes nor any later ones may be forwarded.
    pub fn read(&mut self, mut bytes: &[u8]) -> Result<(), FramingError> {
        while !bytes.is_empty() {
            bytes = match &self.state {
                FramingState::Body(_) | FramingState::Chunk(_) => self.read_data(bytes),
                FramingState::Head(_) | FramingState::ChunkSize(_) | FramingState::Trailer(_) => {
                    self.read_line(bytes)?
                }
            };
        }
        Ok(())
    }

    /// Returns true if the last request is complete and no byte of the next one was read, except for empty lines.
    #[must_use]
    pub fn is_between_requests(&self) -> bool {
        self.state == FramingState::NEW_HEAD
    }

    /// Returns the number of bytes of an incomplete head or line that are kept.
    #[must_use]
    pub fn incomplete_line_bytes(&self) -> usize {
        match &self.state {
            FramingState::Head(seen) | FramingState::ChunkSize(seen) | FramingState::Trailer(seen) => {
                seen.len()
            }
            FramingState::Body(_) | FramingState::Chunk(_) => 0,
        }
    }

    /// Skips data of a body or chunk and returns the bytes after it.
    fn read_data<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let (FramingState::Body(remaining) | FramingState::Chunk(remaining)) = &mut self.state else {
            return bytes;
        };
        let count = usize::try_from(*remaining).unwrap_or(usize::MAX).min(bytes.len());
        *remaining -= count as u64;
        if *remaining == 0 {
            let in_chunk = matches!(self.state, FramingState::Chunk(_));
            self.state = if in_chunk { FramingState::NEW_CHUNK } else { FramingState::NEW_HEAD };
        }
        &bytes[count..]
    }

    /// Reads up to the end of a line and returns the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], FramingError> {
        let end = bytes.iter().position(|byte| *byte == b'\n').map_or(bytes.len(), |end| end + 1);
        let (line, rest) = bytes.split_at(end);
        let (FramingState::Head(seen) | FramingState::ChunkSize(seen) | FramingState::Trailer(seen)) =
            &mut self.state
        else {
            return Ok(rest);
        };
        seen.extend_from_slice(line);
        if seen.len() > MAX_HEAD_BYTES {
            return Err(FramingError::TooLong);
        }
        if line.ends_with(b"\n") {
            self.end_line()?;
        }
        Ok(rest)
    }

    /// Enters the next state after a complete line.
    fn end_line(&mut self) -> Result<(), FramingError> {
        match &mut self.state {
            // Empty lines before a head are skipped, as RFC 9112 (section 2.2) recommends.
            FramingState::Head(seen) if seen == b"\r\n" || seen == b"\n" => seen.clear(),
            FramingState::Head(seen) if seen.ends_with(b"\r\n\r\n") => self.state = state_after_head(seen)?,
            FramingState::Head(seen) if seen.ends_with(b"\n\n") => return Err(FramingError::BareLineFeed),
            FramingState::ChunkSize(seen) => {
                self.state = match parse_chunk_size(seen)? {
                    0 => FramingState::NEW_TRAILER,
                    size => FramingState::Chunk(size + CHUNK_END_BYTES),
                };
            }
            FramingState::Trailer(seen) if seen == b"\r\n" => self.state = FramingState::NEW_HEAD,
            FramingState::Trailer(seen) => seen.clear(),
            _ => {}
        }
        Ok(())
    }
}

/// Validates a complete head and returns the state after it.
fn state_after_head(head: &[u8]) -> Result<FramingState, FramingError> {
    if head.windows(2).any(|two| two[0] == b'\n' && (two[1] == b' ' || two[1] == b'\t')) {
        return Err(FramingError::FoldedHeaders);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    if !parsed.parse(head).is_ok_and(|status| status.is_complete()) {
        return Err(FramingError::InvalidHead);
    }
    let mut length = None;
    let mut chunked = false;
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Some(parse_length(header.value, length.is_some())?);
        }
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(FramingError::UnsupportedEncoding);
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(FramingError::ContentLengthWithTransferEncoding),
        (None, true) => Ok(FramingState::NEW_CHUNK),
        (Some(length), false) if length > 0 => Ok(FramingState::Body(length)),
        _ => Ok(FramingState::NEW_HEAD),
    }
}

fn parse_length(value: &[u8], is_repeated: bool) -> Result<u64, FramingError> {
    let text = std::str::from_utf8(value).map_err(|_| FramingError::InvalidLength)?;
    if is_repeated || text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(FramingError::AmbiguousLength);
    }
    text.parse().map_err(|_| FramingError::InvalidLength)
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, FramingError> {
    let line = line.strip_suffix(b"\r\n").ok_or(FramingError::InvalidChunk)?;
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| FramingError::InvalidChunk)?;
    let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.is_empty() || text.len() > MAX_CHUNK_SIZE_DIGITS || !is_hexadecimal {
        return Err(FramingError::InvalidChunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| FramingError::InvalidChunk)
}
