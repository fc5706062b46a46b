//! Sockets by address, of either family.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};

/// Where a socket listens: a path, or an address of IP.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Address {
    Unix(PathBuf),
    Tcp(SocketAddr),
}

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text.starts_with('/') {
            return Ok(Address::Unix(text.into()));
        }
        if let Some(path) = text.strip_prefix("unix:") {
            return Ok(Address::Unix(path.into()));
        }
        let wrong = |_| format!("{text:?} is neither unix:PATH nor IP:PORT");
        text.parse().map(Address::Tcp).map_err(wrong)
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

/// # Errors
/// As the socket says.
pub async fn dial(address: &Address) -> io::Result<Box<dyn Stream>> {
    Ok(match address {
        Address::Unix(path) => Box::new(UnixStream::connect(path).await?),
        Address::Tcp(address) => {
            let stream = TcpStream::connect(address).await?;
            // Orders are small and wait for their answers: they must not wait for more to go along.
            stream.set_nodelay(true)?;
            Box::new(stream)
        }
    })
}

/// A listening socket of either family.
pub enum Listener {
    Unix(UnixListener),
    Tcp(TcpListener),
}

impl Listener {
    /// Takes the place of a socket file that nobody listens on any more.
    ///
    /// # Errors
    /// As the socket says; a path on which someone still listens is in use.
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

    /// # Errors
    /// As the socket says.
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
