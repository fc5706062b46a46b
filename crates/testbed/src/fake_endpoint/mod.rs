//! A fake endpoint: a bounded queue, cores that execute requests, a warm-up after restarts, and fault modes.

mod config;
mod process;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use crate::traffic_recorder::TrafficRecorder;

pub use self::config::{EndpointConfig, FaultMode};
use self::process::Process;

/// A running endpoint. It stops when it is dropped.
pub struct FakeEndpoint {
    /// The address on which it listens, which a restart keeps.
    pub address: SocketAddr,
    process: Arc<Process>,
    accept_task: AbortHandle,
}

impl FakeEndpoint {
    /// Starts an endpoint that needs no warm-up, on a free port of the loopback interface.
    ///
    /// # Errors
    /// The socket can't be bound.
    pub async fn start(config: EndpointConfig, recorder: TrafficRecorder) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let process = Arc::new(Process::new(address, config, recorder));
        let accept_task = tokio::spawn(process.clone().accept_loop(listener)).abort_handle();
        Ok(FakeEndpoint { address, process, accept_task })
    }

    /// Sets the fault mode; [`FaultMode::Healthy`] ends a fault. [`FaultMode::Down`] closes all connections.
    pub fn set_fault_mode(&self, mode: FaultMode) {
        self.process.set_fault_mode(mode);
    }

    /// Starts a new process, which is healthy and warms up, after [`FaultMode::Down`].
    pub fn restart(&self) {
        self.process.restart();
    }
}

impl Drop for FakeEndpoint {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}
