//! Reads a daemon's configuration from the element `lockcroft`, with one method for each child element.

use std::path::Path;
use std::time::Duration;

use lockcroft::Settings;
use lockcroft_host::NameIndex;
use lockcroft_runtime_api::{AccessLevel, Address};
use roxmltree::Node;

use crate::daemon_config::{
    BackoffRange, DaemonConfig, EndpointListSource, ListenerConfig, LogConfig, ProxyConfig, TableFilesConfig,
};
use crate::document::Document;
use crate::endpoint_list::EndpointListConfig;
use crate::error::{ConfigError, ConfigErrors};
use crate::settings_reader::{duplicate_name_errors, read_settings};
use crate::xml::{attribute_duration, attribute_text, child_elements};

const DEFAULT_NAME: &str = "pilot";
const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_RECONNECT_BACKOFF: BackoffRange =
    BackoffRange { min: Duration::from_millis(250), max: Duration::from_secs(5) };
const DEFAULT_RETAINED_SNAPSHOTS: usize = 8;
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The load of a proxy whose configuration states none, in requests per second.
const DEFAULT_REQUEST_RATE: f64 = 1.0;

impl DaemonConfig {
    /// Reads and validates a configuration file, and the endpoint list file that it names.
    ///
    /// # Errors
    /// Returns all errors in both files.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        DaemonConfig::read(&Document::open(file, crate::SCHEMA)?)
    }

    /// Reads a configuration from a document that was validated against the schema, and the endpoint list file that it
    /// names.
    ///
    /// # Errors
    /// Returns all violations of constraints that a schema can't express, and all errors in the endpoint list file.
    pub fn read(document: &Document) -> Result<Self, ConfigErrors> {
        read_daemon_config(document)
    }
}

/// Reads a configuration from a document that was validated against the schema.
fn read_daemon_config(document: &Document) -> Result<DaemonConfig, ConfigErrors> {
    let tree = document.tree();
    let root = tree.root_element();
    if !root.has_tag_name("lockcroft") {
        let expected = Some("the root element lockcroft");
        return Err(document.error(root, "is not a configuration", expected).into());
    }
    let mut reader = DaemonReader { document, root, errors: Vec::new() };
    let config = reader.read();
    if reader.errors.is_empty() { Ok(config) } else { Err(ConfigErrors(reader.errors)) }
}

/// Reads the child elements and collects the errors in all of them, so that operators see every error in one run.
struct DaemonReader<'d, 'i> {
    document: &'d Document,
    root: Node<'d, 'i>,
    errors: Vec<ConfigError>,
}

impl<'d, 'i> DaemonReader<'d, 'i> {
    fn read(&mut self) -> DaemonConfig {
        let settings = self.read_settings();
        let names = NameIndex::new(&settings);
        let proxies = self.read_proxies(&names);
        let listeners = self.read_listeners();
        let endpoints = self.read_endpoints(&names, settings.fleet.max_weight);
        let table_files = self.read_table_files(&proxies);
        let daemon = self.child("pilot");
        let seed = daemon.and_then(|node| node.attribute("seed")?.parse().ok());
        let response_timeout = daemon.and_then(|node| attribute_duration(node, "answer-within"));
        DaemonConfig {
            file: self.document.file().into(),
            name: daemon.and_then(|node| node.attribute("name")).unwrap_or(DEFAULT_NAME).into(),
            seed: seed.unwrap_or(0),
            settings,
            names,
            listeners,
            proxies,
            endpoints,
            log: LogConfig::from_element(self.child("log")),
            table_files,
            state_directory: self
                .child("memory")
                .map(|node| self.base_directory().join(attribute_text(node, "folder"))),
            response_timeout: response_timeout.unwrap_or(DEFAULT_RESPONSE_TIMEOUT),
            reconnect_backoff: read_reconnect_backoff(daemon),
        }
    }

    fn child(&self, name: &str) -> Option<Node<'d, 'i>> {
        self.root.children().find(|node| node.has_tag_name(name))
    }

    /// Returns the directory of the configuration file; relative paths are resolved against it.
    fn base_directory(&self) -> &'d Path {
        self.document.file().parent().unwrap_or(Path::new("."))
    }

    fn add_error(&mut self, node: Node, message: impl Into<String>, expected: Option<&str>) {
        self.errors.push(self.document.error(node, message, expected));
    }

    fn read_settings(&mut self) -> Settings {
        let outcome = read_settings(self.document, self.root);
        self.errors.extend(outcome.errors);
        outcome.settings
    }

    fn read_proxies(&mut self, names: &NameIndex) -> Vec<ProxyConfig> {
        let proxies = self.child("proxies");
        self.errors.extend(duplicate_name_errors(self.document, proxies));
        child_elements(proxies).into_iter().filter_map(|node| self.read_proxy(node, names)).collect()
    }

    fn read_proxy(&mut self, node: Node, names: &NameIndex) -> Option<ProxyConfig> {
        let zone = names.zone(attribute_text(node, "zone"));
        if let Err(error) = &zone {
            self.add_error(node, error.to_string(), Some(&names.zones.join(", ")));
        }
        let address = attribute_text(node, "address").parse::<Address>();
        if let Err(error) = &address {
            self.add_error(node, error.to_string(), None);
        }
        let request_rate = node.attribute("visits-per-s").and_then(|rate| rate.parse().ok());
        Some(ProxyConfig {
            name: attribute_text(node, "name").into(),
            zone: zone.ok()?,
            address: address.ok()?,
            request_rate: request_rate.unwrap_or(DEFAULT_REQUEST_RATE),
            reads_files: node.attribute("front") == Some("files"),
        })
    }

    fn read_listeners(&mut self) -> Vec<ListenerConfig> {
        let mut listeners = Vec::new();
        for node in child_elements(self.child("runtime")) {
            let level = node.attribute("level").and_then(|level| level.parse().ok());
            match attribute_text(node, "address").parse::<Address>() {
                Ok(address) => {
                    listeners.push(ListenerConfig {
                        address,
                        access_level: level.unwrap_or(AccessLevel::Operator),
                    });
                }
                Err(error) => self.add_error(node, error.to_string(), None),
            }
        }
        listeners
    }

    /// Reads the source of the endpoint list. A list in a separate file is read here only to report its errors.
    fn read_endpoints(&mut self, names: &NameIndex, max_weight: f64) -> EndpointListSource {
        if let Some(node) = self.child("roster-file") {
            let path = self.base_directory().join(attribute_text(node, "path"));
            if let Err(errors) = EndpointListConfig::open(&path, names, max_weight) {
                self.errors.extend(errors.0);
            }
            let poll_interval = attribute_duration(node, "look-every");
            return EndpointListSource::File(path, poll_interval.unwrap_or(DEFAULT_POLL_INTERVAL));
        }
        let Some(node) = self.child("roster") else {
            return EndpointListSource::Inline(EndpointListConfig::default());
        };
        let list = EndpointListConfig::read(self.document, node, names, max_weight);
        EndpointListSource::Inline(list.unwrap_or_else(|errors| {
            self.errors.extend(errors.0);
            EndpointListConfig::default()
        }))
    }

    fn read_table_files(&mut self, proxies: &[ProxyConfig]) -> Option<TableFilesConfig> {
        let Some(node) = self.child("files") else {
            if let Some(proxy) = proxies.iter().find(|proxy| proxy.reads_files) {
                let message =
                    format!("proxy {} has front=\"files\", but there is no element files", proxy.name);
                self.add_error(self.root, message, Some("an element files before proxies"));
            }
            return None;
        };
        let retained_snapshots = node.attribute("generations").and_then(|count| count.parse().ok());
        let poll_interval = attribute_duration(node, "look-every");
        Some(TableFilesConfig {
            directory: self.base_directory().join(attribute_text(node, "folder")),
            key_file: self.base_directory().join(attribute_text(node, "keys")),
            retained_snapshots: retained_snapshots.unwrap_or(DEFAULT_RETAINED_SNAPSHOTS),
            poll_interval: poll_interval.unwrap_or(DEFAULT_POLL_INTERVAL),
        })
    }
}

/// Reads the range of waits before a reconnection from the element `pilot`.
fn read_reconnect_backoff(daemon: Option<Node>) -> BackoffRange {
    let duration = |name: &str| daemon.and_then(|node| attribute_duration(node, name));
    BackoffRange {
        min: duration("redial-least").unwrap_or(DEFAULT_RECONNECT_BACKOFF.min),
        max: duration("redial-most").unwrap_or(DEFAULT_RECONNECT_BACKOFF.max),
    }
}
