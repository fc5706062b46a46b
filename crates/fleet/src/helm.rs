//! Hosts the decisions: inputs go in as calls, decisions are pulled until there is none, and what
//! they ask for comes out as effects. Bookkeeping only.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use hdrhistogram::Histogram;
use lockcroft::{Action, Controller, EndpointId, HealthCheckOutcome, ProxyId, Snapshot, TableId};
use lockcroft_config::{BackoffRange, DaemonConfig, EndpointListConfig};
use lockcroft_host::{Admission, NameIndex, PublishedTables};
use lockcroft_runtime_api::tables::read_stat;
use lockcroft_solver::Answer;
use lockcroft_state_store::{Entry, RecoveredState};
use nanorand::WyRand;
use tracing::{debug, info, warn};

use crate::berth::{PendingRequest, ProxySession, Stage};
use crate::book::{ProxyLedger, UpdateContext};
use crate::events::EventLog;
use crate::files::{FileFront, Publication};
use crate::kept::StateRecovery;
use crate::list::{EndpointList, OperatorOverride};
use crate::notes::StateRecorder;
use crate::planner::{Plan, Planner, SolverTask};
use crate::reports::{CounterDelta, Counters};
use crate::scale::WeightScale;

/// So many messages are written before the host takes them to its sockets.
const MESSAGES_AT_ONCE: usize = 32;

const ASK_DIGEST: &str = "get var proc.digest\n";
const ASK_ALL: &str = "show servers state; show map classes\n";

/// What the host is to carry out on its sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the server and tell [`FleetController::probed`].
    Probe {
        server: EndpointId,
        address: SocketAddr,
    },
    /// Make a stream to the proxy after this wait, and tell [`FleetController::connected`] or [`FleetController::broken`].
    Dial {
        proxy: ProxyId,
        stream: u64,
        after: Duration,
    },
    Write {
        proxy: ProxyId,
        stream: u64,
        text: String,
    },
    /// Write this as a generation, and tell [`FleetController::written`].
    Publish(Arc<Publication>),
    /// Keep this across restarts, off the thread that decides.
    Remember(Vec<Entry>),
    /// Solve this, off the thread that decides, and tell [`FleetController::planned`].
    Solve(Arc<SolverTask>),
    /// The stream is given up; nothing more is heard of it.
    Close {
        proxy: ProxyId,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Whether the oldest question of a stream was answered.
    Patience(ProxyId, u64),
    Look(ProxyId, u64),
}

/// Sums of what was met at a server since the start.
#[derive(Clone, Copy, Default)]
pub(crate) struct EndpointCounters {
    pub tries: u64,
    pub failed: u64,
    pub sum_ms: f64,
}

/// Counts for `show info`.
#[derive(Clone, Copy, Default)]
pub(crate) struct Sums {
    pub decisions: u64,
    pub messages: u64,
    pub lines: u64,
    pub probes: u64,
    pub lines_waiting_most: usize,
}

pub struct FleetController {
    pub(crate) pilot: Controller,
    pub(crate) places: NameIndex,
    pub(crate) list: EndpointList,
    pub(crate) published: PublishedTables,
    pub(crate) berths: Vec<ProxySession>,
    pub(crate) events: EventLog,
    pub(crate) scale: WeightScale,
    pub(crate) name: String,
    pub(crate) now: Duration,
    pub(crate) met: BTreeMap<EndpointId, EndpointCounters>,
    pub(crate) visits: Vec<u64>,
    pub(crate) sums: Sums,
    /// Microseconds from a decision to the last answer to its message.
    pub(crate) landed: Histogram<u64>,
    pub(crate) queue_most: f64,
    pub(crate) wave: u64,
    pub(crate) planner: Option<Planner>,
    pub(crate) files: FileFront,
    pub(crate) notes: Option<StateRecorder>,
    pub(crate) kept: StateRecovery,
    /// What was known before the start, until the first list says which servers there are.
    pub(crate) recalled: Option<RecoveredState>,
    touched: BTreeSet<ProxyId>,
    /// Joined proxies by the tables that they were put on.
    on: BTreeMap<TableId, BTreeSet<ProxyId>>,
    pub(crate) effects: VecDeque<Effect>,
    /// The times that are not the decisions' own, in one order.
    due: BTreeSet<(Duration, Timer)>,
    chance: WyRand,
    report_period: Duration,
    answer_within: Duration,
    reconnect_backoff: BackoffRange,
    pub(crate) epoch: u64,
}

impl FleetController {
    /// Takes up a post: all its proxies are dialled. The epoch fences off pilots that came before, and
    /// earlier streams of this one: milliseconds of the wall's clock at the start will do.
    ///
    /// # Panics
    /// Never: the histogram's bounds are constants.
    pub fn new(post: &DaemonConfig, epoch: u64) -> Self {
        let berths: Vec<ProxySession> = post.proxies.iter().cloned().map(ProxySession::new).collect();
        let readers = post.proxies.iter().enumerate().filter(|(_, at)| at.reads_files);
        let readers = readers.map(|(proxy, at)| (proxy, at.name.clone()));
        let dial = |proxy| Effect::Dial { proxy, stream: 0, after: Duration::ZERO };
        FleetController {
            pilot: Controller::new(post.settings.clone(), post.seed),
            places: post.names.clone(),
            list: EndpointList::default(),
            published: PublishedTables::default(),
            effects: (0..berths.len()).map(dial).collect(),
            notes: None,
            kept: StateRecovery::default(),
            recalled: None,
            files: FileFront::new(
                post.table_files.as_ref().map_or(0, |files| files.retained_snapshots),
                readers,
            ),
            berths,
            events: EventLog::default(),
            scale: WeightScale { most: post.max_weight() },
            name: post.name.clone(),
            now: Duration::ZERO,
            met: BTreeMap::new(),
            visits: vec![0; post.names.classes.len()],
            sums: Sums::default(),
            landed: Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds are in order"),
            queue_most: post.settings.fleet.max_queued_entries,
            wave: 1,
            planner: Planner::new(&post.settings, post.names.zones.len()),
            touched: BTreeSet::new(),
            on: BTreeMap::new(),
            due: BTreeSet::new(),
            chance: WyRand::new_seed(post.seed),
            report_period: post.settings.fleet.report_period.max(Duration::from_millis(100)),
            answer_within: post.response_timeout,
            reconnect_backoff: post.reconnect_backoff,
            epoch,
        }
    }

    /// The list of servers, read anew.
    pub fn listed(&mut self, now: Duration, wall: SystemTime, roster: EndpointListConfig) {
        self.now = now;
        info!(target: "lockcroft::input", wave = self.wave, version = roster.version,
            servers = roster.entries.len(), "listed");
        let text = format!("list at version {}, {} servers", roster.version, roster.entries.len());
        self.events.add(now, self.wave, &text);
        self.list.take(now, wall, roster);
        self.tell_list(now);
        if let Some(recalled) = self.recalled.take() {
            self.recall(now, recalled);
        }
    }

    fn tell_list(&mut self, now: Duration) {
        let listings = self.list.listings(now);
        self.pilot.update_endpoints(now, true, self.list.version, &listings);
    }

    /// An operator's word on a server of the list.
    pub fn say(&mut self, server: EndpointId, change: impl FnOnce(&mut OperatorOverride)) {
        self.list.say(server, change);
        let (name, word) = (self.list.name(server).to_string(), self.list.word(server));
        info!(target: "lockcroft::input", wave = self.wave, server = name, ?word, "operator");
        self.events.add(self.now, self.wave, &format!("operator: {name}: {word:?}"));
        self.tell_list(self.now);
    }

    /// How a probe ended, and how long it took.
    pub fn probed(&mut self, now: Duration, server: EndpointId, finding: HealthCheckOutcome, took: Duration) {
        self.now = now;
        debug!(target: "lockcroft::input", wave = self.wave, server = self.list.name(server), ?finding,
            ms = took.as_millis() as u64, "probed");
        if let (Some(planner), HealthCheckOutcome::Passed(Some(load))) = (&mut self.planner, finding) {
            planner.probed(server, load);
        }
        self.pilot.health_check_finished(now, server, finding, took);
    }

    /// The answer to the task that is out; none if it was no sound problem. Weights that it changes are the list's
    /// from now on.
    pub fn planned(&mut self, now: Duration, answer: Option<Answer>) {
        self.now = now;
        let Some(planner) = &mut self.planner else { return };
        let joined = self.berths.iter().filter(|berth| berth.stage == Stage::Joined).count();
        let Snapshot { tables, admissions: gates, .. } = self.pilot.snapshot();
        let Plan { lines, tables } = planner.answered(answer, joined, tables, gates);
        for (server, steps) in &lines {
            // Somewhere to go if all others fail.
            self.list.plan(*server, self.scale.weight(f64::from((*steps).max(1))));
        }
        for (class, share) in planner.let_in().iter().enumerate() {
            self.pilot.set_planned_fraction(class, *share);
        }
        for (table, shares) in tables {
            let text = format!("plan: t{table} by {} servers", shares.len());
            self.events.add(now, self.wave, &text);
            self.pilot.set_planned_weights(table, shares);
        }
        if !lines.is_empty() {
            info!(target: "lockcroft::input", wave = self.wave, lines = lines.len(), "planned");
            self.events.add(now, self.wave, &format!("plan: {} lines of the list", lines.len()));
            self.tell_list(now);
        }
    }

    /// A stream stands: the proxy is asked what it holds before anything is ordered.
    pub fn connected(&mut self, now: Duration, proxy: ProxyId, stream: u64) {
        self.now = now;
        if self.berths[proxy].stream != stream {
            return;
        }
        let berth = &mut self.berths[proxy];
        (berth.stage, berth.since) = (Stage::Asking, now);
        // One that was known is asked first whether anything changed while it was away.
        // What one that reads files holds changes without its stream, and is always asked anew.
        berth.kept.take_if(|_| berth.at.reads_files);
        let (asks, text): (&[PendingRequest], &str) = match berth.kept {
            Some(_) => (&[PendingRequest::Digest], ASK_DIGEST),
            None => (&[PendingRequest::States, PendingRequest::Map], ASK_ALL),
        };
        for what in [PendingRequest::Prompt, PendingRequest::Epoch].iter().chain(asks) {
            berth.ask(*what, now);
        }
        self.due.insert((now + self.answer_within, Timer::Patience(proxy, stream)));
        let epoch = u128::from(self.epoch) + now.as_millis();
        let text = format!("prompt i\nset var proc.epoch int({epoch})\n{text}");
        self.effects.push_back(Effect::Write { proxy, stream, text });
    }

    /// A stream could not be made, or broke.
    pub fn broken(&mut self, now: Duration, proxy: ProxyId, stream: u64, why: &str) {
        self.now = now;
        if self.berths[proxy].stream != stream {
            return;
        }
        let berth = &mut self.berths[proxy];
        let (joined, changed) = (berth.stage == Stage::Joined, berth.why != why);
        let after = berth.redial(now, self.reconnect_backoff, &mut self.chance);
        berth.leave(now, why);
        let name = &berth.at.name;
        if joined || changed {
            warn!(target: "lockcroft::input", wave = self.wave, proxy = name, why, "left");
            self.events.add(now, self.wave, &format!("proxy {name} left: {why}"));
        }
        if joined {
            for proxies in self.on.values_mut() {
                proxies.remove(&proxy);
            }
            self.pilot.detach_proxy(proxy);
        }
        self.effects.push_back(Effect::Close { proxy });
        self.effects.push_back(Effect::Dial { proxy, stream: self.berths[proxy].stream, after });
    }

    /// The answer to what was sent to the proxy longest ago.
    pub fn answered(&mut self, now: Duration, proxy: ProxyId, stream: u64, answer: &str) {
        self.now = now;
        if self.berths[proxy].stream != stream {
            return;
        }
        if let Err(wrong) = self.take_answer(now, proxy, answer) {
            self.broken(now, proxy, stream, &wrong);
        }
    }

    fn take_answer(&mut self, now: Duration, proxy: ProxyId, answer: &str) -> Result<(), String> {
        let berth = &mut self.berths[proxy];
        berth.last_answer = Some(now);
        let (what, _) = berth.asked.pop_front().ok_or("an answer to nothing")?;
        match what {
            PendingRequest::Prompt => {}
            PendingRequest::Epoch if answer.starts_with("Superseded") => return Err(answer.trim().into()),
            PendingRequest::Epoch => {}
            PendingRequest::Digest => {
                let told = answer.split(['<', '>']).nth(1).and_then(|value| value.parse().ok());
                let kept = berth.kept.take();
                let same = kept.filter(|kept| told == Some(kept.digest(&self.list, &self.places.classes)));
                match same {
                    Some(kept) => self.join(now, proxy, kept),
                    None => {
                        berth.ask(PendingRequest::States, now);
                        self.ask(now, proxy, PendingRequest::Map, ASK_ALL.into(), 1);
                    }
                }
            }
            PendingRequest::States => berth.take_states(answer)?,
            PendingRequest::Map => {
                let states = std::mem::take(&mut berth.states);
                let book = ProxyLedger::read(&states, answer, &mut self.list, &self.places.classes);
                self.join(now, proxy, book);
            }
            PendingRequest::Order => {
                let landed = berth.book.answered(answer)?;
                if berth.book.commit_due() {
                    self.touched.insert(proxy);
                }
                if let Some(landed) = landed {
                    let took = now.saturating_sub(landed.since);
                    debug!(target: "lockcroft::acknowledgement", wave = landed.wave, proxy = berth.at.name,
                        lines = landed.lines, us = took.as_micros() as u64, "answered");
                    self.landed.saturating_record(took.as_micros() as u64);
                    self.touched.insert(proxy);
                }
            }
            PendingRequest::Stat => {
                let rows = read_stat(answer).map_err(|error| error.to_string())?;
                let told = berth.counters.take(&rows);
                let stream = berth.stream;
                self.due.insert((now + self.report_period, Timer::Look(proxy, stream)));
                told.into_iter().for_each(|told| self.told(now, proxy, told));
            }
        }
        Ok(())
    }

    fn join(&mut self, now: Duration, proxy: ProxyId, book: ProxyLedger) {
        let berth = &mut self.berths[proxy];
        (berth.book, berth.kept) = (book, None);
        berth.counters = Counters::default();
        (berth.stage, berth.since) = (Stage::Joined, now);
        let (fresh, stream) = (berth.book.fresh(), berth.stream);
        info!(target: "lockcroft::input", wave = self.wave, proxy = berth.at.name, fresh, "joined");
        self.events.add(now, self.wave, &format!("proxy {} joined, fresh: {fresh}", berth.at.name));
        // Looks are spread over the period, so that the reports of a fleet come evenly.
        let share = (proxy as f64 * 0.618_034).fract();
        self.due.insert((now + self.report_period.mul_f64(share), Timer::Look(proxy, stream)));
        if !berth.at.reads_files {
            for server in &self.published.ejected {
                berth.book.withdraw(*server, now, self.wave);
            }
            self.touched.insert(proxy);
        }
        let (zone, rate) = (berth.at.zone, berth.at.request_rate);
        self.pilot.attach_proxy(proxy, zone, rate, fresh);
    }

    fn told(&mut self, now: Duration, proxy: ProxyId, told: CounterDelta) {
        match told {
            CounterDelta::Server { name, tries, failed, took } => {
                let server = self.list.met(&name);
                let met = self.met.entry(server).or_default();
                met.tries += u64::from(tries);
                met.failed += u64::from(failed);
                met.sum_ms += took.as_secs_f64() * 1e3 * f64::from(tries - failed);
                debug!(target: "lockcroft::input", wave = self.wave, proxy = self.berths[proxy].at.name,
                    server = name, tries, failed, ms = took.as_millis() as u64, "reported");
                if let Some(planner) = &mut self.planner {
                    planner.reported(server, tries, failed, took);
                }
                self.pilot.record_attempts(now, server, tries, failed, took);
            }
            CounterDelta::Class { name, visits } => {
                if let Ok(class) = self.places.class(&name) {
                    self.visits[class] += u64::from(visits);
                    if let Some(planner) = &mut self.planner {
                        planner.counted(self.berths[proxy].at.zone, class, visits);
                    }
                    self.pilot.record_requests(proxy, class, visits);
                }
            }
        }
    }

    /// When [`FleetController::decide`] has to be called at the latest.
    pub fn next_due(&self) -> Duration {
        if !self.touched.is_empty() {
            return self.now;
        }
        let own = self.due.first().map_or(Duration::MAX, |(time, _)| *time);
        let plan = self.planner.as_ref().map_or(Duration::MAX, Planner::next_due);
        let notes = self.notes.as_ref().map_or(Duration::MAX, StateRecorder::next_due);
        self.pilot.next_due().min(own).min(plan).min(self.files.next_due()).min(notes)
    }

    /// Lines that wait for all proxies, or are on their way to one.
    pub fn lines_waiting(&self) -> usize {
        self.berths.iter().map(|berth| berth.book.lines()).sum::<usize>() + self.files.waiting()
    }

    /// Forgets the times of orders and the most lines that waited; the guide's `clear counters`.
    pub fn clear_counters(&mut self) {
        self.landed.reset();
        self.files.laid.reset();
        self.sums.lines_waiting_most = 0;
    }

    /// Pulls decisions until there is none, and gives out what is to be done.
    pub fn decide(&mut self, now: Duration) -> Vec<Effect> {
        self.now = now;
        self.pass_time(now);
        let servers = self.pilot.snapshot().endpoints;
        let task = self.planner.as_mut().and_then(|planner| planner.task(now, servers));
        self.effects.extend(task.map(Effect::Solve));
        self.pilot.set_queued_entries(self.lines_waiting());
        let before = self.sums.decisions;
        while let Some(decision) = self.pilot.next_action(now) {
            self.sums.decisions += 1;
            self.carry_out(now, decision);
        }
        self.sums.lines_waiting_most = self.sums.lines_waiting_most.max(self.lines_waiting());
        let desk = UpdateContext {
            published: &self.published,
            list: &self.list,
            classes: &self.places.classes,
            scale: self.scale,
        };
        let publication = self.files.publication(now, &desk);
        self.effects.extend(publication.map(Effect::Publish));
        self.take_notes(now);
        self.send(now);
        if self.sums.decisions > before {
            self.wave += 1;
        }
        self.effects.drain(..).collect()
    }

    fn pass_time(&mut self, now: Duration) {
        while let Some((time, timer)) = self.due.first().copied().filter(|(time, _)| *time <= now) {
            self.due.remove(&(time, timer));
            match timer {
                Timer::Patience(proxy, stream) if self.berths[proxy].stream == stream => {
                    let oldest = self.berths[proxy].asked.front().map(|(_, sent)| *sent);
                    match oldest {
                        Some(sent) if sent + self.answer_within <= now => {
                            let why = "a command was left unanswered";
                            self.broken(now, proxy, stream, why);
                        }
                        // Each question sets its own timer; a later one is already there.
                        _ => {}
                    }
                }
                Timer::Look(proxy, stream) if self.berths[proxy].stream == stream => {
                    self.ask(now, proxy, PendingRequest::Stat, "show stat\n".into(), 1);
                }
                Timer::Patience(..) | Timer::Look(..) => {}
            }
        }
    }

    fn ask(&mut self, now: Duration, proxy: ProxyId, what: PendingRequest, text: String, answers: usize) {
        let berth = &mut self.berths[proxy];
        (0..answers).for_each(|_| berth.ask(what, now));
        let stream = berth.stream;
        self.due.insert((now + self.answer_within, Timer::Patience(proxy, stream)));
        self.effects.push_back(Effect::Write { proxy, stream, text });
    }

    fn carry_out(&mut self, now: Duration, decision: Action) {
        let wave = self.wave;
        match decision {
            Action::CheckHealth(server) => {
                self.sums.probes += 1;
                if let Some(address) = self.list.address(server) {
                    self.effects.push_back(Effect::Probe { server, address });
                }
            }
            Action::SetWeight { table, endpoint: server, weight } => {
                self.published.set_weight(table, server, weight);
                self.say_decided(now, &format!("t{table}: {} weighs {weight}", self.list.name(server)));
                self.files.weigh(now, table, server);
                self.each_on(table, |book| book.weigh(table, server, now, wave));
            }
            Action::AssignTable { table, classes, proxy } => {
                self.say_decided(now, &format!("t{table}: bind proxy {}", self.berths[proxy].at.name));
                let ProxySession { stage, book, .. } = &mut self.berths[proxy];
                if *stage == Stage::Joined {
                    self.on.entry(table).or_default().insert(proxy);
                    if self.files.has(proxy) {
                        self.files.bind(now, proxy, table, &classes);
                    } else {
                        book.bind(table, &classes, &self.published, now, wave);
                        self.touched.insert(proxy);
                    }
                }
            }
            Action::Eject { endpoint } => self.set_ejected(now, endpoint, true),
            Action::Restore { endpoint } => self.set_ejected(now, endpoint, false),
            Action::SetAdmission { table, class, fraction, retry } => {
                self.published.set_admission(table, class, Admission { fraction, retry });
                let name = &self.places.classes[class];
                let again = if retry { ", second tries" } else { "" };
                self.say_decided(now, &format!("t{table}: {name} let in {fraction}{again}"));
                self.files.admit(now, table, class);
                self.each_on(table, |book| book.admit(table, class, now, wave));
            }
            Action::RaiseEvent { endpoint: about, text } => {
                let text = about.map_or(text.clone(), |server| format!("{} {text}", self.list.name(server)));
                info!(target: "lockcroft::event", wave, "{text}");
                self.events.add(now, wave, &format!("note: {text}"));
            }
        }
    }

    fn set_ejected(&mut self, now: Duration, endpoint: EndpointId, ejected: bool) {
        let wave = self.wave;
        self.published.set_ejected(endpoint, ejected);
        self.say_decided(now, &format!("withdraw {}: {ejected}", self.list.name(endpoint)));
        self.files.withdraw(now, endpoint);
        self.each(|book| book.withdraw(endpoint, now, wave));
    }

    fn say_decided(&mut self, now: Duration, text: &str) {
        debug!(target: "lockcroft::action", wave = self.wave, "{text}");
        self.events.add(now, self.wave, text);
    }

    fn each(&mut self, mut act: impl FnMut(&mut ProxyLedger)) {
        for (proxy, berth) in self.berths.iter_mut().enumerate() {
            if berth.stage == Stage::Joined && !berth.at.reads_files {
                act(&mut berth.book);
                self.touched.insert(proxy);
            }
        }
    }

    /// Proxies on a table: of a large fleet few, which is why they are looked up and not sought.
    fn each_on(&mut self, table: TableId, mut act: impl FnMut(&mut ProxyLedger)) {
        for proxy in self.on.get(&table).into_iter().flatten().filter(|proxy| !self.files.has(**proxy)) {
            act(&mut self.berths[*proxy].book);
            self.touched.insert(*proxy);
        }
    }

    /// All that was decided at one time goes out as one message to each proxy concerned; one that
    /// has not answered its last message gets the next with its answer. In a storm the first proxies
    /// have their messages, and work on them, while those of the others are still being written.
    fn send(&mut self, now: Duration) {
        for _ in 0..MESSAGES_AT_ONCE {
            let Some(proxy) = self.touched.pop_first() else { return };
            let ProxySession { stage, book, .. } = &mut self.berths[proxy];
            let desk = UpdateContext {
                published: &self.published,
                list: &self.list,
                classes: &self.places.classes,
                scale: self.scale,
            };
            let message = if *stage == Stage::Joined { book.message(&desk) } else { None };
            let Some(message) = message else { continue };
            self.sums.messages += 1;
            self.sums.lines += message.lines as u64;
            debug!(target: "lockcroft::update", wave = message.wave, proxy = self.berths[proxy].at.name,
                lines = message.lines, commands = message.commands, "sent");
            self.ask(now, proxy, PendingRequest::Order, message.text, message.commands);
        }
    }

    /// Proxies whose streams stand, by table.
    pub fn joined_on(&self, table: TableId) -> usize {
        self.on.get(&table).map_or(0, BTreeSet::len)
    }
}
