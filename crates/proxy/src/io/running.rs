//! A proxy that runs: its sockets, and what its visits and orders share.

use std::cell::{RefCell, RefMut};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lockcroft_runtime_api::{Address, Command, Listener};
use tokio::net::TcpListener;
use tokio::sync::{Mutex, Notify, watch};
use tokio::task::{JoinHandle, spawn_local};

use super::guard::RequestValidator;
use super::pool::Pool;
use super::{control, files, forward};
use crate::budget::RetryBudget;
use crate::held::RoutingState;
use crate::orders::changes;
use crate::post::ProxyConfig;

/// What all of a proxy's visits and orders share; on one thread, so that nobody waits for a lock.
pub struct Worker {
    pub post: ProxyConfig,
    pub start: Instant,
    held: RefCell<RoutingState>,
    /// Held by the control connection whose set is being laid.
    pub laying: Mutex<()>,
    pub pool: RefCell<Pool>,
    pub budget: RefCell<RetryBudget>,
    /// Microseconds of answered tries, by endpoint and class.
    pub times: RefCell<BTreeMap<(String, String), Histogram<u64>>>,
    /// Something ended or changed: there may be room at an endpoint.
    pub room: Notify,
    pub waiting: RefCell<usize>,
    clients: RefCell<usize>,
    /// The proxy ends: so do its connections.
    ended: watch::Sender<bool>,
}

impl Worker {
    pub fn held(&self) -> RefMut<'_, RoutingState> {
        self.held.borrow_mut()
    }

    /// Laying tables keeps such a proxy from everything else.
    pub fn stall(&self, commands: &[Command]) {
        let stall =
            self.post.stall_a_line * commands.iter().filter(|command| changes(command)).count() as u32;
        if !stall.is_zero() {
            std::thread::sleep(stall);
        }
    }

    /// Until the proxy ends.
    pub async fn end(&self) {
        // The sender lives as long as this.
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// # Panics
    /// Never: the histogram's bounds are constants.
    pub fn took(&self, endpoint: &str, class: &str, took: Duration) {
        let mut times = self.times.borrow_mut();
        let key = (endpoint.to_string(), class.to_string());
        let new = || Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds are in order");
        times.entry(key).or_insert_with(new).saturating_record(took.as_micros() as u64);
    }

    /// Commands that are about sockets and times rather than tables.
    pub fn own(&self, commands: &[Command]) -> Option<String> {
        let [command] = commands else { return None };
        if command.text() != "show times" {
            return None;
        }
        let mut text = "# endpoint class answered p50_ms p99_ms most_ms\n".to_string();
        for ((endpoint, class), times) in self.times.borrow().iter() {
            let ms = |micros: u64| micros as f64 / 1e3;
            // Writing to a String cannot fail.
            let _ = writeln!(
                text,
                "{endpoint} {class} {} {:.1} {:.1} {:.1}",
                times.len(),
                ms(times.value_at_quantile(0.5)),
                ms(times.value_at_quantile(0.99)),
                ms(times.max())
            );
        }
        Some(text + "\n")
    }
}

/// A running proxy; it ends when this is dropped, with all its connections.
pub struct Proxy {
    pub visits: SocketAddr,
    core: Rc<Worker>,
    tasks: Vec<JoinHandle<()>>,
}

impl Proxy {
    /// Starts on the thread's local task set.
    ///
    /// # Errors
    /// A socket can't be had.
    pub async fn start(post: ProxyConfig) -> io::Result<Self> {
        let classes: Vec<String> = post.classes.iter().map(|(name, _)| name.clone()).collect();
        let held = RoutingState::new(&post.name, &classes, &post.standing, post.limits, post.seed);
        let listener = TcpListener::bind(post.visits).await?;
        let visits = listener.local_addr()?;
        let core = Rc::new(Worker {
            budget: RefCell::new(RetryBudget::new(post.second_share)),
            start: Instant::now(),
            held: RefCell::new(held),
            laying: Mutex::new(()),
            pool: RefCell::new(Pool::new(post.idle_most)),
            times: RefCell::default(),
            room: Notify::new(),
            waiting: RefCell::new(0),
            clients: RefCell::new(0),
            ended: watch::Sender::new(false),
            post,
        });
        let mut tasks = Vec::new();
        for address in &core.post.control {
            let listener = Listener::bind(address).await?;
            tasks.push(spawn_local(control::listen(listener, core.clone())));
        }
        tasks.push(spawn_local(take_visits(listener, core.clone())));
        if let Some(terms) = core.post.files.clone() {
            let reader = files::reader(&core.post.name, &terms)?;
            tasks.push(spawn_local(files::follow(core.clone(), terms, reader)));
        }
        let tidied = core.clone();
        tasks.push(spawn_local(async move {
            loop {
                // Looked for twice in the time that one may be idle.
                tokio::time::sleep((tidied.post.idle_most / 2).max(Duration::from_millis(50))).await;
                tidied.pool.borrow_mut().tidy();
            }
        }));
        Ok(Proxy { visits, core, tasks })
    }
}

impl Proxy {
    /// Ends it; when this is over, its addresses are free.
    pub async fn stop(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.core.ended.send_replace(true);
    }
}

async fn take_visits(listener: TcpListener, core: Rc<Worker>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, say: give others time to end.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if *core.clients.borrow() >= core.post.clients_most {
            continue;
        }
        let _ = stream.set_nodelay(true);
        *core.clients.borrow_mut() += 1;
        let core = core.clone();
        spawn_local(async move {
            let own = core.clone();
            let service = service_fn(move |visit| {
                let core = own.clone();
                async move { forward::forward(visit, core).await }
            });
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(core.post.silent_most);
            // A client that breaks off, or is cut off, concerns nobody else.
            let serving = http.serve_connection(TokioIo::new(RequestValidator::new(stream)), service);
            tokio::select! {
                _ = serving => {}
                () = core.end() => {}
            }
            *core.clients.borrow_mut() -= 1;
        });
    }
}

/// Runs a proxy until it is told to end.
///
/// # Errors
/// A socket can't be had.
pub async fn serve(post: ProxyConfig) -> io::Result<()> {
    let sockets = post.control.clone();
    let name = post.name.clone();
    let _proxy = Proxy::start(post).await?;
    tracing::info!(target: "lockcroft::proxy", name, "started");
    let mut ends = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = ends.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    for address in sockets {
        if let Address::Unix(path) = address {
            let _ = std::fs::remove_file(path);
        }
    }
    Ok(())
}
