//! An endpoint of a scenario: cores that work requests off one by one, a warm-up, and the ways in which it fails.

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

/// A running endpoint; it ends when this is dropped.
pub struct FakeEndpoint {
    /// Where it listens, also after a restart.
    pub address: SocketAddr,
    process: Arc<Process>,
    accept_task: AbortHandle,
}

impl FakeEndpoint {
    /// Starts an endpoint that is warm already.
    ///
    /// # Errors
    /// Its socket can't be bound.
    pub async fn start(config: EndpointConfig, recorder: TrafficRecorder) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let process = Arc::new(Process::new(address, config, recorder));
        let accept_task = tokio::spawn(process.clone().accept_loop(listener)).abort_handle();
        Ok(FakeEndpoint { address, process, accept_task })
    }

    /// Begins or ends a fault.
    pub fn set_fault_mode(&self, mode: FaultMode) {
        self.process.set_fault_mode(mode);
    }

    /// A new process in the place of one that is gone: healthy, and warming up.
    pub fn restart(&self) {
        self.process.restart();
    }
}

impl Drop for FakeEndpoint {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}
