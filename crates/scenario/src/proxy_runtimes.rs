//! Threads that run real proxies, many to a thread, and start and stop them on request.

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

/// Proxies by number, dealt to the threads. The threads end, with their proxies, when this is dropped.
pub struct ProxyRuntimes {
    threads: Vec<mpsc::UnboundedSender<Request>>,
}

impl ProxyRuntimes {
    /// Starts the threads, at least one.
    ///
    /// # Errors
    /// A thread can't be had.
    pub fn new(threads: usize) -> io::Result<Self> {
        let mut runtimes = ProxyRuntimes { threads: Vec::new() };
        for number in 0..threads.max(1) {
            let (sender, requests) = mpsc::unbounded_channel();
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let run = move || LocalSet::new().block_on(&runtime, serve(requests));
            std::thread::Builder::new().name(format!("proxies-{number}")).spawn(run)?;
            runtimes.threads.push(sender);
        }
        Ok(runtimes)
    }

    /// Starts a proxy; gives the address where it takes requests.
    ///
    /// # Errors
    /// One of its sockets can't be had.
    pub async fn start(&self, number: usize, config: ProxyConfig) -> io::Result<SocketAddr> {
        let (started, result) = oneshot::channel();
        self.send(number, Request::Start { number, config: Box::new(config), started });
        result.await.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?
    }

    /// Ends a proxy with all of its streams, as if its process were gone.
    pub fn stop(&self, number: usize) {
        self.send(number, Request::Stop { number });
    }

    fn send(&self, number: usize, request: Request) {
        // A thread ends only with its sender.
        let _ = self.threads[number % self.threads.len()].send(request);
    }
}

async fn serve(mut requests: mpsc::UnboundedReceiver<Request>) {
    let mut running: HashMap<usize, Proxy> = HashMap::new();
    while let Some(request) = requests.recv().await {
        match request {
            Request::Start { number, config, started } => {
                let result = Proxy::start(*config).await.map(|proxy| {
                    let address = proxy.request_address;
                    running.insert(number, proxy);
                    address
                });
                let _ = started.send(result);
            }
            Request::Stop { number } => {
                if let Some(proxy) = running.remove(&number) {
                    proxy.stop().await;
                }
            }
        }
    }
}
