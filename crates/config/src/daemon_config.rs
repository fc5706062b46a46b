//! The configuration of one controller instance.

use std::path::PathBuf;
use std::time::Duration;

use lockcroft::{Settings, ZoneId};
use lockcroft_host::NameIndex;
use lockcroft_runtime_api::{AccessLevel, Address};
use roxmltree::Node;

use crate::endpoint_list::EndpointListConfig;

/// The settings of a controller's decisions, and everything else that its daemon needs.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// The file that it was read from.
    pub file: PathBuf,
    /// Name of the controller.
    pub name: String,
    /// Seed of the random numbers in the decisions.
    pub seed: u64,
    /// The settings of the decisions.
    pub settings: Settings,
    /// Names of zones, machine types and classes.
    pub names: NameIndex,
    /// The sockets of its runtime API.
    pub listeners: Vec<ListenerConfig>,
    /// The proxies that it controls.
    pub proxies: Vec<ProxyConfig>,
    /// The source of the endpoint list.
    pub endpoints: EndpointListSource,
    /// Form and levels of the log.
    pub log: LogConfig,
    /// The directory for proxies that read table files.
    pub table_files: Option<TableFilesConfig>,
    /// The directory of the state store.
    pub state_directory: Option<PathBuf>,
    /// A proxy that does not answer a command for this long is disconnected.
    pub response_timeout: Duration,
    /// How long to wait before a lost connection is opened again.
    pub reconnect_backoff: BackoffRange,
}

/// A socket of the controller's runtime API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenerConfig {
    /// The address to bind.
    pub address: Address,
    /// The commands that its clients may use.
    pub access_level: AccessLevel,
}

/// A proxy that the controller controls.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyConfig {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneId,
    /// Its control socket.
    pub address: Address,
    /// Its usual load, in requests a second.
    pub request_rate: f64,
    /// It takes its tables from files and not from its control socket.
    pub reads_files: bool,
}

/// Where tables are published as files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFilesConfig {
    /// The directory of the table store.
    pub directory: PathBuf,
    /// The file with the keys that seal snapshots.
    pub key_file: PathBuf,
    /// How many snapshots stay.
    pub retained_snapshots: usize,
    /// The interval at which the proxies' status files are read.
    pub poll_interval: Duration,
}

/// Where the endpoint list comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListSource {
    /// A file of its own, and the interval at which it is read.
    File(PathBuf, Duration),
    /// The configuration itself.
    Inline(EndpointListConfig),
}

/// Form and levels of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogConfig {
    /// Whether events are JSON objects rather than text.
    pub json: bool,
    /// Levels by target, as `info,lockcroft::daemon=debug`.
    pub filter: Option<String>,
}

impl LogConfig {
    /// Reads the element `log`, if there is one.
    #[must_use]
    pub fn from_element(node: Option<Node>) -> Self {
        let attribute = |name: &str| node.and_then(|node| node.attribute(name));
        LogConfig { json: attribute("form") == Some("json"), filter: attribute("levels").map(String::from) }
    }
}

/// The shortest and the longest wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffRange {
    /// The first wait.
    pub min: Duration,
    /// The longest wait.
    pub max: Duration,
}

impl DaemonConfig {
    /// The greatest weight that an endpoint may have.
    #[must_use]
    pub fn max_weight(&self) -> f64 {
        self.settings.fleet.max_weight
    }
}
