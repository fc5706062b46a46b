//! A client's connection, validated before the HTTP library reads it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::client_stream::ClientStream;
use crate::framing_validator::FramingValidator;

const BAD_REQUEST: &[u8] = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Lets no request through whose framing is ambiguous. The client then gets status 400, and the HTTP library
/// reads the end of the connection.
pub struct RequestValidator {
    stream: ClientStream,
    framing: FramingValidator,
    /// Once a request was refused: how much of the response is written.
    refusal_written: Option<usize>,
    /// Whether the last request is read as a whole, and nothing of the next.
    between_requests: Rc<Cell<bool>>,
}

impl RequestValidator {
    pub fn new(stream: ClientStream, between_requests: Rc<Cell<bool>>) -> Self {
        RequestValidator {
            stream,
            framing: FramingValidator::default(),
            refusal_written: None,
            between_requests,
        }
    }

    fn poll_write_refusal(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(from) = self.refusal_written.filter(|from| *from < BAD_REQUEST.len()) {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &BAD_REQUEST[from..]))?;
            self.refusal_written = Some(from + written);
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
        if self.refusal_written.is_some() {
            return self.poll_write_refusal(context);
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.framing.read(&buffer.filled()[before..]).is_err() {
            // None of these bytes may reach the HTTP library.
            buffer.set_filled(before);
            self.refusal_written = Some(0);
            self.between_requests.set(true);
            return self.poll_write_refusal(context);
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
        if self.refusal_written.is_some() {
            // The connection has its last response already.
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
