//! Everything that one pilot is told at its start.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lockcroft::{Settings, ZoneId};
use lockcroft_host::{NameIndex, SettingValue, SettingValues};
use lockcroft_runtime_api::{Address, Level};
use roxmltree::Node;

use crate::document::{ConfigError, ConfigErrors, Document};
use crate::roster::EndpointListConfig;
use crate::values::parse_duration;

/// A pilot's post: the terms its decisions read, and where its sockets stand.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    pub file: PathBuf,
    pub name: String,
    pub seed: u64,
    pub settings: Settings,
    pub names: NameIndex,
    pub listeners: Vec<ListenerConfig>,
    pub proxies: Vec<ProxyConfig>,
    pub endpoints: EndpointListSource,
    pub log: LogConfig,
    /// The folder for proxies that read files.
    pub table_files: Option<TableFilesConfig>,
    /// The folder in which what was learned is kept across restarts.
    pub state_directory: Option<PathBuf>,
    /// A command that a proxy leaves unanswered for so long breaks its stream.
    pub response_timeout: Duration,
    /// The first wait before a broken stream is dialled anew, and the longest.
    pub reconnect_backoff: BackoffRange,
}

/// A socket of the pilot's own runtime API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenerConfig {
    pub address: Address,
    pub level: Level,
}

/// A proxy that the pilot steers.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyConfig {
    pub name: String,
    pub zone: ZoneId,
    pub address: Address,
    /// Visits a second that it usually has.
    pub request_rate: f64,
    /// It takes its tables from files, and not from its control socket.
    pub reads_files: bool,
}

/// Where tables are written as files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFilesConfig {
    pub directory: PathBuf,
    /// The file with the keys that seal generations.
    pub key_file: PathBuf,
    /// So many generations stay.
    pub retained_snapshots: usize,
    /// How often what proxies write back is looked at.
    pub poll_interval: Duration,
}

/// Where the list of servers comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListSource {
    /// A file, looked at anew this often.
    File(PathBuf, Duration),
    Inline(EndpointListConfig),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogConfig {
    pub json: bool,
    /// Levels by target, as `info,lockcroft_daemon=debug`.
    pub levels: Option<String>,
}

impl LogConfig {
    /// From the element `log`, if there is one.
    pub fn read(node: Option<Node>) -> Self {
        LogConfig {
            json: node.and_then(|node| node.attribute("form")) == Some("json"),
            levels: node.and_then(|node| node.attribute("levels")).map(String::from),
        }
    }
}

/// The shortest and the longest wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffRange {
    pub min: Duration,
    pub max: Duration,
}

const ANSWER_WITHIN: Duration = Duration::from_secs(2);
const RECONNECT_BACKOFF: BackoffRange =
    BackoffRange { min: Duration::from_millis(250), max: Duration::from_secs(5) };
const GENERATIONS: usize = 8;
const LOOK_EVERY: Duration = Duration::from_millis(200);

impl DaemonConfig {
    /// Reads and checks a settings file, and the roster file that it names.
    ///
    /// # Errors
    /// All that is wrong with either file.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        DaemonConfig::read(&Document::open(file, crate::SCHEMA)?)
    }

    /// Reads settings that passed the schema.
    ///
    /// # Errors
    /// All that no schema can see.
    pub fn read(document: &Document) -> Result<Self, ConfigErrors> {
        let tree = document.tree();
        let root = tree.root_element();
        if !root.has_tag_name("lockcroft") {
            let allowed = Some("the root element lockcroft");
            return Err(ConfigErrors(vec![document.error(root, "is no settings file", allowed)]));
        }
        let mut reader = Reader { document, values: SettingValues::default(), faults: Vec::new() };
        let post = reader.post(root);
        if reader.faults.is_empty() { Ok(post) } else { Err(ConfigErrors(reader.faults)) }
    }

    pub fn max_weight(&self) -> f64 {
        self.settings.fleet.max_weight
    }
}

struct Reader<'a> {
    document: &'a Document,
    values: SettingValues,
    faults: Vec<ConfigError>,
}

impl Reader<'_> {
    fn post(&mut self, root: Node) -> DaemonConfig {
        let part = |name: &'static str| root.children().find(|node| node.has_tag_name(name));
        let pilot = part("pilot");
        for list in ["zones", "kinds"] {
            for (i, node) in members(part(list)).into_iter().enumerate() {
                self.put(&format!("{list}.{i}"), SettingValue::Text(text(node, "name")));
                if let Some(cores) = node.attribute("cores").and_then(|cores| cores.parse().ok()) {
                    self.put(&format!("solver.kind_cores.{i}"), SettingValue::Number(cores));
                }
            }
            self.once(part(list));
        }
        self.once(part("classes"));
        for (i, node) in members(part("classes")).into_iter().enumerate() {
            self.attributes(&format!("classes.{i}"), node);
            self.span_order(node, "contract-time", "patience");
        }
        for name in ["fleet", "rules", "allowed", "solver"] {
            part(name).into_iter().for_each(|node| self.attributes(name, node));
        }
        self.values.0.entry("allowed.probes".into()).or_insert(SettingValue::Flag(true));
        let proxies = members(part("proxies"));
        // As many as are listed here times the pilots, unless it is stated.
        let pilots = self.values.number("fleet.pilots").unwrap_or(1.0);
        self.put("pilots", SettingValue::Number(pilots));
        let count = SettingValue::Number(proxies.len() as f64 * pilots.max(1.0));
        self.values.0.entry("fleet.proxies".into()).or_insert(count);
        let settings = self.values.to_settings();
        let places = NameIndex::new(&settings);
        self.once(part("proxies"));
        let proxies: Vec<_> = proxies.into_iter().filter_map(|node| self.proxy(node, &places)).collect();
        let time =
            |name: &str| pilot.and_then(|node| node.attribute(name)).and_then(|t| parse_duration(t).ok());
        let reconnect_backoff = BackoffRange {
            min: time("redial-least").unwrap_or(RECONNECT_BACKOFF.min),
            max: time("redial-most").unwrap_or(RECONNECT_BACKOFF.max),
        };
        DaemonConfig {
            file: self.document.file().into(),
            name: pilot
                .map_or_else(|| "pilot".into(), |node| node.attribute("name").unwrap_or("pilot").into()),
            seed: pilot.and_then(|node| node.attribute("seed")?.parse().ok()).unwrap_or(0),
            listeners: self.doors(part("runtime")),
            endpoints: self.roster(part("roster-file"), part("roster"), &places, settings.fleet.max_weight),
            log: LogConfig::read(part("log")),
            table_files: self.files(part("files"), &proxies),
            state_directory: part("memory").map(|node| self.base().join(text(node, "folder"))),
            settings,
            names: places,
            proxies,
            response_timeout: time("answer-within").unwrap_or(ANSWER_WITHIN),
            reconnect_backoff,
        }
    }

    /// Where names of files begin.
    fn base(&self) -> &Path {
        self.document.file().parent().unwrap_or(Path::new("."))
    }

    fn put(&mut self, name: &str, value: SettingValue) {
        self.values.0.insert(name.into(), value);
    }

    /// Attributes become terms by their own names; those that the schema calls times, in microseconds.
    fn attributes(&mut self, prefix: &str, node: Node) {
        for attribute in node.attributes() {
            let name = format!("{prefix}.{}", attribute.name().replace('-', "_"));
            let value = attribute.value();
            let kind = self.document.attribute_type(node, attribute.name()).unwrap_or_default();
            match kind.as_str() {
                "time" => match parse_duration(value) {
                    Ok(time) => {
                        self.put(&format!("{name}_us"), SettingValue::Number(time.as_micros() as f64))
                    }
                    Err(wrong) => self.faults.push(self.document.error(node, wrong, None)),
                },
                "amount" | "positive" | "share" | "count" => {
                    self.put(&name, SettingValue::Number(value.parse().unwrap_or(f64::NAN)));
                }
                "xs:boolean" => self.put(&name, SettingValue::Flag(value == "true" || value == "1")),
                "names" => {
                    for (i, word) in value.split_whitespace().enumerate() {
                        self.put(&format!("{name}.{i}"), SettingValue::Text(word.into()));
                        self.listed(node, attribute.name(), word);
                    }
                }
                _ => self.put(&name, SettingValue::Text(value.into())),
            }
        }
    }

    /// `only-zones` and `only-kinds` name what the lists of zones and kinds hold.
    fn listed(&mut self, node: Node, attribute: &str, word: &str) {
        let list = attribute.trim_start_matches("only-");
        let known = self.values.texts(list);
        if !known.contains(&word) {
            let (known, wrong) = (known.join(", "), format!("{attribute}: {word:?} is not listed"));
            self.faults.push(self.document.error(node, wrong, Some(&known)));
        }
    }

    /// Each name stands once in its list.
    fn once(&mut self, list: Option<Node>) {
        let mut met = BTreeSet::new();
        for node in members(list) {
            let name = text(node, "name");
            if !met.insert(name.clone()) {
                let fault =
                    self.document.error(node, format!("{name} is listed twice"), Some("each name once"));
                self.faults.push(fault);
            }
        }
    }

    fn span_order(&mut self, node: Node, low: &str, high: &str) {
        let time = |name: &str| parse_duration(&text(node, name)).unwrap_or_default();
        if time(low) > time(high) {
            let wrong = format!("{low} {} is longer than {high} {}", text(node, low), text(node, high));
            self.faults.push(self.document.error(node, wrong, Some(&format!("{low} up to {high}"))));
        }
    }

    fn proxy(&mut self, node: Node, places: &NameIndex) -> Option<ProxyConfig> {
        let zones = places.zones.join(", ");
        let zone = places.zone(&text(node, "zone"));
        let zone = zone.map_err(|wrong| self.document.error(node, wrong.to_string(), Some(&zones)));
        let address = text(node, "address").parse::<Address>();
        let address = address.map_err(|wrong| self.document.error(node, wrong.to_string(), None));
        let rate = node.attribute("visits-per-s").map_or(1.0, |rate| rate.parse().unwrap_or(1.0));
        match (zone, address) {
            (Ok(zone), Ok(address)) => {
                let reads_files = node.attribute("front") == Some("files");
                Some(ProxyConfig { name: text(node, "name"), zone, address, request_rate: rate, reads_files })
            }
            (zone, address) => {
                self.faults.extend(zone.err().into_iter().chain(address.err()));
                None
            }
        }
    }

    fn files(&mut self, files: Option<Node>, proxies: &[ProxyConfig]) -> Option<TableFilesConfig> {
        let Some(node) = files else {
            if let Some(proxy) = proxies.iter().find(|proxy| proxy.reads_files) {
                let wrong =
                    format!("{}: front=\"files\", and no element files says where they are", proxy.name);
                let root = self.document.tree();
                self.faults.push(self.document.error(
                    root.root_element(),
                    wrong,
                    Some("an element files before proxies"),
                ));
            }
            return None;
        };
        let base = self.base();
        let time = node.attribute("look-every").and_then(|time| parse_duration(time).ok());
        let count = node.attribute("generations").and_then(|count| count.parse().ok());
        Some(TableFilesConfig {
            directory: base.join(text(node, "folder")),
            key_file: base.join(text(node, "keys")),
            retained_snapshots: count.unwrap_or(GENERATIONS),
            poll_interval: time.unwrap_or(LOOK_EVERY),
        })
    }

    fn doors(&mut self, runtime: Option<Node>) -> Vec<ListenerConfig> {
        let mut doors = Vec::new();
        for node in members(runtime) {
            let level =
                node.attribute("level").and_then(|level| level.parse().ok()).unwrap_or(Level::Operator);
            match text(node, "address").parse() {
                Ok(address) => doors.push(ListenerConfig { address, level }),
                Err(wrong) => self.faults.push(self.document.error(node, wrong.to_string(), None)),
            }
        }
        doors
    }

    fn roster(
        &mut self,
        file: Option<Node>,
        here: Option<Node>,
        places: &NameIndex,
        max_weight: f64,
    ) -> EndpointListSource {
        if let Some(node) = file {
            let path = self.base().join(text(node, "path"));
            if let Err(faults) = EndpointListConfig::open(&path, places, max_weight) {
                self.faults.extend(faults.0);
            }
            let every = node.attribute("look-every").and_then(|time| parse_duration(time).ok());
            return EndpointListSource::File(path, every.unwrap_or(LOOK_EVERY));
        }
        let read = here.map(|node| EndpointListConfig::read(self.document, node, places, max_weight));
        let read = read.transpose().unwrap_or_else(|faults| {
            self.faults.extend(faults.0);
            None
        });
        EndpointListSource::Inline(read.unwrap_or_default())
    }
}

fn members<'d, 'i>(list: Option<Node<'d, 'i>>) -> Vec<Node<'d, 'i>> {
    list.into_iter().flat_map(|list| list.children().filter(Node::is_element)).collect()
}

fn text(node: Node, name: &str) -> String {
    node.attribute(name).unwrap_or_default().into()
}
