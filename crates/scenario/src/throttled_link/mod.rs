//! A link in front of a proxy's control socket: controllers dial it, it dials the proxy, and what passes either way is
//! recorded. It can also stall within a message, or break between an update and its answer.

mod connection;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lockcroft_runtime_api::{Address, dial};
use lockcroft_testbed::{TrafficEvent, TrafficRecorder};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::owned_task::OwnedTask;

use self::connection::Connection;

/// What happens to the next message with more than so many commands that change something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallPoint {
    /// It stops in the middle for a while, then goes on.
    Stall {
        /// A message with more commands than this is stalled.
        after_commands: usize,
        /// For how long.
        duration: Duration,
    },
    /// It is carried out, and the stream breaks before its answer.
    Disconnect {
        /// A message with more commands than this is cut off.
        after_commands: usize,
    },
}

/// The link; it ends, with its streams, when this is dropped.
pub struct ThrottledLink {
    /// Where controllers dial it.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _accept_task: OwnedTask,
}

struct Shared {
    /// The proxy's name.
    proxy: String,
    /// Where the link dials the proxy.
    proxy_address: Address,
    next_stall: Mutex<Option<StallPoint>>,
    recorder: TrafficRecorder,
}

impl ThrottledLink {
    /// Opens a link to the proxy's control socket.
    ///
    /// # Errors
    /// The link's own socket can't be bound.
    pub async fn open(proxy: &str, proxy_address: Address, recorder: TrafficRecorder) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Shared { proxy: proxy.into(), proxy_address, next_stall: Mutex::default(), recorder };
        let shared = Arc::new(shared);
        let accept_task = OwnedTask::spawn(shared.clone().accept_loop(listener));
        Ok(ThrottledLink { address, shared, _accept_task: accept_task })
    }

    /// Stalls the next message that is long enough.
    pub fn stall_next(&self, stall: StallPoint) {
        *self.shared.next_stall.lock().unwrap_or_else(PoisonError::into_inner) = Some(stall);
    }
}

impl Shared {
    async fn accept_loop(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((controller, _)) = listener.accept().await {
            connections.spawn(self.clone().serve_connection(controller));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve_connection(self: Arc<Self>, controller: TcpStream) {
        let _ = controller.set_nodelay(true);
        let Ok(proxy) = dial(&self.proxy_address).await else { return };
        self.recorder.record(TrafficEvent::ControlStream { proxy: self.proxy.clone(), open: true });
        // However the stream ends, it ends for both.
        let _ = Connection::new(&self).forward(controller, proxy).await;
        self.recorder.record(TrafficEvent::ControlStream { proxy: self.proxy.clone(), open: false });
    }

    /// The stall that is due for a message with so many commands.
    fn take_stall(&self, commands: usize) -> Option<StallPoint> {
        let mut next_stall = self.next_stall.lock().unwrap_or_else(PoisonError::into_inner);
        next_stall.take_if(|stall| match stall {
            StallPoint::Stall { after_commands, .. } | StallPoint::Disconnect { after_commands } => {
                commands > *after_commands
            }
        })
    }

    fn record_stalled(&self, stalled: bool) {
        let proxy = self.proxy.clone();
        self.recorder.record(TrafficEvent::ControlStreamStalled { proxy, stalled });
    }
}
