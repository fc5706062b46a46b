//! Reads scenarios from XML. The names of elements and attributes, which `day.xsd` defines, are mapped here only.

use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use lockcroft_config::{ConfigError, ConfigErrors, Document, parse_duration};
use roxmltree::Node;

use crate::faults::{FaultInjection, FaultKind};
use crate::proxy_fleet::{ProxyFleet, TableSource};
use crate::scenario::{EndpointGroup, LoadProfile, Scenario};
use crate::variants::{MachineTypeWeight, SearchSpace, SettingOverride, Variant};

/// The XML schema of scenario files.
pub const SCHEMA: &str = include_str!("../day.xsd");
/// The log levels of a scenario that states none. They include each action with its updates and acknowledgements.
const DEFAULT_LOG_LEVELS: &str =
    "info,lockcroft::action=debug,lockcroft::update=debug,lockcroft::acknowledgement=debug";
const DEFAULT_NOTICE_DELAY: Duration = Duration::from_secs(1);

impl Scenario {
    /// Reads a scenario from a file.
    ///
    /// # Errors
    /// Returns all errors in the file, or that it can't be read.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        read(&Document::open(file, SCHEMA)?)
    }

    /// Reads a scenario from the text of a file.
    ///
    /// # Errors
    /// Returns all errors in the text.
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        read(&Document::new(Path::new("day.xml"), text.into(), SCHEMA)?)
    }
}

/// Reads a document that is valid by the schema.
///
/// # Errors
/// Returns the errors in attributes that the schema can't check.
fn read(document: &Document) -> Result<Scenario, ConfigErrors> {
    let tree = document.tree();
    let root = tree.root_element();
    let elements = |name: &'static str| root.children().filter(move |node| node.has_tag_name(name));
    let settings = elements("terms").next().map(|node| inner_xml(document.text(), node));
    let proxies = elements("relays").next().map(proxy_fleet);
    let mut faults: Vec<FaultInjection> = elements("trouble").map(fault).collect();
    faults.sort_by_key(|fault| fault.at);
    Ok(Scenario {
        duration: time(root, "length").unwrap_or_default(),
        seed: number(root, "seed", 1.0) as u64,
        log_levels: root.attribute("log").unwrap_or(DEFAULT_LOG_LEVELS).into(),
        settings: settings.unwrap_or_default(),
        endpoints: elements("endpoints").map(endpoint_group).collect(),
        proxies: proxies.expect("the schema requires the element relays"),
        load: elements("visits").map(load_profile).collect(),
        faults,
        variants: variants(document, elements("way"))?,
        search_spaces: elements("search").map(search_space).collect(),
    })
}

fn endpoint_group(node: Node) -> EndpointGroup {
    EndpointGroup {
        machine_type: text(node, "kind"),
        per_zone: number(node, "per-zone", 1.0) as usize,
        cores: number(node, "cores", 1.0) as usize,
        speed: number(node, "speed", 1.0),
        weight: number(node, "weight", 1.0),
        zones: words(node, "zones").map(String::from).collect(),
        max_queued: number(node, "queue", 64.0) as usize,
        rejection_work: time(node, "turn-away-work").unwrap_or_default(),
    }
}

fn proxy_fleet(node: Node) -> ProxyFleet {
    ProxyFleet {
        per_zone: number(node, "per-zone", 1.0) as usize,
        default_table_entries: number(node, "standing", 8.0) as usize,
        table_source: node.attribute("front").map_or(TableSource::default(), table_source),
        policy: parsed(node, "way"),
        ejection_time: time(node, "shuns-for"),
        attempt_timeout: time(node, "try-most"),
        retry_ratio: parsed(node, "second-share"),
        max_in_flight: parsed(node, "outstanding-most"),
        max_queued_requests: parsed(node, "waiting-most"),
    }
}

/// Returns the table source of this name; the schema allows no others.
fn table_source(name: &str) -> TableSource {
    match name {
        "files" => TableSource::Files,
        "mixed" => TableSource::Mixed,
        _ => TableSource::Commands,
    }
}

fn load_profile(node: Node) -> LoadProfile {
    LoadProfile {
        class: text(node, "class"),
        rate: number(node, "rate", 1.0),
        work: time(node, "work").unwrap_or_default(),
        max_client_retries: number(node, "comes-again", 0.0) as u32,
    }
}

fn fault(node: Node) -> FaultInjection {
    FaultInjection {
        at: time(node, "at").unwrap_or_default(),
        duration: time(node, "for"),
        kind: fault_kind(node.attribute("kind").unwrap_or_default()),
        endpoints: words(node, "servers").map(String::from).collect(),
        zone: node.attribute("zone").map(String::from),
        proxy: node.attribute("relay").map(String::from),
        factor: number(node, "times", 1.0),
        after_commands: number(node, "after-commands", 1.0) as usize,
        notice_delay: time(node, "notice").unwrap_or(DEFAULT_NOTICE_DELAY),
        command: text(node, "command"),
    }
}

/// Returns the kind of fault of this name; the schema allows no others.
fn fault_kind(name: &str) -> FaultKind {
    match name {
        "hang" => FaultKind::Hang,
        "errors" => FaultKind::Errors,
        "slow" => FaultKind::Slow,
        "refuse" => FaultKind::Reject,
        "lose" => FaultKind::LoseEndpoint,
        "drain" => FaultKind::Drain,
        "lie" => FaultKind::FalselyRemove,
        "stall-relay" => FaultKind::StallProxy,
        "break-relay" => FaultKind::BreakProxyStream,
        "restart-relay" => FaultKind::RestartProxy,
        "kill-pilot" => FaultKind::KillController,
        "load" => FaultKind::Overload,
        _ => FaultKind::RunCommand,
    }
}

fn search_space(node: Node) -> SearchSpace {
    let weights = words(node, "weights").filter_map(|word| word.parse().ok()).collect();
    SearchSpace { machine_type: text(node, "kind"), weights }
}

/// Reads all variants, or returns the errors of all of them.
fn variants<'t>(
    document: &Document,
    nodes: impl Iterator<Item = Node<'t, 't>>,
) -> Result<Vec<Variant>, ConfigErrors> {
    let mut errors = Vec::new();
    let variants: Vec<Variant> = nodes.map(|node| variant(document, node, &mut errors)).collect();
    if errors.is_empty() { Ok(variants) } else { Err(ConfigErrors(errors)) }
}

fn variant(document: &Document, node: Node, errors: &mut Vec<ConfigError>) -> Variant {
    let invalid =
        |word: &str, expected: &str| document.error(node, format!("can't parse {word:?}"), Some(expected));
    let overrides = words(node, "set").map(|word| {
        let expected = "element/attribute=value or element/child/attribute=value";
        setting_override(word).ok_or_else(|| invalid(word, expected))
    });
    let overrides = collect_valid(overrides, errors);
    let weights = words(node, "weights").map(|word| {
        machine_type_weight(word).ok_or_else(|| invalid(word, "kind=weight, the weight above 0"))
    });
    Variant {
        name: text(node, "name"),
        without: words(node, "without").map(String::from).collect(),
        overrides,
        weights: collect_valid(weights, errors),
        table_source: node.attribute("front").map(table_source),
    }
}

/// Returns the values that could be read and appends the errors of the others to `errors`.
fn collect_valid<T>(
    results: impl Iterator<Item = Result<T, ConfigError>>,
    errors: &mut Vec<ConfigError>,
) -> Vec<T> {
    results.filter_map(|result| result.map_err(|error| errors.push(error)).ok()).collect()
}

fn setting_override(word: &str) -> Option<SettingOverride> {
    let (path, value) = word.split_once('=')?;
    let parts: Vec<&str> = path.split('/').collect();
    let (element, child, attribute) = match parts[..] {
        [element, attribute] => (element, "", attribute),
        [element, child, attribute] => (element, child, attribute),
        _ => return None,
    };
    Some(SettingOverride {
        element: element.into(),
        child: child.into(),
        attribute: attribute.into(),
        value: value.into(),
    })
}

fn machine_type_weight(word: &str) -> Option<MachineTypeWeight> {
    let (machine_type, weight) = word.split_once('=')?;
    let weight: f64 = weight.parse().ok()?;
    (weight > 0.0).then(|| MachineTypeWeight { machine_type: machine_type.into(), weight })
}

/// Returns the source text of the child elements, one per line.
fn inner_xml(text: &str, node: Node) -> String {
    let children = node.children().filter(Node::is_element).map(|child| &text[child.range()]);
    children.fold(String::new(), |all, child| all + child + "\n")
}

fn text(node: Node, attribute: &str) -> String {
    node.attribute(attribute).unwrap_or_default().into()
}

fn words<'t>(node: Node<'t, '_>, attribute: &str) -> impl Iterator<Item = &'t str> {
    node.attribute(attribute).unwrap_or_default().split_whitespace()
}

fn time(node: Node, attribute: &str) -> Option<Duration> {
    node.attribute(attribute).and_then(|time| parse_duration(time).ok())
}

fn parsed<T: FromStr>(node: Node, attribute: &str) -> Option<T> {
    node.attribute(attribute).and_then(|text| text.parse().ok())
}

fn number(node: Node, attribute: &str, default: f64) -> f64 {
    parsed(node, attribute).unwrap_or(default)
}
