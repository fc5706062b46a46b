//! One proxy's order book: what it holds by its own answers, what it should hold, and the orders on
//! the way. Orders that wait are named by the line they concern, not kept as text: a proxy that
//! stalls for long gets each line once, as it is by then, and what waits is bounded by its tables.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use lockcroft::{ClassId, EndpointId, TableId};
use lockcroft_host::PublishedTables;
use lockcroft_runtime_api::tables::{Digest, FORCED_DRAIN, FORCED_MAINT, StateRow, class_variable};

use crate::list::EndpointList;
use crate::scale::WeightScale;

/// Commands of one message are written as lines of up to so many bytes: half of what a proxy takes.
/// A message of several lines is prepared and committed, so that it takes effect as a whole.
const LINE: usize = lockcroft_runtime_api::MAX_LINE_BYTES / 2;

const PREPARE: &str = "prepare map tables";

/// What an order concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Line(TableId, EndpointId),
    Level(ClassId),
    Bind(ClassId),
    Withdrawal(EndpointId),
}

/// An order that waits: when it was decided first, and by which wave.
#[derive(Clone, Copy, Debug)]
struct Waits {
    place: u64,
    since: Duration,
    wave: u64,
}

/// A backend at a proxy: a table of the pilot, or another by its place among those met there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Pool {
    Table(TableId),
    Other(usize),
}

/// A line of a backend, as the proxy said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    weight: u32,
    barred: bool,
    address: Option<SocketAddr>,
}

/// What an answered command has changed at the proxy.
#[derive(Clone, Copy, Debug)]
enum Change {
    Add(Pool, EndpointId, Held),
    Weight(Pool, EndpointId, u32),
    Barred(Pool, EndpointId, bool),
    Moved(Pool, EndpointId, SocketAddr),
    Delete(Pool, EndpointId),
    /// The entry is there already, or has to be added.
    Map(ClassId, TableId, bool),
    Level(ClassId, u32),
    Again(ClassId, bool),
}

impl Change {
    /// Whether the answer says that it was done.
    fn done(&self, answer: &str) -> bool {
        match self {
            Change::Add(..) => answer.starts_with("New server registered"),
            Change::Moved(..) => answer.contains("changed"),
            // Visits may still be under way there; barred as it is, the line does no harm.
            Change::Delete(..) => true,
            _ => answer.is_empty(),
        }
    }
}

/// A command of a message.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Begins a set of several lines.
    Prepare,
    Change(Change),
    Commit,
}

/// A message on its way: its text, and the commands that are still to be answered, each with its
/// place in the text.
#[derive(Debug, Default)]
struct Flight {
    text: String,
    steps: VecDeque<(Range<usize>, Step)>,
    /// The version under which the proxy prepares it, and what is held once that is committed. A
    /// proxy that knows no such sets does what it is told line by line.
    version: Option<String>,
    prepared: Vec<(Change, String)>,
    /// All was prepared; the commit is still to be sent.
    commit_due: bool,
    lines: usize,
    since: Duration,
    wave: u64,
}

/// What the last answer of a message tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgedUpdate {
    pub since: Duration,
    pub wave: u64,
    pub lines: usize,
}

/// A message to one proxy: lines for its socket, how many answers will come, what it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub text: String,
    pub commands: usize,
    pub lines: usize,
    pub wave: u64,
}

/// Names and weights as an order needs them.
pub struct UpdateContext<'a> {
    pub published: &'a PublishedTables,
    pub list: &'a EndpointList,
    pub classes: &'a [String],
    pub scale: WeightScale,
}

impl UpdateContext<'_> {
    /// The command that brings a change about.
    fn write(&self, change: &Change, others: &[String], text: &mut String) -> fmt::Result {
        let at = |text: &mut String, pool: Pool, server: EndpointId| {
            match pool {
                Pool::Table(table) => write!(text, "t{table}/")?,
                Pool::Other(place) => write!(text, "{}/", others[place])?,
            }
            text.write_str(self.list.name(server))
        };
        match *change {
            Change::Add(pool, server, held) => {
                text.write_str("add server ")?;
                at(text, pool, server)?;
                let address = held.address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
                write!(text, " {address} weight {}", held.weight)
            }
            Change::Delete(pool, server) => {
                text.write_str("del server ")?;
                at(text, pool, server)
            }
            Change::Weight(pool, server, weight) => {
                text.write_str("set server ")?;
                at(text, pool, server)?;
                write!(text, " weight {weight}")
            }
            Change::Barred(pool, server, barred) => {
                text.write_str("set server ")?;
                at(text, pool, server)?;
                text.write_str(if barred { " state maint" } else { " state ready" })
            }
            Change::Moved(pool, server, to) => {
                text.write_str("set server ")?;
                at(text, pool, server)?;
                write!(text, " addr {} port {}", to.ip(), to.port())
            }
            Change::Map(class, table, there) => {
                let word = if there { "set" } else { "add" };
                write!(text, "{word} map classes {} t{table}", self.classes[class])
            }
            Change::Level(class, level) => {
                write!(text, "set var {} int({level})", class_variable("level", &self.classes[class]))
            }
            Change::Again(class, again) => {
                let name = class_variable("again", &self.classes[class]);
                write!(text, "set var {name} int({})", u8::from(again))
            }
        }
    }
}

#[derive(Default)]
pub struct ProxyLedger {
    held: BTreeMap<(Pool, EndpointId), Held>,
    /// Backends met at the proxy that are no tables, by their place.
    others: Vec<String>,
    /// Entries of the proxy's map.
    maps: BTreeMap<ClassId, Pool>,
    levels: BTreeMap<ClassId, (Option<u32>, Option<bool>)>,
    /// Tables that the decisions put it on, in this stream.
    bound: BTreeMap<ClassId, TableId>,
    waits: BTreeMap<Key, Waits>,
    placed: u64,
    flight: Option<Flight>,
}

impl ProxyLedger {
    /// A book for a stream that was just made, from what the proxy says that it holds.
    pub fn read(states: &[StateRow], map: &str, list: &mut EndpointList, classes: &[String]) -> Self {
        let mut book = ProxyLedger::default();
        for row in states {
            let server = list.met(&row.server);
            let pool = book.pool(&row.backend);
            let barred = row.admin & (FORCED_MAINT | FORCED_DRAIN) != 0;
            let address = row.address.parse().ok().map(|ip| SocketAddr::new(ip, row.port));
            book.held.insert((pool, server), Held { weight: row.weight, barred, address });
        }
        for line in map.lines() {
            let mut words = line.split_whitespace().skip(1);
            if let (Some(class), Some(backend)) = (words.next(), words.next())
                && let Some(class) = classes.iter().position(|name| name == class)
            {
                let pool = book.pool(backend);
                book.maps.insert(class, pool);
            }
        }
        book
    }

    /// What was held when a stream ended, for the next one; orders and bindings are of one stream.
    pub fn kept(self) -> ProxyLedger {
        let ProxyLedger { held, others, maps, levels, .. } = self;
        ProxyLedger { held, others, maps, levels, ..ProxyLedger::default() }
    }

    /// The digest that the proxy tells if it holds just this.
    pub fn digest(&self, list: &EndpointList, classes: &[String]) -> i64 {
        let mut lines: Vec<(String, &str, SocketAddr, &Held)> = Vec::with_capacity(self.held.len());
        for ((pool, server), held) in &self.held {
            let address = held.address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
            lines.push((self.backend(*pool), list.name(*server), address, held));
        }
        lines.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        let mut digest = Digest::default();
        for (backend, server, address, held) in lines {
            digest.line(&backend, server, address, held.weight, held.barred);
        }
        let maps: BTreeMap<&str, Pool> =
            self.maps.iter().map(|(class, pool)| (classes[*class].as_str(), *pool)).collect();
        maps.iter().for_each(|(class, pool)| digest.bound(class, &self.backend(*pool)));
        let mut variables = BTreeMap::new();
        for (class, (level, again)) in &self.levels {
            let name = |what: &str| class_variable(what, &classes[*class]);
            variables.extend(level.map(|level| (name("level"), i64::from(level))));
            variables.extend(again.map(|again| (name("again"), i64::from(again))));
        }
        variables.iter().for_each(|(name, value)| digest.variable(name, *value));
        digest.value()
    }

    fn backend(&self, pool: Pool) -> String {
        match pool {
            Pool::Table(table) => format!("t{table}"),
            Pool::Other(place) => self.others[place].clone(),
        }
    }

    fn pool(&mut self, backend: &str) -> Pool {
        if let Some(table) = table_of(backend) {
            return Pool::Table(table);
        }
        let place = self.others.iter().position(|name| name == backend).unwrap_or_else(|| {
            self.others.push(backend.into());
            self.others.len() - 1
        });
        Pool::Other(place)
    }

    /// Whether it holds nothing that a pilot laid.
    pub fn fresh(&self) -> bool {
        !self.maps.values().any(|pool| matches!(pool, Pool::Table(_)))
    }

    /// Lines that wait or are on their way.
    pub fn lines(&self) -> usize {
        self.waits.len() + self.flight.as_ref().map_or(0, |flight| flight.lines)
    }

    pub fn tables(&self) -> BTreeSet<TableId> {
        self.bound.values().copied().collect()
    }

    pub fn on(&self, table: TableId) -> bool {
        self.bound.values().any(|bound| *bound == table)
    }

    fn mark(&mut self, key: Key, since: Duration, wave: u64) {
        self.placed += 1;
        let place = self.placed;
        self.waits.entry(key).or_insert(Waits { place, since, wave });
    }

    /// A line of a table changed.
    pub fn weigh(&mut self, table: TableId, server: EndpointId, since: Duration, wave: u64) {
        if self.on(table) {
            self.mark(Key::Line(table, server), since, wave);
        }
    }

    /// The proxy goes onto a table for these classes. What it may hold of it from before is brought
    /// in line: lines that are right already cost nothing, lines that nobody ordered go.
    pub fn bind(
        &mut self,
        table: TableId,
        classes: &[ClassId],
        published: &PublishedTables,
        since: Duration,
        wave: u64,
    ) {
        let wanted = published.tables.get(&table).into_iter().flat_map(|sheet| sheet.entries.keys().copied());
        let pool = Pool::Table(table);
        let held = self
            .held
            .range((pool, EndpointId::MIN)..=(pool, EndpointId::MAX))
            .map(|((_, server), _)| *server);
        let servers: BTreeSet<EndpointId> = wanted.chain(held).collect();
        servers.into_iter().for_each(|server| self.mark(Key::Line(table, server), since, wave));
        for class in classes {
            self.bound.insert(*class, table);
            self.mark(Key::Level(*class), since, wave);
            self.mark(Key::Bind(*class), since, wave);
        }
    }

    pub fn admit(&mut self, table: TableId, class: ClassId, since: Duration, wave: u64) {
        if self.bound.get(&class) == Some(&table) {
            self.mark(Key::Level(class), since, wave);
        }
    }

    /// A server was withdrawn or came back: wherever the proxy holds it.
    pub fn withdraw(&mut self, server: EndpointId, since: Duration, wave: u64) {
        if self.held.keys().any(|(_, held)| *held == server) {
            self.mark(Key::Withdrawal(server), since, wave);
        }
    }

    /// The next message, unless one is on its way. Within it what adds comes before what takes, so
    /// that a proxy that stops half way has too much rather than nothing.
    pub fn message(&mut self, desk: &UpdateContext) -> Option<Message> {
        if let Some(flight) = self.flight.as_mut().filter(|flight| flight.commit_due) {
            flight.commit_due = false;
            return Some(Message { text: flight.text.clone(), commands: 1, lines: 0, wave: flight.wave });
        }
        if self.flight.is_some() || self.waits.is_empty() {
            return None;
        }
        let waits = std::mem::take(&mut self.waits);
        let since = waits.values().map(|waits| waits.since).min().unwrap_or_default();
        let wave = waits.values().map(|waits| waits.wave).min().unwrap_or_default();
        let mut changes: Vec<(usize, u64, Change)> = Vec::new();
        let mut lines = 0;
        for (key, waits) in waits {
            let before = changes.len();
            self.changes(key, desk, &mut |group, change| changes.push((group, waits.place, change)));
            lines += usize::from(changes.len() > before);
        }
        if changes.is_empty() {
            return None;
        }
        // Stable: the commands of one line keep their order.
        changes.sort_by_key(|(group, place, _)| (*group, *place));
        let (text, steps) = lay(changes.into_iter().map(|(_, _, change)| change), desk, &self.others);
        let message = Message { text: text.clone(), commands: steps.len(), lines, wave };
        self.flight = Some(Flight { text, steps, lines, since, wave, ..Flight::default() });
        Some(message)
    }

    /// The changes that one line takes, from what is held to what should be, and their turn.
    fn changes(&self, key: Key, desk: &UpdateContext, put: &mut dyn FnMut(usize, Change)) {
        match key {
            Key::Line(table, server) => self.line_changes(table, server, desk, put),
            Key::Level(class) => self.level_changes(class, desk, put),
            Key::Bind(class) => {
                let held = self.maps.get(&class).copied();
                let bound = self.bound.get(&class);
                if let Some(table) = bound.filter(|table| held != Some(Pool::Table(**table))) {
                    put(2, Change::Map(class, *table, held.is_some()));
                }
            }
            Key::Withdrawal(server) => {
                let barred = desk.published.ejected.contains(&server);
                let held = self.held.iter().filter(|((_, at), held)| *at == server && held.barred != barred);
                held.for_each(|((pool, _), _)| put(4, Change::Barred(*pool, server, barred)));
            }
        }
    }

    fn line_changes(
        &self,
        table: TableId,
        server: EndpointId,
        desk: &UpdateContext,
        put: &mut dyn FnMut(usize, Change),
    ) {
        let pool = Pool::Table(table);
        let weight = desk.scale.units(desk.published.weight(table, server));
        let barred = desk.published.ejected.contains(&server);
        let address = desk.list.address(server);
        let Some(held) = self.held.get(&(pool, server)) else {
            if weight > 0 && address.is_some() {
                put(0, Change::Add(pool, server, Held { weight, barred: true, address }));
                if !barred {
                    put(0, Change::Barred(pool, server, false));
                }
            }
            return;
        };
        let Some(address) = address else {
            // Off the list: the line goes for good.
            put(3, Change::Barred(pool, server, true));
            put(3, Change::Delete(pool, server));
            return;
        };
        let group = if weight >= held.weight && !barred { 0 } else { 3 };
        if held.address != Some(address) {
            put(group, Change::Moved(pool, server, address));
        }
        if held.weight != weight {
            put(group, Change::Weight(pool, server, weight));
        }
        if held.barred != barred {
            put(group, Change::Barred(pool, server, barred));
        }
    }

    fn level_changes(&self, class: ClassId, desk: &UpdateContext, put: &mut dyn FnMut(usize, Change)) {
        let table = self.bound.get(&class).and_then(|table| desk.published.tables.get(table));
        let Some(admission) = table.and_then(|sheet| sheet.admissions.get(&class)) else { return };
        let held = self.levels.get(&class).copied().unwrap_or_default();
        let level = (admission.fraction * 1000.0).round() as u32;
        if held.0 != Some(level) {
            put(1, Change::Level(class, level));
        }
        if held.1 != Some(admission.retry) {
            put(1, Change::Again(class, admission.retry));
        }
    }

    /// The answer to the command that was sent longest ago. Only now what it changes is held.
    ///
    /// # Errors
    /// The proxy did not do it: what it holds has to be asked anew.
    pub fn answered(&mut self, answer: &str) -> Result<Option<AcknowledgedUpdate>, String> {
        let flight = self.flight.as_mut().ok_or("an answer to nothing")?;
        let (place, step) = flight.steps.pop_front().ok_or("an answer too many")?;
        let answer = answer.trim();
        let mut now = Vec::new();
        let done = match step {
            Step::Prepare => {
                let version = answer.strip_prefix("New version created: ");
                flight.version = version.map(str::to_string);
                true
            }
            Step::Change(change) => {
                let to = if flight.version.is_some() { &mut flight.prepared } else { &mut now };
                to.push((change, answer.to_string()));
                change.done(answer)
            }
            Step::Commit => {
                flight.version = None;
                now = std::mem::take(&mut flight.prepared);
                answer.is_empty()
            }
        };
        if !done {
            return Err(format!("{:?} was answered with {answer:?}", &flight.text[place]));
        }
        let landed = AcknowledgedUpdate { since: flight.since, wave: flight.wave, lines: flight.lines };
        let last = flight.steps.is_empty() && flight.version.is_none();
        if let Some(version) = flight.version.as_ref().filter(|_| flight.steps.is_empty()) {
            flight.text = format!("commit map @{version} tables\n");
            flight.steps.push_back((0..flight.text.len() - 1, Step::Commit));
            flight.commit_due = true;
        }
        if last {
            self.flight = None;
        }
        now.into_iter().for_each(|(change, answer)| self.held_now(change, &answer));
        Ok(last.then_some(landed))
    }

    /// Whether the proxy waits for the commit of what it prepared.
    pub fn commit_due(&self) -> bool {
        self.flight.as_ref().is_some_and(|flight| flight.commit_due)
    }

    fn held_now(&mut self, change: Change, answer: &str) {
        let mut at = |pool, server, change: &mut dyn FnMut(&mut Held)| {
            self.held.get_mut(&(pool, server)).into_iter().for_each(change);
        };
        match change {
            Change::Add(pool, server, held) => drop(self.held.insert((pool, server), held)),
            Change::Weight(pool, server, weight) => at(pool, server, &mut |held| held.weight = weight),
            Change::Barred(pool, server, barred) => at(pool, server, &mut |held| held.barred = barred),
            Change::Moved(pool, server, to) => at(pool, server, &mut |held| held.address = Some(to)),
            Change::Delete(pool, server) if answer.starts_with("Server deleted") => {
                self.held.remove(&(pool, server));
            }
            Change::Delete(..) => {}
            Change::Map(class, table, _) => drop(self.maps.insert(class, Pool::Table(table))),
            Change::Level(class, level) => self.levels.entry(class).or_default().0 = Some(level),
            Change::Again(class, again) => self.levels.entry(class).or_default().1 = Some(again),
        }
    }
}

/// The table behind a backend's name; none for a standing table.
pub fn table_of(backend: &str) -> Option<TableId> {
    backend.strip_prefix('t')?.parse().ok()
}

/// The text of a message, and where in it each command stands.
fn lay(
    changes: impl Iterator<Item = Change>,
    desk: &UpdateContext,
    others: &[String],
) -> (String, VecDeque<(Range<usize>, Step)>) {
    let (mut text, mut steps, mut begun) = (String::new(), VecDeque::new(), 0);
    for change in changes {
        if text.len() - begun > LINE {
            text.push('\n');
            begun = text.len();
        }
        if text.len() > begun {
            text.push_str("; ");
        }
        let from = text.len();
        // Writing to a String cannot fail.
        let _ = desk.write(&change, others, &mut text);
        steps.push_back((from..text.len(), Step::Change(change)));
    }
    text.push('\n');
    if begun > 0 {
        let first = PREPARE.len() + 1;
        text.insert_str(0, &format!("{PREPARE}\n"));
        steps.iter_mut().for_each(|(place, _)| *place = place.start + first..place.end + first);
        steps.push_front((0..PREPARE.len(), Step::Prepare));
    }
    (text, steps)
}
