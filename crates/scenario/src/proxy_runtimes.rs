//! Threads that run real proxies, several per thread, and start and stop them on request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use lockcroft_proxy::{Proxy, ProxyConfig};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

enum Request {
    Start { number: usize, config: Box<ProxyConfig>, started: oneshot::Sender<io::Result<SocketAddr>> },
    Stop { number: usize },
}

/// Proxies by number, distributed over a fixed set of threads. Dropping it ends the threads and their proxies.
pub struct ProxyRuntimes {
    threads: Vec<mpsc::UnboundedSender<Request>>,
}

impl ProxyRuntimes {
    /// Starts this number of threads, at least one.
    ///
    /// # Errors
    /// A thread or its runtime can't be created.
    pub fn new(threads: usize) -> io::Result<Self> {
        let mut runtimes = ProxyRuntimes { threads: Vec::new() };
        for number in 0..threads.max(1) {
            let (sender, requests) = mpsc::unbounded_channel();
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let run = move || LocalSet::new().block_on(&runtime, run_proxies(requests));
            std::thread::Builder::new().name(format!("proxies-{number}")).spawn(run)?;
            runtimes.threads.push(sender);
        }
        Ok(runtimes)
    }

    /// Starts a proxy and returns the address on which it accepts requests.
    ///
    /// # Errors
    /// One of its sockets can't be bound, or its thread has ended.
    pub async fn start(&self, number: usize, config: ProxyConfig) -> io::Result<SocketAddr> {
        let (started, result) = oneshot::channel();
        self.send(number, Request::Start { number, config: Box::new(config), started });
        result.await.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?
    }

    /// Requests that a proxy is stopped with all of its connections, as if its process had ended.
    pub fn stop(&self, number: usize) {
        self.send(number, Request::Stop { number });
    }

    fn send(&self, number: usize, request: Request) {
        // A thread ends only when its sender is dropped, so that sending can't fail.
        let _ = self.threads[number % self.threads.len()].send(request);
    }
}

async fn run_proxies(mut requests: mpsc::UnboundedReceiver<Request>) {
    let mut proxies: HashMap<usize, Proxy> = HashMap::new();
    while let Some(request) = requests.recv().await {
        match request {
            Request::Start { number, config, started } => {
                let result = Proxy::start(*config).await.map(|proxy| {
                    let address = proxy.request_address;
                    proxies.insert(number, proxy);
                    address
                });
                let _ = started.send(result);
            }
            Request::Stop { number } => {
                if let Some(proxy) = proxies.remove(&number) {
                    proxy.stop().await;
                }
            }
        }
    }
}
