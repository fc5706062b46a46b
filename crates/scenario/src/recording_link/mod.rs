//! A link in front of a proxy's control socket: controllers connect to it, it connects to the proxy, and it records
//! the traffic in both directions. It can also stall within a message, or close the stream between an update and its
//! answer.

mod connection;
mod link_state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use lockcroft_runtime_api::{Address, connect};
use lockcroft_testbed::{TrafficEvent, TrafficRecorder};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::owned_task::OwnedTask;

use self::connection::Connection;
use self::link_state::LinkState;
pub use self::link_state::StreamFault;

/// A link to a proxy. Dropping it closes the link and its streams.
pub struct RecordingLink {
    /// The address to which controllers connect.
    pub address: SocketAddr,
    state: Arc<LinkState>,
    _accept_task: OwnedTask,
}

impl RecordingLink {
    /// Opens a link to the proxy's control socket.
    ///
    /// # Errors
    /// The link's own socket can't be bound.
    pub async fn open(proxy: &str, proxy_address: Address, recorder: TrafficRecorder) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(LinkState::new(proxy, proxy_address, recorder));
        let accept_task = OwnedTask::spawn(accept_loop(state.clone(), listener));
        Ok(RecordingLink { address, state, _accept_task: accept_task })
    }

    /// Injects a fault at the next message that triggers it.
    pub fn set_next_fault(&self, fault: StreamFault) {
        self.state.set_next_fault(fault);
    }
}

async fn accept_loop(link: Arc<LinkState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((controller, _)) = listener.accept().await {
        connections.spawn(serve_connection(link.clone(), controller));
        while connections.try_join_next().is_some() {}
    }
    // The listener failed: open streams continue, new ones are not accepted.
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(link: Arc<LinkState>, controller: TcpStream) {
    let _ = controller.set_nodelay(true);
    let Ok(proxy) = connect(&link.proxy_address).await else { return };
    link.recorder.record(TrafficEvent::ControlStream { proxy: link.proxy.clone(), open: true });
    // Both sides are closed when forwarding ends, whatever the result.
    let _ = Connection::new(&link).forward(controller, proxy).await;
    link.recorder.record(TrafficEvent::ControlStream { proxy: link.proxy.clone(), open: false });
}
