//! The simulated process of a fake endpoint, shared by its handle and its tasks.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

use crate::fake_endpoint::config::{EndpointConfig, FaultMode};
use crate::headers::{self, header};
use crate::slow_start::SlowStart;
use crate::traffic_event::TrafficEvent;
use crate::traffic_recorder::TrafficRecorder;

/// The maximum rejection work that is added to one request, as a multiple of its own work. The excess is dropped.
const MAX_REJECTION_OVERHEAD: f64 = 3.0;
/// Lower bound of the speed of a core, so that the execution time of a request is finite.
const MIN_SPEED: f64 = 1e-3;
const LISTEN_BACKLOG: u32 = 1024;

/// Work that arrived at an endpoint.
struct WorkArrival {
    at: Duration,
    /// The work, in seconds of one core at speed 1.
    work: f64,
}

struct State {
    mode: FaultMode,
    /// The time at which the process last restarted, since the start of the scenario; `None` for the initial process,
    /// which is warm.
    started: Option<Duration>,
    /// The work that arrived within the overload window, while the process warms up.
    recent_work: VecDeque<WorkArrival>,
    /// The number of requests that wait for a core.
    queued: usize,
    /// The work of rejections that has not been added to an executed request yet, in seconds.
    rejection_backlog_s: f64,
    /// The number of processes that have ended. Connections accepted by an earlier process are closed.
    incarnation: u64,
}

/// The state of an endpoint, across restarts of its simulated process.
pub struct Process {
    address: SocketAddr,
    config: EndpointConfig,
    state: Mutex<State>,
    mode_changed: watch::Sender<()>,
    cores: Semaphore,
    recorder: TrafficRecorder,
}

impl Process {
    pub fn new(address: SocketAddr, config: EndpointConfig, recorder: TrafficRecorder) -> Self {
        let state = State {
            mode: FaultMode::Healthy,
            started: None,
            recent_work: VecDeque::new(),
            queued: 0,
            rejection_backlog_s: 0.0,
            incarnation: 0,
        };
        Process {
            address,
            cores: Semaphore::new(config.cores),
            config,
            state: Mutex::new(state),
            mode_changed: watch::Sender::new(()),
            recorder,
        }
    }

    pub fn set_fault_mode(&self, mode: FaultMode) {
        let mut state = self.state();
        if mode == FaultMode::Down {
            state.incarnation += 1;
            let endpoint = self.config.name.clone();
            self.recorder.record(TrafficEvent::EndpointStopped { endpoint });
        }
        state.mode = mode;
        self.mode_changed.send_replace(());
    }

    pub fn restart(&self) {
        let mut state = self.state();
        state.mode = FaultMode::Healthy;
        state.started = Some(self.recorder.now());
        state.recent_work.clear();
        let endpoint = self.config.name.clone();
        let capacity = self.config.capacity();
        self.recorder.record(TrafficEvent::EndpointStarted { endpoint, capacity });
        self.mode_changed.send_replace(());
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn mode(&self) -> FaultMode {
        self.state().mode
    }

    /// Returns the current fraction of full speed, from 0 to 1.
    fn slow_start_fraction(&self, state: &State) -> f64 {
        let Some(started) = state.started else { return 1.0 };
        self.config.slow_start.fraction_at(self.recorder.now() - started).min(1.0)
    }

    /// Accepts connections while the process is up. While it is down, the port stays bound and refuses connections.
    /// Returns if the port can't be bound or opened again.
    pub async fn accept_loop(self: Arc<Self>, mut listener: TcpListener) {
        let mut mode_changed = self.mode_changed.subscribe();
        let mut connections = JoinSet::new();
        loop {
            while self.mode() != FaultMode::Down {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        let _ = stream.set_nodelay(true);
                        connections.spawn(self.clone().serve_connection(stream));
                    },
                    _ = mode_changed.changed() => {}
                }
                while connections.try_join_next().is_some() {}
            }
            drop(listener);
            let Ok(socket) = self.bind_port() else { return };
            while self.mode() == FaultMode::Down {
                let _ = mode_changed.changed().await;
            }
            match socket.listen(LISTEN_BACKLOG) {
                Ok(reopened) => listener = reopened,
                Err(_) => return,
            }
        }
    }

    fn bind_port(&self) -> io::Result<TcpSocket> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        Ok(socket)
    }

    /// Serves a connection until it closes or the process that accepted it ends.
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let mut mode_changed = self.mode_changed.subscribe();
        let incarnation = self.state().incarnation;
        let endpoint = self.clone();
        let service = service_fn(move |request| {
            let endpoint = endpoint.clone();
            async move { endpoint.handle(request).await }
        });
        let serving =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let process_ended = async {
            while self.state().incarnation == incarnation {
                let _ = mode_changed.changed().await;
            }
        };
        tokio::select! {
            _ = serving => {}
            () = process_ended => {}
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let class = request.uri().path().trim_start_matches('/').to_string();
        if class == "health" {
            return Ok(response(200));
        }
        let id = header(request.headers(), headers::REQUEST_ID).unwrap_or(0);
        let work = self.config.class_work_s.get(&class).copied().unwrap_or(0.0);
        self.recorder.record(TrafficEvent::RequestArrived {
            endpoint: self.config.name.clone(),
            proxy: header(request.headers(), headers::PROXY).unwrap_or_default(),
            request: id,
            class: class.clone(),
            work,
            table: header(request.headers(), headers::TABLE).unwrap_or_default(),
        });
        let slowdown = match self.count_work(work) {
            FaultMode::Hang | FaultMode::Down => return std::future::pending().await,
            FaultMode::Errors => return Ok(response(500)),
            FaultMode::Reject => return Ok(self.reject()),
            FaultMode::Slow(factor) => factor,
            FaultMode::Healthy => 1.0,
        };
        if self.state().queued >= self.config.max_queued {
            return Ok(self.reject());
        }
        self.execute(id, class, work, slowdown).await;
        Ok(response(200))
    }

    /// Waits for a core and occupies it for the duration of the work.
    async fn execute(&self, request: u64, class: String, work: f64, slowdown: f64) {
        let queued = QueuedRequest::new(self);
        let core = self.cores.acquire().await;
        drop(queued);
        let endpoint = self.config.name.clone();
        self.recorder.record(TrafficEvent::RequestExecuted { endpoint, request, class });
        let rejections = std::mem::take(&mut self.state().rejection_backlog_s);
        let work = work + rejections.min(MAX_REJECTION_OVERHEAD * work);
        let speed = self.slow_start_fraction(&self.state()) * self.config.speed / slowdown;
        tokio::time::sleep(Duration::from_secs_f64(work / speed.max(MIN_SPEED))).await;
        drop(core);
    }

    /// Rejects a request. The work of the rejection is added to the next request that is executed.
    fn reject(&self) -> Response<Full<Bytes>> {
        self.state().rejection_backlog_s += self.config.rejection_work_s;
        let mut response = response(503);
        response.headers_mut().insert(headers::NOT_EXECUTED, HeaderValue::from_static("1"));
        response
    }

    /// Counts the work of a request against the load that a warming process survives, and takes the process down if
    /// that load is exceeded. Returns the mode in which the request is handled.
    fn count_work(&self, work: f64) -> FaultMode {
        let mut state = self.state();
        let fraction = self.slow_start_fraction(&state);
        if fraction < 1.0 {
            let SlowStart { overload_factor, overload_window, .. } = self.config.slow_start;
            let now = self.recorder.now();
            state.recent_work.push_back(WorkArrival { at: now, work });
            while state.recent_work.front().is_some_and(|first| first.at + overload_window < now) {
                state.recent_work.pop_front();
            }
            let capacity = fraction * self.config.cores as f64 * self.config.speed;
            let max_work = overload_factor * capacity * overload_window.as_secs_f64();
            if state.recent_work.iter().map(|arrival| arrival.work).sum::<f64>() > max_work {
                state.mode = FaultMode::Down;
                state.incarnation += 1;
                let endpoint = self.config.name.clone();
                self.recorder.record(TrafficEvent::EndpointOverloaded { endpoint });
                self.mode_changed.send_replace(());
            }
        }
        state.mode
    }
}

/// A request that waits for a core. Dropping it, also together with its connection, removes it from the queue.
struct QueuedRequest<'a>(&'a Process);

impl<'a> QueuedRequest<'a> {
    fn new(process: &'a Process) -> Self {
        process.state().queued += 1;
        QueuedRequest(process)
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.0.state().queued -= 1;
    }
}

fn response(status: u16) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}
