//! The event loop: a single thread that passes events to the fleet controller and executes the effects that it returns.
//! Whatever may block or wait runs in a task or a thread that sends its result back as an event.

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

/// The capacity of the event channel. While it is full, the tasks wait and read no more from their sockets.
const EVENT_CHANNEL_CAPACITY: usize = 4096;
/// The most events that are processed before the controller decides.
const MAX_EVENTS_PER_ROUND: usize = 512;
/// The time limit for the writer threads to finish at shutdown.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
const FINAL_WRITE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Runs a controller until the process receives SIGTERM or SIGINT.
pub async fn run(config: &DaemonConfig, logging: Logging, mut signals: Signals) -> Result<(), DaemonError> {
    let mut event_loop = EventLoop::start(config, logging).await?;
    info!(target: "lockcroft::daemon", name = config.name, proxies = config.proxies.len(), "started");
    event_loop.run_until_terminated(&mut signals).await;
    info!(target: "lockcroft::daemon", "received SIGTERM or SIGINT, shutting down; proxies keep their tables");
    tokio::select! {
        () = event_loop.finish_writes() => {}
        () = signals.recv_termination() => {
            warn_operators("received a second SIGTERM or SIGINT; unfinished writes may be lost");
        }
    }
    for listener in &config.listeners {
        if let Address::Unix(path) = &listener.address {
            let _ = std::fs::remove_file(path);
        }
    }
    Ok(())
}

struct EventLoop {
    /// The start of the controller's clock.
    started_at: Instant,
    /// Shared with the sessions of the runtime API. Borrowed for one step at a time, and never across an `await`.
    commands: Rc<RefCell<OperatorCommands>>,
    /// Notified after each command line of an operator, which may have changed the controller's state.
    command_executed: Rc<Notify>,
    event_sender: EventSender,
    event_receiver: mpsc::Receiver<Event>,
    /// Indexed by proxy.
    connections: Vec<ProxyConnection>,
    /// Notified to reload the endpoint list file; `None` if the settings contain the endpoint list.
    reload_requested: Option<Rc<Notify>>,
    state_writer: Option<StateWriter>,
    snapshot_publisher: Option<SnapshotPublisher>,
    /// All tasks of the daemon. They are aborted when the event loop is dropped.
    tasks: JoinSet<()>,
}

impl EventLoop {
    async fn start(config: &DaemonConfig, logging: Logging) -> Result<Self, DaemonError> {
        let started_at = Instant::now();
        let epoch = milliseconds_since_1970(SystemTime::now());
        let reload_requested = Rc::new(Notify::new());
        let fleet = FleetController::new(config, epoch);
        let commands = OperatorCommands::new(fleet, logging, reload_requested.clone());
        let (event_sender, event_receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let mut event_loop = EventLoop {
            started_at,
            commands: Rc::new(RefCell::new(commands)),
            command_executed: Rc::new(Notify::new()),
            event_sender,
            event_receiver,
            connections: Vec::new(),
            reload_requested: matches!(config.endpoints, EndpointListSource::File(..))
                .then(|| reload_requested.clone()),
            state_writer: None,
            snapshot_publisher: None,
            tasks: JoinSet::new(),
        };
        event_loop.listen(config).await?;
        event_loop.spawn_proxy_connections(config);
        if let Some(directory) = &config.state_directory {
            event_loop.open_state_store(config, directory);
        }
        event_loop.start_table_files(config)?;
        event_loop.start_endpoint_list(config, reload_requested).await;
        Ok(event_loop)
    }

    /// Binds the listening sockets of the runtime API and serves them.
    async fn listen(&mut self, config: &DaemonConfig) -> Result<(), DaemonError> {
        for listener_config in &config.listeners {
            let address = &listener_config.address;
            let listener = Listener::bind(address)
                .await
                .map_err(|source| DaemonError::Listen { address: address.clone(), source })?;
            let command_executed = self.command_executed.clone();
            let handler = self.commands.clone();
            let level = listener_config.access_level;
            self.tasks.spawn_local(lockcroft_runtime_api::serve(listener, level, handler, move || {
                command_executed.notify_one();
            }));
        }
        Ok(())
    }

    /// Spawns a task per proxy, which connects once the controller requests it.
    fn spawn_proxy_connections(&mut self, config: &DaemonConfig) {
        for (proxy, proxy_config) in config.proxies.iter().enumerate() {
            let address = proxy_config.address.clone();
            let connection =
                ProxyConnection::spawn(proxy, address, self.event_sender.clone(), &mut self.tasks);
            self.connections.push(connection);
        }
    }

    /// Opens the store of learned state and restores the controller's state from it. Without a usable store, no learned
    /// state is persisted.
    fn open_state_store(&mut self, config: &DaemonConfig, directory: &Path) {
        let opened = StateWriter::open(config, directory, self.event_sender.clone());
        let Some(OpenedState { writer, recovered }) = opened else { return };
        self.commands.borrow_mut().fleet.restore_state(recovered);
        self.state_writer = Some(writer);
    }

    /// Starts to write table files and to watch the status files of proxies, if table files are configured.
    fn start_table_files(&mut self, config: &DaemonConfig) -> Result<(), DaemonError> {
        let Some(files) = &config.table_files else { return Ok(()) };
        let publisher = SnapshotPublisher::start(files, &config.name, self.event_sender.clone())?;
        self.snapshot_publisher = Some(publisher);
        let start =
            SystemTime::now().checked_sub(self.started_at.elapsed()).unwrap_or(SystemTime::UNIX_EPOCH);
        let directory = files.directory.clone();
        let watch = snapshot_status::watch(directory, files.poll_interval, start, self.event_sender.clone());
        self.tasks.spawn_local(watch);
        Ok(())
    }

    /// Sends the endpoint list of the settings to the controller, or starts to watch the endpoint list file.
    async fn start_endpoint_list(&mut self, config: &DaemonConfig, reload_requested: Rc<Notify>) {
        match &config.endpoints {
            EndpointListSource::Inline(list) => {
                let _ = self.event_sender.send(Event::EndpointListRead(list.clone())).await;
            }
            EndpointListSource::File(path, interval) => {
                let watcher = EndpointListWatcher {
                    path: path.clone(),
                    interval: *interval,
                    names: config.names.clone(),
                    max_weight: config.max_weight(),
                    reload_requested,
                    events: self.event_sender.clone(),
                };
                self.tasks.spawn_local(watcher.run());
            }
        }
    }

    async fn run_until_terminated(&mut self, signals: &mut Signals) {
        let mut events = Vec::new();
        loop {
            let deadline = self.started_at + self.commands.borrow().fleet.next_due();
            tokio::select! {
                _ = self.event_receiver.recv_many(&mut events, MAX_EVENTS_PER_ROUND) => {}
                () = tokio::time::sleep_until(deadline.into()) => {}
                () = self.command_executed.notified() => {}
                received = signals.recv() => match received {
                    ReceivedSignal::Terminate => return,
                    ReceivedSignal::Hangup => self.reload(),
                }
            }
            for effect in self.process_events(&mut events) {
                self.execute(effect);
            }
            // Removes the tasks that have ended.
            while self.tasks.try_join_next().is_some() {}
            // Lets the connections send what they were given before the next round adds more.
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the writer threads have written their queues, for at most [`FINAL_WRITE_TIMEOUT`].
    async fn finish_writes(&mut self) {
        // A writer thread that reports its result would otherwise block while the channel is full.
        self.event_receiver.close();
        let effects = self.commands.borrow_mut().fleet.record_all_state(self.started_at.elapsed());
        effects.into_iter().for_each(|effect| self.execute(effect));
        self.state_writer.iter_mut().for_each(StateWriter::close);
        self.snapshot_publisher.iter_mut().for_each(SnapshotPublisher::close);
        let deadline = Instant::now() + FINAL_WRITE_TIMEOUT;
        while !self.all_written() {
            if Instant::now() >= deadline {
                warn_operators("writes did not finish in time at shutdown; unfinished writes may be lost");
                return;
            }
            tokio::time::sleep(FINAL_WRITE_POLL_INTERVAL).await;
        }
    }

    fn all_written(&self) -> bool {
        self.state_writer.as_ref().is_none_or(StateWriter::has_ended)
            && self.snapshot_publisher.as_ref().is_none_or(SnapshotPublisher::has_ended)
    }

    /// Reloads the endpoint list file. No other setting can change while the controller runs.
    fn reload(&self) {
        match &self.reload_requested {
            Some(reload_requested) => {
                info!(target: "lockcroft::daemon", "received SIGHUP, reloading the endpoint list");
                reload_requested.notify_one();
            }
            None => {
                info!(target: "lockcroft::daemon", "received SIGHUP, nothing to reload: the endpoint list is in the settings")
            }
        }
    }

    /// Passes the events to the controller and returns the effects of its decisions.
    fn process_events(&self, events: &mut Vec<Event>) -> Vec<Effect> {
        let fleet = &mut self.commands.borrow_mut().fleet;
        for event in events.drain(..) {
            event.apply(fleet, self.started_at.elapsed());
        }
        fleet.run_actions(self.started_at.elapsed())
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::CheckHealth { endpoint, address } => {
                let events = self.event_sender.clone();
                self.tasks.spawn_local(async move {
                    let HealthCheckResult { outcome, latency } = check_health(address).await;
                    let _ = events.send(Event::HealthCheckFinished { endpoint, outcome, latency }).await;
                });
            }
            Effect::Solve(task) => {
                let events = self.event_sender.clone();
                self.tasks.spawn_local(async move {
                    let _ = events.send(solve(task).await).await;
                });
            }
            // The controller publishes snapshots only if table files are configured.
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

/// Solves a planning problem on a blocking thread. Until it finishes, the previous plan stays in effect.
async fn solve(task: Arc<SolverTask>) -> Event {
    let solved = tokio::task::spawn_blocking(move || lockcroft_solver::solve(&task.problem)).await;
    let solved = solved.map_err(|error| error.to_string());
    let solved = solved.and_then(|solved| solved.map_err(|error| error.to_string()));
    let solution = solved
        .inspect_err(|error| warn_operators(&format!("solver failed, keeping the previous plan: {error}")))
        .ok();
    Event::PlanSolved { solution }
}

fn milliseconds_since_1970(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
