//! The core of a pilot on the platform: what arrives becomes calls of the decisions, and decisions become
//! one message to each proxy concerned. Free of I/O and clock; nothing about servers, weights or visits
//! is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::{Action, Controller, EndpointId, HealthCheckOutcome, ProxyId, ZoneId};
use lockcroft_host::{Admission, NameIndex, PublishedTables};
use serde_json::Value;
use tracing::{debug, info, warn};

use crate::codec::{self, Bounds, Fault, Message, MessageContext, Part};
use crate::config::Config;
use crate::connection_admission::{Acceptance, COLLECTORS, ConnectionAdmission};
use crate::roster::Roster;
use crate::stream::{ConnectionId, Context, ProxyStream};

/// What is to be done on sockets.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Write; [`ControlPlane::written`] tells when all of it is out.
    Write {
        connection: ConnectionId,
        text: String,
    },
    /// Write what waits, then end the connection.
    End {
        connection: ConnectionId,
    },
    /// Read what has come on it, then say [`ControlPlane::dismiss`].
    LastCall {
        connection: ConnectionId,
    },
    /// End the connection at once.
    Drop {
        connection: ConnectionId,
    },
    Probe {
        server: EndpointId,
        address: SocketAddr,
    },
}

/// Who is at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Unjoined,
    Collector(ZoneId),
    Proxy(ProxyId),
}

/// Counts for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sums {
    pub messages: u64,
    pub parts: u64,
    pub spoilt: u64,
    pub rejected: u64,
    pub reports: u64,
}

pub struct ControlPlane {
    pilot: Controller,
    places: NameIndex,
    bounds: Bounds,
    /// Whether probes ask for the load report.
    pub asks_load: bool,
    roster: Roster,
    published: PublishedTables,
    streams: BTreeMap<ProxyId, ProxyStream>,
    connections: BTreeMap<ConnectionId, Role>,
    admission: ConnectionAdmission,
    touched: BTreeSet<ProxyId>,
    effects: VecDeque<Effect>,
    marks: u64,
    pub sums: Sums,
}

impl ControlPlane {
    pub fn new(config: &Config) -> Self {
        let settings = config.settings.clone();
        ControlPlane {
            places: NameIndex::new(&settings),
            bounds: Bounds::new(&settings),
            asks_load: settings.load_on_health_checks,
            roster: Roster::default(),
            published: PublishedTables::default(),
            streams: BTreeMap::new(),
            connections: BTreeMap::new(),
            admission: ConnectionAdmission::new(config.sockets),
            touched: BTreeSet::new(),
            effects: VecDeque::new(),
            marks: 0,
            sums: Sums::default(),
            pilot: Controller::new(settings, config.seed),
        }
    }

    /// A telling of discovery, or the list of before the start. `wall` is the time in Unix milliseconds.
    ///
    /// # Errors
    /// It can't be used; the list stays as it was.
    pub fn listed(&mut self, now: Duration, wall: u64, value: &Value) -> Result<(), String> {
        let told = self.roster.take(now, wall, value, &self.places)?;
        for fault in &told.faults {
            warn!(target: "lockcroft::endpoints", fault, "an entry can't be used");
        }
        for entry in &told.listings {
            let (name, age_ms) =
                (self.roster.name(entry.endpoint), entry.age.map(|age| age.as_millis() as u64));
            debug!(target: "lockcroft::endpoints", name, state = ?entry.status, age_ms, "listed");
        }
        let (version, whole, entries) = (told.version, told.whole, told.listings.len());
        if entries > 0 {
            info!(target: "lockcroft::endpoints", version, whole, entries);
        }
        self.pilot.update_endpoints(now, told.whole, told.version, &told.listings);
        Ok(())
    }

    /// The version of the list that is held.
    pub fn version(&self) -> Option<u64> {
        self.roster.version()
    }

    /// A probe of this address ended.
    pub fn probed(
        &mut self,
        now: Duration,
        server: EndpointId,
        address: SocketAddr,
        finding: HealthCheckOutcome,
        took: Duration,
    ) {
        let name = self.roster.name(server);
        // What a former address says is nothing about the server that has moved on.
        let still = self.roster.address(server) == Some(address);
        let finding = if still { finding } else { HealthCheckOutcome::AddressChanged };
        debug!(target: "lockcroft::health_check", name, ?finding, us = took.as_micros() as u64);
        self.pilot.health_check_finished(now, server, finding, took);
    }

    pub fn acceptance(&self, now: Duration) -> Acceptance {
        self.admission.acceptance(now, self.roster.len())
    }

    /// Whether descriptors are left for more connections.
    pub fn has_room(&self) -> bool {
        self.admission.has_room(self.roster.len())
    }

    /// It has to go if it has not joined by what it said until now.
    pub fn last_call(&mut self, connection: ConnectionId) -> Effect {
        self.admission.last_call(connection);
        Effect::LastCall { connection }
    }

    /// What it said until its last call was read.
    pub fn dismiss(&mut self, connection: ConnectionId) {
        if self.connections.get(&connection) == Some(&Role::Unjoined) {
            self.reject(connection, "no joining in time");
        }
    }

    pub fn accepted(&mut self, now: Duration, connection: ConnectionId) {
        self.admission.accepted(now, connection);
        self.connections.insert(connection, Role::Unjoined);
    }

    /// The most bytes of a line on this connection.
    pub fn line_most(&self, connection: ConnectionId) -> usize {
        match self.connections.get(&connection) {
            Some(Role::Unjoined) | None => codec::FIRST_MOST,
            Some(_) => codec::LINE_MOST,
        }
    }

    /// A line came, without its end.
    pub fn read(&mut self, now: Duration, connection: ConnectionId, line: &[u8]) {
        let Some(role) = self.connections.get(&connection).copied() else { return };
        let known = MessageContext { places: &self.places, roster: &self.roster, bounds: &self.bounds };
        match (codec::read(line, &known), role) {
            (Ok(Message::Alive), _) => {
                self.effects.push_back(Effect::Write { connection, text: codec::ALIVE.into() });
            }
            (Ok(Message::Collects { zone }), Role::Unjoined) => self.collects(connection, zone),
            (Ok(Message::Joins { proxy, zone, rate, fresh }), Role::Unjoined) => {
                self.joins(connection, proxy, zone, rate, fresh);
            }
            (Err(Fault::Unreadable(why) | Fault::Spoilt(why)), Role::Unjoined) => {
                self.reject(connection, &why)
            }
            (Ok(_), Role::Unjoined) => self.reject(connection, "reports come after a joining"),
            (Err(Fault::Unreadable(why)), _) => self.reject(connection, &why),
            (Err(Fault::Spoilt(why)), _) => self.spoilt(connection, &why),
            (Ok(Message::Met { server, tries, failed, took }), Role::Collector(_)) => {
                self.sums.reports += 1;
                let (name, ms) = (self.roster.name(server), took.as_millis() as u64);
                debug!(target: "lockcroft::report", name, tries, failed, ms, "met");
                self.pilot.record_attempts(now, server, tries, failed, took);
            }
            (Ok(Message::Came { proxy, class, visits }), role)
                if matches!(role, Role::Collector(_)) || role == Role::Proxy(proxy) =>
            {
                self.sums.reports += 1;
                debug!(target: "lockcroft::report", proxy, class, visits, "came");
                self.pilot.record_requests(proxy, class, visits);
            }
            (Ok(Message::Applied { proxy, mark }), Role::Proxy(own)) if proxy == own => {
                match self.streams.get_mut(&proxy).and_then(|stream| stream.applied(mark)) {
                    Some((mark, lines)) => self.pilot.record_acknowledged(mark, lines),
                    None => self.spoilt(connection, "a mark that was not asked for"),
                }
            }
            (Ok(_), _) => self.spoilt(connection, "nothing that is said here"),
        }
    }

    fn spoilt(&mut self, connection: ConnectionId, why: &str) {
        self.sums.spoilt += 1;
        debug!(target: "lockcroft::input", connection, why, "spoilt message");
    }

    /// Says no, and ends the connection.
    pub fn reject(&mut self, connection: ConnectionId, why: &str) {
        self.sums.rejected += 1;
        debug!(target: "lockcroft::input", connection, why, role = ?self.connections.get(&connection), "rejected");
        self.effects.push_back(Effect::Write { connection, text: codec::reject(why) });
        self.effects.push_back(Effect::End { connection });
        self.ended(connection);
    }

    fn collects(&mut self, connection: ConnectionId, zone: ZoneId) {
        let alike = self.connections.iter().filter(|(_, role)| **role == Role::Collector(zone));
        let alike: Vec<ConnectionId> = alike.map(|(connection, _)| *connection).collect();
        if alike.len() >= COLLECTORS {
            self.drop_connection(alike[0]);
        }
        info!(target: "lockcroft::input", connection, zone = self.places.zones[zone], "a collector joined");
        self.connections.insert(connection, Role::Collector(zone));
        self.admission.joined(connection);
    }

    fn joins(&mut self, connection: ConnectionId, proxy: ProxyId, zone: ZoneId, rate: f64, fresh: bool) {
        // A new stream may come before the old one is seen to end, which then ends for nobody.
        let old = self.streams.get(&proxy).map(|stream| stream.connection);
        if let Some(old) = old {
            self.drop_connection(old);
        }
        info!(target: "lockcroft::input", connection, proxy, fresh, rate, renews = old, "joined");
        self.connections.insert(connection, Role::Proxy(proxy));
        self.admission.joined(connection);
        self.streams.insert(proxy, ProxyStream::new(connection, fresh));
        self.pilot.attach_proxy(proxy, zone, rate, fresh);
    }

    fn drop_connection(&mut self, connection: ConnectionId) {
        self.ended(connection);
        self.effects.push_back(Effect::Drop { connection });
    }

    /// Its descriptor is free again.
    pub fn closed(&mut self, connection: ConnectionId) {
        self.ended(connection);
        self.admission.closed(connection);
    }

    /// The other end has left, by whomever it was ended; its descriptor may still be held.
    pub fn ended(&mut self, connection: ConnectionId) {
        let Some(role) = self.connections.remove(&connection) else { return };
        if role == Role::Unjoined {
            self.admission.last_call(connection);
        }
        if let Role::Proxy(proxy) = role {
            info!(target: "lockcroft::input", connection, proxy, "left");
            self.streams.remove(&proxy);
            self.pilot.detach_proxy(proxy);
        }
    }

    /// All that was to be written to it is out.
    pub fn written(&mut self, connection: ConnectionId) {
        if let Some(Role::Proxy(proxy)) = self.connections.get(&connection)
            && let Some(stream) = self.streams.get_mut(proxy)
        {
            stream.busy = false;
            self.touched.insert(*proxy);
        }
    }

    /// When [`ControlPlane::decide`] has to be called at the latest.
    pub fn next_due(&self) -> Duration {
        let pilot = self.pilot.next_due();
        self.admission.next_due().map_or(pilot, |admission| admission.min(pilot))
    }

    /// Pulls decisions until there is none, and gives out what is to be done.
    pub fn decide(&mut self, now: Duration) -> Vec<Effect> {
        for connection in self.admission.overdue(now) {
            let effect = self.last_call(connection);
            self.effects.push_back(effect);
        }
        while let Some(decision) = self.pilot.next_action(now) {
            self.carry_out(decision);
        }
        self.send();
        self.effects()
    }

    /// What is to be done at once.
    pub fn effects(&mut self) -> Vec<Effect> {
        self.effects.drain(..).collect()
    }

    fn carry_out(&mut self, decision: Action) {
        match decision {
            Action::CheckHealth(server) => {
                let address = self.roster.address(server);
                self.effects.extend(address.map(|address| Effect::Probe { server, address }));
            }
            Action::SetWeight { table, endpoint: server, weight } => {
                let name = self.roster.name(server);
                debug!(target: "lockcroft::action", table, name, weight, "weigh");
                self.published.set_weight(table, server, weight);
                self.touch(|stream| stream.on(table));
            }
            Action::AssignTable { table, classes, proxy } => {
                debug!(target: "lockcroft::action", table, proxy, "bind");
                if let Some(stream) = self.streams.get_mut(&proxy) {
                    stream.bind(table, classes);
                    self.touched.insert(proxy);
                }
            }
            Action::Eject { endpoint } => self.set_ejected(endpoint, true),
            Action::Restore { endpoint } => self.set_ejected(endpoint, false),
            Action::SetAdmission { table, class, fraction, retry } => {
                debug!(target: "lockcroft::action", table, class, fraction, retry, "admit");
                self.published.set_admission(table, class, Admission { fraction, retry });
                self.touch(|stream| stream.on(table));
            }
            Action::RaiseEvent { endpoint: about, text } => {
                let about = about.map(|server| self.roster.name(server));
                info!(target: "lockcroft::event", about, "{text}");
            }
        }
    }

    fn set_ejected(&mut self, endpoint: EndpointId, ejected: bool) {
        let name = self.roster.name(endpoint);
        debug!(target: "lockcroft::action", name, withdrawn = ejected, "withdraw");
        self.published.set_ejected(endpoint, ejected);
        let classes = self.places.classes.len();
        self.streams.values_mut().for_each(|stream| stream.withdraw(endpoint, ejected, classes));
        self.touch(|_| true);
    }

    fn touch(&mut self, meant: impl Fn(&ProxyStream) -> bool) {
        let meant = self.streams.iter().filter(|(_, stream)| meant(stream));
        self.touched.extend(meant.map(|(proxy, _)| *proxy));
    }

    /// All that was decided at one time goes out as one message to each proxy concerned. Whole tables and the last
    /// message carry a mark: the channel sends in the order in which messages have come whole, so an answer tells
    /// that this message has left, and all that went out at times before.
    fn send(&mut self) {
        let context =
            Context { published: &self.published, roster: &self.roster, classes: &self.places.classes };
        let touched = std::mem::take(&mut self.touched);
        let due = touched.into_iter().filter_map(|proxy| {
            let stream = self.streams.get_mut(&proxy).filter(|stream| !stream.busy)?;
            let parts = stream.message(&context);
            stream.busy = !parts.is_empty();
            stream.busy.then_some((proxy, parts))
        });
        let mut due: Vec<(ProxyId, Vec<Part>)> = due.collect();
        let classes = self.places.classes.len();
        let lines = |parts: &[Part]| parts.iter().map(|part| part.lines(classes)).sum::<usize>();
        let last = due.len().saturating_sub(1);
        let mut asked = Vec::new();
        for (at, (proxy, parts)) in due.iter_mut().enumerate() {
            if at == last || parts.iter().any(|part| part.full) {
                parts.last_mut().into_iter().for_each(|part| part.nonce_out = Some(self.marks));
                asked.push((*proxy, self.marks, lines(parts)));
                self.marks = (self.marks + 1) % codec::MARKS;
            }
        }
        let all = due.iter().map(|(_, parts)| lines(parts)).sum();
        let mark = if due.is_empty() { 0.0 } else { self.pilot.record_sent(due.len(), all) };
        for (proxy, number, lines) in asked {
            let stream = self.streams.get_mut(&proxy);
            stream.into_iter().for_each(|stream| stream.marked(number, (mark, lines)));
        }
        for (proxy, parts) in due {
            (self.sums.messages, self.sums.parts) =
                (self.sums.messages + 1, self.sums.parts + parts.len() as u64);
            let lines = lines(&parts);
            let text = codec::message(parts);
            debug!(target: "lockcroft::update", proxy, lines, bytes = text.len(), "sent");
            if let Some(stream) = self.streams.get(&proxy) {
                self.effects.push_back(Effect::Write { connection: stream.connection, text });
            }
        }
    }
}
