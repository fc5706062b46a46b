//! Validates the framing of requests on a client's connection before the HTTP library reads them.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use lockcroft_runtime_api::ByteReservation;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::client_stream::ClientStream;
use crate::framing_validator::FramingValidator;

const BAD_REQUEST_RESPONSE: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The part of a head that does not count towards the limit on the sum for all connections, in bytes.
const UNCOUNTED_HEAD_BYTES: usize = 1 << 11;
/// The number of bytes that a byte of an incomplete head occupies, here and in the HTTP library.
const COPIES_OF_HEAD: usize = 3;

/// A client's connection that passes no request with ambiguous framing on to the HTTP library, and none with a
/// long head while the budget for incomplete heads has no bytes left. The client gets status 400 instead, and the HTTP library reads the end of input.
pub struct RequestValidator {
    stream: ClientStream,
    framing: FramingValidator,
    /// The bytes of an incomplete head that count towards the limit on the sum for all connections.
    head_reservation: ByteReservation,
    /// The number of bytes of the 400 response that were written; `None` until a request is rejected.
    bad_request_written: Option<usize>,
    /// True if the last request was read completely and no byte of the next one.
    between_requests: Rc<Cell<bool>>,
}

impl RequestValidator {
    /// Returns a validator that sets `between_requests` after each read.
    pub fn new(
        stream: ClientStream,
        between_requests: Rc<Cell<bool>>,
        head_reservation: ByteReservation,
    ) -> Self {
        RequestValidator {
            stream,
            framing: FramingValidator::default(),
            head_reservation,
            bad_request_written: None,
            between_requests,
        }
    }

    /// Validates received bytes. Returns true if they may be passed on to the HTTP library.
    fn accept(&mut self, bytes: &[u8]) -> bool {
        if self.framing.read(bytes).is_err() {
            return false;
        }
        let counted_bytes = self.framing.incomplete_line_bytes().saturating_sub(UNCOUNTED_HEAD_BYTES);
        self.head_reservation.try_resize(counted_bytes * COPIES_OF_HEAD).is_ok()
    }

    fn poll_write_bad_request(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(offset) =
            self.bad_request_written.filter(|offset| *offset < BAD_REQUEST_RESPONSE.len())
        {
            let written =
                ready!(Pin::new(&mut self.stream).poll_write(context, &BAD_REQUEST_RESPONSE[offset..]))?;
            self.bad_request_written = Some(offset + written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for RequestValidator {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bad_request_written.is_some() {
            return self.poll_write_bad_request(context);
        }
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if !self.accept(&buffer.filled()[filled_before..]) {
            // Hides the bytes from the HTTP library, so that it does not forward them.
            buffer.set_filled(filled_before);
            self.bad_request_written = Some(0);
            self.between_requests.set(true);
            return self.poll_write_bad_request(context);
        }
        self.between_requests.set(self.framing.is_between_requests());
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestValidator {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.bad_request_written.is_some() {
            // Discards responses of the HTTP library: the 400 response is the last one on this connection.
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
