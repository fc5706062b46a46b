//! Stands before the HTTP library on a client's connection and lets no head through that two parsers
//! could read differently: two lengths, a length beside chunks, folded headers, bad chunks. The
//! library, as the standards allow, would take one reading and go on.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A head may be so long; the library's own limit is higher.
const HEAD_MOST: usize = 16_384;
const HEADERS_MOST: usize = 100;

/// Where in a connection's bytes the next one stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum At {
    /// In a head; what of it was seen.
    Head(Vec<u8>),
    /// In a body of a known length, with so much left.
    Body(u64),
    /// In the line that tells the size of a chunk.
    Size(Vec<u8>),
    /// In a chunk and the line's end behind it, with so much left.
    Chunk(u64),
    /// In the lines behind the last chunk; what of the line was seen.
    Trailer(Vec<u8>),
}

/// Follows the bytes of a connection.
#[derive(Clone, Debug)]
pub struct Watch {
    at: At,
}

impl Default for Watch {
    fn default() -> Self {
        Watch { at: At::Head(Vec::new()) }
    }
}

impl Watch {
    /// Takes the next bytes.
    ///
    /// # Errors
    /// What must not be passed on.
    pub fn take(&mut self, mut bytes: &[u8]) -> Result<(), &'static str> {
        while !bytes.is_empty() {
            match &mut self.at {
                At::Body(left) | At::Chunk(left) => {
                    let here = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                    *left -= here as u64;
                    bytes = &bytes[here..];
                    if *left == 0 {
                        let chunk = matches!(self.at, At::Chunk(_));
                        self.at = if chunk { At::Size(Vec::new()) } else { At::Head(Vec::new()) };
                    }
                }
                At::Head(_) | At::Size(_) | At::Trailer(_) => bytes = self.line(bytes)?,
            }
        }
        Ok(())
    }

    /// Takes up to the end of a line; what is behind it comes back.
    fn line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], &'static str> {
        let end = bytes.iter().position(|byte| *byte == b'\n').map_or(bytes.len(), |end| end + 1);
        let (here, rest) = bytes.split_at(end);
        let (At::Head(seen) | At::Size(seen) | At::Trailer(seen)) = &mut self.at else { return Ok(rest) };
        seen.extend_from_slice(here);
        if seen.len() > HEAD_MOST {
            return Err("too long");
        }
        if !here.ends_with(b"\n") {
            return Ok(rest);
        }
        match &mut self.at {
            At::Head(seen) if seen == b"\r\n" || seen == b"\n" => seen.clear(),
            At::Head(seen) if seen.ends_with(b"\r\n\r\n") => self.at = head(seen)?,
            At::Head(seen) if seen.ends_with(b"\n\n") => return Err("a bare line feed"),
            At::Size(seen) => {
                let size = chunk_size(seen)?;
                // The line's end behind a chunk goes with it.
                self.at = if size == 0 { At::Trailer(Vec::new()) } else { At::Chunk(size + 2) };
            }
            At::Trailer(seen) if seen == b"\r\n" => self.at = At::Head(Vec::new()),
            At::Trailer(seen) => seen.clear(),
            _ => {}
        }
        Ok(rest)
    }
}

/// What follows a whole head.
fn head(bytes: &[u8]) -> Result<At, &'static str> {
    if bytes.windows(2).any(|two| two[0] == b'\n' && (two[1] == b' ' || two[1] == b'\t')) {
        return Err("folded headers");
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Request::new(&mut headers);
    if !parsed.parse(bytes).is_ok_and(|status| status.is_complete()) {
        return Err("no head of HTTP/1.1");
    }
    let (mut length, mut chunked) = (None, false);
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| "a length that is no number")?;
            if length.is_some() || text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err("two lengths, or one that is no number");
            }
            length = Some(text.parse::<u64>().map_err(|_| "a length that is no number")?);
        }
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if chunked || !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err("an encoding other than chunked, or two");
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err("a length beside chunks"),
        (_, true) => Ok(At::Size(Vec::new())),
        (Some(length), _) if length > 0 => Ok(At::Body(length)),
        _ => Ok(At::Head(Vec::new())),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, &'static str> {
    let line = line.strip_suffix(b"\r\n").ok_or("a bad chunk")?;
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| "a bad chunk")?;
    if text.is_empty() || text.len() > 15 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err("a bad chunk");
    }
    u64::from_str_radix(text, 16).map_err(|_| "a bad chunk")
}

const REFUSAL: &[u8] = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// A client's connection, watched. Once something is refused the client gets 400, and the library
/// reads the end of the connection.
pub struct RequestValidator {
    stream: TcpStream,
    watch: Watch,
    refused: Option<usize>,
}

impl RequestValidator {
    pub fn new(stream: TcpStream) -> Self {
        RequestValidator { stream, watch: Watch::default(), refused: None }
    }

    fn refuse(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(from) = self.refused.filter(|from| *from < REFUSAL.len()) {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &REFUSAL[from..]))?;
            self.refused = Some(from + written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for RequestValidator {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.refused.is_some() {
            return self.refuse(context);
        }
        let before = into.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, into))?;
        let taken = self.watch.take(&into.filled()[before..]);
        if taken.is_err() {
            // Nothing of these bytes is passed on.
            into.set_filled(before);
            self.refused = Some(0);
            return self.refuse(context);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestValidator {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.refused.is_some() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const SOUND: &str = "GET /a HTTP/1.1\r\nhost: x\r\n\r\nPOST /b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc\
        POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n4;x=1\r\nwxyz\r\n0\r\n\r\nGET /d HTTP/1.1\r\n\r\n";

    proptest! {
        /// However the bytes are cut, sound visits pass and the watch stands before the next head.
        #[test]
        fn sound_visits_pass_in_any_pieces(cut in 1..40_usize) {
            let mut watch = Watch::default();
            for piece in SOUND.as_bytes().chunks(cut) {
                prop_assert_eq!(watch.take(piece), Ok(()));
            }
            prop_assert_eq!(&watch.at, &At::Head(Vec::new()));
        }

        #[test]
        fn nothing_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            let _ = Watch::default().take(&bytes);
        }
    }

    #[test]
    fn heads_that_read_two_ways_are_refused() {
        for wrong in [
            "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\n",
            "POST / HTTP/1.1\r\ncontent-length: 3, 4\r\n\r\n",
            "POST / HTTP/1.1\r\ncontent-length: +3\r\n\r\n",
            "POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n",
            "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n",
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n",
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\nabc",
            "GET / HTTP/1.1\r\nx: a\r\n b\r\n\r\n",
            "GET / HTTP/1.1\r\nx: a\n\n",
            "garbage\r\n\r\n",
        ] {
            assert!(Watch::default().take(wrong.as_bytes()).is_err(), "{wrong:?}");
        }
    }
}
