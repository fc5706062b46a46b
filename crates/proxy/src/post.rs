//! What a proxy is told at its start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lockcroft_config::{ConfigErrors, Document, LogConfig, parse_duration};
use lockcroft_runtime_api::Address;
use roxmltree::Node;

use crate::choose::LoadBalancingPolicy;
use crate::held::Limits;

/// The schema of a proxy's settings.
pub const SCHEMA: &str = include_str!("../proxy.xsd");

const LOOK_EVERY: Duration = Duration::from_secs(1);

/// A proxy's post.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    pub name: String,
    /// Where visits come in.
    pub visits: SocketAddr,
    pub control: Vec<Address>,
    pub log: LogConfig,
    pub limits: Limits,
    pub seed: u64,
    /// Connections of clients at a time; more are closed at once.
    pub clients_most: usize,
    /// A client that has not said a whole head for so long is closed.
    pub silent_most: Duration,
    /// Bodies up to so many bytes are kept, for a second try and so that half an answer is not passed on.
    pub keep_most: usize,
    pub connect_within: Duration,
    /// A connection to an endpoint that was not used for so long is closed.
    pub idle_most: Duration,
    /// A try is given up after so long.
    pub try_most: Duration,
    /// Second tries for each first one, at most.
    pub second_share: f64,
    /// Visits that may wait for room at an endpoint, and for how long.
    pub waiting_most: usize,
    pub waiting_for: Duration,
    /// What a refused client is told.
    pub retry_after: Duration,
    /// The proxy stands still for so long for each line of orders.
    pub stall_a_line: Duration,
    /// Classes, with the patience of clients who do not tell theirs.
    pub classes: Vec<(String, Duration)>,
    pub standing: Vec<(String, SocketAddr)>,
    /// Where it takes its tables from, if not from its control socket.
    pub files: Option<TableFilesConfig>,
}

/// A folder of generations, as a proxy follows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFilesConfig {
    pub folder: PathBuf,
    pub keys: PathBuf,
    /// It looks by itself so often, whatever file events tell.
    pub look_every: Duration,
}

impl ProxyConfig {
    /// A post with everything as it is where nothing is stated.
    pub fn new(
        name: &str,
        visits: SocketAddr,
        control: Vec<Address>,
        classes: Vec<(String, Duration)>,
    ) -> Self {
        ProxyConfig {
            name: name.into(),
            visits,
            control,
            log: LogConfig::default(),
            limits: Limits {
                way: LoadBalancingPolicy::SmoothWeightedRoundRobin,
                outstanding_most: 0,
                shuns_after: 0,
                shuns_for: Duration::from_secs(5),
            },
            seed: 0,
            clients_most: 4096,
            silent_most: Duration::from_secs(10),
            keep_most: 65_536,
            connect_within: Duration::from_millis(500),
            idle_most: Duration::from_secs(15),
            try_most: Duration::from_secs(60),
            second_share: 0.1,
            waiting_most: 100,
            waiting_for: Duration::from_millis(100),
            retry_after: Duration::from_secs(1),
            stall_a_line: Duration::ZERO,
            classes,
            standing: Vec::new(),
            files: None,
        }
    }

    /// # Errors
    /// All that is wrong with the file.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        let document = Document::open(file, SCHEMA)?;
        let tree = document.tree();
        let root = tree.root_element();
        let part = |name: &'static str| root.children().find(|node| node.has_tag_name(name));
        let (mut faults, mut control, mut standing, mut classes) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for node in root.descendants().filter(Node::is_element) {
            let name = node.attribute("name").unwrap_or_default().to_string();
            let address = node.attribute("address").unwrap_or_default();
            let wrong = |wrong: String| document.error(node, wrong, Some("IP:PORT"));
            match node.tag_name().name() {
                "control" => match address.parse::<Address>() {
                    Ok(address) => control.push(address),
                    Err(why) => faults.push(wrong(why.to_string())),
                },
                "server" => match address.parse() {
                    Ok(address) => standing.push((name, address)),
                    Err(_) => faults.push(wrong(format!("{address:?} is no address"))),
                },
                "class" => classes.push((name, time(Some(node), "patience").unwrap_or_default())),
                _ => {}
            }
        }
        let at = part("visits").and_then(|node| node.attribute("address")).unwrap_or_default();
        let Ok(visits) = at.parse() else {
            faults.push(document.error(root, format!("visits: {at:?} is no address"), Some("IP:PORT")));
            return Err(ConfigErrors(faults));
        };
        if !faults.is_empty() {
            return Err(ConfigErrors(faults));
        }
        let mut post = ProxyConfig::new(root.attribute("name").unwrap_or_default(), visits, control, classes);
        post.standing = standing;
        let base = file.parent().unwrap_or(Path::new("."));
        let place = |node: Node, name: &str| base.join(node.attribute(name).unwrap_or_default());
        post.files = part("files").map(|node| TableFilesConfig {
            folder: place(node, "folder"),
            keys: place(node, "keys"),
            look_every: time(Some(node), "look-every").unwrap_or(LOOK_EVERY),
        });
        post.state(part);
        Ok(post)
    }

    /// Takes what is stated in place of what stands.
    fn state<'a, 'd: 'a>(&mut self, part: impl Fn(&'static str) -> Option<Node<'a, 'd>>) {
        let set = |into: &mut Duration, node: &'static str, name: &str| {
            *into = time(part(node), name).unwrap_or(*into);
        };
        set(&mut self.silent_most, "visits", "silent-most");
        set(&mut self.connect_within, "tries", "connect-within");
        set(&mut self.idle_most, "tries", "idle-most");
        set(&mut self.try_most, "tries", "try-most");
        set(&mut self.waiting_for, "limits", "waiting-for");
        set(&mut self.retry_after, "limits", "retry-after");
        set(&mut self.stall_a_line, "limits", "stall-a-line");
        set(&mut self.limits.shuns_for, "choosing", "shuns-for");
        let count = |into: &mut usize, node: &'static str, name: &str| {
            *into = number(part(node), name).unwrap_or(*into);
        };
        count(&mut self.clients_most, "visits", "clients-most");
        count(&mut self.keep_most, "visits", "keep-most-bytes");
        count(&mut self.waiting_most, "limits", "waiting-most");
        count(&mut self.limits.outstanding_most, "limits", "outstanding-most");
        self.limits.shuns_after = number(part("choosing"), "shuns-after").unwrap_or(self.limits.shuns_after);
        self.limits.way = number(part("choosing"), "way").unwrap_or_default();
        self.seed = number(part("choosing"), "seed").unwrap_or(self.seed);
        self.second_share = number(part("tries"), "second-share").unwrap_or(self.second_share);
        self.log = LogConfig::read(part("log"));
    }
}

fn time(node: Option<Node>, name: &str) -> Option<Duration> {
    parse_duration(node?.attribute(name)?).ok()
}

fn number<T: std::str::FromStr>(node: Option<Node>, name: &str) -> Option<T> {
    node?.attribute(name)?.parse().ok()
}
