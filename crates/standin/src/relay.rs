//! A relay: forwards visits by the tables it holds, and takes orders on a control socket.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use lockcroft_proxy::{Choice, Ending, Held, Limits, may_try_again};
use lockcroft_runtime::{After, Command, Feed, Level, Session};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::tap::{Tap, What};

/// Connections to endpoints that are not used for so long are closed.
const IDLE: Duration = Duration::from_secs(1);

/// How a relay is built.
#[derive(Clone, Debug)]
pub struct RelayTerms {
    pub name: String,
    pub classes: Vec<String>,
    pub standing: Vec<(String, SocketAddr)>,
    pub limits: Limits,
    /// A try is given up after so long.
    pub try_most: Duration,
}

/// What a relay does on its control stream with the next line of orders that has more commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stall {
    /// After so many commands it stands still for so long, then goes on.
    Still(usize, Duration),
    /// After so many commands it breaks the stream, the last of them carried out and not answered.
    Break(usize),
}

/// A handle on a running relay.
#[derive(Clone)]
pub struct Relay {
    pub control: SocketAddr,
    pub visits: SocketAddr,
    pub terms: Arc<RelayTerms>,
    held: Arc<Mutex<Held>>,
    stall: Arc<Mutex<Option<Stall>>>,
    restarted: Arc<Notify>,
    client: Client<HttpConnector, Empty<Bytes>>,
    tap: Tap,
}

impl Relay {
    /// # Errors
    /// As the sockets say.
    pub async fn start(terms: RelayTerms, tap: Tap) -> io::Result<Self> {
        let (control, visits) =
            (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let relay = Relay {
            control: control.local_addr()?,
            visits: visits.local_addr()?,
            held: Arc::new(Mutex::new(begin(&terms, &tap))),
            terms: Arc::new(terms),
            stall: Arc::default(),
            restarted: Arc::new(Notify::new()),
            client: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(4)
                .pool_idle_timeout(IDLE)
                .pool_timer(TokioTimer::new())
                .build(connector),
            tap,
        };
        tokio::spawn(relay.clone().take_orders(control));
        tokio::spawn(relay.clone().take_visits(visits));
        Ok(relay)
    }

    pub fn stall(&self, stall: Stall) {
        *lock(&self.stall) = Some(stall);
    }

    /// The process starts anew: its standing table and nothing else, its streams broken.
    pub fn restart(&self) {
        *self.held() = begin(&self.terms, &self.tap);
        self.restarted.notify_waiters();
    }

    pub fn held(&self) -> MutexGuard<'_, Held> {
        lock(&self.held)
    }

    async fn take_orders(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let relay = self.clone();
            tokio::spawn(async move {
                let name = relay.terms.name.clone();
                relay.tap.put(What::Stream { relay: name.clone(), open: true });
                let restarted = relay.restarted.notified();
                tokio::select! {
                    _ = relay.converse(stream) => {}
                    () = restarted => {}
                }
                relay.tap.put(What::Stream { relay: name, open: false });
            });
        }
    }

    async fn converse(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut feed, mut session) = (Feed::default(), Session::new(Level::Admin));
        loop {
            while let Ok(Some(commands)) = feed.next_line() {
                let orders = commands.iter().any(changes);
                let long = |stall: &mut Stall| match *stall {
                    Stall::Still(after, _) | Stall::Break(after) => commands.len() > after,
                };
                let stall = if orders { lock(&self.stall).take_if(long) } else { None };
                if orders {
                    self.tap.put(What::Line { relay: self.terms.name.clone(), commands: commands.len() });
                }
                let mut out = String::new();
                for (number, command) in commands.iter().enumerate() {
                    if !self.pause(stall, number, &mut stream, &mut out).await? {
                        return Ok(());
                    }
                    if self.carry_out(&mut session, command, &mut out) == After::Close {
                        return stream.write_all(out.as_bytes()).await;
                    }
                }
                stream.write_all(out.as_bytes()).await?;
            }
            if stream.read_buf(feed.buffer()).await? == 0 {
                return Ok(());
            }
        }
    }

    fn carry_out(&self, session: &mut Session, command: &Command, out: &mut String) -> After {
        let before = out.len();
        let after = session.command(command, &mut *self.held(), out);
        if changes(command) {
            let answer = out[before..].trim().to_string();
            self.tap.put(What::Order { relay: self.terms.name.clone(), command: command.text(), answer });
        }
        session.end(out);
        after
    }

    /// Whether the stream goes on.
    async fn pause(
        &self,
        stall: Option<Stall>,
        number: usize,
        stream: &mut TcpStream,
        out: &mut String,
    ) -> io::Result<bool> {
        let stalled = |on| What::Stalled { relay: self.terms.name.clone(), on };
        match stall {
            Some(Stall::Still(after, time)) if number == after => {
                stream.write_all(std::mem::take(out).as_bytes()).await?;
                self.tap.put(stalled(true));
                tokio::time::sleep(time).await;
                self.tap.put(stalled(false));
                Ok(true)
            }
            Some(Stall::Break(after)) if number == after => Ok(false),
            _ => Ok(true),
        }
    }

    async fn take_visits(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let relay = self.clone();
            tokio::spawn(async move {
                let service = service_fn(move |visit| {
                    let relay = relay.clone();
                    async move { Ok::<_, Infallible>(relay.forward(visit).await) }
                });
                let stream = TokioIo::new(stream);
                // A client that breaks off concerns nobody else.
                let _ = hyper::server::conn::http1::Builder::new().serve_connection(stream, service).await;
            });
        }
    }

    async fn forward(&self, visit: Request<Incoming>) -> Response<Full<Bytes>> {
        let class = visit.uri().path().trim_start_matches('/').to_string();
        let id: u64 = crate::header(visit.headers(), "x-visit").unwrap_or(0);
        let patience: u64 = crate::header(visit.headers(), "x-patience-ms").unwrap_or(10_000);
        let ends = self.tap.now() + Duration::from_millis(patience);
        // The draw stays with the visit, so that a client who comes again is refused again.
        let draw = (id as f64 * 0.618_033_988_749_895).fract();
        if !self.held().lets_in(&class, draw) {
            return refuse();
        }
        let (mut tries, mut tried) = (0, None::<String>);
        loop {
            let chosen = self.held().choose(self.tap.now(), &class, tried.as_deref());
            let Choice::Line(chosen) = chosen else { return refuse() };
            let (begun, left) = (self.tap.now(), ends.saturating_sub(self.tap.now()));
            let (ending, answer) = self.send(chosen.address, &class, id, left.min(self.terms.try_most)).await;
            let now = self.tap.now();
            tries += 1;
            let ordered = {
                let mut held = self.held();
                held.ended(now, &chosen, ending, now - begun);
                held.tries_again(&class)
            };
            if !may_try_again(tries, ending, ordered) || now >= ends {
                return answer;
            }
            tried = Some(chosen.server);
        }
    }

    async fn send(
        &self,
        to: SocketAddr,
        class: &str,
        id: u64,
        most: Duration,
    ) -> (Ending, Response<Full<Bytes>>) {
        let visit = Request::get(format!("http://{to}/{class}"))
            .header("x-visit", id)
            .header("x-relay", &self.terms.name)
            .body(Empty::new());
        let Ok(visit) = visit else { return (Ending::Refused, status(400)) };
        match tokio::time::timeout(most, self.client.request(visit)).await {
            Err(_) => (Ending::Late, status(504)),
            Ok(Err(error)) if error.is_connect() => (Ending::Refused, status(502)),
            Ok(Err(_)) => (Ending::Broken, status(502)),
            Ok(Ok(answer)) => {
                let (code, unread) = (answer.status().as_u16(), answer.headers().contains_key("x-unread"));
                match answer.into_body().collect().await {
                    Err(_) => (Ending::Broken, status(502)),
                    Ok(_) if unread => (Ending::TurnedAway, status(503)),
                    Ok(_) => (Ending::Answered(code), status(code)),
                }
            }
        }
    }
}

fn changes(command: &Command) -> bool {
    matches!(command.word(0), Some("add" | "del" | "set" | "commit" | "clear" | "enable" | "disable"))
}

fn begin(terms: &RelayTerms, tap: &Tap) -> Held {
    let servers = terms.standing.iter().map(|(name, _)| name.clone()).collect();
    tap.put(What::Standing { relay: terms.name.clone(), servers });
    Held::new(&terms.name, &terms.classes, &terms.standing, terms.limits, 0)
}

fn status(code: u16) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    answer
}

fn refuse() -> Response<Full<Bytes>> {
    let mut answer = status(503);
    answer.headers_mut().insert("retry-after", hyper::header::HeaderValue::from_static("1"));
    answer
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
