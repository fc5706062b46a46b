//! The configuration of one controller instance.

use std::path::PathBuf;
use std::time::Duration;

use lockcroft::{Settings, ZoneId};
use lockcroft_host::NameIndex;
use lockcroft_runtime_api::{AccessLevel, Address};
use roxmltree::Node;

use crate::endpoint_list::EndpointListConfig;

/// The configuration of a controller: the settings of its decisions, its sockets, proxies and files.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// The file that the configuration was read from.
    pub file: PathBuf,
    /// The name of the controller.
    pub name: String,
    /// The seed of the random numbers in the decisions.
    pub seed: u64,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names of zones, machine types and classes by their index in the settings.
    pub names: NameIndex,
    /// The sockets of the controller's runtime API.
    pub listeners: Vec<ListenerConfig>,
    /// The proxies that the controller manages.
    pub proxies: Vec<ProxyConfig>,
    /// The source of the endpoint list.
    pub endpoints: EndpointListSource,
    /// Format and levels of the log.
    pub log: LogConfig,
    /// The table store for proxies that read their tables from files; `None` if no files are published.
    pub table_files: Option<TableFilesConfig>,
    /// The directory of the state store; `None` if no state is persisted.
    pub state_directory: Option<PathBuf>,
    /// The time after which a proxy that has not answered a command is disconnected.
    pub response_timeout: Duration,
    /// The range of waits before a lost connection to a proxy is opened again.
    pub reconnect_backoff: BackoffRange,
}

/// A socket of the controller's runtime API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenerConfig {
    /// The address to bind.
    pub address: Address,
    /// The access level of its clients, which limits the commands they may send.
    pub access_level: AccessLevel,
}

/// A proxy that the controller manages.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyConfig {
    /// The name of the proxy.
    pub name: String,
    /// The zone that the proxy runs in.
    pub zone: ZoneId,
    /// The address of the proxy's control socket.
    pub address: Address,
    /// The expected load of the proxy, in requests per second.
    pub request_rate: f64,
    /// True if the proxy reads its tables from files instead of receiving them on its control socket.
    pub reads_files: bool,
}

/// The settings of the table store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFilesConfig {
    /// The directory of the table store.
    pub directory: PathBuf,
    /// The file with the keys that snapshots are sealed with.
    pub key_file: PathBuf,
    /// The number of snapshots of the current epoch that are retained; values below 2 count as 2.
    pub retained_snapshots: usize,
    /// The interval between two reads of the proxies' status files.
    pub poll_interval: Duration,
}

/// The source of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListSource {
    /// A separate file, and the interval between two reads of it.
    File(PathBuf, Duration),
    /// The list that the configuration contains.
    Inline(EndpointListConfig),
}

/// The format and the levels of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogConfig {
    /// True if events are written as JSON objects, false if as text.
    pub json: bool,
    /// The levels by target, such as `info,lockcroft::daemon=debug`; `None` for the default.
    pub filter: Option<String>,
}

impl LogConfig {
    /// Reads the element `log`. Without the element, the defaults are returned.
    #[must_use]
    pub fn from_element(node: Option<Node>) -> Self {
        let attribute = |name: &str| node.and_then(|node| node.attribute(name));
        LogConfig { json: attribute("form") == Some("json"), filter: attribute("levels").map(String::from) }
    }
}

/// The range of an exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffRange {
    /// The wait before the first retry.
    pub min: Duration,
    /// The longest wait.
    pub max: Duration,
}

impl DaemonConfig {
    /// Returns the greatest weight that an endpoint may have.
    #[must_use]
    pub fn max_weight(&self) -> f64 {
        self.settings.fleet.max_weight
    }
}
