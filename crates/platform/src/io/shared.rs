//! State shared by all tasks: the control plane, the clock and the handles of connections. All tasks run on one thread,
//! and none keeps a borrow of the control plane across an await point.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use lockcroft::EndpointId;
use lockcroft_runtime_api::ByteBudget;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::connection_handle::{ConnectionHandle, Shutdown};
use super::health_checks;
use crate::config::Config;
use crate::connection_admission::ConnectionId;
use crate::control_plane::{ControlPlane, Effect};

/// The fractions of the memory limit that incomplete messages from clients, and messages that they have not read yet,
/// may occupy for all connections together.
const INPUT_MEMORY_FRACTION: f64 = 0.125;
const OUTPUT_MEMORY_FRACTION: f64 = 0.125;

/// State shared by all tasks.
pub struct Shared {
    pub control_plane: RefCell<ControlPlane>,
    started_at: Instant,
    /// Wakes the tick loop after input that the controller may have to act on.
    pub input_arrived: Notify,
    /// The limit on incomplete messages from all clients.
    pub input_budget: ByteBudget,
    /// The limit on unwritten messages to all clients.
    output_budget: ByteBudget,
    handles: RefCell<BTreeMap<ConnectionId, Rc<ConnectionHandle>>>,
    last_connection: Cell<ConnectionId>,
}

/// An accepted connection and the handle of its task.
pub struct AcceptedConnection {
    pub connection: ConnectionId,
    pub handle: Rc<ConnectionHandle>,
}

impl Shared {
    /// Creates the shared state with a new control plane and starts the clock.
    pub fn new(config: &Config) -> Rc<Self> {
        Rc::new(Shared {
            control_plane: RefCell::new(ControlPlane::new(config)),
            started_at: Instant::now(),
            input_arrived: Notify::new(),
            input_budget: memory_budget(config, INPUT_MEMORY_FRACTION),
            output_budget: memory_budget(config, OUTPUT_MEMORY_FRACTION),
            handles: RefCell::default(),
            last_connection: Cell::new(0),
        })
    }

    /// Returns the time since startup, the clock of the control plane.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Converts a time since startup to an instant of the runtime's clock.
    pub fn instant(&self, time: Duration) -> tokio::time::Instant {
        (self.started_at + time).into()
    }

    /// Adds an accepted connection.
    pub fn add_connection(&self) -> AcceptedConnection {
        let connection = self.last_connection.get() + 1;
        self.last_connection.set(connection);
        let handle = Rc::new(ConnectionHandle::new(&self.output_budget));
        self.handles.borrow_mut().insert(connection, handle.clone());
        self.control_plane.borrow_mut().connection_accepted(self.now(), connection);
        self.input_arrived.notify_one();
        AcceptedConnection { connection, handle }
    }

    /// Removes a connection whose socket is closed.
    pub fn remove_connection(self: &Rc<Self>, connection: ConnectionId) {
        self.handles.borrow_mut().remove(&connection);
        self.control_plane.borrow_mut().connection_closed(connection);
        self.after_input();
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.handles.borrow().len()
    }

    /// Returns true if all output of all connections was written.
    pub fn all_written(&self) -> bool {
        self.handles.borrow().values().all(|handle| handle.is_idle())
    }

    /// Carries out queued effects, and wakes the tick loop to run the controller.
    pub fn after_input(self: &Rc<Self>) {
        let effects = self.control_plane.borrow_mut().take_effects();
        self.carry_out(effects);
        self.input_arrived.notify_one();
    }

    /// Runs the controller and carries out its effects.
    pub fn decide(self: &Rc<Self>) {
        let effects = self.control_plane.borrow_mut().decide(self.now());
        self.carry_out(effects);
    }

    /// Carries out effects. Those on closed connections are ignored.
    pub fn carry_out(self: &Rc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Write { connection, text } => {
                    self.with_handle(connection, |handle| handle.write(&text))
                }
                Effect::Close { connection } => {
                    self.with_handle(connection, |handle| handle.shut_down(Shutdown::AfterWrites));
                }
                Effect::FinalRead { connection } => {
                    self.with_handle(connection, ConnectionHandle::request_final_read)
                }
                Effect::Abort { connection } => {
                    self.with_handle(connection, |handle| handle.shut_down(Shutdown::Now));
                }
                Effect::CheckHealth { endpoint, address } => self.start_health_check(endpoint, address),
            }
        }
    }

    /// Starts a task that checks an endpoint and passes the outcome to the control plane.
    fn start_health_check(self: &Rc<Self>, endpoint: EndpointId, address: SocketAddr) {
        let shared = self.clone();
        spawn_local(async move {
            let requests_load = shared.control_plane.borrow().requests_load_reports();
            let (outcome, duration) = health_checks::check(address, requests_load).await;
            let now = shared.now();
            let mut control_plane = shared.control_plane.borrow_mut();
            control_plane.health_check_finished(now, endpoint, address, outcome, duration);
            drop(control_plane);
            shared.after_input();
        });
    }

    /// Calls a function with the handle of a connection, unless its socket is closed.
    fn with_handle(&self, connection: ConnectionId, call: impl FnOnce(&ConnectionHandle)) {
        if let Some(handle) = self.handles.borrow().get(&connection) {
            call(handle);
        }
    }
}

fn memory_budget(config: &Config, fraction: f64) -> ByteBudget {
    ByteBudget::new((config.max_memory_bytes as f64 * fraction) as usize)
}

/// Returns the current time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
