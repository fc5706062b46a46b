//! The address where proxies and collectors connect, and the task that accepts their connections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

use super::connection;
use super::error::ServeError;
use super::shared::{AcceptedConnection, Shared};
use crate::config::Config;
use crate::connection_admission::AcceptDecision;

/// How long the address may still be held by the process of before a restart.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// All proxies of a fleet may connect at once, and this many others with them: the listener's queue takes them.
const BACKLOG_BESIDE_PROXIES: u32 = 1024;
/// How long to wait after a connection that could not be accepted for want of a descriptor or memory.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Listens on the configured address, as soon as it is free.
///
/// # Errors
/// The address can't be had in time.
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
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Accepts connections for as long as the controller runs.
pub async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        // Asked before a connection is accepted, as one that is accepted holds a descriptor.
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
        // It ended before it was accepted: there may be others behind it.
        Err(error) if is_gone(&error) => {}
        Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
    }
}

fn is_gone(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}

fn start_connection(stream: TcpStream, shared: Rc<Shared>) {
    let AcceptedConnection { connection, handle } = shared.add_connection();
    spawn_local(async move {
        // Whatever ended it, nothing more is to be heard.
        let _ = connection::run(stream, connection, &handle, &shared).await;
        shared.remove_connection(connection);
    });
}
