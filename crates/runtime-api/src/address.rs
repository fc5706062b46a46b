//! Addresses of Unix and TCP stream sockets, and connecting to and listening on them.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};

/// The address of a listening socket.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Address {
    /// The path of a Unix socket, written as `unix:PATH`, or as the path alone if it is absolute.
    Unix(PathBuf),
    /// An IP address and port, written as `IP:PORT`.
    Tcp(SocketAddr),
}

/// The error for a text that is not an [`Address`]. It holds the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is neither unix:PATH nor IP:PORT")]
pub struct InvalidAddress(pub String);

impl FromStr for Address {
    type Err = InvalidAddress;

    fn from_str(text: &str) -> Result<Self, InvalidAddress> {
        if text.starts_with('/') {
            return Ok(Address::Unix(text.into()));
        }
        if let Some(path) = text.strip_prefix("unix:") {
            return Ok(Address::Unix(path.into()));
        }
        text.parse().map(Address::Tcp).map_err(|_| InvalidAddress(text.to_string()))
    }
}

impl fmt::Display for Address {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Address::Unix(path) => write!(out, "unix:{}", path.display()),
            Address::Tcp(address) => write!(out, "{address}"),
        }
    }
}

/// A Unix or TCP stream.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

/// Connects to an address. TCP streams have Nagle's algorithm disabled. There is no timeout.
///
/// # Errors
/// The operating system could not establish the connection.
pub async fn connect(address: &Address) -> io::Result<Box<dyn Stream>> {
    Ok(match address {
        Address::Unix(path) => Box::new(UnixStream::connect(path).await?),
        Address::Tcp(address) => {
            let stream = TcpStream::connect(address).await?;
            // Nagle's algorithm would delay the small commands until earlier ones are acknowledged.
            stream.set_nodelay(true)?;
            Box::new(stream)
        }
    })
}

/// A listening Unix or TCP socket.
pub enum Listener {
    /// A Unix socket.
    Unix(UnixListener),
    /// A TCP socket.
    Tcp(TcpListener),
}

impl Listener {
    /// Listens on an address. A file at the path of a Unix socket is removed unless a process listens on it.
    ///
    /// # Errors
    /// The socket could not be bound. [`io::ErrorKind::AddrInUse`] if a process listens on the path.
    pub async fn bind(address: &Address) -> io::Result<Self> {
        Ok(match address {
            Address::Unix(path) => {
                if path.exists() {
                    if UnixStream::connect(path).await.is_ok() {
                        return Err(io::Error::from(io::ErrorKind::AddrInUse));
                    }
                    std::fs::remove_file(path)?;
                }
                Listener::Unix(UnixListener::bind(path)?)
            }
            Address::Tcp(address) => Listener::Tcp(TcpListener::bind(address).await?),
        })
    }

    /// Waits for the next connection and returns its stream.
    ///
    /// # Errors
    /// The connection could not be accepted, or an option of its socket could not be set.
    pub async fn accept(&self) -> io::Result<Box<dyn Stream>> {
        Ok(match self {
            Listener::Unix(listener) => Box::new(listener.accept().await?.0),
            Listener::Tcp(listener) => {
                let stream = listener.accept().await?.0;
                stream.set_nodelay(true)?;
                Box::new(stream)
            }
        })
    }
}
