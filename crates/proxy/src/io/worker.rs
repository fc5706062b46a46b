//! What all tasks of a proxy share. They run on one thread, so that no request waits for a lock.

use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockcroft_runtime_api::{Command, SessionState};
use tokio::sync::{Mutex, Notify, watch};

use super::connection_pool::ConnectionPool;
use super::latencies::Latencies;
use crate::commands::changes_state;
use crate::config::ProxyConfig;
use crate::control_session::ControlSession;
use crate::retry_budget::RetryBudget;
use crate::routing::RoutingState;

/// The shared state of a running proxy. No borrow of a cell may be held over an `await`.
pub struct Worker {
    pub config: ProxyConfig,
    started_at: Instant,
    state: RefCell<RoutingState>,
    /// Held while a batch of commands is being staged: the next one waits.
    staging: Mutex<()>,
    pub connections: RefCell<ConnectionPool>,
    pub retry_budget: RefCell<RetryBudget>,
    pub latencies: RefCell<Latencies>,
    /// An attempt ended or tables changed: an endpoint may have capacity.
    pub capacity: Notify,
    /// Requests that wait for capacity.
    pub queued_requests: Rc<Cell<usize>>,
    pub clients: Rc<Cell<usize>>,
    phase: watch::Sender<Phase>,
}

/// What becomes of client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Running,
    /// No new ones are accepted, and those that are open end with their next response.
    Draining,
    /// All end at once, control connections too.
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
            connections: RefCell::new(ConnectionPool::new(config.idle_timeout)),
            retry_budget: RefCell::new(RetryBudget::new(config.retry_ratio)),
            latencies: RefCell::default(),
            capacity: Notify::new(),
            queued_requests: state.queued_requests.clone(),
            clients: Rc::default(),
            state: RefCell::new(state),
            phase: watch::Sender::new(Phase::Running),
            config,
        }
    }

    /// The routing state. The borrow must end before the next `await`.
    pub fn state(&self) -> RefMut<'_, RoutingState> {
        self.state.borrow_mut()
    }

    /// Time since the start of the proxy.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Has client connections end with what they are at.
    pub fn drain(&self) {
        self.phase.send_modify(|phase| *phase = Phase::Draining.max(*phase));
    }

    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() >= Phase::Draining
    }

    /// Waits until the proxy drains or is stopped.
    pub async fn draining(&self) {
        self.reached(Phase::Draining).await;
    }

    /// Ends all connections.
    pub fn stop(&self) {
        self.phase.send_replace(Phase::Stopped);
    }

    /// Waits until the proxy is stopped.
    pub async fn stopped(&self) {
        self.reached(Phase::Stopped).await;
    }

    async fn reached(&self, wanted: Phase) {
        // The sender lives as long as this, so waiting can't fail.
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= wanted).await;
    }

    /// Carries out a line of commands. Requests have their turn between its steps; other lines that change
    /// something wait until this one is through.
    pub async fn execute(
        &self,
        commands: Vec<Command>,
        queue: &mut ControlSession,
        out: &mut String,
    ) -> SessionState {
        let count = commands.len();
        let has_changes = commands.iter().any(changes_state);
        let _exclusive = if has_changes { Some(self.staging.lock().await) } else { None };
        let mut transaction = queue.begin(commands, &self.state());
        while !queue.step(&mut transaction) {
            tokio::task::yield_now().await;
        }
        let session_state = queue.finish(transaction, &mut self.state(), out);
        tracing::debug!(target: "lockcroft::command", commands = count, "executed");
        session_state
    }

    /// Blocks the whole proxy, where the configuration asks for this fault.
    pub fn stall(&self, commands: &[Command]) {
        let count = commands.iter().filter(|command| changes_state(command)).count();
        let stall = self.config.stall_per_command * count as u32;
        if !stall.is_zero() {
            std::thread::sleep(stall);
        }
    }
}
