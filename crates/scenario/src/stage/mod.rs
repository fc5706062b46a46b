//! The stage of a scenario: endpoints, proxies, the endpoint list and the controller's configuration.

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

/// All that a scenario is played with, but the controller's process and the load.
pub struct Stage {
    runtimes: ProxyRuntimes,
    /// The endpoints by name.
    pub endpoints: BTreeMap<String, FakeEndpoint>,
    /// The proxies, each behind a link on its control socket.
    pub proxies: Vec<ProxyInstance>,
    pub(crate) list: EndpointListFile,
    /// The controller's configuration file.
    pub config_path: PathBuf,
    /// The controller's own runtime API.
    pub controller_socket: PathBuf,
    /// What the controller's configuration file says.
    pub config: DaemonConfig,
    /// The limits of the rules.
    pub limits: Limits,
    /// Where all traffic is recorded.
    pub recorder: TrafficRecorder,
    pub(crate) table_folder: TableFolder,
}

/// A whole configuration file with the scenario's settings: these elements for table files, proxies and the endpoint
/// list are put in.
#[must_use]
pub fn settings(scenario: &Scenario, socket: &Path, files: &str, proxies: &str, list: &str) -> String {
    let Scenario { seed, log_levels, settings, .. } = scenario;
    format!(
        "<lockcroft>\n<pilot name=\"rehearsed\" seed=\"{seed}\"/>\n\
         <runtime><listen address=\"unix:{}\" level=\"admin\"/></runtime>\n<log levels=\"{log_levels}\"/>\n\
         {settings}{files}<proxies>\n{proxies}</proxies>\n{list}\n</lockcroft>\n",
        socket.display()
    )
}

impl Stage {
    /// Starts endpoints and proxies, with so many threads for proxies, and writes the controller's files into the folder.
    ///
    /// # Errors
    /// The scenario's settings are no settings, or a socket or file can't be had.
    pub async fn build(scenario: &Scenario, folder: &Path, threads: usize) -> Result<Self, ScenarioError> {
        let controller_socket = folder.join("pilot.sock");
        let config_path = folder.join("pilot.xml");
        // Zones, classes and limits are read from the scenario's settings before there are proxies and endpoints.
        fs::write(&config_path, settings(scenario, &controller_socket, "", "", "<roster/>"))?;
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
        Ok(Stage {
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

    /// Ends a proxy with its streams, as if its process were gone, and starts a new one in its place, with the default
    /// table.
    ///
    /// # Errors
    /// Its sockets can't be had again.
    pub async fn restart_proxy(&self, proxy: &ProxyInstance) -> Result<(), ScenarioError> {
        let _no_status = self.table_folder.restart_lock.lock().await;
        self.runtimes.stop(proxy.number);
        let started = self.runtimes.start(proxy.number, proxy.config.clone()).await;
        // Recorded only now: what the old process was sent until it ended belongs to the old one.
        proxy.record_start(&self.recorder);
        match started {
            Ok(_) => Ok(()),
            Err(source) => Err(ScenarioError::Proxy { proxy: proxy.name.clone(), source }),
        }
    }

    /// The proxy of this name.
    #[must_use]
    pub fn proxy(&self, name: &str) -> Option<&ProxyInstance> {
        self.proxies.iter().find(|proxy| proxy.name == name)
    }

    /// Zones of all endpoints and proxies by their names.
    #[must_use]
    pub fn zones(&self) -> ZonesByName {
        let endpoints = self.list.entries.iter().map(|(name, entry)| (name.clone(), entry.zone.clone()));
        let proxies = self.proxies.iter().map(|proxy| (proxy.name.clone(), proxy.zone.clone()));
        endpoints.chain(proxies).collect()
    }

    /// Endpoints by name, and all of the zone.
    ///
    /// # Errors
    /// A name is of no endpoint.
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

/// Smooth weighted round robin balances evenly, unless requests wait for a saturated endpoint.
fn limits(scenario: &Scenario, config: &DaemonConfig) -> Limits {
    let policy = scenario.proxies.policy.unwrap_or_default();
    let even_balancing =
        policy == LoadBalancingPolicy::SmoothWeightedRoundRobin && scenario.proxies.max_in_flight.is_none();
    Limits { even_balancing, ..Limits::new(&config.settings) }
}

/// The controller's whole configuration, once proxies and list are there; `config` is the one without them.
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
    settings(scenario, socket, &files_xml, &proxies_xml, &list_xml)
}

/// Requests a second at each proxy.
fn requests_per_proxy(scenario: &Scenario, config: &DaemonConfig) -> f64 {
    let rate: f64 = scenario.load.iter().map(|load| load.rate).sum();
    rate / (scenario.proxies.per_zone * config.names.zones.len()) as f64
}
