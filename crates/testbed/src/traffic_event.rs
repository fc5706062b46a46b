//! What passes on the sockets of a scenario. Reports hold these events as JSON: the names there, given by serde's
//! attributes, are read by other programs and stay.

use std::time::Duration;

use serde::Serialize;

/// One thing that passed on a socket, or that a test double did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum TrafficEvent {
    /// A request's bytes reached an endpoint.
    #[serde(rename = "Arrived")]
    RequestArrived {
        /// The endpoint's name.
        endpoint: String,
        /// The proxy that forwarded the request.
        #[serde(rename = "relay")]
        proxy: String,
        /// The request's id.
        #[serde(rename = "visit")]
        request: u64,
        /// The request's class.
        class: String,
        /// In seconds of one core at full speed.
        work: f64,
        /// The table in force at the proxy and its version, as `t0@17`.
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
    /// An endpoint's process started and warms up. Endpoints that run from the beginning have no such event.
    #[serde(rename = "Started")]
    EndpointStarted {
        /// The endpoint's name.
        endpoint: String,
        /// Its full capacity, in cores at speed 1.
        capacity: f64,
    },
    /// An endpoint's process ended: connections are refused, which leaves no trace at the endpoint.
    #[serde(rename = "Stopped")]
    EndpointStopped {
        /// The endpoint's name.
        endpoint: String,
    },
    /// An endpoint went down under the load that it got while it warmed up.
    #[serde(rename = "Fell")]
    EndpointOverloaded {
        /// The endpoint's name.
        endpoint: String,
    },
    /// A control stream at a proxy was opened or closed.
    #[serde(rename = "Stream")]
    ControlStream {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// Opened, else closed.
        open: bool,
    },
    /// The fault injection stalled a proxy's control stream, or let it go on.
    #[serde(rename = "Stalled")]
    ControlStreamStalled {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// Stalled, else going on.
        #[serde(rename = "on")]
        stalled: bool,
    },
    /// A proxy started with this default table.
    #[serde(rename = "Standing")]
    ProxyStarted {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// Endpoints of the default table.
        #[serde(rename = "servers")]
        endpoints: Vec<String>,
    },
    /// A message with commands that change something reached a proxy.
    #[serde(rename = "Line")]
    UpdateReceived {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// How many of its commands change something.
        commands: usize,
    },
    /// A proxy answered all commands of a message.
    #[serde(rename = "Set")]
    UpdateAnswered {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// The commands that change something, in their order.
        #[serde(rename = "orders")]
        commands: Vec<AnsweredCommand>,
    },
    /// A proxy applied a snapshot of the table files.
    #[serde(rename = "Laid")]
    SnapshotApplied {
        /// The proxy's name.
        #[serde(rename = "relay")]
        proxy: String,
        /// The proxy's own table version from then on; 0 if the snapshot changed nothing.
        #[serde(rename = "set")]
        version: u64,
        /// The tables that the snapshot assigns to the proxy.
        tables: Vec<AppliedTable>,
        /// Which class is routed by which table; with none the proxy kept its tables.
        #[serde(rename = "map")]
        class_tables: Vec<ClassTable>,
        /// Endpoints that get no requests, whatever the tables say.
        #[serde(rename = "withdrawn")]
        ejected: Vec<String>,
    },
    /// The endpoint list was written for the controllers.
    #[serde(rename = "Listed")]
    ListPublished {
        /// All endpoints on the list.
        #[serde(rename = "servers")]
        endpoints: Vec<ListedEndpoint>,
    },
    /// A request ended for its client.
    #[serde(rename = "Visit")]
    RequestCompleted {
        /// The id of the last attempt.
        #[serde(rename = "visit")]
        request: u64,
        /// The request's class.
        class: String,
        /// When the client sent its first attempt.
        #[serde(rename = "asked")]
        sent_at: Duration,
        /// Of the final response; 0 if the client's timeout ended first.
        status: u16,
    },
}

/// A command to a proxy with the proxy's answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, String)")]
pub struct AnsweredCommand {
    /// As it was sent.
    pub command: String,
    /// Without its final line end.
    pub answer: String,
}

/// A table as a proxy applied it from files.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, Vec<EndpointWeight>)")]
pub struct AppliedTable {
    /// As `t0`.
    pub name: String,
    /// All of its entries.
    pub entries: Vec<EndpointWeight>,
}

/// A table's entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, u32)")]
pub struct EndpointWeight {
    /// The endpoint's name.
    pub endpoint: String,
    /// From 0 to 256.
    pub weight: u32,
}

/// The table that routes a class.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, String)")]
pub struct ClassTable {
    /// The class.
    pub class: String,
    /// The table's name, as `t0`.
    pub table: String,
}

/// An endpoint as the list has it.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, String, Option<Duration>)")]
pub struct ListedEndpoint {
    /// The endpoint's name.
    pub name: String,
    /// `ready`, `draining` or `gone`.
    pub state: String,
    /// When its process last started, if it did since the beginning.
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
