//! A helm among proxies that speak the real dialect, in made-up time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use lockcroft::{EndpointId, EndpointStatus, HealthCheckOutcome};
use lockcroft_config::{DaemonConfig, Document, EndpointEntry, EndpointListConfig, SCHEMA};
use lockcroft_fleet::{AppliedReport, Effect, FleetController, Publication, PublishError};
use lockcroft_proxy::{
    AttemptOutcome, Choice, CommandQueue, FileCommands, Limits, LoadBalancingPolicy, RoutingState, STANDING,
};
use lockcroft_runtime_api::{CommandReader, Level, ResponseReader};
use lockcroft_state_store::Entry as Kept;
use lockcroft_table_format::ProxyAssignment;
use lockcroft_table_store::{AppliedSnapshot, WrittenSnapshot};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const SETTINGS: &str = r#"<lockcroft>
  <pilot seed="3" answer-within="1s" redial-least="200ms" redial-most="2s"/>
  <zones><zone name="north"/><zone name="south"/></zones>
  <kinds><kind name="std"/><kind name="odd"/></kinds>
  <classes><class name="look-up" contract-time="1s" patience="2s" earnings="1"{ONLY}/></classes>
  <fleet report-period="1s" message-delay="10ms" message-head-lines="1" channel-lines-per-s="8000"
    queue-most-lines="{QUEUE}"/>
  <rules unserved-most="2s" drain-grace="2s" cold-share="0.25" warm-within="10s" cold-multiple="3" cold-span="2s"/>
  {SOLVER}<proxies>{PROXIES}</proxies><roster/>
</lockcroft>"#;

/// A proxy behind a stream that may hold answers back, or break.
pub struct Peer {
    pub held: RoutingState,
    feed: CommandReader,
    orders: CommandQueue,
    pub stream: Option<u64>,
    /// Orders are taken up and carried out, but no answer goes back.
    pub silent: bool,
    /// Streams can't be made.
    pub away: bool,
    answers: VecDeque<String>,
    from: FileCommands,
    reads_files: bool,
    /// It reads files, and lays none of them for now; the last that it laid.
    pub lags: bool,
    laid: u64,
}

/// How the folder of generations fares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disk {
    #[default]
    Well,
    Full,
    /// Writes take until it is well again.
    Hangs,
    /// Another pilot has taken the folder over.
    Fenced,
}

/// Visits a second at each proxy, what tries take by server, how many come to one that is fulfilled, and
/// when they were counted last.
#[derive(Default)]
struct Visits {
    a_second: Vec<u64>,
    took: Vec<Duration>,
    one_in: u64,
    since: Duration,
}

pub struct Stage {
    pub helm: FleetController,
    pub now: Duration,
    pub peers: Vec<Peer>,
    pub roster: EndpointListConfig,
    /// How probes end, where not well.
    pub findings: BTreeMap<EndpointId, HealthCheckOutcome>,
    pub trace: String,
    /// What was given out to be kept.
    pub kept: Vec<Kept>,
    pub disk: Disk,
    /// What is being written, and what was written last with its version.
    writing: Option<Arc<Publication>>,
    pub current: Option<(u64, Arc<Publication>)>,
    visits: Visits,
    /// Dials that wait.
    later: VecDeque<(Duration, Effect)>,
}

impl Stage {
    pub fn new(servers: usize, proxies: usize) -> Self {
        Stage::with(servers, proxies, 8000)
    }

    pub fn with(servers: usize, proxies: usize, queue: usize) -> Self {
        Stage::set(servers, proxies, queue, "", "", 1, false)
    }

    pub fn with_solver(servers: usize, proxies: usize, solver: &str) -> Self {
        Stage::set(servers, proxies, 8000, solver, "", 1, false)
    }

    /// The one class may use servers of the second kind only.
    pub fn bound(servers: usize, proxies: usize, solver: &str) -> Self {
        Stage::set(servers, proxies, 8000, solver, " only-kinds=\"odd\"", 1, false)
    }

    /// Servers and proxies stand in two zones by turns.
    pub fn two_zones(servers: usize, proxies: usize, solver: &str) -> Self {
        Stage::set(servers, proxies, 8000, solver, "", 2, false)
    }

    /// Every second proxy, beginning with the first, reads files.
    pub fn both_fronts(servers: usize, proxies: usize) -> Self {
        let files = r#"<files folder="/nowhere" keys="none"/>"#;
        Stage::set(servers, proxies, 8000, files, "", 1, true)
    }

    /// Its pilot has not seen the list yet.
    pub fn unlisted(servers: usize, proxies: usize) -> Self {
        Stage::unlisted_as(servers, proxies, 8000, "", "", 1, false)
    }

    fn set(
        servers: usize,
        proxies: usize,
        queue: usize,
        solver: &str,
        only: &str,
        zones: usize,
        files: bool,
    ) -> Self {
        let mut stage = Stage::unlisted_as(servers, proxies, queue, solver, only, zones, files);
        stage.list();
        stage
    }

    fn unlisted_as(
        servers: usize,
        proxies: usize,
        queue: usize,
        solver: &str,
        only: &str,
        zones: usize,
        files: bool,
    ) -> Self {
        let zone = |i: usize| ["north", "south"][i % zones];
        let reads_files = |i: usize| files && i.is_multiple_of(2);
        let line = |i: usize| {
            let front = if reads_files(i) { "files" } else { "commands" };
            let (zone, port) = (zone(i), 1000 + i);
            format!("<proxy name=\"r{i}\" zone=\"{zone}\" address=\"127.0.0.1:{port}\" front=\"{front}\"/>")
        };
        let lines: String = (0..proxies).map(line).collect();
        let text = SETTINGS.replace("{PROXIES}", &lines).replace("{QUEUE}", &queue.to_string());
        let text = text.replace("{SOLVER}", solver).replace("{ONLY}", only);
        let document = Document::new(Path::new("test.xml"), text, SCHEMA).expect("sound");
        let post = DaemonConfig::read(&document).expect("sound");
        let place = |i: usize| EndpointEntry { zone: i % zones, ..entry(i) };
        let entries: Vec<EndpointEntry> = (0..servers).map(place).collect();
        let standing: Vec<_> = entries.iter().map(|entry| (entry.name.clone(), entry.address)).collect();
        let peer = |i: usize| Peer {
            held: RoutingState::new(
                &format!("r{i}"),
                &["look-up".to_string()],
                &standing,
                Limits {
                    way: LoadBalancingPolicy::SmoothWeightedRoundRobin,
                    outstanding_most: 0,
                    shuns_after: 0,
                    shuns_for: ms(0),
                },
                i as u64,
            ),
            feed: CommandReader::default(),
            orders: CommandQueue::new(Level::Admin),
            stream: None,
            silent: false,
            away: false,
            answers: VecDeque::new(),
            from: FileCommands::default(),
            reads_files: reads_files(i),
            lags: false,
            laid: 0,
        };
        Stage {
            helm: FleetController::new(&post, 0),
            now: ms(0),
            peers: (0..proxies).map(peer).collect(),
            roster: EndpointListConfig { version: 0, entries },
            findings: BTreeMap::new(),
            trace: String::new(),
            kept: Vec::new(),
            disk: Disk::default(),
            writing: None,
            current: None,
            visits: Visits::default(),
            later: VecDeque::new(),
        }
    }

    /// From now on so many visits a second come to each proxy.
    pub fn visits(&mut self, a_second: u64, took: &[Duration], one_in: u64) {
        self.visits_at(&vec![a_second; self.peers.len()], took, one_in);
    }

    /// The same, by proxy.
    pub fn visits_at(&mut self, a_second: &[u64], took: &[Duration], one_in: u64) {
        self.visits = Visits { a_second: a_second.to_vec(), took: took.to_vec(), one_in, since: self.now };
    }

    /// Lets the visits of the time since the last call come and end.
    fn visit(&mut self) {
        let Visits { a_second, took, one_in, since } = &mut self.visits;
        let span = (self.now - *since).as_millis() as u64;
        if a_second.iter().all(|rate| rate * span < 1000) {
            return;
        }
        *since = self.now;
        for (peer, rate) in self.peers.iter_mut().zip(a_second) {
            for visit in 0..*rate * span / 1000 {
                if !peer.held.lets_in("look-up", 0.5) {
                    continue;
                }
                if let Choice::Endpoint(chosen) = peer.held.choose(self.now, "look-up", None) {
                    let place = chosen.server[1..].parse::<usize>().expect("a number");
                    let ending = if visit % *one_in == 0 {
                        AttemptOutcome::Answered(200)
                    } else {
                        AttemptOutcome::Late
                    };
                    peer.held.ended(self.now, &chosen, ending, took[place]);
                }
            }
        }
    }

    /// Tells the list as it is now.
    pub fn list(&mut self) {
        self.helm.listed(self.now, SystemTime::UNIX_EPOCH + self.now, self.roster.clone());
        self.roster.version += 1;
    }

    pub fn state(&mut self, server: usize, state: EndpointStatus) {
        self.roster.entries[server].status = state;
        self.list();
    }

    /// The stream to a proxy breaks; what it was told it holds.
    pub fn cut(&mut self, proxy: usize) {
        self.peers[proxy].answers.clear();
        if let Some(stream) = self.peers[proxy].stream.take() {
            self.helm.broken(self.now, proxy, stream, "cut");
        }
    }

    pub fn run_to(&mut self, millis: u64) -> &mut Self {
        let end = ms(millis);
        loop {
            self.visit();
            let mut effects: VecDeque<Effect> = self.helm.decide(self.now).into();
            self.later.retain(|(at, effect)| {
                let due = *at <= self.now;
                effects.extend(due.then(|| effect.clone()));
                !due
            });
            while let Some(effect) = effects.pop_front() {
                match effect {
                    Effect::Dial { proxy, stream, after } if after > ms(0) => {
                        self.later
                            .push_back((self.now + after, Effect::Dial { proxy, stream, after: ms(0) }));
                    }
                    effect => self.carry_out(effect),
                }
            }
            let spoke = self.deliver() | self.write() | self.lay();
            if spoke {
                continue;
            }
            let first = self.later.iter().map(|(at, _)| *at).min().unwrap_or(Duration::MAX);
            let next = self.helm.next_due().min(first).max(self.now + ms(1));
            if next > end {
                break;
            }
            self.now = next;
        }
        self.now = end;
        self
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Probe { server, .. } => {
                let finding = self.findings.get(&server).copied().unwrap_or(HealthCheckOutcome::Passed(None));
                self.helm.probed(self.now, server, finding, Duration::ZERO);
            }
            Effect::Solve(task) => {
                let answer = lockcroft_solver::solve(&task.problem).ok();
                self.helm.planned(self.now, answer);
            }
            Effect::Dial { proxy, stream, .. } if self.peers[proxy].away => {
                self.helm.broken(self.now, proxy, stream, "refused");
            }
            Effect::Dial { proxy, stream, .. } => {
                let peer = &mut self.peers[proxy];
                (peer.stream, peer.feed, peer.orders) =
                    (Some(stream), CommandReader::default(), CommandQueue::new(Level::Admin));
                self.helm.connected(self.now, proxy, stream);
            }
            // What was meant for a stream that is gone by now goes nowhere.
            Effect::Write { proxy, stream, .. } if self.peers[proxy].stream != Some(stream) => {}
            Effect::Write { proxy, text, .. } => {
                self.peers[proxy].feed.push(text.as_bytes());
                while let Ok(Some(commands)) = self.peers[proxy].feed.next_line() {
                    let peer = &mut self.peers[proxy];
                    let mut out = String::new();
                    peer.orders.line(&commands, &mut peer.held, &mut out);
                    peer.answers.push_back(out);
                    for command in
                        commands.iter().filter(|command| !matches!(command.word(0), Some("show" | "get")))
                    {
                        let at = self.now.as_secs_f64();
                        writeln!(self.trace, "{at:.1} r{proxy}: {}", command.text())
                            .expect("a string takes all");
                    }
                }
            }
            Effect::Close { proxy } => self.peers[proxy].stream = None,
            Effect::Remember(entries) => self.kept.extend(entries),
            Effect::Publish(publication) => {
                assert!(self.writing.replace(publication).is_none(), "one generation at a time");
            }
        }
    }

    /// What is being written is through, unless the disk hangs; whether it was.
    fn write(&mut self) -> bool {
        if self.disk == Disk::Hangs {
            return false;
        }
        let Some(publication) = self.writing.take() else { return false };
        let version = self.current.as_ref().map_or(0, |(version, _)| *version) + 1;
        let done = match self.disk {
            Disk::Full => Err(PublishError::Failed("no room".into())),
            Disk::Fenced => Err(PublishError::Fenced(2)),
            _ => Ok(WrittenSnapshot { epoch: 1, version, ..WrittenSnapshot::default() }),
        };
        if done.is_ok() {
            self.current = Some((version, publication));
        }
        self.helm.written(self.now, done);
        true
    }

    /// Proxies that read files lay what is current; whether any did.
    fn lay(&mut self) -> bool {
        let Some((version, publication)) = self.current.clone() else { return false };
        let (content, mut some) = (&publication.content, false);
        let new = |peer: &Peer| peer.reads_files && !peer.lags && peer.laid < version;
        for (proxy, peer) in self.peers.iter_mut().enumerate().filter(|(_, peer)| new(peer)) {
            let name = format!("r{proxy}");
            let group = content.group_of(&name).map(|number| content.groups[&number].clone());
            let bound = group.unwrap_or_default().bound;
            let table = |bound: &ProxyAssignment| (bound.table, content.tables[&bound.table].clone());
            let tables = bound.values().map(table).collect();
            let mine =
                AppliedSnapshot { epoch: 1, version, bound, tables, withdrawn: content.withdrawn.clone() };
            for command in peer.from.orders(&peer.held, &mine) {
                peer.held.carry_out(&command).expect("an order that can be done");
                writeln!(self.trace, "{:.1} {name} lays: {}", self.now.as_secs_f64(), command.text())
                    .expect("a string takes all");
            }
            (peer.laid, some) = (version, true);
            let laid = Some((1, version, self.now));
            self.helm.laid(self.now, AppliedReport { proxy: name, laid, refused: None });
        }
        some
    }

    /// Whether any proxy had something to say.
    fn deliver(&mut self) -> bool {
        let mut spoke = false;
        for proxy in 0..self.peers.len() {
            let peer = &mut self.peers[proxy];
            let (Some(stream), false) = (peer.stream, peer.silent) else { continue };
            let mut answers = ResponseReader::default();
            while let Some(out) = peer.answers.pop_front() {
                answers.push(out.as_bytes());
            }
            while let Some(answer) = answers.next_answer() {
                spoke = true;
                self.helm.answered(self.now, proxy, stream, &answer);
            }
        }
        spoke
    }

    pub fn quiet(&mut self) -> &mut Self {
        self.trace.clear();
        self
    }

    /// The orders in the trace, those that ask to stay connected left out.
    pub fn orders(&mut self) -> String {
        let lines = self.trace.lines().filter(|line| !line.contains("prompt") && !line.contains("epoch"));
        lines.fold(String::new(), |all, line| all + line + "\n")
    }

    /// Weight by server that a proxy may really pick, for its one class.
    pub fn picks(&self, proxy: usize) -> Vec<(String, u32)> {
        let held = &self.peers[proxy].held;
        let backend = held.map.get("look-up").map_or(STANDING, String::as_str);
        let lines = held.backends.get(backend).map(|backend| backend.lines()).unwrap_or_default();
        let open = lines.iter().filter(|line| line.open());
        let mut picks: Vec<_> = open.map(|line| (line.name.to_string(), line.weight)).collect();
        picks.sort();
        picks
    }
}

pub fn entry(server: usize) -> EndpointEntry {
    EndpointEntry {
        name: format!("e{server}"),
        zone: 0,
        machine_type: 0,
        address: format!("127.0.0.1:{}", 9000 + server).parse().expect("an address"),
        status: EndpointStatus::Ready,
        weight: 1.0,
        started_at: None,
    }
}
