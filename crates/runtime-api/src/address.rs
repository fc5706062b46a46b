//! Stream sockets by address, of the Unix or the TCP family.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};

/// Where a socket listens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Address {
    /// A path of the file system; `unix:PATH`, or the path alone if it is absolute.
    Unix(PathBuf),
    /// IP address and port; `IP:PORT`.
    Tcp(SocketAddr),
}

/// Text that is no [`Address`].
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

/// A stream of either family.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> Stream for T {}

/// Connects to an address.
///
/// # Errors
/// The connection can't be made.
pub async fn connect(address: &Address) -> io::Result<Box<dyn Stream>> {
    Ok(match address {
        Address::Unix(path) => Box::new(UnixStream::connect(path).await?),
        Address::Tcp(address) => {
            let stream = TcpStream::connect(address).await?;
            // Commands are small and wait for their answers: Nagle's algorithm would delay them.
            stream.set_nodelay(true)?;
            Box::new(stream)
        }
    })
}

/// A listening socket of either family.
pub enum Listener {
    /// On a path.
    Unix(UnixListener),
    /// On an IP address.
    Tcp(TcpListener),
}

impl Listener {
    /// Listens on an address. A socket file on which nobody listens any more is replaced.
    ///
    /// # Errors
    /// The socket can't be bound; a path on which someone still listens is in use.
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

    /// Waits for the next connection.
    ///
    /// # Errors
    /// The connection can't be accepted.
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
