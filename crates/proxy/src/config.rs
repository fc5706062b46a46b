//! The configuration of a proxy, read once from an XML file at startup. Only this module maps the names of the
//! elements and attributes of the file.

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

/// The XML schema of the configuration file.
pub const SCHEMA: &str = include_str!("../proxy.xsd");

const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    /// The proxy's name, by which controllers and table files refer to it.
    pub name: String,
    /// The address on which the proxy accepts requests.
    pub request_address: SocketAddr,
    /// The addresses on which the proxy accepts control connections.
    pub control_addresses: Vec<Address>,
    /// The format and levels of the log.
    pub log: LogConfig,
    /// Settings of load balancing and local outlier ejection.
    pub limits: LoadBalancingLimits,
    /// The seed of the random number generator of load balancing.
    pub seed: u64,
    /// The maximum number of open client connections; further ones are closed immediately.
    pub max_clients: usize,
    /// A client connection is closed if no complete request head arrives on it for this long.
    pub header_timeout: Duration,
    /// Bodies up to this size are buffered: those of requests so that they can be retried, those of responses so
    /// that no incomplete response is forwarded.
    pub max_buffered_body_bytes: usize,
    /// The time limit for establishing a connection to an endpoint.
    pub connect_timeout: Duration,
    /// The time after which an idle connection to an endpoint is closed.
    pub idle_timeout: Duration,
    /// The time limit for an attempt.
    pub attempt_timeout: Duration,
    /// The number of retries allowed per first attempt, from 0 to 1 in the configuration file.
    pub retry_ratio: f64,
    /// The maximum number of requests that wait for an endpoint with capacity.
    pub max_queued_requests: usize,
    /// The maximum time for which a request waits for capacity.
    pub queue_timeout: Duration,
    /// The value of `Retry-After` in responses to rejected requests.
    pub retry_after: Duration,
    /// A fault injected by tests: the proxy blocks for this long for each command that changes something.
    pub stall_per_command: Duration,
    /// The classes of requests, each with the timeout of clients that don't send their own.
    pub classes: Vec<(String, Duration)>,
    /// The names and addresses of the endpoints in the default table.
    pub default_table: Vec<(String, SocketAddr)>,
    /// The settings for reading tables from a snapshot folder; `None` if tables are received over control
    /// connections only.
    pub table_files: Option<TableFilesConfig>,
}

/// Settings for reading tables from a snapshot folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFilesConfig {
    /// The folder to which controllers write snapshots.
    pub folder: PathBuf,
    /// The file with the keys by which snapshots are authenticated.
    pub key_file: PathBuf,
    /// The maximum time between two scans of the folder. File events trigger earlier scans.
    pub poll_interval: Duration,
}

impl ProxyConfig {
    /// Returns a configuration in which everything optional has its default.
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

    /// Reads a configuration file. Relative paths in it refer to the folder of the file.
    ///
    /// # Errors
    /// The file cannot be read or is invalid: all errors found, each with its location.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        let document = Document::open(file, SCHEMA)?;
        let tree = document.tree();
        let root = tree.root_element();
        let mut elements = RepeatedElements::read(&document, root);
        let request_address = request_address(&document, root);
        let request_address = match request_address {
            Ok(address) if elements.errors.is_empty() => address,
            Ok(_) => return Err(ConfigErrors(elements.errors)),
            Err(error) => {
                elements.errors.push(error);
                return Err(ConfigErrors(elements.errors));
            }
        };
        let name = root.attribute("name").unwrap_or_default();
        let mut config =
            ProxyConfig::new(name, request_address, elements.control_addresses, elements.classes);
        config.default_table = elements.default_table;
        let base = file.parent().unwrap_or(Path::new("."));
        config.table_files = child_element(root, "files").map(|node| TableFilesConfig::read(node, base));
        config.read_options(root);
        Ok(config)
    }

    /// Replaces defaults by the values of optional attributes.
    fn read_options(&mut self, root: Node<'_, '_>) {
        let requests = OptionalAttributes(child_element(root, "visits"));
        requests.value("clients-most", &mut self.max_clients);
        requests.duration("silent-most", &mut self.header_timeout);
        requests.value("keep-most-bytes", &mut self.max_buffered_body_bytes);

        let load_balancing = OptionalAttributes(child_element(root, "choosing"));
        load_balancing.value("way", &mut self.limits.policy);
        load_balancing.value("seed", &mut self.seed);
        load_balancing.value("shuns-after", &mut self.limits.ejection_threshold);
        load_balancing.duration("shuns-for", &mut self.limits.ejection_time);

        let attempts = OptionalAttributes(child_element(root, "tries"));
        attempts.duration("connect-within", &mut self.connect_timeout);
        attempts.duration("idle-most", &mut self.idle_timeout);
        attempts.duration("try-most", &mut self.attempt_timeout);
        attempts.value("second-share", &mut self.retry_ratio);

        let limits = OptionalAttributes(child_element(root, "limits"));
        limits.value("outstanding-most", &mut self.limits.max_in_flight);
        limits.value("waiting-most", &mut self.max_queued_requests);
        limits.duration("waiting-for", &mut self.queue_timeout);
        limits.duration("retry-after", &mut self.retry_after);
        limits.duration("stall-a-line", &mut self.stall_per_command);

        self.log = LogConfig::from_element(child_element(root, "log"));
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

/// An error in an element that is valid by the schema.
#[derive(Debug, Error)]
enum ElementError {
    #[error(transparent)]
    ControlAddress(#[from] InvalidAddress),
    #[error("{0:?} is not a valid address")]
    SocketAddress(String),
}

/// The elements that may occur several times, and the errors found in them.
#[derive(Default)]
struct RepeatedElements {
    control_addresses: Vec<Address>,
    default_table: Vec<(String, SocketAddr)>,
    classes: Vec<(String, Duration)>,
    errors: Vec<ConfigError>,
}

impl RepeatedElements {
    fn read(document: &Document, root: Node<'_, '_>) -> Self {
        let mut elements = RepeatedElements::default();
        for node in root.descendants().filter(Node::is_element) {
            if let Err(error) = elements.read_element(node) {
                elements.errors.push(document.error(node, error.to_string(), Some("IP:PORT")));
            }
        }
        elements
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
    let text = child_element(root, "visits").and_then(|node| node.attribute("address")).unwrap_or_default();
    text.parse().map_err(|_| {
        document.error(root, format!("visits: {text:?} is not a valid address"), Some("IP:PORT"))
    })
}

fn child_element<'a, 'd>(root: Node<'a, 'd>, name: &str) -> Option<Node<'a, 'd>> {
    root.children().find(|node| node.has_tag_name(name))
}

/// The optional attributes of an element that may be missing. The schema has checked their format.
struct OptionalAttributes<'a, 'd>(Option<Node<'a, 'd>>);

impl OptionalAttributes<'_, '_> {
    fn attribute(&self, name: &str) -> Option<&str> {
        self.0.as_ref()?.attribute(name)
    }

    /// Replaces `value` if the attribute is present.
    fn duration(&self, name: &str, value: &mut Duration) {
        if let Some(parsed) = self.attribute(name).and_then(|text| parse_duration(text).ok()) {
            *value = parsed;
        }
    }

    /// Replaces `value` if the attribute is present.
    fn value<T: FromStr>(&self, name: &str, value: &mut T) {
        if let Some(parsed) = self.attribute(name).and_then(|text| text.parse().ok()) {
            *value = parsed;
        }
    }
}
