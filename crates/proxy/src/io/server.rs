//! Starts and stops a proxy: its sockets, and the tasks on them.

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

/// How long requests in flight may take to be answered once the proxy is told to end.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running proxy. It ends when this is dropped, with all its connections.
pub struct Proxy {
    /// Where it takes requests.
    pub request_address: SocketAddr,
    worker: Rc<Worker>,
    tasks: Vec<JoinHandle<()>>,
    /// Client connections; ends once the proxy drained.
    clients: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy on the thread's local task set.
    ///
    /// # Errors
    /// A socket can't be bound, or the keys of table files can't be read.
    pub async fn start(config: ProxyConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(config.request_address).await?;
        let request_address = listener.local_addr()?;
        let worker = Rc::new(Worker::new(config));
        // Tasks that run already end with the proxy if a later step fails.
        let mut proxy = Proxy { request_address, worker: worker.clone(), tasks: Vec::new(), clients: None };
        for address in &worker.config.control_addresses {
            let listener = Listener::bind(address).await?;
            proxy.tasks.push(spawn_local(control::accept_connections(listener, worker.clone())));
        }
        proxy.clients = Some(spawn_local(clients::accept_connections(listener, worker.clone())));
        if let Some(config) = worker.config.table_files.clone() {
            let reader = table_files::open_reader(&worker.config.name, &config)?;
            proxy.tasks.push(spawn_local(table_files::follow(worker.clone(), config, reader)));
        }
        proxy.tasks.push(spawn_local(close_idle_connections(worker)));
        Ok(proxy)
    }

    /// Client connections that are open.
    #[must_use]
    pub fn client_connection_count(&self) -> usize {
        self.worker.clients.get()
    }

    /// Lets client connections end: no new ones are accepted, requests in flight and those that still come on
    /// open connections are answered, idle connections are closed. Gives the number of connections that are
    /// still open after `time_limit`.
    pub async fn drain(&self, time_limit: Duration) -> usize {
        self.worker.drain();
        let all_ended = async {
            while self.clients.as_ref().is_some_and(|clients| !clients.is_finished()) {
                sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        // What is left then is counted, and cut off when the proxy is dropped.
        let _ = timeout(time_limit, all_ended).await;
        self.client_connection_count()
    }

    /// Stops the proxy; its addresses are free afterwards.
    pub async fn stop(mut self) {
        for task in std::mem::take(&mut self.tasks).into_iter().chain(self.clients.take()) {
            task.abort();
            // The task ends as cancelled, which is what was asked for.
            let _ = task.await;
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.tasks.iter().chain(&self.clients).for_each(JoinHandle::abort);
        self.worker.stop();
    }
}

async fn close_idle_connections(worker: Rc<Worker>) {
    // Twice within the time that a connection may be idle.
    let interval = (worker.config.idle_timeout / 2).max(MIN_CLEANUP_INTERVAL);
    loop {
        sleep(interval).await;
        worker.connections.borrow_mut().close_idle();
    }
}

/// Runs a proxy until SIGTERM or SIGINT, then drains it: requests in flight are answered, within
/// [`DRAIN_TIMEOUT`] or until a second signal.
///
/// # Errors
/// As [`Proxy::start`].
pub async fn serve(config: ProxyConfig, mut signals: Signals) -> io::Result<()> {
    let control_addresses = config.control_addresses.clone();
    let name = config.name.clone();
    let proxy = Proxy::start(config).await?;
    tracing::info!(target: "lockcroft::proxy", name, "started");
    while signals.recv().await == ReceivedSignal::Hangup {
        tracing::info!(target: "lockcroft::proxy", "SIGHUP: nothing to reload, tables come from controllers");
    }
    tracing::info!(target: "lockcroft::proxy", connections = proxy.client_connection_count(), "draining");
    let cut = tokio::select! {
        cut = proxy.drain(DRAIN_TIMEOUT) => cut,
        () = signals.recv_termination() => proxy.client_connection_count(),
    };
    match cut {
        0 => tracing::info!(target: "lockcroft::proxy", "ended"),
        cut => {
            tracing::warn!(target: "lockcroft::proxy", cut_connections = cut, "ended before all was answered")
        }
    }
    for address in control_addresses {
        if let Address::Unix(path) = address {
            // A socket file that stays behind is taken over at the next start.
            let _ = std::fs::remove_file(path);
        }
    }
    Ok(())
}
