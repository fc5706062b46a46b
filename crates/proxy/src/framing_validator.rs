//! Checks the framing of the requests on a client's connection, against request smuggling. Where the standards
//! allow several readings of a head (two lengths, a length beside chunks, folded headers, bad chunks), the
//! HTTP library takes one and goes on; the next hop may take another. Such heads are refused here.

use thiserror::Error;

/// Longest head, chunk size line or trailer line. The HTTP library's own limit is higher.
const MAX_HEAD_BYTES: usize = 16_384;
const MAX_HEADERS: usize = 100;

/// More hexadecimal digits than this don't fit the size of a chunk.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// The line end behind a chunk's data.
const CHUNK_END_BYTES: u64 = 2;

/// Why a request must not be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FramingError {
    /// A head or line is longer than allowed.
    #[error("too long")]
    TooLong,
    /// A head ends with line feeds that have no carriage return.
    #[error("a bare line feed")]
    BareLineFeed,
    /// A header continues on the next line.
    #[error("folded headers")]
    FoldedHeaders,
    /// The head is not one of HTTP/1.1.
    #[error("no head of HTTP/1.1")]
    InvalidHead,
    /// `Content-Length` is not text or too great a number.
    #[error("a length that is no number")]
    InvalidLength,
    /// `Content-Length` comes twice or has other signs than digits.
    #[error("two lengths, or one that is no number")]
    AmbiguousLength,
    /// `Transfer-Encoding` comes twice or is not `chunked`.
    #[error("an encoding other than chunked, or two")]
    UnsupportedEncoding,
    /// `Content-Length` stands beside `Transfer-Encoding`.
    #[error("a length beside chunks")]
    ContentLengthWithTransferEncoding,
    /// The line with the size of a chunk is malformed.
    #[error("a bad chunk")]
    InvalidChunk,
}

/// Which part of a request the next byte belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FramingState {
    /// A head; holds what of it was read.
    Head(Vec<u8>),
    /// A body of known length; holds the bytes that are still to come.
    Body(u64),
    /// The line with the size of a chunk; holds what of it was read.
    ChunkSize(Vec<u8>),
    /// A chunk and the line end behind it; holds the bytes that are still to come.
    Chunk(u64),
    /// The lines behind the last chunk; holds what of the line was read.
    Trailer(Vec<u8>),
}

impl FramingState {
    const NEW_HEAD: Self = FramingState::Head(Vec::new());
    const NEW_CHUNK: Self = FramingState::ChunkSize(Vec::new());
    const NEW_TRAILER: Self = FramingState::Trailer(Vec::new());
}

/// Follows the bytes of a client's connection from request to request.
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
    /// Reads the next bytes, which may end anywhere.
    ///
    /// # Errors
    /// The bytes must not be forwarded, nor any that follow.
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

    /// Whether the last request is complete and nothing of the next was read.
    #[must_use]
    pub fn is_between_requests(&self) -> bool {
        self.state == FramingState::NEW_HEAD
    }

    /// Skips data of a body or chunk; the bytes behind it come back.
    fn read_data<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let (FramingState::Body(left) | FramingState::Chunk(left)) = &mut self.state else { return bytes };
        let here = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
        *left -= here as u64;
        if *left == 0 {
            let in_chunk = matches!(self.state, FramingState::Chunk(_));
            self.state = if in_chunk { FramingState::NEW_CHUNK } else { FramingState::NEW_HEAD };
        }
        &bytes[here..]
    }

    /// Reads up to the end of a line; the bytes behind it come back.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], FramingError> {
        let end = bytes.iter().position(|byte| *byte == b'\n').map_or(bytes.len(), |end| end + 1);
        let (here, rest) = bytes.split_at(end);
        let (FramingState::Head(seen) | FramingState::ChunkSize(seen) | FramingState::Trailer(seen)) =
            &mut self.state
        else {
            return Ok(rest);
        };
        seen.extend_from_slice(here);
        if seen.len() > MAX_HEAD_BYTES {
            return Err(FramingError::TooLong);
        }
        if here.ends_with(b"\n") {
            self.end_line()?;
        }
        Ok(rest)
    }

    /// Goes on to what follows a whole line.
    fn end_line(&mut self) -> Result<(), FramingError> {
        match &mut self.state {
            // Empty lines before a head are skipped, as the standard says.
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

/// What follows a whole head.
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
