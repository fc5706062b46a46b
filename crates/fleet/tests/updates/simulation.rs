//! A fleet controller in simulated time, with proxies that execute the commands of the runtime API.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use lockcroft::{EndpointId, EndpointStatus, HealthCheckOutcome};
use lockcroft_config::{DaemonConfig, Document, EndpointEntry, EndpointListConfig, SCHEMA};
use lockcroft_fleet::{AppliedVersion, Effect, FleetController, Publication, PublishError, SnapshotReport};
use lockcroft_proxy::{
    AttemptOutcome, Choice, ControlSession, DEFAULT_TABLE, LoadBalancingLimits, LoadBalancingPolicy,
    RoutingState, SnapshotCommands,
};
use lockcroft_runtime_api::{AccessLevel, CommandReader, ResponseReader};
use lockcroft_state_store::Entry;
use lockcroft_table_format::ProxyAssignment;
use lockcroft_table_store::{ProxySnapshot, WrittenSnapshot};

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const SETTINGS: &str = r#"<lockcroft>
  <pilot seed="3" answer-within="1s" redial-least="200ms" redial-most="2s"/>
  <zones><zone name="north"/><zone name="south"/></zones>
  <kinds><kind name="std"/><kind name="odd"/></kinds>
  <classes><class name="look-up" contract-time="1s" patience="2s" earnings="1"{CLASS}/></classes>
  <fleet report-period="1s" message-delay="10ms" message-head-lines="1" channel-lines-per-s="8000"
    queue-most-lines="{QUEUE}"/>
  <rules unserved-most="2s" drain-grace="2s" cold-share="0.25" warm-within="10s" cold-multiple="3" cold-span="2s"/>
  {EXTRA}<proxies>{PROXIES}</proxies><roster/>
</lockcroft>"#;

/// The settings of a simulation, apart from the numbers of endpoints and proxies.
struct Setup<'a> {
    max_queued_entries: usize,
    /// Additional elements of the settings.
    extra_settings: &'a str,
    /// Additional attributes of the only class.
    class_attributes: &'a str,
    /// The number of zones, to which endpoints and proxies are assigned in turn.
    zones: usize,
    /// True if every second proxy, beginning with the first, reads files.
    has_file_readers: bool,
}

impl Default for Setup<'_> {
    fn default() -> Self {
        Setup {
            max_queued_entries: 8000,
            extra_settings: "",
            class_attributes: "",
            zones: 1,
            has_file_readers: false,
        }
    }
}

impl Setup<'_> {
    fn reads_files(&self, proxy: usize) -> bool {
        self.has_file_readers && proxy.is_multiple_of(2)
    }

    fn proxy_element(&self, proxy: usize) -> String {
        let control = if self.reads_files(proxy) { "files" } else { "commands" };
        let zone = ["north", "south"][proxy % self.zones];
        let port = 1000 + proxy;
        format!("<proxy name=\"r{proxy}\" zone=\"{zone}\" address=\"127.0.0.1:{port}\" front=\"{control}\"/>")
    }

    fn config(&self, proxies: usize) -> DaemonConfig {
        let elements: String = (0..proxies).map(|proxy| self.proxy_element(proxy)).collect();
        let text = SETTINGS
            .replace("{PROXIES}", &elements)
            .replace("{QUEUE}", &self.max_queued_entries.to_string())
            .replace("{EXTRA}", self.extra_settings)
            .replace("{CLASS}", self.class_attributes);
        let document = Document::new(Path::new("test.xml"), text, SCHEMA).expect("valid document");
        DaemonConfig::read(&document).expect("valid settings")
    }
}

/// A proxy whose connection may delay responses or break.
pub struct FakeProxy {
    pub routing: RoutingState,
    reader: CommandReader,
    session: ControlSession,
    pub connection: Option<u64>,
    /// True if commands are executed, but no responses are returned.
    pub is_silent: bool,
    /// True if attempts to connect fail.
    pub is_unreachable: bool,
    responses: VecDeque<String>,
    file_commands: SnapshotCommands,
    reads_files: bool,
    /// True if a proxy that reads files does not apply new snapshots.
    pub is_lagging: bool,
    /// The version of the last snapshot that it applied.
    applied_version: u64,
}

impl FakeProxy {
    fn new(proxy: usize, default_entries: &[(String, std::net::SocketAddr)], reads_files: bool) -> Self {
        let limits = LoadBalancingLimits {
            policy: LoadBalancingPolicy::SmoothWeightedRoundRobin,
            max_in_flight: 0,
            ejection_threshold: 0,
            ejection_time: ms(0),
        };
        let classes = ["look-up".to_string()];
        FakeProxy {
            routing: RoutingState::new(&format!("r{proxy}"), &classes, default_entries, limits, proxy as u64),
            reader: CommandReader::default(),
            session: ControlSession::new(AccessLevel::Admin),
            connection: None,
            is_silent: false,
            is_unreachable: false,
            responses: VecDeque::new(),
            file_commands: SnapshotCommands::default(),
            reads_files,
            is_lagging: false,
            applied_version: 0,
        }
    }
}

/// The state of the disk to which snapshots are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disk {
    #[default]
    Healthy,
    Full,
    /// Writes do not finish until the disk is healthy again.
    Hanging,
    /// Another controller has taken over the folder.
    Fenced,
}

/// The load on the proxies.
#[derive(Default)]
struct Load {
    /// The requests per second at each proxy.
    requests_per_second: Vec<u64>,
    /// The latency of attempts at each endpoint.
    latencies: Vec<Duration>,
    /// One in this many requests succeeds.
    success_interval: u64,
    /// When requests were generated last.
    generated_at: Duration,
}

/// A fleet controller with its proxies, endpoints and disk.
pub struct Simulation {
    pub fleet: FleetController,
    pub now: Duration,
    pub proxies: Vec<FakeProxy>,
    pub endpoint_list: EndpointListConfig,
    /// The outcomes of health checks, by endpoint; those of other endpoints pass.
    pub health_checks: BTreeMap<EndpointId, HealthCheckOutcome>,
    /// One line for each command that a proxy executed: time, proxy and command.
    pub trace: String,
    /// The entries that the controller saved.
    pub saved_state: Vec<Entry>,
    pub disk: Disk,
    /// The snapshot that is being written.
    writing: Option<Arc<Publication>>,
    /// The snapshot that was written last, with its version.
    pub current_snapshot: Option<(u64, Arc<Publication>)>,
    load: Load,
    /// Effects that are due at a later time.
    delayed: VecDeque<(Duration, Effect)>,
}

impl Simulation {
    pub fn new(endpoints: usize, proxies: usize) -> Self {
        Simulation::with_setup(endpoints, proxies, &Setup::default())
    }

    pub fn with_queue_limit(endpoints: usize, proxies: usize, max_queued_entries: usize) -> Self {
        Simulation::with_setup(endpoints, proxies, &Setup { max_queued_entries, ..Setup::default() })
    }

    pub fn with_solver(endpoints: usize, proxies: usize, solver: &str) -> Self {
        Simulation::with_setup(endpoints, proxies, &Setup { extra_settings: solver, ..Setup::default() })
    }

    /// The only class may use only endpoints of the second machine type, of which there are none.
    pub fn with_unusable_class(endpoints: usize, proxies: usize, solver: &str) -> Self {
        let class_attributes = " only-kinds=\"odd\"";
        let setup = Setup { extra_settings: solver, class_attributes, ..Setup::default() };
        Simulation::with_setup(endpoints, proxies, &setup)
    }

    /// Endpoints and proxies are assigned to two zones in turn.
    pub fn with_two_zones(endpoints: usize, proxies: usize, solver: &str) -> Self {
        let setup = Setup { extra_settings: solver, zones: 2, ..Setup::default() };
        Simulation::with_setup(endpoints, proxies, &setup)
    }

    /// Every second proxy, beginning with the first, reads files.
    pub fn with_file_readers(endpoints: usize, proxies: usize) -> Self {
        let extra_settings = r#"<files folder="/nowhere" keys="none"/>"#;
        let setup = Setup { extra_settings, has_file_readers: true, ..Setup::default() };
        Simulation::with_setup(endpoints, proxies, &setup)
    }

    /// The controller has not received the endpoint list yet.
    pub fn without_list(endpoints: usize, proxies: usize) -> Self {
        Simulation::with_setup_before_list(endpoints, proxies, &Setup::default())
    }

    fn with_setup(endpoints: usize, proxies: usize, setup: &Setup) -> Self {
        let mut simulation = Simulation::with_setup_before_list(endpoints, proxies, setup);
        simulation.send_list();
        simulation
    }

    fn with_setup_before_list(endpoints: usize, proxies: usize, setup: &Setup) -> Self {
        let listed = |number: usize| EndpointEntry { zone: number % setup.zones, ..entry(number) };
        let entries: Vec<EndpointEntry> = (0..endpoints).map(listed).collect();
        let default_entries: Vec<_> =
            entries.iter().map(|entry| (entry.name.clone(), entry.address)).collect();
        let proxy = |number: usize| FakeProxy::new(number, &default_entries, setup.reads_files(number));
        Simulation {
            fleet: FleetController::new(&setup.config(proxies), 0),
            now: ms(0),
            proxies: (0..proxies).map(proxy).collect(),
            endpoint_list: EndpointListConfig { version: 0, entries },
            health_checks: BTreeMap::new(),
            trace: String::new(),
            saved_state: Vec::new(),
            disk: Disk::default(),
            writing: None,
            current_snapshot: None,
            load: Load::default(),
            delayed: VecDeque::new(),
        }
    }

    /// Sets the requests per second at each proxy, the latency of attempts by endpoint, and one in how many requests
    /// succeeds.
    pub fn set_load(&mut self, requests_per_second: u64, latencies: &[Duration], success_interval: u64) {
        self.set_load_by_proxy(&vec![requests_per_second; self.proxies.len()], latencies, success_interval);
    }

    /// Does the same as [`Simulation::set_load`] with the requests per second by proxy.
    pub fn set_load_by_proxy(
        &mut self,
        requests_per_second: &[u64],
        latencies: &[Duration],
        success_interval: u64,
    ) {
        self.load = Load {
            requests_per_second: requests_per_second.to_vec(),
            latencies: latencies.to_vec(),
            success_interval,
            generated_at: self.now,
        };
    }

    /// Runs the requests of the time since the last call.
    fn run_requests(&mut self) {
        let Load { requests_per_second, latencies, success_interval, generated_at } = &mut self.load;
        let span = (self.now - *generated_at).as_millis() as u64;
        if requests_per_second.iter().all(|rate| rate * span < 1000) {
            return;
        }
        *generated_at = self.now;
        for (proxy, rate) in self.proxies.iter_mut().zip(requests_per_second) {
            for request in 0..*rate * span / 1000 {
                if !proxy.routing.admit("look-up", 0.5) {
                    continue;
                }
                let Choice::Endpoint(chosen) = proxy.routing.choose(self.now, "look-up", None) else {
                    continue;
                };
                let endpoint = chosen.endpoint[1..].parse::<usize>().expect("endpoint number");
                let succeeds = request % *success_interval == 0;
                let outcome = if succeeds { AttemptOutcome::Answered(200) } else { AttemptOutcome::TimedOut };
                proxy.routing.record_outcome(self.now, &chosen, outcome, latencies[endpoint]);
            }
        }
    }

    /// Sends the current endpoint list to the controller.
    pub fn send_list(&mut self) {
        let wall_clock = SystemTime::UNIX_EPOCH + self.now;
        self.fleet.update_endpoint_list(self.now, wall_clock, self.endpoint_list.clone());
        self.endpoint_list.version += 1;
    }

    pub fn set_status(&mut self, endpoint: usize, status: EndpointStatus) {
        self.endpoint_list.entries[endpoint].status = status;
        self.send_list();
    }

    /// Breaks the connection to a proxy, which keeps its state.
    pub fn disconnect(&mut self, proxy: usize) {
        self.proxies[proxy].responses.clear();
        if let Some(connection) = self.proxies[proxy].connection.take() {
            self.fleet.disconnected(self.now, proxy, connection, "cut");
        }
    }

    /// Advances the simulation to this time.
    pub fn run_to(&mut self, millis: u64) -> &mut Self {
        let end = ms(millis);
        loop {
            self.run_requests();
            self.run_effects();
            let is_busy = self.deliver_responses() | self.finish_write() | self.apply_snapshot();
            if is_busy {
                continue;
            }
            let first = self.delayed.iter().map(|(at, _)| *at).min().unwrap_or(Duration::MAX);
            let next = self.fleet.next_due().min(first).max(self.now + ms(1));
            if next > end {
                break;
            }
            self.now = next;
        }
        self.now = end;
        self
    }

    fn run_effects(&mut self) {
        let mut effects: VecDeque<Effect> = self.fleet.run_actions(self.now).into();
        self.delayed.retain(|(at, effect)| {
            let is_due = *at <= self.now;
            effects.extend(is_due.then(|| effect.clone()));
            !is_due
        });
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Connect { proxy, connection, after } if after > ms(0) => {
                    let connect = Effect::Connect { proxy, connection, after: ms(0) };
                    self.delayed.push_back((self.now + after, connect));
                }
                effect => self.execute(effect),
            }
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::CheckHealth { endpoint, .. } => {
                let failure = self.health_checks.get(&endpoint).copied();
                let outcome = failure.unwrap_or(HealthCheckOutcome::Passed(None));
                self.fleet.health_check_finished(self.now, endpoint, outcome, Duration::ZERO);
            }
            Effect::Solve(task) => {
                let solution = lockcroft_solver::solve(&task.problem).ok();
                self.fleet.plan_solved(self.now, solution);
            }
            Effect::Connect { proxy, connection, .. } => self.connect(proxy, connection),
            Effect::Write { proxy, connection, text } => {
                // Commands for an earlier connection are dropped.
                if self.proxies[proxy].connection == Some(connection) {
                    self.write(proxy, &text);
                }
            }
            Effect::Close { proxy } => self.proxies[proxy].connection = None,
            Effect::SaveState(entries) => self.saved_state.extend(entries),
            Effect::PublishSnapshot(publication) => {
                assert!(self.writing.replace(publication).is_none(), "one snapshot at a time");
            }
        }
    }

    fn connect(&mut self, proxy: usize, connection: u64) {
        let fake = &mut self.proxies[proxy];
        if fake.is_unreachable {
            self.fleet.disconnected(self.now, proxy, connection, "refused");
            return;
        }
        fake.connection = Some(connection);
        fake.reader = CommandReader::default();
        fake.session = ControlSession::new(AccessLevel::Admin);
        self.fleet.connected(self.now, proxy, connection);
    }

    /// Executes commands at a proxy, and adds those that change something to the trace.
    fn write(&mut self, proxy: usize, text: &str) {
        let fake = &mut self.proxies[proxy];
        fake.reader.push(text.as_bytes());
        while let Ok(Some(commands)) = fake.reader.next_line() {
            let mut response = String::new();
            fake.session.execute_line(&commands, &mut fake.routing, &mut response);
            fake.responses.push_back(response);
            for command in commands.iter().filter(|command| !matches!(command.word(0), Some("show" | "get")))
            {
                let at = self.now.as_secs_f64();
                writeln!(self.trace, "{at:.1} r{proxy}: {}", command.joined_words())
                    .expect("writing to a string");
            }
        }
    }

    /// Finishes the write in flight, unless the disk hangs. Returns true if there was one.
    fn finish_write(&mut self) -> bool {
        if self.disk == Disk::Hanging {
            return false;
        }
        let Some(publication) = self.writing.take() else { return false };
        let version = self.current_snapshot.as_ref().map_or(0, |(version, _)| *version) + 1;
        let result = match self.disk {
            Disk::Full => Err(PublishError::Failed("no space left on device".into())),
            Disk::Fenced => Err(PublishError::Fenced(2)),
            _ => Ok(WrittenSnapshot { epoch: 1, version, ..WrittenSnapshot::default() }),
        };
        if result.is_ok() {
            self.current_snapshot = Some((version, publication));
        }
        self.fleet.snapshot_written(self.now, result);
        true
    }

    /// Applies the current snapshot at the proxies that read files. Returns true if any proxy applied it.
    fn apply_snapshot(&mut self) -> bool {
        let Some((version, publication)) = self.current_snapshot.clone() else { return false };
        let content = &publication.content;
        let mut any_applied = false;
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            if !proxy.reads_files || proxy.is_lagging || proxy.applied_version >= version {
                continue;
            }
            let name = format!("r{number}");
            let group = content.group_number_of(&name).map(|number| content.groups[&number].clone());
            let assignments = group.unwrap_or_default().assignments;
            let table =
                |assignment: &ProxyAssignment| (assignment.table, content.tables[&assignment.table].clone());
            let tables = assignments.values().map(table).collect();
            let ejected = content.ejected.clone();
            let snapshot = ProxySnapshot { epoch: 1, version, assignments, tables, ejected };
            for command in proxy.file_commands.commands(&proxy.routing, &snapshot) {
                proxy.routing.execute(&command).expect("valid command");
                writeln!(
                    self.trace,
                    "{:.1} {name} applies: {}",
                    self.now.as_secs_f64(),
                    command.joined_words()
                )
                .expect("writing to a string");
            }
            proxy.applied_version = version;
            any_applied = true;
            let applied = Some(AppliedVersion { epoch: 1, version, applied_at: self.now });
            self.fleet.snapshot_reported(self.now, SnapshotReport { proxy: name, applied, rejected: None });
        }
        any_applied
    }

    /// Delivers the pending responses of proxies. Returns true if there were any.
    fn deliver_responses(&mut self) -> bool {
        let mut any_delivered = false;
        for number in 0..self.proxies.len() {
            let proxy = &mut self.proxies[number];
            let Some(connection) = proxy.connection.filter(|_| !proxy.is_silent) else { continue };
            let mut reader = ResponseReader::default();
            while let Some(response) = proxy.responses.pop_front() {
                reader.push(response.as_bytes());
            }
            while let Some(response) = reader.next_response() {
                any_delivered = true;
                self.fleet.response_received(self.now, number, connection, &response);
            }
        }
        any_delivered
    }

    pub fn clear_trace(&mut self) -> &mut Self {
        self.trace.clear();
        self
    }

    /// Returns the commands in the trace, without those that begin each connection.
    pub fn commands(&mut self) -> String {
        let lines = self.trace.lines().filter(|line| !line.contains("prompt") && !line.contains("epoch"));
        lines.fold(String::new(), |all, line| all + line + "\n")
    }

    /// Returns the endpoints that a proxy may select for the only class, with their weights.
    pub fn weights(&self, proxy: usize) -> Vec<(String, u32)> {
        let routing = &self.proxies[proxy].routing;
        let backend = routing.class_map.get("look-up").map_or(DEFAULT_TABLE, String::as_str);
        let entries = routing.backends.get(backend).map(|backend| backend.entries()).unwrap_or_default();
        let open = entries.iter().filter(|entry| entry.is_open());
        let mut weights: Vec<_> = open.map(|entry| (entry.name.to_string(), entry.weight)).collect();
        weights.sort();
        weights
    }
}

pub fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        name: format!("e{number}"),
        zone: 0,
        machine_type: 0,
        address: format!("127.0.0.1:{}", 9000 + number).parse().expect("valid address"),
        status: EndpointStatus::Ready,
        weight: 1.0,
        started_at: None,
    }
}
