//! An endpoint of a scenario: cores that work requests off one by one, a warm-up, and the ways in which it fails.

mod process;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use crate::slow_start::SlowStart;
use crate::traffic_recorder::TrafficRecorder;

use self::process::Process;

/// How an endpoint is built.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// The name under which its traffic is recorded.
    pub name: String,
    /// How many requests it works on at the same time.
    pub cores: usize,
    /// How fast each core is; at 1 a request takes as long as its stated work.
    pub speed: f64,
    /// Requests that may wait for a core; more are rejected before they are executed.
    pub max_queued: usize,
    /// Work that a rejected request costs, in seconds.
    pub rejection_work_s: f64,
    /// Work of a request by class, in seconds.
    pub class_work_s: HashMap<String, f64>,
    /// How it warms up after a start.
    pub slow_start: SlowStart,
}

/// How an endpoint treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum FaultMode {
    /// As it should.
    #[default]
    Healthy,
    /// Takes requests and answers none; its health checks pass.
    Hang,
    /// Answers 500 at once.
    Errors,
    /// Rejects requests before they are executed.
    Reject,
    /// So many times slower.
    Slow(f64),
    /// The process is gone: nothing listens.
    Down,
}

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

impl EndpointConfig {
    /// Of a warm process, in cores at speed 1.
    fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed
    }
}
