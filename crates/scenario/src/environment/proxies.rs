//! Starts the proxies of a scenario.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lockcroft_config::DaemonConfig;
use lockcroft_proxy::ProxyConfig;
use lockcroft_runtime_api::Address;
use lockcroft_testbed::{TrafficEvent, TrafficRecorder};
use nanorand::{Rng, WyRand};

use crate::endpoint_list_file::ListEntry;
use crate::error::ScenarioError;
use crate::proxy_runtimes::ProxyRuntimes;
use crate::recording_link::RecordingLink;
use crate::scenario::Scenario;
use crate::table_folder::TableFolder;

/// The idle time after which a proxy closes a connection to an endpoint. It is short, because a large scenario has more
/// pairs of proxies and endpoints than there are file descriptors.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running proxy with a recording link to its control socket.
pub struct ProxyInstance {
    /// The name of the proxy.
    pub name: String,
    /// The zone of the proxy.
    pub zone: String,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// The link to its control socket.
    pub link: RecordingLink,
    /// The number by which [`ProxyRuntimes`] identifies it.
    pub(super) number: usize,
    pub(super) config: ProxyConfig,
}

impl ProxyInstance {
    /// Returns the element `proxy` of the controller's configuration.
    pub(super) fn to_xml(&self, requests_per_s: f64) -> String {
        let table_source = if self.config.table_files.is_some() { "files" } else { "commands" };
        format!(
            "<proxy name=\"{}\" zone=\"{}\" address=\"{}\" visits-per-s=\"{requests_per_s:.2}\" front=\"{table_source}\"/>\n",
            self.name, self.zone, self.link.address
        )
    }

    /// Records the start of a new process with its default table.
    pub(super) fn record_start(&self, recorder: &TrafficRecorder) {
        record_start(&self.config, recorder);
    }
}

fn record_start(config: &ProxyConfig, recorder: &TrafficRecorder) {
    let endpoints = config.default_table.iter().map(|(name, _)| name.clone()).collect();
    recorder.record(TrafficEvent::ProxyStarted { proxy: config.name.clone(), endpoints });
}

/// Starts proxies from the scenario and the controller's configuration.
pub struct ProxyStarter<'a> {
    pub scenario: &'a Scenario,
    pub config: &'a DaemonConfig,
    pub entries: &'a BTreeMap<String, ListEntry>,
    pub runtimes: &'a ProxyRuntimes,
    pub table_folder: &'a TableFolder,
    pub folder: &'a Path,
    pub recorder: &'a TrafficRecorder,
}

impl ProxyStarter<'_> {
    /// Starts all proxies of all zones.
    ///
    /// # Errors
    /// A socket can't be bound.
    pub async fn start_all(&self) -> Result<Vec<ProxyInstance>, ScenarioError> {
        let mut random = WyRand::new_seed(self.scenario.seed);
        let mut proxies = Vec::new();
        for zone in &self.config.names.zones {
            for number in 1..=self.scenario.proxies.per_zone {
                let name = format!("r-{zone}-{number}");
                let default_table = self.default_table(zone, &mut random);
                proxies.push(self.start(name, zone, proxies.len(), default_table).await?);
            }
        }
        Ok(proxies)
    }

    /// Returns randomly chosen endpoints of the zone, which a proxy uses before a controller assigns it a table.
    fn default_table(&self, zone: &str, random: &mut WyRand) -> Vec<(String, SocketAddr)> {
        let mut in_zone: Vec<_> = self.entries.iter().filter(|(_, entry)| entry.zone == zone).collect();
        random.shuffle(&mut in_zone);
        let chosen = in_zone.into_iter().take(self.scenario.proxies.default_table_entries);
        chosen.map(|(name, entry)| (name.clone(), entry.address)).collect()
    }

    async fn start(
        &self,
        name: String,
        zone: &str,
        number: usize,
        default_table: Vec<(String, SocketAddr)>,
    ) -> Result<ProxyInstance, ScenarioError> {
        let control = Address::Unix(self.folder.join(format!("{name}.sock")));
        let mut config = self.proxy_config(&name, number, control.clone());
        config.default_table = default_table;
        config.request_address = self.runtimes.start(number, config.clone()).await?;
        record_start(&config, self.recorder);
        let link = RecordingLink::open(&name, control, self.recorder.clone()).await?;
        Ok(ProxyInstance { name, zone: zone.into(), address: config.request_address, link, number, config })
    }

    fn proxy_config(&self, name: &str, number: usize, control: Address) -> ProxyConfig {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut config = ProxyConfig::new(name, any_port, vec![control], self.class_timeouts());
        config.idle_timeout = IDLE_TIMEOUT;
        self.scenario.proxies.apply(&mut config);
        let ejection_threshold = self.config.settings.fleet.proxy_ejection_threshold;
        config.limits.ejection_threshold = ejection_threshold.unwrap_or(0.0) as u32;
        config.seed = number as u64;
        let reads_files = self.scenario.proxies.table_source.reads_files(number);
        config.table_files = reads_files.then(|| self.table_folder.proxy_config());
        config
    }

    /// Returns the client timeout of each class.
    fn class_timeouts(&self) -> Vec<(String, Duration)> {
        let timeout = |index: usize| self.config.settings.classes[index].client_timeout.unwrap_or_default();
        let classes = self.config.names.classes.iter().enumerate();
        classes.map(|(index, name)| (name.clone(), timeout(index))).collect()
    }
}
