//! The stage of a day: endpoints, relays, the list and the pilot's settings.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lockcroft_config::DaemonConfig;
use lockcroft_proxy::{Limits as Shuns, LoadBalancingPolicy, ProxyConfig};
use lockcroft_runtime_api::Address;
use lockcroft_testbed::{EndpointConfig, FakeEndpoint, TrafficEvent, TrafficRecorder};
use nanorand::{Rng, WyRand};

use crate::day::{Scenario, TableSource};
use crate::folder::Folder;
use crate::proxies::ProxyRuntimes;
use crate::roster::{Line, RosterFile};
use crate::rules::Limits;
use crate::score::Zones;
use crate::wire::ThrottledLink;

/// A proxy of the day, behind the tap on its control socket.
pub struct ProxyInstance {
    pub name: String,
    pub zone: String,
    pub visits: SocketAddr,
    pub wire: ThrottledLink,
    number: usize,
    post: ProxyConfig,
}

pub struct Stage {
    hosts: ProxyRuntimes,
    pub endpoints: BTreeMap<String, FakeEndpoint>,
    pub relays: Vec<ProxyInstance>,
    pub roster: RosterFile,
    pub settings: PathBuf,
    /// The pilot's own runtime API.
    pub socket: PathBuf,
    pub post: DaemonConfig,
    pub limits: Limits,
    pub tap: TrafficRecorder,
    pub folder: Folder,
}

/// A whole settings file from the day's terms.
pub fn settings(day: &Scenario, socket: &Path, files: &str, proxies: &str, roster: &str) -> String {
    let Scenario { seed, log, terms, .. } = day;
    format!(
        "<lockcroft>\n<pilot name=\"rehearsed\" seed=\"{seed}\"/>\n\
         <runtime><listen address=\"unix:{}\" level=\"admin\"/></runtime>\n<log levels=\"{log}\"/>\n\
         {terms}{files}<proxies>\n{proxies}</proxies>\n{roster}\n</lockcroft>\n",
        socket.display()
    )
}

impl Stage {
    /// Starts all stand-ins and writes the pilot's files into the folder.
    ///
    /// # Errors
    /// The day's terms are no settings, or a socket or file can't be had.
    pub async fn build(day: &Scenario, folder: &Path, threads: usize) -> Result<Self, String> {
        let (socket, path) = (folder.join("pilot.sock"), folder.join("pilot.xml"));
        let io = |e: std::io::Error| e.to_string();
        fs::write(&path, settings(day, &socket, "", "", "<roster/>")).map_err(io)?;
        let post = DaemonConfig::open(&path).map_err(|faults| faults.to_string())?;
        let wheel = day.relays.way.unwrap_or_default() == LoadBalancingPolicy::SmoothWeightedRoundRobin;
        let even = wheel && day.relays.outstanding_most.is_none();
        let limits = Limits { even, ..Limits::new(&post.settings) };
        let tap = TrafficRecorder::default();
        let mut endpoints = BTreeMap::new();
        let mut lines = BTreeMap::new();
        for zone in &post.names.zones {
            let here = |like: &&crate::day::Endpoints| like.zones.is_empty() || like.zones.contains(zone);
            for (group, like) in day.endpoints.iter().enumerate().filter(|(_, like)| here(like)) {
                for number in 1..=like.per_zone {
                    let mark = if group == 0 { String::new() } else { format!("{group}-") };
                    let name = format!("{zone}-{mark}{number}");
                    let work = day.visits.iter().map(|v| (v.class.clone(), v.work.as_secs_f64())).collect();
                    let endpoint = endpoint(&name, like, work, &limits, &tap).await.map_err(io)?;
                    let (kind, address) = (like.kind.clone(), endpoint.address);
                    let (zone, weight) = (zone.clone(), like.weight);
                    let line = Line { zone, kind, address, weight, state: "ready", started: None };
                    lines.insert(name.clone(), line);
                    endpoints.insert(name, endpoint);
                }
            }
        }
        let hosts = ProxyRuntimes::new(threads).map_err(io)?;
        let files = Folder::make(folder).map_err(io)?;
        let patience = |i: usize| post.settings.classes[i].client_timeout.unwrap_or_default();
        let classes = post.names.classes.iter().cloned().enumerate();
        let classes: Vec<_> = classes.map(|(i, name)| (name, patience(i))).collect();
        let mut chance = WyRand::new_seed(day.seed);
        let mut relays = Vec::new();
        let mut proxies = String::new();
        let rate: f64 = day.visits.iter().map(|visits| visits.rate).sum();
        let share = rate / (day.relays.per_zone * post.names.zones.len()) as f64;
        for zone in &post.names.zones {
            for number in 1..=day.relays.per_zone {
                let name = format!("r-{zone}-{number}");
                let mut near: Vec<_> = lines.iter().filter(|(_, line)| line.zone == *zone).collect();
                chance.shuffle(&mut near);
                let near = near.into_iter().take(day.relays.standing);
                let control = Address::Unix(folder.join(format!("{name}.sock")));
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let mut proxy = ProxyConfig::new(&name, any, vec![control.clone()], classes.clone());
                proxy.standing = near.map(|(name, line)| (name.clone(), line.address)).collect();
                // A large day has more proxies and endpoints than descriptors for all pairs of them.
                proxy.idle_most = Duration::from_secs(1);
                day.relays.apply(&mut proxy);
                let shuns_after = post.settings.fleet.proxy_ejection_threshold.unwrap_or(0.0) as u32;
                proxy.limits = Shuns { shuns_after, ..proxy.limits };
                let number = relays.len();
                proxy.seed = number as u64;
                let reads_files = day.relays.front.files(number);
                proxy.files = reads_files.then(|| files.terms());
                let front = if reads_files { "files" } else { "commands" };
                proxy.visits = hosts.start(number, proxy.clone()).await.map_err(io)?;
                standing(&proxy, &tap);
                let wire = ThrottledLink::lay(&name, control, tap.clone()).await.map_err(io)?;
                proxies += &format!(
                    "<proxy name=\"{name}\" zone=\"{zone}\" address=\"{}\" visits-per-s=\"{share:.2}\" front=\"{front}\"/>\n",
                    wire.address
                );
                let zone = zone.clone();
                relays.push(ProxyInstance { name, zone, visits: proxy.visits, wire, number, post: proxy });
            }
        }
        let mut roster = RosterFile::new(folder.join("roster.xml"), lines, tap.clone());
        roster.write().map_err(io)?;
        let file = "<roster-file path=\"roster.xml\" look-every=\"100ms\"/>";
        let parts = if day.relays.front == TableSource::Commands { String::new() } else { files.settings() };
        fs::write(&path, settings(day, &socket, &parts, &proxies, file)).map_err(io)?;
        let post = DaemonConfig::open(&path).map_err(|faults| faults.to_string())?;
        Ok(Stage {
            hosts,
            endpoints,
            relays,
            roster,
            settings: path,
            socket,
            post,
            limits,
            tap,
            folder: files,
        })
    }

    /// The proxy's process is gone, with its streams; a new one stands in its place, at its standing table.
    ///
    /// # Errors
    /// Its sockets can't be had again.
    pub async fn restart(&self, relay: &ProxyInstance) -> Result<(), String> {
        let _quiet = self.folder.quiet.lock().await;
        self.hosts.stop(relay.number);
        let started = self.hosts.start(relay.number, relay.post.clone()).await;
        // Not before: what the old one was told until it ended is its own.
        standing(&relay.post, &self.tap);
        started.map(|_| ()).map_err(|e| format!("{}: {e}", relay.name))
    }

    /// Zones of all endpoints and relays by their names.
    pub fn zones(&self) -> Zones {
        let endpoints = self.roster.lines.iter().map(|(name, line)| (name.clone(), line.zone.clone()));
        let relays = self.relays.iter().map(|relay| (relay.name.clone(), relay.zone.clone()));
        endpoints.chain(relays).collect()
    }

    /// Endpoints by name or zone.
    ///
    /// # Errors
    /// Names who is not there.
    pub fn meant(&self, servers: &[String], zone: Option<&str>) -> Result<Vec<String>, String> {
        let unknown = servers.iter().find(|name| !self.endpoints.contains_key(*name));
        if let Some(name) = unknown {
            let all: Vec<&str> = self.endpoints.keys().map(String::as_str).collect();
            return Err(format!("no server {name:?}; there are {}", all.join(", ")));
        }
        let near = |name: &&String| self.roster.lines[*name].zone == zone.unwrap_or_default();
        let zone = self.endpoints.keys().filter(near).cloned();
        Ok(servers.iter().cloned().chain(zone).collect())
    }
}

fn standing(post: &ProxyConfig, tap: &TrafficRecorder) {
    let servers = post.standing.iter().map(|(name, _)| name.clone()).collect();
    tap.put(TrafficEvent::Standing { relay: post.name.clone(), servers });
}

async fn endpoint(
    name: &str,
    like: &crate::day::Endpoints,
    work: HashMap<String, f64>,
    limits: &Limits,
    tap: &TrafficRecorder,
) -> std::io::Result<FakeEndpoint> {
    let terms = EndpointConfig {
        name: name.into(),
        cores: like.cores,
        speed: like.speed,
        queue: like.queue,
        turn_away: like.turn_away.as_secs_f64(),
        work,
        cold_share: limits.cold_share,
        warm_within: limits.warm_within,
        cold_multiple: limits.cold_multiple,
        cold_span: limits.cold_span,
    };
    FakeEndpoint::start(terms, tap.clone()).await
}
