//! A client's socket. The HTTP library reads and writes it, and a second handle learns of a reset, which tells
//! that the client has gone: the end of input alone may come from one that only closed its sending side.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A handle on a client's socket, which closes with the last one.
#[derive(Clone)]
pub struct ClientStream(Rc<TcpStream>);

impl ClientStream {
    pub fn new(stream: TcpStream) -> Self {
        ClientStream(Rc::new(stream))
    }

    /// Waits until the client resets the connection.
    pub async fn reset(&self) {
        // A socket that can't be waited for any more is as good as reset.
        let _ = self.0.ready(Interest::ERROR).await;
    }

    /// Whether bytes have come that were not read yet.
    pub fn has_unread(&self) -> bool {
        SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
