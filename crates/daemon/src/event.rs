//! Events that tasks and threads send to the event loop.

use std::time::{Duration, SystemTime};

use lockcroft::{EndpointId, HealthCheckOutcome, ProxyId};
use lockcroft_config::EndpointListConfig;
use lockcroft_fleet::{FleetController, PublishError, SnapshotReport, StateStoreStatus};
use lockcroft_solver::Solution;
use lockcroft_table_store::WrittenSnapshot;
use tokio::sync::mpsc;

use crate::error::ConnectionError;

/// An event of a socket, a file or a thread.
pub enum Event {
    EndpointListRead(EndpointListConfig),
    HealthCheckFinished {
        endpoint: EndpointId,
        outcome: HealthCheckOutcome,
        latency: Duration,
    },
    Connected {
        proxy: ProxyId,
        connection: u64,
    },
    Disconnected {
        proxy: ProxyId,
        connection: u64,
        reason: ConnectionError,
    },
    ResponsesReceived {
        proxy: ProxyId,
        connection: u64,
        responses: Vec<String>,
    },
    /// The solver finished. `solution` is `None` if it failed; the previous plan then stays in effect.
    PlanSolved {
        solution: Option<Solution>,
    },
    SnapshotWritten {
        result: Result<WrittenSnapshot, PublishError>,
    },
    SnapshotsReported {
        reports: Vec<SnapshotReport>,
    },
    StateSaved(StateStoreStatus),
}

/// The sending half of the event channel. The channel is bounded: senders wait while it is full.
pub type EventSender = mpsc::Sender<Event>;

impl Event {
    /// Passes the event to the fleet controller. `now` is the time since the start of the controller's clock.
    pub fn apply(self, fleet: &mut FleetController, now: Duration) {
        match self {
            Event::EndpointListRead(list) => fleet.update_endpoint_list(now, SystemTime::now(), list),
            Event::HealthCheckFinished { endpoint, outcome, latency } => {
                fleet.health_check_finished(now, endpoint, outcome, latency);
            }
            Event::PlanSolved { solution } => fleet.plan_solved(now, solution),
            Event::SnapshotWritten { result } => fleet.snapshot_written(now, result),
            Event::StateSaved(status) => fleet.set_state_store_status(status),
            Event::SnapshotsReported { reports } => {
                for report in reports {
                    fleet.snapshot_reported(now, report);
                }
            }
            Event::Connected { proxy, connection } => fleet.connected(now, proxy, connection),
            Event::Disconnected { proxy, connection, reason } => {
                fleet.disconnected(now, proxy, connection, &reason.to_string());
            }
            Event::ResponsesReceived { proxy, connection, responses } => {
                for response in &responses {
                    fleet.response_received(now, proxy, connection, response);
                }
            }
        }
    }
}
