//! Events of the traffic of a scenario. Reports contain these events as JSON, whose keys other programs read: they are
//! fixed by serde attributes where the names here differ.

use std::time::Duration;

use serde::Serialize;

/// An event that was observed on a socket or caused by a test double.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum TrafficEvent {
    /// A request arrived at an endpoint.
    #[serde(rename = "Arrived")]
    RequestArrived {
        /// The endpoint's name.
        endpoint: String,
        /// The name of the proxy that forwarded the request.
        #[serde(rename = "relay")]
        proxy: String,
        /// The request's id.
        #[serde(rename = "visit")]
        request: u64,
        /// The request's class.
        class: String,
        /// The work of the request, in seconds of one core at speed 1.
        work: f64,
        /// The table by which the proxy chose the endpoint, with its version, such as `t0@17`.
        table: String,
    },
    /// An endpoint began to execute a request.
    #[serde(rename = "Ran")]
    RequestExecuted {
        /// The endpoint's name.
        endpoint: String,
        /// The request's id.
        #[serde(rename = "visit")]
        request: u64,
        /// The request's class.
        class: String,
    },
    /// An endpoint's process restarted and warms up. The initial process, which is warm, has no such event.
    #[serde(rename = "Started")]
    EndpointStarted {
        /// The endpoint's name.
        endpoint: String,
        /// The capacity of the warm process, in cores at speed 1.
        capacity: f64,
    },
    /// An endpoint's process ended. Connections are refused from then on, for which the endpoint records no event.
    #[serde(rename = "Stopped")]
    EndpointStopped {
        /// The endpoint's name.
        endpoint: String,
    },
    /// An endpoint's process went down because of overload during its warm-up.
    #[serde(rename = "Fell")]
    EndpointOverloaded {
        /// The endpoint's name.
        endpoint: String,
    },
    /// A control stream to a proxy was opened or closed.
    #[serde(rename = "Stream")]
    ControlStream {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// True if it was opened, false if it was closed.
        open: bool,
    },
    /// The fault injection stalled or resumed a proxy's control stream.
    #[serde(rename = "Stalled")]
    ControlStreamStalled {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// True if it was stalled, false if it was resumed.
        #[serde(rename = "on")]
        stalled: bool,
    },
    /// A proxy's process started with its default table.
    #[serde(rename = "Standing")]
    ProxyStarted {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// The names of the endpoints in the default table.
        #[serde(rename = "servers")]
        endpoints: Vec<String>,
    },
    /// A message with commands that change the proxy's state was sent to a proxy.
    #[serde(rename = "Line")]
    UpdateReceived {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// The number of its commands that change the state.
        commands: usize,
    },
    /// A proxy answered all state-changing commands of a message.
    #[serde(rename = "Set")]
    UpdateAnswered {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// The commands that change the state, in the order of the message.
        #[serde(rename = "orders")]
        commands: Vec<AnsweredCommand>,
    },
    /// A proxy applied a snapshot of the table files.
    #[serde(rename = "Laid")]
    SnapshotApplied {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// The proxy's own version of its tables after the snapshot; 0 if the snapshot changed nothing.
        #[serde(rename = "set")]
        version: u64,
        /// The tables that the snapshot assigns to the proxy.
        tables: Vec<AppliedTable>,
        /// The table of each class. If empty, the proxy kept its tables.
        #[serde(rename = "map")]
        class_tables: Vec<ClassTable>,
        /// The ejected endpoints, which get no requests regardless of the tables.
        #[serde(rename = "withdrawn")]
        ejected: Vec<String>,
    },
    /// A new version of the endpoint list was written for the controllers.
    #[serde(rename = "Listed")]
    ListPublished {
        /// All endpoints in the list.
        #[serde(rename = "servers")]
        endpoints: Vec<ListedEndpoint>,
    },
    /// A client's request completed, after all of its attempts.
    #[serde(rename = "Visit")]
    RequestCompleted {
        /// The id of the last attempt.
        #[serde(rename = "visit")]
        request: u64,
        /// The request's class.
        class: String,
        /// The time at which the client sent its first attempt, since the start of the scenario.
        #[serde(rename = "asked")]
        sent_at: Duration,
        /// The HTTP status of the last attempt; 0 if it got no response within the client's timeout.
        status: u16,
    },
}

/// A command to a proxy and the proxy's answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, String)")]
pub struct AnsweredCommand {
    /// The text of the command.
    pub command: String,
    /// The answer, without the white space around it.
    pub answer: String,
}

/// A table that a proxy applied from a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, Vec<EndpointWeight>)")]
pub struct AppliedTable {
    /// The name of the table, such as `t0`.
    pub name: String,
    /// All entries of the table.
    pub entries: Vec<EndpointWeight>,
}

/// An entry of a table.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, u32)")]
pub struct EndpointWeight {
    /// The endpoint's name.
    pub endpoint: String,
    /// The weight, from 0 to 256.
    pub weight: u32,
}

/// The assignment of a table to a request class.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, String)")]
pub struct ClassTable {
    /// The name of the class.
    pub class: String,
    /// The name of the table, such as `t0`.
    pub table: String,
}

/// An endpoint in the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, String, Option<Duration>)")]
pub struct ListedEndpoint {
    /// The endpoint's name.
    pub name: String,
    /// The state: `ready`, `draining` or `gone`.
    pub state: String,
    /// The time at which the process last restarted, since the start of the scenario; `None` for the initial process.
    pub started: Option<Duration>,
}

impl From<AnsweredCommand> for (String, String) {
    fn from(answered: AnsweredCommand) -> Self {
        (answered.command, answered.answer)
    }
}

impl From<AppliedTable> for (String, Vec<EndpointWeight>) {
    fn from(table: AppliedTable) -> Self {
        (table.name, table.entries)
    }
}

impl From<EndpointWeight> for (String, u32) {
    fn from(entry: EndpointWeight) -> Self {
        (entry.endpoint, entry.weight)
    }
}

impl From<ClassTable> for (String, String) {
    fn from(assignment: ClassTable) -> Self {
        (assignment.class, assignment.table)
    }
}

impl From<ListedEndpoint> for (String, String, Option<Duration>) {
    fn from(endpoint: ListedEndpoint) -> Self {
        (endpoint.name, endpoint.state, endpoint.started)
    }
}
