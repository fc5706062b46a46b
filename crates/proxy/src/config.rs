//! The configuration of a proxy, read from an XML file once at its start. The names of the file's elements
//! and attributes are mapped here and nowhere else.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use lockcroft_config::{ConfigError, ConfigErrors, Document, LogConfig, parse_duration};
use lockcroft_runtime_api::{Address, InvalidAddress};
use roxmltree::Node;
use thiserror::Error;

use crate::choose::LoadBalancingPolicy;
use crate::routing::LoadBalancingLimits;

/// The schema of the configuration file.
pub const SCHEMA: &str = include_str!("../proxy.xsd");

const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// The proxy's name, as controllers and table files know it.
    pub name: String,
    /// Where requests come in.
    pub request_address: SocketAddr,
    /// Where control connections come in.
    pub control_addresses: Vec<Address>,
    /// Form and levels of the log.
    pub log: LogConfig,
    /// Load balancing and local outlier ejection.
    pub limits: LoadBalancingLimits,
    /// Seed of random choices.
    pub seed: u64,
    /// Client connections at a time; more are closed at once.
    pub max_clients: usize,
    /// A client connection that has not sent a whole request head for this long is closed.
    pub header_timeout: Duration,
    /// Bodies up to this size are buffered: requests for a retry, responses so that half of one is not forwarded.
    pub max_buffered_body_bytes: usize,
    /// Time limit for a connection to an endpoint.
    pub connect_timeout: Duration,
    /// A connection to an endpoint that was not used for this long is closed.
    pub idle_timeout: Duration,
    /// Time limit for an attempt.
    pub attempt_timeout: Duration,
    /// Retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Requests that may wait for capacity at an endpoint.
    pub max_queued_requests: usize,
    /// How long a request may wait for capacity.
    pub queue_timeout: Duration,
    /// The `Retry-After` of rejected requests.
    pub retry_after: Duration,
    /// Fault for tests: the proxy does nothing else for this long for each command that changes something.
    pub stall_per_command: Duration,
    /// Classes of requests, with the timeout of clients that don't send theirs.
    pub classes: Vec<(String, Duration)>,
    /// The default table: endpoints by name.
    pub default_table: Vec<(String, SocketAddr)>,
    /// The snapshot folder from which tables are read, where that is wanted beside the control connections.
    pub table_files: Option<TableFilesConfig>,
}

/// How a proxy follows a snapshot folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFilesConfig {
    /// The folder that controllers write snapshots to.
    pub folder: PathBuf,
    /// The file of the keys that vouch for snapshots.
    pub key_file: PathBuf,
    /// The folder is read this often, whatever file events are seen.
    pub poll_interval: Duration,
}

impl ProxyConfig {
    /// A configuration with the default of everything optional.
    #[must_use]
    pub fn new(
        name: &str,
        request_address: SocketAddr,
        control_addresses: Vec<Address>,
        classes: Vec<(String, Duration)>,
    ) -> Self {
        ProxyConfig {
            name: name.into(),
            request_address,
            control_addresses,
            log: LogConfig::default(),
            limits: LoadBalancingLimits {
                policy: LoadBalancingPolicy::SmoothWeightedRoundRobin,
                max_in_flight: 0,
                ejection_threshold: 0,
                ejection_time: Duration::from_secs(5),
            },
            seed: 0,
            max_clients: 4096,
            header_timeout: Duration::from_secs(10),
            max_buffered_body_bytes: 65_536,
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(15),
            attempt_timeout: Duration::from_secs(60),
            retry_ratio: 0.1,
            max_queued_requests: 100,
            queue_timeout: Duration::from_millis(100),
            retry_after: Duration::from_secs(1),
            stall_per_command: Duration::ZERO,
            classes,
            default_table: Vec::new(),
            table_files: None,
        }
    }

    /// Reads a configuration file. Paths in it are relative to its folder.
    ///
    /// # Errors
    /// All errors of the file, each with its location.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        let document = Document::open(file, SCHEMA)?;
        let tree = document.tree();
        let root = tree.root_element();
        let mut lists = Lists::read(&document, root);
        let request_address = request_address(&document, root);
        let request_address = match request_address {
            Ok(address) if lists.errors.is_empty() => address,
            Ok(_) => return Err(ConfigErrors(lists.errors)),
            Err(error) => {
                lists.errors.push(error);
                return Err(ConfigErrors(lists.errors));
            }
        };
        let name = root.attribute("name").unwrap_or_default();
        let mut config = ProxyConfig::new(name, request_address, lists.control_addresses, lists.classes);
        config.default_table = lists.default_table;
        let base = file.parent().unwrap_or(Path::new("."));
        config.table_files = child(root, "files").map(|node| TableFilesConfig::read(node, base));
        config.read_options(root);
        Ok(config)
    }

    /// Replaces defaults by what the file states.
    fn read_options(&mut self, root: Node<'_, '_>) {
        let requests = OptionalAttributes(child(root, "visits"));
        requests.value("clients-most", &mut self.max_clients);
        requests.duration("silent-most", &mut self.header_timeout);
        requests.value("keep-most-bytes", &mut self.max_buffered_body_bytes);

        let load_balancing = OptionalAttributes(child(root, "choosing"));
        load_balancing.value("way", &mut self.limits.policy);
        load_balancing.value("seed", &mut self.seed);
        load_balancing.value("shuns-after", &mut self.limits.ejection_threshold);
        load_balancing.duration("shuns-for", &mut self.limits.ejection_time);

        let attempts = OptionalAttributes(child(root, "tries"));
        attempts.duration("connect-within", &mut self.connect_timeout);
        attempts.duration("idle-most", &mut self.idle_timeout);
        attempts.duration("try-most", &mut self.attempt_timeout);
        attempts.value("second-share", &mut self.retry_ratio);

        let limits = OptionalAttributes(child(root, "limits"));
        limits.value("outstanding-most", &mut self.limits.max_in_flight);
        limits.value("waiting-most", &mut self.max_queued_requests);
        limits.duration("waiting-for", &mut self.queue_timeout);
        limits.duration("retry-after", &mut self.retry_after);
        limits.duration("stall-a-line", &mut self.stall_per_command);

        self.log = LogConfig::from_element(child(root, "log"));
    }
}

impl TableFilesConfig {
    fn read(node: Node<'_, '_>, base: &Path) -> Self {
        let mut poll_interval = DEFAULT_POLL_INTERVAL;
        OptionalAttributes(Some(node)).duration("look-every", &mut poll_interval);
        TableFilesConfig {
            folder: base.join(node.attribute("folder").unwrap_or_default()),
            key_file: base.join(node.attribute("keys").unwrap_or_default()),
            poll_interval,
        }
    }
}

/// What is wrong with an element that the schema allows.
#[derive(Debug, Error)]
enum ElementError {
    #[error(transparent)]
    ControlAddress(#[from] InvalidAddress),
    #[error("{0:?} is no address")]
    SocketAddress(String),
}

/// Elements that may stand several times, and the errors found in them.
#[derive(Default)]
struct Lists {
    control_addresses: Vec<Address>,
    default_table: Vec<(String, SocketAddr)>,
    classes: Vec<(String, Duration)>,
    errors: Vec<ConfigError>,
}

impl Lists {
    fn read(document: &Document, root: Node<'_, '_>) -> Self {
        let mut lists = Lists::default();
        for node in root.descendants().filter(Node::is_element) {
            if let Err(error) = lists.read_element(node) {
                lists.errors.push(document.error(node, error.to_string(), Some("IP:PORT")));
            }
        }
        lists
    }

    fn read_element(&mut self, node: Node<'_, '_>) -> Result<(), ElementError> {
        let name = node.attribute("name").unwrap_or_default().to_string();
        let address = node.attribute("address").unwrap_or_default();
        match node.tag_name().name() {
            "control" => {
                let address = Address::from_str(address)?;
                self.control_addresses.push(address);
            }
            "server" => {
                let address =
                    address.parse().map_err(|_| ElementError::SocketAddress(address.to_string()))?;
                self.default_table.push((name, address));
            }
            "class" => {
                let mut client_timeout = Duration::ZERO;
                OptionalAttributes(Some(node)).duration("patience", &mut client_timeout);
                self.classes.push((name, client_timeout));
            }
            _ => {}
        }
        Ok(())
    }
}

fn request_address(document: &Document, root: Node<'_, '_>) -> Result<SocketAddr, ConfigError> {
    let text = child(root, "visits").and_then(|node| node.attribute("address")).unwrap_or_default();
    text.parse().map_err(|_| document.error(root, format!("visits: {text:?} is no address"), Some("IP:PORT")))
}

fn child<'a, 'd>(root: Node<'a, 'd>, name: &str) -> Option<Node<'a, 'd>> {
    root.children().find(|node| node.has_tag_name(name))
}

/// The optional attributes of an element that may be missing. Their form was checked by the schema.
struct OptionalAttributes<'a, 'd>(Option<Node<'a, 'd>>);

impl OptionalAttributes<'_, '_> {
    fn attribute(&self, name: &str) -> Option<&str> {
        self.0.as_ref()?.attribute(name)
    }

    fn duration(&self, name: &str, value: &mut Duration) {
        if let Some(stated) = self.attribute(name).and_then(|text| parse_duration(text).ok()) {
            *value = stated;
        }
    }

    fn value<T: FromStr>(&self, name: &str, value: &mut T) {
        if let Some(stated) = self.attribute(name).and_then(|text| text.parse().ok()) {
            *value = stated;
        }
    }
}
