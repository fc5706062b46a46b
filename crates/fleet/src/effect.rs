//! Work that the host carries out for the fleet controller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lockcroft::{EndpointId, ProxyId};
use lockcroft_state_store::Entry;

use crate::planner::SolverTask;
use crate::publication::Publication;

/// Work for the host's sockets, files or other threads.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a health check to the endpoint, and report its outcome to
    /// [`crate::FleetController::health_check_finished`].
    CheckHealth {
        /// The endpoint to be checked.
        endpoint: EndpointId,
        /// The address on which it listens.
        address: SocketAddr,
    },
    /// Connect to the proxy, and report to [`crate::FleetController::connected`] or
    /// [`crate::FleetController::disconnected`].
    Connect {
        /// The proxy to connect to.
        proxy: ProxyId,
        /// The number of the connection, to be passed to each report about it.
        connection: u64,
        /// The delay before the attempt.
        after: Duration,
    },
    /// Write commands to the proxy.
    Write {
        /// The proxy to write to.
        proxy: ProxyId,
        /// The connection that the commands belong to; if it is not the current one, they are dropped.
        connection: u64,
        /// Lines of the runtime API.
        text: String,
    },
    /// Write this snapshot of table files, and report to [`crate::FleetController::snapshot_written`].
    PublishSnapshot(Arc<Publication>),
    /// Persist these entries, on a thread other than the controller's.
    SaveState(Vec<Entry>),
    /// Solve this problem on a thread other than the controller's, and report to
    /// [`crate::FleetController::plan_solved`].
    Solve(Arc<SolverTask>),
    /// Close the connection to the proxy; what still arrives on it is ignored.
    Close {
        /// The proxy to disconnect.
        proxy: ProxyId,
    },
}
