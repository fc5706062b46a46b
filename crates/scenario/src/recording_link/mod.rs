//! A link in front of a proxy's control socket: controllers dial it, it dials the proxy, and what passes either way is
//! recorded. It can also stall within a message, or break between an update and its answer.

mod connection;
mod link_state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use lockcroft_runtime_api::{Address, dial};
use lockcroft_testbed::{TrafficEvent, TrafficRecorder};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::owned_task::OwnedTask;

use self::connection::Connection;
use self::link_state::LinkState;
pub use self::link_state::StallPoint;

/// The link; it ends, with its streams, when this is dropped.
pub struct RecordingLink {
    /// Where controllers dial it.
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

    /// Stalls the next message that is long enough.
    pub fn stall_next(&self, stall: StallPoint) {
        self.state.stall_next(stall);
    }
}

async fn accept_loop(link: Arc<LinkState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((controller, _)) = listener.accept().await {
        connections.spawn(serve_connection(link.clone(), controller));
        while connections.try_join_next().is_some() {}
    }
    // No new streams; those that are open go on.
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(link: Arc<LinkState>, controller: TcpStream) {
    let _ = controller.set_nodelay(true);
    let Ok(proxy) = dial(&link.proxy_address).await else { return };
    link.recorder.record(TrafficEvent::ControlStream { proxy: link.proxy.clone(), open: true });
    // However the stream ends, it ends for both.
    let _ = Connection::new(&link).forward(controller, proxy).await;
    link.recorder.record(TrafficEvent::ControlStream { proxy: link.proxy.clone(), open: false });
}
