//! An endpoint: cores that work visits off one by one, a warm-up, and the ways in which it fails.

use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Semaphore, watch};

use crate::tap::{TrafficEvent, TrafficRecorder};

/// A visit takes at most so many times its own work longer for those that were turned away.
const MOST_OWED: f64 = 3.0;

/// How an endpoint is built.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    pub name: String,
    pub cores: usize,
    /// How fast each core is; 1 works a visit off in its stated work.
    pub speed: f64,
    /// Visits that may wait for a core; more are turned away unread.
    pub queue: usize,
    /// Work that a visit costs which is turned away, in seconds.
    pub turn_away: f64,
    /// Work of a visit by class, in seconds.
    pub work: HashMap<String, f64>,
    pub cold_share: f64,
    pub warm_within: Duration,
    pub cold_multiple: f64,
    pub cold_span: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum FaultMode {
    #[default]
    Well,
    /// Takes visits and answers none; its health call goes on.
    Hang,
    /// Answers 500 at once.
    Errors,
    /// Turns visits away unread.
    Refuse,
    /// So many times slower.
    Slow(f64),
    /// The process is gone: nothing listens.
    Down,
}

struct State {
    mode: FaultMode,
    started: Option<Duration>,
    /// What came in of late while cold: time and work.
    came: VecDeque<(Duration, f64)>,
    waiting: usize,
    /// Work done for visits that were turned away, and not yet taken from the others' time.
    owed: f64,
    /// Processes are numbered, so that one that died answers nothing any more.
    life: u64,
}

/// A handle on a running endpoint.
#[derive(Clone)]
pub struct FakeEndpoint {
    pub address: SocketAddr,
    pub terms: Arc<EndpointConfig>,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<()>>,
    cores: Arc<Semaphore>,
    tap: TrafficRecorder,
}

impl FakeEndpoint {
    /// Starts an endpoint that has been warm for long.
    ///
    /// # Errors
    /// As the socket says.
    pub async fn start(terms: EndpointConfig, tap: TrafficRecorder) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State {
            mode: FaultMode::Well,
            started: None,
            came: VecDeque::new(),
            waiting: 0,
            owed: 0.0,
            life: 0,
        };
        let endpoint = FakeEndpoint {
            address: listener.local_addr()?,
            cores: Arc::new(Semaphore::new(terms.cores)),
            terms: Arc::new(terms),
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::Sender::new(())),
            tap,
        };
        tokio::spawn(endpoint.clone().live(listener));
        Ok(endpoint)
    }

    pub fn set(&self, mode: FaultMode) {
        let mut state = self.state();
        if mode == FaultMode::Down {
            state.life += 1;
            self.tap.put(TrafficEvent::Stopped { endpoint: self.terms.name.clone() });
        }
        state.mode = mode;
        self.changed.send_replace(());
    }

    /// A new process in the place of one that is gone: well, and cold.
    pub fn restart(&self) {
        let mut state = self.state();
        (state.mode, state.started) = (FaultMode::Well, Some(self.tap.now()));
        state.came.clear();
        let capacity = self.terms.cores as f64 * self.terms.speed;
        self.tap.put(TrafficEvent::Started { endpoint: self.terms.name.clone(), capacity });
        self.changed.send_replace(());
    }

    pub fn mode(&self) -> FaultMode {
        self.state().mode
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn warmth(&self, state: &State) -> f64 {
        let Some(started) = state.started else { return 1.0 };
        let grown = (self.tap.now() - started).as_secs_f64() / self.terms.warm_within.as_secs_f64();
        (self.terms.cold_share + (1.0 - self.terms.cold_share) * grown).min(1.0)
    }

    /// Listens while the process is up; while it is not, the port is held but refuses.
    async fn live(self, mut listener: TcpListener) {
        let mut changed = self.changed.subscribe();
        loop {
            while self.mode() != FaultMode::Down {
                tokio::select! {
                    taken = listener.accept() => if let Ok((stream, _)) = taken {
                        let _ = stream.set_nodelay(true);
                        tokio::spawn(self.clone().connection(stream));
                    },
                    _ = changed.changed() => {}
                }
            }
            drop(listener);
            let Ok(held) = self.hold_port() else { return };
            while self.mode() == FaultMode::Down {
                let _ = changed.changed().await;
            }
            match held.listen(1024) {
                Ok(again) => listener = again,
                Err(_) => return,
            }
        }
    }

    fn hold_port(&self) -> io::Result<TcpSocket> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        Ok(socket)
    }

    async fn connection(self, stream: tokio::net::TcpStream) {
        let mut changed = self.changed.subscribe();
        let life = self.state().life;
        let endpoint = self.clone();
        let service = service_fn(move |visit| {
            let endpoint = endpoint.clone();
            async move { endpoint.visit(visit).await }
        });
        let serving =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let gone = async {
            while self.state().life == life {
                let _ = changed.changed().await;
            }
        };
        tokio::select! {
            _ = serving => {}
            () = gone => {}
        }
    }

    async fn visit(&self, visit: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = visit.uri().path().trim_start_matches('/').to_string();
        if path == "health" {
            return Ok(answer(200));
        }
        let id = crate::header(visit.headers(), "x-visit").unwrap_or(0);
        let relay: String = crate::header(visit.headers(), "x-relay").unwrap_or_default();
        let work = self.terms.work.get(&path).copied().unwrap_or(0.0);
        let name = || self.terms.name.clone();
        let table = crate::header(visit.headers(), "x-table").unwrap_or_default();
        self.tap.put(TrafficEvent::Arrived {
            endpoint: name(),
            relay,
            visit: id,
            class: path.clone(),
            work,
            table,
        });
        let mode = self.take_in(work);
        let slower = match mode {
            FaultMode::Hang | FaultMode::Down => return std::future::pending().await,
            FaultMode::Errors => return Ok(answer(500)),
            FaultMode::Refuse => return Ok(self.turn_away()),
            FaultMode::Slow(times) => times,
            FaultMode::Well => 1.0,
        };
        if self.state().waiting >= self.terms.queue {
            return Ok(self.turn_away());
        }
        self.state().waiting += 1;
        let core = self.cores.acquire().await;
        self.state().waiting -= 1;
        self.tap.put(TrafficEvent::Ran { endpoint: name(), visit: id, class: path });
        let work = work + std::mem::take(&mut self.state().owed).min(MOST_OWED * work);
        let speed = self.warmth(&self.state()) * self.terms.speed / slower;
        tokio::time::sleep(Duration::from_secs_f64(work / speed.max(1e-3))).await;
        drop(core);
        Ok(answer(200))
    }

    /// Turning a visit away is work as well, which the visits that are let in pay for.
    fn turn_away(&self) -> Response<Full<Bytes>> {
        let mut state = self.state();
        state.owed += self.terms.turn_away;
        unread()
    }

    /// Counts work against what a cold process can bear; past it, the process falls and stays down.
    fn take_in(&self, work: f64) -> FaultMode {
        let mut state = self.state();
        let warmth = self.warmth(&state);
        if warmth < 1.0 {
            let now = self.tap.now();
            state.came.push_back((now, work));
            while state.came.front().is_some_and(|(at, _)| *at + self.terms.cold_span < now) {
                state.came.pop_front();
            }
            let capacity = warmth * self.terms.cores as f64 * self.terms.speed;
            let most = self.terms.cold_multiple * capacity * self.terms.cold_span.as_secs_f64();
            if state.came.iter().map(|(_, work)| work).sum::<f64>() > most {
                (state.mode, state.life) = (FaultMode::Down, state.life + 1);
                self.tap.put(TrafficEvent::Fell { endpoint: self.terms.name.clone() });
                self.changed.send_replace(());
            }
        }
        state.mode
    }
}

fn answer(status: u16) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

/// The word that a visit was turned away unread, which proves that it never ran.
fn unread() -> Response<Full<Bytes>> {
    let mut answer = answer(503);
    answer.headers_mut().insert("x-unread", hyper::header::HeaderValue::from_static("1"));
    answer
}
