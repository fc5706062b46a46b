//! A client's socket. The HTTP library reads from it and writes to it, while a second handle detects a reset
//! (RST), which shows that the client has disconnected. The end of input (FIN) does not show that: a client
//! that only closed its sending side still waits for the response.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// A client's socket for the HTTP library.
pub struct ClientStream {
    reader: OwnedReadHalf,
    writer: Rc<OwnedWriteHalf>,
}

/// A second handle to a client's socket, for detecting resets and unread input.
pub struct ClientHandle(Rc<OwnedWriteHalf>);

impl ClientStream {
    pub fn new(stream: TcpStream) -> Self {
        let (reader, writer) = stream.into_split();
        ClientStream { reader, writer: Rc::new(writer) }
    }

    /// Returns a handle that can be used while the HTTP library owns this stream.
    pub fn handle(&self) -> ClientHandle {
        ClientHandle(self.writer.clone())
    }

    fn socket(&self) -> &TcpStream {
        (*self.writer).as_ref()
    }
}

impl ClientHandle {
    fn socket(&self) -> &TcpStream {
        (*self.0).as_ref()
    }

    /// Returns true if the client has reset the connection. Unlike [`ClientHandle::wait_for_reset`], this asks the
    /// system, which knows of a reset before an event has reported it. It reports it only once.
    pub fn take_reset(&self) -> bool {
        !matches!(self.socket().take_error(), Ok(None))
    }

    /// Waits until the client resets the connection. Does not return for a client that only closed its
    /// sending side.
    pub async fn wait_for_reset(&self) {
        // A socket whose readiness can't be polled any more is treated as reset.
        let _ = self.socket().ready(Interest::ERROR).await;
    }

    /// Returns true if bytes were received that the HTTP library has not read yet.
    pub fn has_unread(&self) -> bool {
        SockRef::from(self.socket()).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.reader).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket().poll_write_ready(context))?;
            match self.socket().try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.socket()).shutdown(Shutdown::Write))
    }
}
