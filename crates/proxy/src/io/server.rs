//! Starts and stops a proxy with its sockets and tasks.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_runtime_api::{Address, Listener};
use lockcroft_signals::{ReceivedSignal, Signals};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use super::worker::Worker;
use super::{clients, control, table_files};
use crate::config::ProxyConfig;

const MIN_CLEANUP_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for draining client connections at shutdown.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running proxy. Dropping it stops the proxy and closes all its connections.
pub struct Proxy {
    /// The address on which it accepts requests.
    pub request_address: SocketAddr,
    worker: Rc<Worker>,
    tasks: Vec<JoinHandle<()>>,
    /// Serves client connections; ends once the proxy has drained.
    client_task: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy on the current `LocalSet`. If this fails, the tasks that were started are stopped.
    ///
    /// # Errors
    /// Returns an error if a socket can't be bound or the keys of the table files can't be read.
    ///
    /// # Panics
    /// Panics outside a `LocalSet`.
    pub async fn start(config: ProxyConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(config.request_address).await?;
        let request_address = listener.local_addr()?;
        let worker = Rc::new(Worker::new(config));
        // If a later step fails, dropping this stops the tasks that were started.
        let mut proxy =
            Proxy { request_address, worker: worker.clone(), tasks: Vec::new(), client_task: None };
        for address in &worker.config.control_addresses {
            let listener = Listener::bind(address).await?;
            proxy.tasks.push(spawn_local(control::accept_connections(listener, worker.clone())));
        }
        proxy.client_task = Some(spawn_local(clients::accept_connections(listener, worker.clone())));
        if let Some(config) = worker.config.table_files.clone() {
            let reader = table_files::open_reader(&worker.config.name, &config)?;
            proxy.tasks.push(spawn_local(table_files::follow(worker.clone(), config, reader)));
        }
        proxy.tasks.push(spawn_local(close_idle_connections(worker)));
        Ok(proxy)
    }

    /// Returns the number of open client connections.
    #[must_use]
    pub fn client_connection_count(&self) -> usize {
        self.worker.client_connections.get()
    }

    /// Drains client connections: no new ones are accepted, requests in flight and those that still arrive on
    /// open connections are answered, and idle connections are closed. Returns the number of connections that
    /// are still open once all have ended or `time_limit` has passed. The proxy keeps draining if the future
    /// is dropped.
    pub async fn drain(&self, time_limit: Duration) -> usize {
        self.worker.drain();
        let drained = async {
            while self.client_task.as_ref().is_some_and(|task| !task.is_finished()) {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // Connections that are still open after a timeout are counted here, and closed when the proxy is
        // dropped.
        let _ = timeout(time_limit, drained).await;
        self.client_connection_count()
    }

    /// Stops the proxy and waits for its tasks, so that its addresses are free afterwards.
    pub async fn stop(mut self) {
        for task in std::mem::take(&mut self.tasks).into_iter().chain(self.client_task.take()) {
            task.abort();
            // Returns a cancellation error, as the task was aborted.
            let _ = task.await;
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.tasks.iter().chain(&self.client_task).for_each(JoinHandle::abort);
        self.worker.stop();
    }
}

/// Periodically closes connections to endpoints that exceeded the idle timeout, until the future is dropped.
async fn close_idle_connections(worker: Rc<Worker>) {
    // Bounds the delay after the idle timeout: a connection is closed at most half the timeout late, or
    // `MIN_CLEANUP_INTERVAL` if that is longer.
    let interval = (worker.config.idle_timeout / 2).max(MIN_CLEANUP_INTERVAL);
    loop {
        sleep(interval).await;
        worker.connection_pool.borrow_mut().close_idle();
    }
}

/// Runs a proxy until SIGTERM or SIGINT, then drains it until all client connections are closed,
/// [`DRAIN_TIMEOUT`] has passed, or a second SIGTERM or SIGINT is received. SIGHUP is ignored.
///
/// # Errors
/// Returns the errors of [`Proxy::start`].
///
/// # Panics
/// Panics outside a `LocalSet`.
pub async fn serve(config: ProxyConfig, mut signals: Signals) -> io::Result<()> {
    let control_addresses = config.control_addresses.clone();
    let name = config.name.clone();
    let proxy = Proxy::start(config).await?;
    tracing::info!(target: "lockcroft::proxy", name, "started");
    while signals.recv().await == ReceivedSignal::Hangup {
        tracing::info!(
            target: "lockcroft::proxy",
            "received SIGHUP, nothing to reload: tables come from controllers"
        );
    }
    tracing::info!(
        target: "lockcroft::proxy",
        connections = proxy.client_connection_count(),
        "received SIGTERM or SIGINT, draining client connections"
    );
    let open_connections = tokio::select! {
        open_connections = proxy.drain(DRAIN_TIMEOUT) => open_connections,
        () = signals.recv_termination() => proxy.client_connection_count(),
    };
    match open_connections {
        0 => tracing::info!(target: "lockcroft::proxy", "shut down"),
        open_connections => {
            tracing::warn!(
                target: "lockcroft::proxy",
                cut_connections = open_connections,
                "shut down before all client connections were drained"
            )
        }
    }
    for address in control_addresses {
        if let Address::Unix(path) = address {
            // A socket file that can't be removed is replaced at the next start.
            let _ = std::fs::remove_file(path);
        }
    }
    Ok(())
}
