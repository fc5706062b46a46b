//! Threads that run real proxies, many to a thread, and start and stop them as told.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use lockcroft_proxy::{Proxy, ProxyConfig};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

enum Job {
    Start(usize, Box<ProxyConfig>, oneshot::Sender<io::Result<SocketAddr>>),
    Stop(usize),
}

/// Proxies by number, dealt to the threads.
pub struct ProxyRuntimes {
    threads: Vec<mpsc::UnboundedSender<Job>>,
}

impl ProxyRuntimes {
    /// # Errors
    /// A thread can't be had.
    pub fn new(threads: usize) -> io::Result<Self> {
        let mut hosts = ProxyRuntimes { threads: Vec::new() };
        for number in 0..threads.max(1) {
            let (sender, jobs) = mpsc::unbounded_channel();
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let run = move || LocalSet::new().block_on(&runtime, work(jobs));
            std::thread::Builder::new().name(format!("proxies-{number}")).spawn(run)?;
            hosts.threads.push(sender);
        }
        Ok(hosts)
    }

    /// Where the proxy takes visits.
    ///
    /// # Errors
    /// One of its sockets can't be had.
    pub async fn start(&self, number: usize, post: ProxyConfig) -> io::Result<SocketAddr> {
        let (sender, started) = oneshot::channel();
        self.send(number, Job::Start(number, Box::new(post), sender));
        started.await.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?
    }

    /// Its process is gone, as far as anybody can see.
    pub fn stop(&self, number: usize) {
        self.send(number, Job::Stop(number));
    }

    fn send(&self, number: usize, job: Job) {
        // A thread ends only with its sender.
        let _ = self.threads[number % self.threads.len()].send(job);
    }
}

async fn work(mut jobs: mpsc::UnboundedReceiver<Job>) {
    let mut running: HashMap<usize, Proxy> = HashMap::new();
    while let Some(job) = jobs.recv().await {
        match job {
            Job::Start(number, post, started) => {
                let said = Proxy::start(*post).await.map(|proxy| {
                    let visits = proxy.visits;
                    running.insert(number, proxy);
                    visits
                });
                let _ = started.send(said);
            }
            Job::Stop(number) => {
                if let Some(proxy) = running.remove(&number) {
                    proxy.stop().await;
                }
            }
        }
    }
}
