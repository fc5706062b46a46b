//! The environment of a scenario: endpoints, proxies, the endpoint list and the controller's configuration.

mod endpoints;
mod proxies;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use lockcroft_config::DaemonConfig;
use lockcroft_proxy::LoadBalancingPolicy;
use lockcroft_testbed::{FakeEndpoint, TrafficRecorder};

use crate::endpoint_list_file::EndpointListFile;
use crate::error::ScenarioError;
use crate::proxy_fleet::TableSource;
use crate::proxy_runtimes::ProxyRuntimes;
use crate::rules::Limits;
use crate::scenario::Scenario;
use crate::score::ZonesByName;
use crate::table_folder::TableFolder;

use self::endpoints::start_endpoints;
pub use self::proxies::ProxyInstance;
use self::proxies::ProxyStarter;

const LIST_FILE: &str = "roster.xml";

/// The environment of a scenario, without the controller's process and the load.
pub struct Environment {
    runtimes: ProxyRuntimes,
    /// The endpoints by name.
    pub endpoints: BTreeMap<String, FakeEndpoint>,
    /// The proxies, each with a recording link to its control socket.
    pub proxies: Vec<ProxyInstance>,
    pub(crate) list: EndpointListFile,
    /// The path of the controller's configuration file.
    pub config_path: PathBuf,
    /// The socket of the controller's runtime API.
    pub controller_socket: PathBuf,
    /// The content of the controller's configuration file.
    pub config: DaemonConfig,
    /// The limits that the rules are checked against.
    pub limits: Limits,
    /// The record of all traffic.
    pub recorder: TrafficRecorder,
    pub(crate) table_folder: TableFolder,
}

/// Returns the text of a configuration file with the scenario's settings and with the given elements for table files,
/// proxies and the endpoint list.
#[must_use]
pub fn config_text(scenario: &Scenario, socket: &Path, files: &str, proxies: &str, list: &str) -> String {
    let Scenario { seed, log_levels, settings, .. } = scenario;
    format!(
        "<lockcroft>\n<pilot name=\"rehearsed\" seed=\"{seed}\"/>\n\
         <runtime><listen address=\"unix:{}\" level=\"admin\"/></runtime>\n<log levels=\"{log_levels}\"/>\n\
         {settings}{files}<proxies>\n{proxies}</proxies>\n{list}\n</lockcroft>\n",
        socket.display()
    )
}

impl Environment {
    /// Starts endpoints and proxies, using this number of threads for proxies, and writes the controller's files to the
    /// folder.
    ///
    /// # Errors
    /// The scenario's settings are invalid, or a socket or file can't be opened or written.
    pub async fn build(scenario: &Scenario, folder: &Path, threads: usize) -> Result<Self, ScenarioError> {
        let controller_socket = folder.join("pilot.sock");
        let config_path = folder.join("pilot.xml");
        // Proxies and endpoints need the zones, classes and limits, which are read from a first configuration file.
        fs::write(&config_path, config_text(scenario, &controller_socket, "", "", "<roster/>"))?;
        let config = DaemonConfig::open(&config_path)?;
        let limits = limits(scenario, &config);
        let recorder = TrafficRecorder::default();

        let started = start_endpoints(scenario, &config.names.zones, &limits, &recorder).await?;
        let runtimes = ProxyRuntimes::new(threads)?;
        let table_folder = TableFolder::create(folder)?;
        let starter = ProxyStarter {
            scenario,
            config: &config,
            entries: &started.entries,
            runtimes: &runtimes,
            table_folder: &table_folder,
            folder,
            recorder: &recorder,
        };
        let proxies = starter.start_all().await?;
        let mut list = EndpointListFile::new(folder.join(LIST_FILE), started.entries, recorder.clone());
        list.write()?;

        let text = controller_config(scenario, &controller_socket, &proxies, &table_folder, &config);
        fs::write(&config_path, text)?;
        let config = DaemonConfig::open(&config_path)?;
        Ok(Environment {
            runtimes,
            endpoints: started.endpoints,
            proxies,
            list,
            config_path,
            controller_socket,
            config,
            limits,
            recorder,
            table_folder,
        })
    }

    /// Stops a proxy with all of its connections and starts it again with the default table.
    ///
    /// # Errors
    /// One of its sockets can't be bound again.
    pub async fn restart_proxy(&self, proxy: &ProxyInstance) -> Result<(), ScenarioError> {
        let _restart_guard = self.table_folder.restart_lock.lock().await;
        self.runtimes.stop(proxy.number);
        let started = self.runtimes.start(proxy.number, proxy.config.clone()).await;
        // The start is recorded after the stop, so that traffic until then is attributed to the old process.
        proxy.record_start(&self.recorder);
        match started {
            Ok(_) => Ok(()),
            Err(source) => Err(ScenarioError::Proxy { proxy: proxy.name.clone(), source }),
        }
    }

    /// Returns the proxy of this name.
    #[must_use]
    pub fn proxy(&self, name: &str) -> Option<&ProxyInstance> {
        self.proxies.iter().find(|proxy| proxy.name == name)
    }

    /// Returns the zones of all endpoints and proxies by name.
    #[must_use]
    pub fn zones(&self) -> ZonesByName {
        let endpoints = self.list.entries.iter().map(|(name, entry)| (name.clone(), entry.zone.clone()));
        let proxies = self.proxies.iter().map(|proxy| (proxy.name.clone(), proxy.zone.clone()));
        endpoints.chain(proxies).collect()
    }

    /// Returns the given endpoints, followed by all endpoints of the zone.
    ///
    /// # Errors
    /// There is no endpoint of one of the names.
    pub fn select_endpoints(
        &self,
        names: &[String],
        zone: Option<&str>,
    ) -> Result<Vec<String>, ScenarioError> {
        let unknown = names.iter().find(|name| !self.endpoints.contains_key(*name));
        if let Some(name) = unknown {
            let all: Vec<&str> = self.endpoints.keys().map(String::as_str).collect();
            return Err(ScenarioError::UnknownEndpoint { name: name.clone(), known: all.join(", ") });
        }
        let in_zone = |name: &&String| self.list.entries[*name].zone == zone.unwrap_or_default();
        let of_zone = self.endpoints.keys().filter(in_zone).cloned();
        Ok(names.iter().cloned().chain(of_zone).collect())
    }
}

/// Returns the limits of the rules. Smooth weighted round robin balances evenly unless requests wait for a saturated
/// endpoint.
fn limits(scenario: &Scenario, config: &DaemonConfig) -> Limits {
    let policy = scenario.proxies.policy.unwrap_or_default();
    let even_balancing =
        policy == LoadBalancingPolicy::SmoothWeightedRoundRobin && scenario.proxies.max_in_flight.is_none();
    Limits { even_balancing, ..Limits::new(&config.settings) }
}

/// Returns the text of the controller's complete configuration. `config` is the one without proxies and endpoint list.
fn controller_config(
    scenario: &Scenario,
    socket: &Path,
    proxies: &[ProxyInstance],
    table_folder: &TableFolder,
    config: &DaemonConfig,
) -> String {
    let requests_per_s = requests_per_proxy(scenario, config);
    let proxies_xml: String = proxies.iter().map(|proxy| proxy.to_xml(requests_per_s)).collect();
    let files_xml = match scenario.proxies.table_source {
        TableSource::Commands => String::new(),
        TableSource::Files | TableSource::Mixed => table_folder.controller_xml(),
    };
    let list_xml = format!("<roster-file path=\"{LIST_FILE}\" look-every=\"100ms\"/>");
    config_text(scenario, socket, &files_xml, &proxies_xml, &list_xml)
}

/// Returns the average requests per second at each proxy.
fn requests_per_proxy(scenario: &Scenario, config: &DaemonConfig) -> f64 {
    let rate: f64 = scenario.load.iter().map(|load| load.rate).sum();
    rate / (scenario.proxies.per_zone * config.names.zones.len()) as f64
}
