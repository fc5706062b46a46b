//! The state of the stand-in world: endpoints, discovery's list, proxies with their tables, the channel, and the
//! rules as the users' pages state them. All times are milliseconds since the start of the case.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::json::Json;

/// One class of requests.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub effect: &'static str,
    pub worth: f64,
}

/// The figures of a deployment, from a site file of the users.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    pub kind: &'static str,
    pub classes: Vec<Class>,
    pub endpoints_per_zone: usize,
    /// Endpoints of all zones that were listed `started_ms_ago`; `None`: long ago.
    pub started_ms_ago: Option<u64>,
    /// The number of proxies in the settings.
    pub agents: usize,
    /// The number of proxies that join the pilot of this case.
    pub proxies: usize,
    pub pilots: usize,
    pub probes: bool,
    /// How endpoints report their load, the names of the values, and a report as collectors pass it on.
    pub report: (&'static str, &'static str, &'static str),
    pub lines_per_s: f64,
    pub queue_cap: f64,
    pub messages_most: usize,
    pub messages_span_ms: f64,
    pub head: f64,
    pub late_ms: f64,
    pub unserved_most_ms: f64,
    pub drain_grace_ms: f64,
    pub cold_from: f64,
    pub cold_ms: f64,
    pub fall_multiple: f64,
    pub fall_ms: f64,
    pub period_ms: f64,
    pub heard_late_ms: f64,
    pub connections_least: f64,
    pub standing: usize,
    pub ejects: usize,
    pub requests_per_s: f64,
    /// The time to answer a request, as reports state it.
    pub answer_ms: f64,
    pub redial_ms: (f64, f64),
    pub first_index: u64,
    pub limits: (usize, usize),
    /// The requests over what all endpoints can do.
    pub load: f64,
}

/// The slack of the rules on sockets: limits are this much longer.
pub const SLACK_MS: f64 = 300.0;
/// Time limits begin no sooner than this after the pilot first answered.
pub const AFTER_ANSWER_MS: f64 = 1000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Up,
    Draining,
    Removed,
}

impl Status {
    pub fn word(self) -> &'static str {
        match self {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::Removed => "removed",
        }
    }
}

pub struct Endpoint {
    pub name: String,
    pub zone: usize,
    pub address: SocketAddr,
    /// True while its process runs.
    pub runs: bool,
    pub status: Status,
    pub since_unix_ms: u64,
    /// The version of the list in which its entry last changed.
    pub version: u64,
    /// What the pilot was told last, and when.
    pub told: Option<Told>,
    /// Requests that arrived, and the failed ones among them, since the last report, by zone of the proxies.
    pub attempts: Vec<(u32, u32)>,
    pub arrived: u64,
    /// True while it takes requests and answers none.
    pub hangs: bool,
    /// Arrivals within the span of the rule on cold endpoints, from proxies that count.
    recent: VecDeque<f64>,
    fell: bool,
}

#[derive(Clone, Copy)]
pub struct Told {
    pub status: Status,
    pub since_unix_ms: u64,
    pub at: f64,
}

/// The table of one class at a proxy.
#[derive(Clone, Default)]
pub struct Table {
    pub weights: BTreeMap<usize, f64>,
    credits: BTreeMap<usize, f64>,
}

pub struct Proxy {
    pub zone: usize,
    pub tables: Vec<Table>,
    pub ejected: BTreeSet<usize>,
    /// True until it applied a table that was ordered.
    pub cold: bool,
    pub stream: Option<TcpStream>,
    /// Counts its streams; a message for an earlier one is lost.
    pub generation: u64,
    pub joined_at: Option<f64>,
    pub may_dial: bool,
    /// False while it is cut off from the pilot, and goes on forwarding.
    pub reaches_pilot: bool,
    /// When its last message took effect.
    applied_at: f64,
    pub message_times: VecDeque<f64>,
    bare_since: Vec<Option<f64>>,
    owed: f64,
    next_class: usize,
    pub requests: Vec<u32>,
    pub refused: Vec<u32>,
}

impl Proxy {
    pub fn pickable(&self, class: usize) -> usize {
        let lines = self.tables[class].weights.iter();
        lines.filter(|(endpoint, weight)| **weight > 0.0 && !self.ejected.contains(endpoint)).count()
    }

    /// Picks a line evenly by weight.
    fn pick(&mut self, number: usize, class: usize) -> Option<usize> {
        let table = &mut self.tables[class];
        let ejected = &self.ejected;
        let lines: Vec<(usize, f64)> = table
            .weights
            .iter()
            .filter(|(endpoint, weight)| **weight > 0.0 && !ejected.contains(endpoint))
            .map(|(endpoint, weight)| (*endpoint, *weight))
            .collect();
        let total: f64 = lines.iter().map(|(_, weight)| weight).sum();
        table.credits.retain(|endpoint, _| lines.iter().any(|(line, _)| line == endpoint));
        for (endpoint, weight) in &lines {
            // Each proxy begins elsewhere.
            let mixed = (number * 7919 + endpoint * 104_729 + class * 31) as u64;
            let first = (mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / (1u64 << 24) as f64;
            *table.credits.entry(*endpoint).or_insert(first * weight / total * lines.len() as f64) +=
                weight / total;
        }
        let (best, _) = table.credits.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let best = *best;
        *table.credits.get_mut(&best)? -= 1.0;
        Some(best)
    }
}

/// A message in the channel or on its way.
pub struct Message {
    pub proxy: usize,
    pub generation: u64,
    pub parts: Vec<Json>,
}

/// An order in which messages take effect.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at_us: u64,
    number: u64,
}

/// What was sent and answered since the last line about it in the record.
#[derive(Default)]
pub struct Second {
    /// Requests that proxies sent, and those among them that failed, by endpoint.
    requests: BTreeMap<usize, (u32, u32)>,
    /// Requests of proxies that had no line to pick.
    refused: u32,
    /// Marks that proxies answered.
    marks: u32,
    /// Probes that endpoints answered.
    pub probes: u32,
    /// Lines that collectors passed on.
    pub reports: usize,
}

pub struct State {
    pub endpoints: Vec<Endpoint>,
    pub index: u64,
    pub known: String,
    pub proxies: Vec<Proxy>,
    /// Start of sending and lines of each message that waits in the channel.
    waiting: VecDeque<(f64, f64)>,
    channel_free_at: f64,
    pub most_waiting: f64,
    pub most_messages: usize,
    due: BinaryHeap<Reverse<Due>>,
    messages: BTreeMap<u64, Message>,
    next_message: u64,
    pub first_answer: Option<f64>,
    /// Time limits wait until then, after a new configuration.
    pub limits_from: f64,
    /// Counts the addresses that discovery has had.
    pub discovery_address: usize,
    pub discovery_moved_at: f64,
    /// How often each rule was broken.
    pub broken: BTreeMap<&'static str, usize>,
    pub record: File,
    pub second: Second,
    pub stopping: bool,
    /// The longest time from the start of a grace to a request that was still sent.
    pub latest_drain: f64,
    /// Slowdown of the channel.
    pub slower: f64,
}

impl State {
    /// Returns the time from which time limits run; `None` before the pilot's first answer.
    fn begin(&self) -> Option<f64> {
        self.first_answer.map(|answer| (answer + AFTER_ANSWER_MS).max(self.limits_from))
    }
}

pub struct World {
    pub site: Site,
    pub started: Instant,
    state: Mutex<State>,
    /// Notified when discovery's list changes.
    pub list_changed: Condvar,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl World {
    pub fn new(site: Site, addresses: Vec<SocketAddr>, record: File) -> World {
        let zones = site.zones.len();
        let since = site.started_ms_ago.map_or(0, |ago| unix_ms() - ago);
        let classes = site.classes.len();
        let endpoints: Vec<Endpoint> = addresses
            .into_iter()
            .enumerate()
            .map(|(number, address)| Endpoint {
                name: format!("s-{:08x}", (number as u32 + 1).wrapping_mul(0x9e37_79b1)),
                zone: number % zones,
                address,
                runs: number < zones * site.endpoints_per_zone,
                status: if number < zones * site.endpoints_per_zone { Status::Up } else { Status::Removed },
                since_unix_ms: since,
                version: site.first_index,
                told: None,
                attempts: vec![(0, 0); zones],
                arrived: 0,
                hangs: false,
                recent: VecDeque::new(),
                fell: false,
            })
            .collect();
        let proxies = (0..site.proxies)
            .map(|number| {
                let zone = number % zones;
                // A standing table: some listed endpoints of its zone, another set for each proxy.
                let own: Vec<usize> = (0..endpoints.len())
                    .filter(|e| endpoints[*e].runs && endpoints[*e].zone == zone)
                    .collect();
                let all: Vec<usize> = (0..endpoints.len()).filter(|e| endpoints[*e].runs).collect();
                let from = if own.len() >= 3 { own } else { all };
                let mut table = Table::default();
                for k in 0..site.standing.min(from.len()) {
                    table.weights.insert(from[(number / zones + k) % from.len()], 1.0);
                }
                Proxy {
                    zone,
                    tables: vec![table; classes],
                    ejected: BTreeSet::new(),
                    cold: true,
                    stream: None,
                    generation: 0,
                    joined_at: None,
                    may_dial: false,
                    reaches_pilot: true,
                    applied_at: 0.0,
                    message_times: VecDeque::new(),
                    bare_since: vec![None; classes],
                    owed: number as f64 / site.proxies as f64,
                    next_class: number % classes,
                    requests: vec![0; classes],
                    refused: vec![0; classes],
                }
            })
            .collect();
        let state = State {
            endpoints,
            index: site.first_index,
            known: String::new(),
            proxies,
            waiting: VecDeque::new(),
            channel_free_at: 0.0,
            most_waiting: 0.0,
            most_messages: 0,
            due: BinaryHeap::new(),
            messages: BTreeMap::new(),
            next_message: 0,
            first_answer: None,
            limits_from: 0.0,
            discovery_address: 0,
            discovery_moved_at: 0.0,
            broken: BTreeMap::new(),
            record,
            second: Second::default(),
            stopping: false,
            latest_drain: 0.0,
            slower: 1.0,
        };
        World { site, started: Instant::now(), state: Mutex::new(state), list_changed: Condvar::new() }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn note(&self, state: &mut State, text: &str) {
        let _ = writeln!(state.record, "{:9.1} {text}", self.now());
    }

    pub fn say(&self, text: &str) {
        let mut state = self.lock();
        self.note(&mut state, text);
    }

    pub fn broke(&self, state: &mut State, rule: &'static str, text: &str) {
        let count = state.broken.entry(rule).or_insert(0);
        *count += 1;
        if *count <= 40 {
            self.note(state, &format!("BROKEN {rule}: {text}"));
        }
    }

    // Discovery's list.

    pub fn entry(state: &State, site: &Site, number: usize) -> String {
        let endpoint = &state.endpoints[number];
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            endpoint.name,
            endpoint.address,
            site.zones[endpoint.zone],
            site.kind,
            number / (site.zones.len() * 4) * site.zones.len() + endpoint.zone,
            endpoint.status.word(),
            endpoint.since_unix_ms
        )
    }

    pub fn whole_list(&self, state: &State) -> String {
        let listed = (0..state.endpoints.len()).filter(|e| state.endpoints[*e].status != Status::Removed);
        let entries: Vec<String> = listed.map(|e| World::entry(state, &self.site, e)).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", state.index, entries.join(","))
    }

    pub fn changes(&self, state: &State, since: u64) -> String {
        let changed = (0..state.endpoints.len()).filter(|e| state.endpoints[*e].version > since);
        let entries: Vec<String> = changed.map(|e| World::entry(state, &self.site, e)).collect();
        format!("{{\"index\":{},\"snapshot\":false,\"endpoints\":[{}]}}", state.index, entries.join(","))
    }

    /// Changes entries of the list in one new version.
    pub fn change_list(&self, changes: &[(usize, Status, Option<u64>)]) {
        let mut state = self.lock();
        state.index += 1;
        let index = state.index;
        for (number, status, since) in changes {
            let endpoint = &mut state.endpoints[*number];
            endpoint.status = *status;
            endpoint.version = index;
            endpoint.since_unix_ms = since.unwrap_or(endpoint.since_unix_ms);
            let text = format!("list {index}: {} {}", endpoint.name, status.word());
            self.note(&mut state, &text);
        }
        drop(state);
        self.list_changed.notify_all();
    }

    /// Starts or stops the process of an endpoint.
    pub fn run_endpoint(&self, number: usize, runs: bool) {
        let mut state = self.lock();
        state.endpoints[number].runs = runs;
        let name = state.endpoints[number].name.clone();
        self.note(&mut state, &format!("endpoint {name} {}", if runs { "starts" } else { "dies" }));
    }

    /// Records that the pilot has been told of the list up to this version.
    pub fn told(&self, up_to: u64, how: &str) {
        let now = self.now();
        let mut state = self.lock();
        let mut news = Vec::new();
        for endpoint in state.endpoints.iter_mut().filter(|endpoint| endpoint.version <= up_to) {
            let told = endpoint.told.map(|told| (told.status, told.since_unix_ms));
            if told != Some((endpoint.status, endpoint.since_unix_ms)) {
                endpoint.told =
                    Some(Told { status: endpoint.status, since_unix_ms: endpoint.since_unix_ms, at: now });
                news.push(format!("{}={}", endpoint.name, endpoint.status.word()));
            }
        }
        if !news.is_empty() && news.len() <= 12 {
            self.note(&mut state, &format!("told ({how}, version {up_to}): {}", news.join(" ")));
        } else if !news.is_empty() {
            self.note(&mut state, &format!("told ({how}, version {up_to}): {} entries", news.len()));
        }
    }

    // Streams.

    pub fn attach_line(&self, number: usize) -> String {
        let state = self.lock();
        format!(
            "{{\"t\":\"attach\",\"node\":{number},\"locality\":\"{}\",\"w\":{:.1},\"cold\":{}}}\n",
            self.site.zones[state.proxies[number].zone], self.site.requests_per_s, state.proxies[number].cold
        )
    }

    /// Records that a proxy has joined, and returns the number of its stream.
    pub fn joined(&self, number: usize, stream: TcpStream) -> u64 {
        let now = self.now();
        let mut state = self.lock();
        let classes = self.site.classes.len();
        let proxy = &mut state.proxies[number];
        proxy.generation += 1;
        proxy.stream = Some(stream);
        proxy.joined_at = Some(now);
        proxy.message_times.clear();
        proxy.bare_since = vec![None; classes];
        let generation = proxy.generation;
        let cold = proxy.cold;
        let ejected = proxy.ejected.len();
        self.note(&mut state, &format!("proxy {number} joins, cold {cold}, shut out {ejected}"));
        generation
    }

    pub fn left(&self, number: usize, generation: u64, why: &str) {
        let mut state = self.lock();
        if state.proxies[number].generation == generation && state.proxies[number].joined_at.is_some() {
            state.proxies[number].joined_at = None;
            state.proxies[number].stream = None;
            self.note(&mut state, &format!("proxy {number} leaves: {why}"));
        }
    }

    /// Takes a complete message into the channel.
    pub fn enter_channel(&self, proxy: usize, generation: u64, parts: Vec<Json>) {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let lines = self.site.head + parts.iter().map(lines_of).sum::<f64>();
        while state.waiting.front().is_some_and(|(start, _)| *start <= now) {
            state.waiting.pop_front();
        }
        let start = state.channel_free_at.max(now);
        state.channel_free_at = start + lines * state.slower / self.site.lines_per_s * 1e3;
        if start > now {
            state.waiting.push_back((start, lines));
        }
        let waiting: f64 = state.waiting.iter().map(|(_, lines)| lines).sum();
        state.most_waiting = state.most_waiting.max(waiting);
        if waiting > self.site.queue_cap {
            let text = format!("{waiting} lines wait in the channel, at most {}", self.site.queue_cap);
            self.broke(state, "short queue", &text);
        }
        let times = &mut state.proxies[proxy].message_times;
        times.push_back(now);
        while times.front().is_some_and(|time| time + self.site.messages_span_ms < now) {
            times.pop_front();
        }
        let recent = times.len();
        state.most_messages = state.most_messages.max(recent);
        if self.site.messages_most > 0 && recent > self.site.messages_most {
            self.broke(state, "short queue", &format!("{recent} messages to proxy {proxy} in the span"));
        }
        let text = describe(&parts);
        self.note(state, &format!("message to proxy {proxy}: lines {lines} {text}"));
        let at_us = ((state.channel_free_at + self.site.late_ms) * 1e3) as u64;
        let number = state.next_message;
        state.next_message += 1;
        state.due.push(Reverse(Due { at_us, number }));
        state.messages.insert(number, Message { proxy, generation, parts });
    }

    /// Applies the messages that are due; answers to their marks are written.
    pub fn apply_due(&self) {
        let now_us = (self.now() * 1e3) as u64;
        let mut state = self.lock();
        let state = &mut *state;
        while state.due.peek().is_some_and(|Reverse(due)| due.at_us <= now_us) {
            let Some(Reverse(Due { number, .. })) = state.due.pop() else { return };
            let Some(message) = state.messages.remove(&number) else { continue };
            let proxy = &state.proxies[message.proxy];
            if proxy.generation != message.generation || proxy.joined_at.is_none() {
                continue;
            }
            for part in &message.parts {
                if let Err(error) = self.apply(state, message.proxy, part) {
                    self.note(state, &format!("proxy {} can't use a message: {error}", message.proxy));
                    if let Some(stream) = &state.proxies[message.proxy].stream {
                        let _ = stream.shutdown(std::net::Shutdown::Both);
                    }
                }
            }
        }
    }

    fn apply(&self, state: &mut State, number: usize, part: &Json) -> Result<(), String> {
        let now = self.now();
        let find = |state: &State, name: &str| {
            let found = state.endpoints.iter().position(|endpoint| endpoint.name == name);
            found.ok_or_else(|| format!("unknown endpoint {name}"))
        };
        let classes: Vec<usize> = match part.get("routes") {
            None => (0..self.site.classes.len()).collect(),
            Some(routes) => {
                let position = |route: &Json| {
                    let name = route.text().unwrap_or_default();
                    self.site.classes.iter().position(|class| class.name == name)
                };
                let found: Option<Vec<usize>> = routes.array().iter().map(position).collect();
                found.ok_or("unknown class")?
            }
        };
        let mut entries = Vec::new();
        for entry in part.get("endpoints").map_or(&[][..], Json::array) {
            let [name, weight] = entry.array() else { return Err("bad line".into()) };
            let weight = weight.number().filter(|weight| *weight >= 0.0).ok_or("bad weight")?;
            entries.push((find(state, name.text().unwrap_or_default())?, weight));
        }
        let names = |field: &str| -> Vec<&str> {
            part.get(field).map_or(&[][..], Json::array).iter().filter_map(Json::text).collect()
        };
        let eject: Result<Vec<usize>, String> =
            names("eject").into_iter().map(|name| find(state, name)).collect();
        let restore: Result<Vec<usize>, String> =
            names("restore").into_iter().map(|name| find(state, name)).collect();
        let (eject, restore) = (eject?, restore?);
        let proxy = &mut state.proxies[number];
        let full = part.get("full") == Some(&Json::Bool(true));
        for class in classes {
            let table = &mut proxy.tables[class];
            if full {
                *table = Table::default();
            }
            for (endpoint, weight) in &entries {
                if *weight > 0.0 {
                    table.weights.insert(*endpoint, *weight);
                } else {
                    table.weights.remove(endpoint);
                }
            }
        }
        if full {
            proxy.cold = false;
        }
        proxy.applied_at = now;
        proxy.ejected.extend(eject);
        for endpoint in restore {
            proxy.ejected.remove(&endpoint);
        }
        if let Some(nonce) = part.get("nonce_out").and_then(Json::number) {
            let line = format!(
                "{{\"t\":\"done\",\"node\":{number},\"nonce\":{nonce},\"latency\":{:.1}}}\n",
                self.site.late_ms
            );
            state.second.marks += 1;
            if let Some(stream) = &mut proxy.stream {
                let _ = stream.write_all(line.as_bytes());
            }
        }
        Ok(())
    }

    // Requests and rules.

    /// Sends the requests of all proxies for this span, and checks the rules on what is sent.
    pub fn send_requests(&self, span_ms: f64) {
        let now = self.now();
        let mut state = self.lock();
        let state = &mut *state;
        let Some(begin) = state.begin() else { return };
        for number in 0..state.proxies.len() {
            let proxy = &mut state.proxies[number];
            if !proxy.may_dial {
                continue;
            }
            proxy.owed += self.site.requests_per_s * span_ms / 1e3;
            while state.proxies[number].owed >= 1.0 {
                let proxy = &mut state.proxies[number];
                proxy.owed -= 1.0;
                let class = proxy.next_class;
                proxy.next_class = (class + 1) % self.site.classes.len();
                proxy.requests[class] += 1;
                let (zone, joined) = (proxy.zone, proxy.joined_at);
                let Some(picked) = proxy.pick(number, class) else {
                    proxy.refused[class] += 1;
                    state.second.refused += 1;
                    continue;
                };
                let endpoint = &mut state.endpoints[picked];
                let counts = &mut endpoint.attempts[zone];
                counts.0 += 1;
                let failed = u32::from(!endpoint.runs || endpoint.hangs);
                counts.1 += failed;
                let sent = state.second.requests.entry(picked).or_default();
                *sent = (sent.0 + 1, sent.1 + failed);
                endpoint.arrived += 1;
                self.check_cold(state, picked, number, now);
                let endpoint = &mut state.endpoints[picked];
                let (Some(joined), Some(told)) = (joined, endpoint.told) else { continue };
                if told.status != Status::Up {
                    let from = told.at.max(joined).max(begin);
                    state.latest_drain = state.latest_drain.max(now - from);
                    if now > from + self.site.drain_grace_ms + SLACK_MS {
                        let text = format!(
                            "proxy {number} sends to {} {:.0} ms after the pilot was told that it is {}, grace {} + {}",
                            state.endpoints[picked].name,
                            now - from,
                            told.status.word(),
                            self.site.drain_grace_ms,
                            SLACK_MS
                        );
                        self.broke(state, "drains kept", &text);
                    }
                }
            }
        }
    }

    /// Writes into the record what was sent and answered since the last call.
    pub fn note_second(&self) {
        let mut state = self.lock();
        let Second { requests, refused, marks, probes, reports } = std::mem::take(&mut state.second);
        let sent: u32 = requests.values().map(|(sent, _)| sent).sum();
        let failed: u32 = requests.values().map(|(_, failed)| failed).sum();
        let by_endpoint: Vec<String> = requests
            .iter()
            .map(|(endpoint, (sent, failed))| format!("{}={sent}/{failed}", state.endpoints[*endpoint].name))
            .collect();
        let text = format!(
            "since the last such line: proxies sent {sent} requests, {failed} failed, {refused} found no line; \
             {marks} marks and {probes} probes answered, {reports} lines reported; sent/failed: {}",
            by_endpoint.join(" ")
        );
        self.note(&mut state, &text);
    }

    /// Checks that a cold endpoint is not sent more than the multiple of what it can do within the span of the rule.
    fn check_cold(&self, state: &mut State, picked: usize, number: usize, now: f64) {
        let site = &self.site;
        let begin = state.begin().unwrap_or(now);
        let proxy = &state.proxies[number];
        let (applied_at, joined) = (proxy.applied_at, proxy.joined_at.is_some());
        // What all endpoints can do together is the requests of all proxies over the load.
        let requests_per_ms = site.requests_per_s * site.proxies as f64 / 1e3;
        let listed = site.zones.len() * site.endpoints_per_zone;
        let capacity = requests_per_ms / site.load / listed as f64;
        let endpoint = &mut state.endpoints[picked];
        let Some(told) = endpoint.told else { return };
        let age = unix_ms() as f64 - endpoint.since_unix_ms as f64;
        if age > site.cold_ms || !endpoint.runs || endpoint.fell {
            endpoint.recent.clear();
            return;
        }
        let knows = applied_at > told.at || now > told.at + site.drain_grace_ms + SLACK_MS;
        if !joined || !knows || now < begin {
            return;
        }
        endpoint.recent.push_back(now);
        while endpoint.recent.front().is_some_and(|time| time + site.fall_ms < now) {
            endpoint.recent.pop_front();
        }
        // What it can do grows evenly from its start to the end of the cold time.
        let share = |age: f64| site.cold_from + (1.0 - site.cold_from) * (age / site.cold_ms).clamp(0.0, 1.0);
        let span = site.fall_ms.min(age);
        let budget = site.fall_multiple * capacity * span * (share(age) + share(age - span)) / 2.0;
        let got = endpoint.recent.len() as f64;
        if got > budget.max(1.0) * 1.05 + 3.0 {
            endpoint.fell = true;
            let text = format!(
                "{} was sent {got} requests within {span:.0} ms, {age:.0} ms after its start; at most {budget:.1}",
                endpoint.name
            );
            let tables: Vec<String> = state.proxies[number].tables[0]
                .weights
                .iter()
                .map(|(e, weight)| {
                    let endpoint = &state.endpoints[*e];
                    let age = (unix_ms() - endpoint.since_unix_ms).min(99_999_999);
                    format!(
                        "{}={weight} (age {age} ms, runs {}, told {:?})",
                        endpoint.name,
                        endpoint.runs,
                        endpoint.told.map(|told| told.status)
                    )
                })
                .collect();
            self.note(state, &format!("table of proxy {number}: {}", tables.join(" ")));
            self.broke(state, "no cold endpoint pushed over", &text);
        }
    }

    /// Restarts the process of a proxy: it holds a new standing table and nothing else.
    pub fn restart_proxy(&self, number: usize) {
        let mut state = self.lock();
        let state = &mut *state;
        let zone = state.proxies[number].zone;
        let up = |e: &usize| state.endpoints[*e].status == Status::Up;
        let own: Vec<usize> =
            (0..state.endpoints.len()).filter(up).filter(|e| state.endpoints[*e].zone == zone).collect();
        let all: Vec<usize> = (0..state.endpoints.len()).filter(up).collect();
        let from = if own.len() >= 3 { own } else { all };
        let mut table = Table::default();
        for k in 0..self.site.standing.min(from.len()) {
            table.weights.insert(from[(number / self.site.zones.len() + k) % from.len()], 1.0);
        }
        let proxy = &mut state.proxies[number];
        proxy.tables = vec![table; self.site.classes.len()];
        proxy.ejected.clear();
        proxy.cold = true;
        if let Some(stream) = &proxy.stream {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.note(state, &format!("proxy {number} restarts"));
    }

    /// Checks that no joined proxy is without a line for too long.
    pub fn check_bare(&self) {
        let now = self.now();
        let unix = unix_ms() as f64;
        let mut state = self.lock();
        let state = &mut *state;
        let Some(begin) = state.begin() else { return };
        let warm = state.endpoints.iter().filter(|endpoint| {
            endpoint.told.is_some_and(|told| {
                told.status == Status::Up && told.since_unix_ms as f64 + self.site.cold_ms <= unix
            })
        });
        let warm = warm.count();
        for number in 0..state.proxies.len() {
            for class in 0..self.site.classes.len() {
                let proxy = &mut state.proxies[number];
                let is_bare =
                    proxy.joined_at.is_some() && proxy.pickable(class) == 0 && warm > 0 && now >= begin;
                if !is_bare {
                    if let Some(since) = proxy.bare_since[class].take() {
                        let text = format!(
                            "proxy {number} has a line for {} again, or has left, after {:.0} ms",
                            self.site.classes[class].name,
                            now - since.abs()
                        );
                        self.note(state, &text);
                    }
                    continue;
                }
                let since = *proxy.bare_since[class].get_or_insert(now);
                if since == now {
                    let text = format!(
                        "proxy {number} has no line to pick for {}; {warm} endpoints are listed ready and warm",
                        self.site.classes[class].name
                    );
                    self.note(state, &text);
                } else if now - since > self.site.unserved_most_ms + SLACK_MS && since > 0.0 {
                    let text = format!(
                        "proxy {number} has had no line to pick for {} for {:.0} ms, limit {} + {}; {warm} endpoints are listed ready and warm",
                        self.site.classes[class].name,
                        now - since,
                        self.site.unserved_most_ms,
                        SLACK_MS
                    );
                    // Counted once for each proxy and class in each stretch.
                    proxy.bare_since[class] = Some(-since);
                    self.broke(state, "endpoint for all", &text);
                }
            }
        }
    }

    /// Takes the reports of one period: lines for each zone's collector.
    pub fn take_reports(&self) -> Vec<(usize, String)> {
        let mut state = self.lock();
        let mut lines = Vec::new();
        for endpoint in &mut state.endpoints {
            for (zone, counts) in endpoint.attempts.iter_mut().enumerate() {
                let (total, errors) = std::mem::take(counts);
                if total > 0 {
                    lines.push((zone, format!(
                        "{{\"t\":\"upstream_stats\",\"locality\":\"{}\",\"endpoint\":\"{}\",\"total\":{total},\"errors\":{errors},\"rtt\":{:.1},\"interval\":{:.1},\"metrics\":{{{}}}}}\n",
                        self.site.zones[zone], endpoint.name, if errors < total { self.site.answer_ms } else { 0.0 }, self.site.period_ms, self.site.report.2
                    )));
                }
            }
        }
        for number in 0..state.proxies.len() {
            let zone = state.proxies[number].zone;
            for class in 0..self.site.classes.len() {
                let total = std::mem::take(&mut state.proxies[number].requests[class]);
                if total > 0 && state.proxies[number].joined_at.is_some() && lines.len() < 250 {
                    lines.push((zone, format!(
                        "{{\"t\":\"client_stats\",\"node\":{number},\"route\":\"{}\",\"total\":{total},\"errors\":0,\"interval\":{:.1}}}\n",
                        self.site.classes[class].name, self.site.period_ms
                    )));
                }
            }
        }
        lines
    }

    pub fn settings(&self) -> String {
        let site = &self.site;
        let names =
            |names: &[&str]| names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",");
        let us = |ms: f64| (ms * 1e3) as u64;
        let classes: Vec<String> = site
            .classes
            .iter()
            .map(|class| format!(
                "{{\"deadline_us\":{},\"dedup_scope\":\"all\",\"effect\":\"{}\",\"late_worth\":0.2,\"name\":\"{}\",\"target_us\":{},\"window_us\":1500000,\"worth\":{}}}",
                class.deadline_ms * 1000, class.effect, class.name, class.target_ms * 1000, class.worth
            ))
            .collect();
        let falses = vec!["false"; site.classes.len()].join(",");
        format!(
            "{{\"blend\":{{\"whole\":0.7,\"worst_class\":0.1,\"worst_tenant\":0.0,\"worst_window\":0.2}},\"classes\":[{}],\"discovery\":\"pushed\",\"family\":\"control\",\"fleet_size\":{},\"kinds\":[\"{}\"],\
             \"policy_limits\":{{\"conn_idle_us\":15000000,\"connect_timeout_us\":250000,\"cpu_us_per_s\":400000,\"may_tell\":false,\"probes\":{},\"streams_per_conn\":32}},\
             \"prices\":{{\"connection\":0.02,\"cross_zone\":0.12,\"discovery\":0.0,\"handshake\":0.02,\"late_fail\":0.03,\"moves\":0.0,\"peer\":0.0,\"probe\":0.02,\"waste\":0.05}},\
             \"rank\":0,\"report\":{{\"fields\":[{}],\"how\":\"{}\"}},\
             \"rules\":{{\"ask_within_us\":10000000,\"cold_from\":{},\"cold_us\":{},\"drain_grace_us\":{},\"fall_us\":{},\"overload_factor\":{}}},\
             \"specifics\":{{\"agents\":{},\"counted_over_us\":{},\"cycle_us\":{},\"default_retry\":1,\"egress_per_s\":{},\"fails_to_eject\":{},\"first_wait\":1.0,\"in_flight_max_us\":20000,\"lease_us\":2500000,\"level_kind\":\"ratio\",\"min_conn_cap\":{},\"mutating\":[{falses}],\"order_price\":0.12,\"overhead\":{},\"park_us\":300000,\"partitions_n\":0,\"propagation_us\":{},\"queue_cap\":{},\"reassign_price\":0.0,\"reloads_max\":{},\"reports_per_s\":250.0,\"selects_by\":\"wheel\",\"single_writer\":false,\"standing\":{},\"stays_local\":[{falses}],\"transit_max_us\":{},\"unserved_max_us\":{},\"warm_keys\":false,\"zonal\":true}},\
             \"tick_us\":5000,\"weight_kind\":\"off\",\"worth_by\":\"request\",\"zone\":\"{}\",\"zones\":[{}]}}",
            classes.join(","),
            site.pilots,
            site.kind,
            site.probes,
            site.report.1,
            site.report.0,
            site.cold_from,
            us(site.cold_ms),
            us(site.drain_grace_ms),
            us(site.fall_ms),
            site.fall_multiple,
            site.agents,
            us(site.messages_span_ms),
            us(site.period_ms),
            site.lines_per_s,
            site.ejects,
            site.connections_least,
            site.head,
            us(site.late_ms),
            site.queue_cap,
            site.messages_most,
            site.standing,
            us(site.late_ms * 2.5),
            us(site.unserved_most_ms),
            site.zones[0],
            names(&site.zones)
        )
    }
}

/// The lines that a part of a message counts for, without the message's head. A level counts once.
fn lines_of(part: &Json) -> f64 {
    let list = |field: &str| part.get(field).map_or(0, |list| list.array().len());
    let has = |field: &str| usize::from(part.get(field).is_some_and(|value| *value != Json::Bool(false)));
    (list("endpoints") + list("eject") + list("restore") + has("admit") + has("full") + has("nonce_out"))
        as f64
}

fn describe(parts: &[Json]) -> String {
    let mut texts = Vec::new();
    for part in parts {
        let mut text = String::new();
        if part.get("full").is_some() {
            text += "full ";
        }
        if let Some(routes) = part.get("routes") {
            text += &format!("routes {} ", routes.array().len());
        }
        let entries = part.get("endpoints").map_or(&[][..], Json::array);
        let out = entries.iter().filter(|entry| entry.array().get(1).and_then(Json::number) == Some(0.0));
        let out: Vec<&str> = out.filter_map(|entry| entry.array()[0].text()).collect();
        if !entries.is_empty() {
            text += &format!("set {} out [{}] ", entries.len() - out.len(), out.join(" "));
        }
        for field in ["eject", "restore"] {
            let list: Vec<&str> =
                part.get(field).map_or(&[][..], Json::array).iter().filter_map(Json::text).collect();
            if list.len() > 6 {
                text += &format!("{field} {} ", list.len());
            } else if !list.is_empty() {
                text += &format!("{field} [{}] ", list.join(" "));
            }
        }
        for field in ["admit", "policy", "nonce_out"] {
            if let Some(number) = part.get(field).and_then(Json::number) {
                text += &format!("{field} {number} ");
            }
        }
        texts.push(text);
    }
    texts.join("+ ")
}
