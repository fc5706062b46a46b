//! What the host is to carry out for the fleet controller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lockcroft::{EndpointId, ProxyId};
use lockcroft_state_store::Entry;

use crate::planner::SolverTask;
use crate::publication::Publication;

/// One piece of work for the host's sockets, files and threads.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the endpoint, and report to [`crate::FleetController::health_check_finished`].
    CheckHealth {
        /// The endpoint to be checked.
        endpoint: EndpointId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Connect to the proxy, and report to [`crate::FleetController::connected`] or
    /// [`crate::FleetController::disconnected`].
    Connect {
        /// The proxy to be connected.
        proxy: ProxyId,
        /// The number of the connection, to be given back with each report of it.
        connection: u64,
        /// How long to wait before the attempt.
        after: Duration,
    },
    /// Write commands to the proxy.
    Write {
        /// The proxy that is addressed.
        proxy: ProxyId,
        /// The connection that the commands belong to; on any other they are dropped.
        connection: u64,
        /// Lines of the runtime API.
        text: String,
    },
    /// Write this snapshot of table files, and report to [`crate::FleetController::snapshot_written`].
    PublishSnapshot(Arc<Publication>),
    /// Persist these entries across restarts, off the thread that decides.
    SaveState(Vec<Entry>),
    /// Solve this, off the thread that decides, and report to [`crate::FleetController::plan_solved`].
    Solve(Arc<SolverTask>),
    /// Give up the connection to the proxy; nothing that still arrives on it counts.
    Close {
        /// The proxy that is disconnected.
        proxy: ProxyId,
    },
}
