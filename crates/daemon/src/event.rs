//! What tasks and threads report to the event loop.

use std::time::{Duration, SystemTime};

use lockcroft::{EndpointId, HealthCheckOutcome, ProxyId};
use lockcroft_config::EndpointListConfig;
use lockcroft_fleet::{FleetController, PublishError, SnapshotReport, StateStoreStatus};
use lockcroft_solver::Solution;
use lockcroft_table_store::WrittenSnapshot;
use tokio::sync::mpsc;

use crate::error::ConnectionError;

/// Something that happened on a socket, to a file or on a thread.
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
    /// No answer means that there is no plan, and the last one stands.
    PlanSolved {
        answer: Option<Solution>,
    },
    SnapshotWritten {
        result: Result<WrittenSnapshot, PublishError>,
    },
    SnapshotsApplied {
        reports: Vec<SnapshotReport>,
    },
    StateSaved(StateStoreStatus),
}

/// Where events go. It is bounded: whoever has more is made to wait.
pub type EventSender = mpsc::Sender<Event>;

impl Event {
    /// Tells the controller.
    pub fn take_in(self, fleet: &mut FleetController, now: Duration) {
        match self {
            Event::EndpointListRead(list) => fleet.update_endpoint_list(now, SystemTime::now(), list),
            Event::HealthCheckFinished { endpoint, outcome, latency } => {
                fleet.health_check_finished(now, endpoint, outcome, latency);
            }
            Event::PlanSolved { answer } => fleet.plan_solved(now, answer),
            Event::SnapshotWritten { result } => fleet.snapshot_written(now, result),
            Event::StateSaved(status) => fleet.set_state_store_status(status),
            Event::SnapshotsApplied { reports } => {
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
