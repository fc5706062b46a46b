//! The event loop: one thread that takes in what happened, lets the fleet controller decide, and carries out what
//! comes of it. Everything that may block or wait is a task or a thread that reports back by an event.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use lockcroft_config::{DaemonConfig, EndpointListSource};
use lockcroft_fleet::{Effect, FleetController, SolverTask};
use lockcroft_runtime_api::{Address, Listener};
use lockcroft_signals::{ReceivedSignal, Signals};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tracing::info;

use crate::endpoint_list_watcher::EndpointListWatcher;
use crate::error::DaemonError;
use crate::event::{Event, EventSender};
use crate::health_checks::{HealthCheckResult, check_health};
use crate::logging::Logging;
use crate::operator_commands::OperatorCommands;
use crate::proxy_connections::ProxyConnection;
use crate::snapshot_publisher::SnapshotPublisher;
use crate::state_writer::{OpenedState, StateWriter};
use crate::{snapshot_status, warn_operators};

/// So many events may wait; who has more is read no further until there is room.
const MAX_WAITING_EVENTS: usize = 4096;
/// So many of them are taken in before the controller decides.
const MAX_EVENTS_PER_ROUND: usize = 512;
/// How long the threads that write may take at the end.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
const FINAL_WRITE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Runs a controller until a signal ends it.
pub async fn run(config: &DaemonConfig, logging: Logging, mut signals: Signals) -> Result<(), DaemonError> {
    let mut event_loop = EventLoop::start(config, logging).await?;
    info!(target: "lockcroft::daemon", name = config.name, proxies = config.proxies.len(), "started");
    event_loop.run_until_terminated(&mut signals).await;
    info!(target: "lockcroft::daemon", "told to end; proxies keep their tables");
    tokio::select! {
        () = event_loop.finish_writes() => {}
        () = signals.recv_termination() => warn_operators("told to end again: what was being written may be lost"),
    }
    for listener in &config.listeners {
        if let Address::Unix(path) = &listener.address {
            let _ = std::fs::remove_file(path);
        }
    }
    Ok(())
}

struct EventLoop {
    /// The controller's clock begins here.
    start: Instant,
    /// Shared with the sessions of the runtime API; borrowed for one step at a time, and never while waiting.
    commands: Rc<RefCell<OperatorCommands>>,
    /// An operator's command may have changed something.
    wake: Rc<Notify>,
    sender: EventSender,
    receiver: mpsc::Receiver<Event>,
    connections: Vec<ProxyConnection>,
    /// Has the endpoint list's file read again, where it is in a file.
    reread: Option<Rc<Notify>>,
    state_writer: Option<StateWriter>,
    snapshot_publisher: Option<SnapshotPublisher>,
    /// All tasks of the daemon; they end with the event loop.
    tasks: JoinSet<()>,
}

impl EventLoop {
    async fn start(config: &DaemonConfig, logging: Logging) -> Result<Self, DaemonError> {
        let start = Instant::now();
        let epoch = milliseconds_since_1970(SystemTime::now());
        let reread = Rc::new(Notify::new());
        let fleet = FleetController::new(config, epoch);
        let commands = OperatorCommands::new(fleet, logging, reread.clone());
        let (sender, receiver) = mpsc::channel(MAX_WAITING_EVENTS);
        let mut event_loop = EventLoop {
            start,
            commands: Rc::new(RefCell::new(commands)),
            wake: Rc::new(Notify::new()),
            sender,
            receiver,
            connections: Vec::new(),
            reread: matches!(config.endpoints, EndpointListSource::File(..)).then(|| reread.clone()),
            state_writer: None,
            snapshot_publisher: None,
            tasks: JoinSet::new(),
        };
        event_loop.listen(config).await?;
        event_loop.open_connections(config);
        if let Some(directory) = &config.state_directory {
            event_loop.open_state(config, directory);
        }
        event_loop.start_snapshots(config)?;
        event_loop.start_endpoint_list(config, reread).await;
        Ok(event_loop)
    }

    /// Opens the sockets of the runtime API.
    async fn listen(&mut self, config: &DaemonConfig) -> Result<(), DaemonError> {
        for listener_config in &config.listeners {
            let address = &listener_config.address;
            let listener = Listener::bind(address)
                .await
                .map_err(|source| DaemonError::Listen { address: address.clone(), source })?;
            let wake = self.wake.clone();
            let handler = self.commands.clone();
            let level = listener_config.access_level;
            self.tasks.spawn_local(lockcroft_runtime_api::serve(listener, level, handler, move || {
                wake.notify_one();
            }));
        }
        Ok(())
    }

    /// Makes a task for each proxy; it connects once the controller says so.
    fn open_connections(&mut self, config: &DaemonConfig) {
        for (proxy, proxy_config) in config.proxies.iter().enumerate() {
            let address = proxy_config.address.clone();
            let connection = ProxyConnection::spawn(proxy, address, self.sender.clone(), &mut self.tasks);
            self.connections.push(connection);
        }
    }

    fn open_state(&mut self, config: &DaemonConfig, directory: &Path) {
        let opened = StateWriter::open(config, directory, self.sender.clone());
        let Some(OpenedState { writer, recovered }) = opened else { return };
        self.commands.borrow_mut().fleet.restore_state(recovered);
        self.state_writer = Some(writer);
    }

    fn start_snapshots(&mut self, config: &DaemonConfig) -> Result<(), DaemonError> {
        let Some(files) = &config.table_files else { return Ok(()) };
        let publisher = SnapshotPublisher::start(files, &config.name, self.sender.clone())?;
        self.snapshot_publisher = Some(publisher);
        let start = SystemTime::now().checked_sub(self.start.elapsed()).unwrap_or(SystemTime::UNIX_EPOCH);
        let directory = files.directory.clone();
        let watch = snapshot_status::watch(directory, files.poll_interval, start, self.sender.clone());
        self.tasks.spawn_local(watch);
        Ok(())
    }

    async fn start_endpoint_list(&mut self, config: &DaemonConfig, reread: Rc<Notify>) {
        match &config.endpoints {
            EndpointListSource::Inline(list) => {
                let _ = self.sender.send(Event::EndpointListRead(list.clone())).await;
            }
            EndpointListSource::File(path, interval) => {
                let watcher = EndpointListWatcher {
                    path: path.clone(),
                    interval: *interval,
                    names: config.names.clone(),
                    max_weight: config.max_weight(),
                    reread,
                    events: self.sender.clone(),
                };
                self.tasks.spawn_local(watcher.run());
            }
        }
    }

    async fn run_until_terminated(&mut self, signals: &mut Signals) {
        let mut events = Vec::new();
        loop {
            let due = self.start + self.commands.borrow().fleet.next_due();
            tokio::select! {
                _ = self.receiver.recv_many(&mut events, MAX_EVENTS_PER_ROUND) => {}
                () = tokio::time::sleep_until(due.into()) => {}
                () = self.wake.notified() => {}
                received = signals.recv() => match received {
                    ReceivedSignal::Terminate => return,
                    ReceivedSignal::Hangup => self.reload(),
                }
            }
            for effect in self.decide(&mut events) {
                self.carry_out(effect);
            }
            // Tasks that have ended are let go.
            while self.tasks.try_join_next().is_some() {}
            // Connections get their turn before there is more for them.
            tokio::task::yield_now().await;
        }
    }

    /// Waits for what was handed to the threads that write, for a while.
    async fn finish_writes(&mut self) {
        // A thread that reports what it wrote would else wait for room.
        self.receiver.close();
        let learned = self.commands.borrow_mut().fleet.record_all_state(self.start.elapsed());
        learned.into_iter().for_each(|effect| self.carry_out(effect));
        self.state_writer.iter_mut().for_each(StateWriter::close);
        self.snapshot_publisher.iter_mut().for_each(SnapshotPublisher::close);
        let deadline = Instant::now() + FINAL_WRITE_TIMEOUT;
        while !self.all_written() {
            if Instant::now() >= deadline {
                warn_operators("the disk is too slow: what was being written at the end may be lost");
                return;
            }
            tokio::time::sleep(FINAL_WRITE_POLL_INTERVAL).await;
        }
    }

    fn all_written(&self) -> bool {
        self.state_writer.as_ref().is_none_or(StateWriter::has_ended)
            && self.snapshot_publisher.as_ref().is_none_or(SnapshotPublisher::has_ended)
    }

    /// Reads the endpoint list again, the only file that may change while the controller runs.
    fn reload(&self) {
        match &self.reread {
            Some(reread) => {
                info!(target: "lockcroft::daemon", "SIGHUP: the endpoint list is read again");
                reread.notify_one();
            }
            None => {
                info!(target: "lockcroft::daemon", "SIGHUP: nothing to reload, the endpoint list is in the settings")
            }
        }
    }

    fn decide(&self, events: &mut Vec<Event>) -> Vec<Effect> {
        let fleet = &mut self.commands.borrow_mut().fleet;
        for event in events.drain(..) {
            event.take_in(fleet, self.start.elapsed());
        }
        fleet.run_actions(self.start.elapsed())
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::CheckHealth { endpoint, address } => {
                let events = self.sender.clone();
                self.tasks.spawn_local(async move {
                    let HealthCheckResult { outcome, latency } = check_health(address).await;
                    let _ = events.send(Event::HealthCheckFinished { endpoint, outcome, latency }).await;
                });
            }
            Effect::Solve(task) => {
                let events = self.sender.clone();
                self.tasks.spawn_local(async move {
                    let _ = events.send(solve(task).await).await;
                });
            }
            // Without a folder no proxy reads files, and no snapshot is given out.
            Effect::PublishSnapshot(publication) => {
                if let Some(publisher) = &self.snapshot_publisher {
                    publisher.write(publication);
                }
            }
            Effect::SaveState(entries) => {
                if let Some(writer) = &self.state_writer {
                    writer.write(entries);
                }
            }
            Effect::Connect { proxy, connection, after } => {
                self.connections[proxy].connect(connection, after)
            }
            Effect::Write { proxy, connection, text } => self.connections[proxy].write(connection, text),
            Effect::Close { proxy } => self.connections[proxy].close(),
        }
    }
}

/// Off the thread that decides; the last answer stands meanwhile.
async fn solve(task: Arc<SolverTask>) -> Event {
    let solved = tokio::task::spawn_blocking(move || lockcroft_solver::solve(&task.problem)).await;
    let solved = solved.map_err(|error| error.to_string());
    let solved = solved.and_then(|solved| solved.map_err(|error| error.to_string()));
    let answer = solved.inspect_err(|error| warn_operators(&format!("no plan: {error}"))).ok();
    Event::PlanSolved { answer }
}

fn milliseconds_since_1970(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
