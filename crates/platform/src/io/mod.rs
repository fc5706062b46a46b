//! The sockets, signals and clock of a pilot on the platform.

mod connections;
mod discovery;
mod probes;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until};
use tracing::{info, warn};

use crate::config::Config;
use crate::controller::{ControlPlane, Effect};
use crate::stream::ConnectionId;

use self::connections::Handle;

/// The address of before a restart may take so long to be free.
const BIND_MOST: Duration = Duration::from_secs(5);
const BIND_AGAIN: Duration = Duration::from_millis(50);
/// What happens within so long is decided on together, where the settings state no interval.
const GATHER: Duration = Duration::from_millis(5);
/// A file that can't be used after SIGHUP is read so often, with so long between.
const READ_AGAIN: usize = 10;
const READ_PAUSE: Duration = Duration::from_millis(200);
/// At the end, what was decided is given so long to be written; well below what the platform grants.
const FAREWELL: Duration = Duration::from_millis(300);
const FAREWELL_STEP: Duration = Duration::from_millis(2);
/// All proxies of a fleet may come at once, and so many others with them: the listener's queue takes them.
const OTHERS: u32 = 1024;
/// So often a line of sums is logged.
const SUMS: Duration = Duration::from_secs(5);

/// What all tasks of the pilot share; all run on one thread, and none holds the controller across a wait.
struct Shared {
    controller: RefCell<ControlPlane>,
    start: Instant,
    /// There is news to be decided on.
    news: Notify,
    handles: RefCell<BTreeMap<ConnectionId, Rc<Handle>>>,
    last: Cell<ConnectionId>,
}

impl Shared {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Does what can't wait for the next decisions.
    fn act(self: &Rc<Self>) {
        let effects = self.controller.borrow_mut().effects();
        self.carry_out(effects);
        self.news.notify_one();
    }

    fn carry_out(self: &Rc<Self>, effects: Vec<Effect>) {
        let handles = self.handles.borrow();
        for effect in effects {
            match effect {
                Effect::Write { connection, text } => {
                    handles.get(&connection).iter().for_each(|handle| handle.write(&text))
                }
                Effect::End { connection } => {
                    handles.get(&connection).iter().for_each(|handle| handle.end(false))
                }
                Effect::LastCall { connection } => {
                    handles.get(&connection).iter().for_each(|handle| handle.last_call());
                }
                Effect::Drop { connection } => {
                    handles.get(&connection).iter().for_each(|handle| handle.end(true))
                }
                Effect::Probe { server, address } => {
                    let shared = self.clone();
                    spawn_local(async move {
                        let asks_load = shared.controller.borrow().asks_load;
                        let (finding, took) = probes::probe(address, asks_load).await;
                        shared.controller.borrow_mut().probed(shared.now(), server, address, finding, took);
                        shared.act();
                    });
                }
            }
        }
    }
}

fn wall() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// # Errors
/// The file can't be read or used.
pub fn open(path: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Config::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Runs a pilot until SIGTERM; proxies keep their tables then. SIGHUP reads the file again.
///
/// # Errors
/// A socket can't be had.
pub fn serve(path: &Path, config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        // Before anything else: neither signal may end the pilot by default, however early it comes.
        let mut signals = Signals::new()?;
        let listener = tokio::select! {
            listener = bind(&config) => listener?,
            _ = signals.terminate.recv() => return Ok(()),
        };
        run(path, config, listener, signals).await
    })
}

struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, String> {
        let of = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
        Ok(Signals { terminate: of(SignalKind::terminate())?, hangup: of(SignalKind::hangup())? })
    }
}

async fn run(path: &Path, config: Config, listener: TcpListener, mut signals: Signals) -> Result<(), String> {
    let shared = Rc::new(Shared {
        controller: RefCell::new(ControlPlane::new(&config)),
        start: Instant::now(),
        news: Notify::new(),
        handles: RefCell::default(),
        last: Cell::new(0),
    });
    if let Some(known) = &config.known
        && let Err(fault) = shared.controller.borrow_mut().listed(shared.now(), wall(), known)
    {
        warn!(target: "lockcroft::endpoints", fault, "the list of before can't be used");
    }
    let accepting = spawn_local(connections::accept(listener, shared.clone()));
    let (at, follows) = watch::channel(config.discovery);
    spawn_local(discovery::follow(follows, shared.clone()));
    spawn_local(tell_sums(shared.clone()));
    info!(target: "lockcroft::platform", name = config.name, listen = %config.listen, "started");
    let gather = config.settings.decision_interval.unwrap_or(GATHER);
    loop {
        let due = shared.controller.borrow().next_due();
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => {
                spawn_local(reload(path.to_path_buf(), at.clone()));
            }
            () = shared.news.notified() => sleep(gather).await,
            () = sleep_until((shared.start + due).into()) => {}
        }
        let effects = shared.controller.borrow_mut().decide(shared.now());
        shared.carry_out(effects);
    }
    info!(target: "lockcroft::platform", "told to end; proxies keep their tables");
    accepting.abort();
    let effects = shared.controller.borrow_mut().decide(shared.now());
    shared.carry_out(effects);
    tokio::select! {
        () = all_written(&shared) => {}
        () = sleep(FAREWELL) => {}
        _ = signals.terminate.recv() => {}
    }
    Ok(())
}

/// Nothing that was begun or decided waits for a socket any more.
async fn all_written(shared: &Rc<Shared>) {
    loop {
        sleep(FAREWELL_STEP).await;
        if shared.handles.borrow().values().all(|handle| handle.is_idle()) {
            return;
        }
    }
}

async fn bind(config: &Config) -> Result<TcpListener, String> {
    let (start, address) = (Instant::now(), config.listen);
    let proxies = config.settings.fleet.proxies.unwrap_or(0.0) as u32;
    loop {
        match listen(address, proxies.saturating_add(OTHERS)) {
            Ok(listener) => return Ok(listener),
            Err(_) if start.elapsed() < BIND_MOST => sleep(BIND_AGAIN).await,
            Err(error) => return Err(format!("cannot listen on {address}: {error}")),
        }
    }
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// The address of discovery may change while a pilot runs; the rest holds from start to end. A file that
/// can't be used changes nothing; as it may be half written, it is read a few times more.
async fn reload(path: PathBuf, at: watch::Sender<SocketAddr>) {
    for _ in 0..READ_AGAIN {
        match open(&path) {
            Ok(config) => {
                let new = config.discovery;
                let changed = at.send_if_modified(|now| std::mem::replace(now, new) != new);
                info!(target: "lockcroft::platform", discovery = %new, changed, "read again");
                return;
            }
            Err(fault) => warn!(target: "lockcroft::platform", fault, "what was read before stays"),
        }
        sleep(READ_PAUSE).await;
    }
}

async fn tell_sums(shared: Rc<Shared>) {
    loop {
        sleep(SUMS).await;
        let sums = shared.controller.borrow().sums;
        let connections = shared.handles.borrow().len();
        info!(target: "lockcroft::counters", connections, ?sums);
    }
}
