//! The state that all tasks of a proxy share. The tasks run on one thread, so that no request waits for a
//! lock.

use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockcroft_runtime_api::{ByteBudget, Command, MAX_UNREAD_RESPONSE_BYTES, SessionState};
use tokio::sync::{Mutex, Notify, watch};

use super::connection_pool::ConnectionPool;
use super::latencies::Latencies;
use crate::commands::changes_state;
use crate::config::ProxyConfig;
use crate::control_session::ControlSession;
use crate::retry_budget::RetryBudget;
use crate::routing::RoutingState;

/// The limit on the heads and buffered bodies of all requests and responses together.
const MAX_BUFFERED_BYTES: usize = 64 << 20;

/// The shared state of a running proxy. A borrow of a cell must not be held across an `await`: another task
/// that borrows it would panic.
pub struct Worker {
    pub config: ProxyConfig,
    started_at: Instant,
    state: RefCell<RoutingState>,
    /// Held while a batch of commands is staged, so that the next batch waits.
    staging: Mutex<()>,
    pub connection_pool: RefCell<ConnectionPool>,
    pub retry_budget: RefCell<RetryBudget>,
    pub latencies: RefCell<Latencies>,
    /// Notified when an attempt ended or tables changed, after which an endpoint may have capacity.
    pub capacity_changed: Notify,
    /// The limit on heads and buffered bodies, and the bytes that are reserved for them.
    pub buffered_bytes: ByteBudget,
    /// The limit on responses to commands that their clients have not read, and their bytes.
    pub unread_responses: ByteBudget,
    /// The number of requests that wait for capacity.
    pub queued_requests: Rc<Cell<usize>>,
    /// The number of open client connections.
    pub client_connections: Rc<Cell<usize>>,
    phase: watch::Sender<Phase>,
}

/// The phase of the proxy's lifecycle. Phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Running,
    /// No client connections are accepted, and open ones are closed after their next response or when idle.
    Draining,
    /// All connections are closed, including control connections.
    Stopped,
}

impl Worker {
    pub fn new(config: ProxyConfig) -> Self {
        let classes: Vec<String> = config.classes.iter().map(|(name, _)| name.clone()).collect();
        let state =
            RoutingState::new(&config.name, &classes, &config.default_table, config.limits, config.seed);
        Worker {
            started_at: Instant::now(),
            staging: Mutex::new(()),
            connection_pool: RefCell::new(ConnectionPool::new(config.idle_timeout)),
            retry_budget: RefCell::new(RetryBudget::new(config.retry_ratio)),
            latencies: RefCell::default(),
            capacity_changed: Notify::new(),
            buffered_bytes: ByteBudget::new(MAX_BUFFERED_BYTES),
            unread_responses: ByteBudget::new(MAX_UNREAD_RESPONSE_BYTES),
            queued_requests: state.queued_requests.clone(),
            client_connections: Rc::default(),
            state: RefCell::new(state),
            phase: watch::Sender::new(Phase::Running),
            config,
        }
    }

    /// Borrows the routing state. The borrow must end before the next `await`.
    ///
    /// # Panics
    /// Panics if the state is already borrowed.
    pub fn state(&self) -> RefMut<'_, RoutingState> {
        self.state.borrow_mut()
    }

    /// Returns the time since the start of the proxy.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Starts draining client connections.
    pub fn drain(&self) {
        self.phase.send_modify(|phase| *phase = Phase::Draining.max(*phase));
    }

    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() >= Phase::Draining
    }

    /// Waits until the proxy drains or is stopped.
    pub async fn wait_until_draining(&self) {
        self.wait_for_phase(Phase::Draining).await;
    }

    /// Closes all connections.
    pub fn stop(&self) {
        self.phase.send_replace(Phase::Stopped);
    }

    /// Waits until the proxy is stopped.
    pub async fn wait_until_stopped(&self) {
        self.wait_for_phase(Phase::Stopped).await;
    }

    /// Waits until the proxy is in this phase or a later one.
    async fn wait_for_phase(&self, awaited: Phase) {
        // Waiting can't fail, as `self` owns the sender.
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= awaited).await;
    }

    /// Executes a line of commands and appends the answers to `out`. It yields to requests between steps. A
    /// line that changes state waits until other such lines have been executed. If the future is dropped
    /// before the last step, or if too many answers of all connections are waiting, the routing state is
    /// unchanged.
    pub async fn execute(
        &self,
        commands: Vec<Command>,
        session: &mut ControlSession,
        out: &mut String,
    ) -> SessionState {
        let count = commands.len();
        let has_changes = commands.iter().any(changes_state);
        let _staging_guard = if has_changes { Some(self.staging.lock().await) } else { None };
        let mut transaction = session.begin(commands, &self.state());
        let mut reservation = self.unread_responses.reservation();
        while !session.step(&mut transaction) {
            if let Err(error) = reservation.try_resize(transaction.answer_bytes()) {
                out.push_str(&format!("{error}\n\n"));
                return SessionState::Close;
            }
            tokio::task::yield_now().await;
        }
        let session_state = session.finish(transaction, &mut self.state(), out);
        tracing::debug!(target: "lockcroft::command", commands = count, "executed line of commands");
        session_state
    }

    /// Injects the configured fault `stall_per_command`: blocks the thread, and with it the entire proxy, for
    /// this time per command that changes state.
    pub fn inject_stall(&self, commands: &[Command]) {
        let count = commands.iter().filter(|command| changes_state(command)).count();
        let stall = self.config.stall_per_command * count as u32;
        if !stall.is_zero() {
            std::thread::sleep(stall);
        }
    }
}
