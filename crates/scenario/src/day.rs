//! A day as it is scripted.

use std::path::Path;
use std::time::Duration;

use lockcroft_config::{ConfigErrors, Document, parse_duration};
use lockcroft_proxy::{LoadBalancingPolicy, ProxyConfig};
use roxmltree::Node;

use crate::ways::{SearchSpace, Variant};

/// Each decision with its orders and answers.
const LOG: &str = "info,lockcroft::action=debug,lockcroft::update=debug,lockcroft::acknowledgement=debug";

/// A scripted day.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub length: Duration,
    pub seed: u64,
    /// The levels of the pilot's logs.
    pub log: String,
    /// The part of a settings file from `zones` to `allowed`, as it stands.
    pub terms: String,
    pub endpoints: Vec<Endpoints>,
    pub relays: ProxyFleet,
    pub visits: Vec<LoadProfile>,
    /// In the order of their times.
    pub troubles: Vec<FaultInjection>,
    /// Ways in which it may be played, and listed weights that a search tries.
    pub ways: Vec<Variant>,
    pub tries: Vec<SearchSpace>,
}

#[derive(Clone, Debug)]
pub struct Endpoints {
    pub kind: String,
    pub per_zone: usize,
    pub cores: usize,
    pub speed: f64,
    /// As the list has it.
    pub weight: f64,
    /// Where they stand; none named: in every zone.
    pub zones: Vec<String>,
    pub queue: usize,
    /// Work of a visit that is turned away.
    pub turn_away: Duration,
}

/// Proxies; what is not stated stays as a proxy has it of itself.
#[derive(Clone, Debug)]
pub struct ProxyFleet {
    pub per_zone: usize,
    pub standing: usize,
    pub front: TableSource,
    pub way: Option<LoadBalancingPolicy>,
    pub shuns_for: Option<Duration>,
    pub try_most: Option<Duration>,
    pub second_share: Option<f64>,
    pub outstanding_most: Option<usize>,
    pub waiting_most: Option<usize>,
}

/// How proxies are told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableSource {
    #[default]
    Commands,
    Files,
    /// Every second one reads files.
    Mixed,
}

impl TableSource {
    /// The schema allows no other names.
    pub fn named(name: &str) -> Self {
        match name {
            "files" => TableSource::Files,
            "mixed" => TableSource::Mixed,
            _ => TableSource::Commands,
        }
    }

    /// Whether the proxy of this number reads files.
    pub fn files(self, number: usize) -> bool {
        self == TableSource::Files || self == TableSource::Mixed && number % 2 == 1
    }
}

impl ProxyFleet {
    pub fn apply(&self, post: &mut ProxyConfig) {
        post.limits.way = self.way.unwrap_or(post.limits.way);
        post.limits.shuns_for = self.shuns_for.unwrap_or(post.limits.shuns_for);
        post.limits.outstanding_most = self.outstanding_most.unwrap_or(post.limits.outstanding_most);
        post.try_most = self.try_most.unwrap_or(post.try_most);
        post.second_share = self.second_share.unwrap_or(post.second_share);
        post.waiting_most = self.waiting_most.unwrap_or(post.waiting_most);
    }
}

#[derive(Clone, Debug)]
pub struct LoadProfile {
    pub class: String,
    /// Visits a second, all relays together.
    pub rate: f64,
    pub work: Duration,
    /// How often a client comes again by itself after a failure, at once.
    pub comes_again: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    Hang,
    Errors,
    Slow,
    Refuse,
    /// The process dies, and comes back cold; the list tells of both after `notice`.
    Lose,
    /// The list says that it drains.
    Drain,
    /// The list says that it is gone, and it is not.
    Lie,
    StallRelay,
    BreakRelay,
    RestartRelay,
    KillPilot,
    ResourceUsage,
    /// An operator gives the pilot this command.
    Ask,
}

#[derive(Clone, Debug)]
pub struct FaultInjection {
    pub at: Duration,
    /// How long it lasts; what is not stated lasts to the end.
    pub lasts: Option<Duration>,
    pub kind: FaultKind,
    pub servers: Vec<String>,
    pub zone: Option<String>,
    pub relay: Option<String>,
    pub times: f64,
    pub after_commands: usize,
    pub notice: Duration,
    pub command: String,
}

impl Scenario {
    /// # Errors
    /// All that is wrong with the file.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        Scenario::read(&Document::open(file, crate::SCHEMA)?)
    }

    /// # Errors
    /// All that is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        Scenario::read(&Document::new(Path::new("day.xml"), text.into(), crate::SCHEMA)?)
    }

    fn read(document: &Document) -> Result<Self, ConfigErrors> {
        let tree = document.tree();
        let root = tree.root_element();
        let all = |name: &'static str| root.children().filter(move |node| node.has_tag_name(name));
        let terms = all("terms").next().map(|node| inside(document.text(), node)).unwrap_or_default();
        let relays = all("relays").next().map(|node| ProxyFleet {
            per_zone: number(node, "per-zone", 1.0) as usize,
            standing: number(node, "standing", 8.0) as usize,
            front: node.attribute("front").map_or(TableSource::default(), TableSource::named),
            way: node.attribute("way").and_then(|way| way.parse().ok()),
            shuns_for: time(node, "shuns-for"),
            try_most: time(node, "try-most"),
            second_share: node.attribute("second-share").and_then(|share| share.parse().ok()),
            outstanding_most: node.attribute("outstanding-most").and_then(|most| most.parse().ok()),
            waiting_most: node.attribute("waiting-most").and_then(|most| most.parse().ok()),
        });
        let endpoints = all("endpoints").map(|node| Endpoints {
            kind: text(node, "kind"),
            per_zone: number(node, "per-zone", 1.0) as usize,
            cores: number(node, "cores", 1.0) as usize,
            speed: number(node, "speed", 1.0),
            weight: number(node, "weight", 1.0),
            zones: text(node, "zones").split_whitespace().map(String::from).collect(),
            queue: number(node, "queue", 64.0) as usize,
            turn_away: time(node, "turn-away-work").unwrap_or_default(),
        });
        let visits = all("visits").map(|node| LoadProfile {
            class: text(node, "class"),
            rate: number(node, "rate", 1.0),
            work: time(node, "work").unwrap_or_default(),
            comes_again: number(node, "comes-again", 0.0) as u32,
        });
        let mut troubles: Vec<FaultInjection> = all("trouble").map(trouble).collect();
        troubles.sort_by_key(|trouble| trouble.at);
        let (ways, tries) = crate::ways::read(document, root)?;
        Ok(Scenario {
            length: time(root, "length").unwrap_or_default(),
            seed: number(root, "seed", 1.0) as u64,
            log: root.attribute("log").unwrap_or(LOG).into(),
            terms,
            endpoints: endpoints.collect(),
            relays: relays.expect("the schema wants relays"),
            visits: visits.collect(),
            troubles,
            ways,
            tries,
        })
    }
}

fn trouble(node: Node) -> FaultInjection {
    let kind = match node.attribute("kind").unwrap_or_default() {
        "hang" => FaultKind::Hang,
        "errors" => FaultKind::Errors,
        "slow" => FaultKind::Slow,
        "refuse" => FaultKind::Refuse,
        "lose" => FaultKind::Lose,
        "drain" => FaultKind::Drain,
        "lie" => FaultKind::Lie,
        "stall-relay" => FaultKind::StallRelay,
        "break-relay" => FaultKind::BreakRelay,
        "restart-relay" => FaultKind::RestartRelay,
        "kill-pilot" => FaultKind::KillPilot,
        "load" => FaultKind::ResourceUsage,
        _ => FaultKind::Ask,
    };
    FaultInjection {
        at: time(node, "at").unwrap_or_default(),
        lasts: time(node, "for"),
        kind,
        servers: text(node, "servers").split_whitespace().map(String::from).collect(),
        zone: node.attribute("zone").map(String::from),
        relay: node.attribute("relay").map(String::from),
        times: number(node, "times", 1.0),
        after_commands: number(node, "after-commands", 1.0) as usize,
        notice: time(node, "notice").unwrap_or(Duration::from_secs(1)),
        command: text(node, "command"),
    }
}

fn inside(text: &str, node: Node) -> String {
    let parts = node.children().filter(Node::is_element).map(|child| &text[child.range()]);
    parts.fold(String::new(), |all, part| all + part + "\n")
}

fn text(node: Node, name: &str) -> String {
    node.attribute(name).unwrap_or_default().into()
}

fn time(node: Node, name: &str) -> Option<Duration> {
    node.attribute(name).and_then(|time| parse_duration(time).ok())
}

fn number(node: Node, name: &str, default: f64) -> f64 {
    node.attribute(name).and_then(|number| number.parse().ok()).unwrap_or(default)
}
