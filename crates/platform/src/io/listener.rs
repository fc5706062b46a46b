//! The listener for proxies and collectors, and the task that accepts their connections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

use super::connection::{self, SEND_BUFFER_BYTES};
use super::error::ServeError;
use super::shared::{AcceptedConnection, Shared};
use crate::config::Config;
use crate::connection_admission::AcceptDecision;

/// How long binding is retried, as the previous process may still use the address after a restart.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The size of the listener's queue beyond the number of proxies, which may all connect at the same time.
const BACKLOG_BESIDE_PROXIES: u32 = 1024;
/// The delay after a failed accept, which is most often due to a lack of file descriptors or memory.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens on the configured address, retrying while it is not available.
///
/// # Errors
/// Returns the last error if the address does not become available in time.
pub async fn bind(config: &Config) -> Result<TcpListener, ServeError> {
    let started_at = Instant::now();
    let address = config.listen;
    let proxies = config.settings.fleet.proxies.unwrap_or(0.0) as u32;
    loop {
        match listen(address, proxies.saturating_add(BACKLOG_BESIDE_PROXIES)) {
            Ok(listener) => return Ok(listener),
            Err(_) if started_at.elapsed() < BIND_TIMEOUT => sleep(BIND_RETRY_INTERVAL).await,
            Err(source) => return Err(ServeError::Listen { address, source }),
        }
    }
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES as u32)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Accepts connections until the future is dropped.
pub async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        // This is decided before a connection is accepted, as an accepted connection needs a file descriptor.
        let accept_decision = shared.control_plane.borrow().accept_decision(shared.now());
        match accept_decision {
            AcceptDecision::Accept => accept_next(&listener, &shared).await,
            AcceptDecision::Evict(connection) => {
                let effect = shared.control_plane.borrow_mut().request_final_read(connection);
                shared.carry_out(vec![effect]);
                yield_now().await;
            }
            AcceptDecision::Wait(wait) => sleep(wait).await,
        }
    }
}

async fn accept_next(listener: &TcpListener, shared: &Rc<Shared>) {
    match listener.accept().await {
        Ok((stream, _)) => start_connection(stream, shared.clone()),
        // The connection ended before it was accepted; others may be queued behind it.
        Err(error) if is_aborted_connection(&error) => {}
        Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
    }
}

fn is_aborted_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}

fn start_connection(stream: TcpStream, shared: Rc<Shared>) {
    let AcceptedConnection { connection, handle } = shared.add_connection();
    spawn_local(async move {
        // The connection is closed whether or not the task failed.
        let _ = connection::run(stream, connection, &handle, &shared).await;
        shared.remove_connection(connection);
    });
}
