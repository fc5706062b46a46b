//! One proxy's order book: what it holds by its own answers, what it should hold, and the orders on
//! the way. Orders that wait are named by the line they concern, not kept as text: a proxy that
//! stalls for long gets each line once, as it is by then, and what waits is bounded by its tables.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::time::Duration;

use lockcroft::{Class, Server, TableNumber};
use lockcroft_runtime::sheets::{FORCED_DRAIN, FORCED_MAINT, StateRow};

use crate::list::List;
use crate::published::{Published, Scale};

/// Commands of one message are written as lines of up to so many bytes: half of what a proxy takes.
const LINE: usize = lockcroft_runtime::LINE_MOST / 2;

/// What an order concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Line(TableNumber, Server),
    Level(Class),
    Bind(Class),
    Withdrawal(Server),
}

/// An order that waits: when it was decided first, and by which wave.
#[derive(Clone, Copy, Debug)]
struct Waits {
    place: u64,
    since: Duration,
    wave: u64,
}

/// A line of a backend, as the proxy said.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    weight: u32,
    barred: bool,
    address: String,
}

/// What an answered command has changed at the proxy.
#[derive(Clone, Debug)]
enum Change {
    Add(String, Server, Held),
    Weight(String, Server, u32),
    Barred(String, Server, bool),
    Moved(String, Server, String),
    Delete(String, Server),
    Map(Class, String),
    Level(Class, u32),
    Again(Class, bool),
}

/// A command on its way, and the answer that says it was done.
#[derive(Clone, Debug)]
struct Step {
    text: String,
    change: Change,
}

/// A message on its way: the commands that are still to be answered.
#[derive(Debug, Default)]
struct Flight {
    steps: VecDeque<Step>,
    lines: usize,
    since: Duration,
    wave: u64,
}

/// What the last answer of a message tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Landed {
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
pub struct Desk<'a> {
    pub published: &'a Published,
    pub list: &'a List,
    pub classes: &'a [String],
    pub scale: Scale,
}

#[derive(Default)]
pub struct Book {
    /// By backend and server.
    held: BTreeMap<String, BTreeMap<Server, Held>>,
    maps: BTreeMap<Class, String>,
    levels: BTreeMap<Class, (Option<u32>, Option<bool>)>,
    /// Tables that the decisions put it on, in this stream.
    bound: BTreeMap<Class, TableNumber>,
    waits: BTreeMap<Key, Waits>,
    placed: u64,
    flight: Option<Flight>,
}

impl Book {
    /// A book for a stream that was just made, from what the proxy says that it holds.
    pub fn read(states: &[StateRow], map: &str, list: &mut List, classes: &[String]) -> Self {
        let mut book = Book::default();
        for row in states {
            let server = list.met(&row.server);
            let barred = row.admin & (FORCED_MAINT | FORCED_DRAIN) != 0;
            let held = Held { weight: row.weight, barred, address: format!("{}:{}", row.address, row.port) };
            book.held.entry(row.backend.clone()).or_default().insert(server, held);
        }
        for line in map.lines() {
            let mut words = line.split_whitespace().skip(1);
            if let (Some(class), Some(backend)) = (words.next(), words.next())
                && let Some(class) = classes.iter().position(|name| name == class)
            {
                book.maps.insert(class, backend.into());
            }
        }
        book
    }

    /// Whether it holds nothing that a pilot laid.
    pub fn fresh(&self) -> bool {
        !self.maps.values().any(|backend| table_of(backend).is_some())
    }

    /// Lines that wait or are on their way.
    pub fn lines(&self) -> usize {
        self.waits.len() + self.flight.as_ref().map_or(0, |flight| flight.lines)
    }

    pub fn tables(&self) -> BTreeSet<TableNumber> {
        self.bound.values().copied().collect()
    }

    pub fn on(&self, table: TableNumber) -> bool {
        self.bound.values().any(|bound| *bound == table)
    }

    fn mark(&mut self, key: Key, since: Duration, wave: u64) {
        self.placed += 1;
        let place = self.placed;
        self.waits.entry(key).or_insert(Waits { place, since, wave });
    }

    /// A line of a table changed.
    pub fn weigh(&mut self, table: TableNumber, server: Server, since: Duration, wave: u64) {
        if self.on(table) {
            self.mark(Key::Line(table, server), since, wave);
        }
    }

    /// The proxy goes onto a table for these classes. What it may hold of it from before is brought
    /// in line: lines that are right already cost nothing, lines that nobody ordered go.
    pub fn bind(
        &mut self,
        table: TableNumber,
        classes: &[Class],
        published: &Published,
        since: Duration,
        wave: u64,
    ) {
        let wanted = published.tables.get(&table).into_iter().flat_map(|sheet| sheet.lines.keys().copied());
        let held = self.held.get(&backend(table)).into_iter().flat_map(|lines| lines.keys().copied());
        let servers: BTreeSet<Server> = wanted.chain(held).collect();
        servers.into_iter().for_each(|server| self.mark(Key::Line(table, server), since, wave));
        for class in classes {
            self.bound.insert(*class, table);
            self.mark(Key::Level(*class), since, wave);
            self.mark(Key::Bind(*class), since, wave);
        }
    }

    pub fn admit(&mut self, table: TableNumber, class: Class, since: Duration, wave: u64) {
        if self.bound.get(&class) == Some(&table) {
            self.mark(Key::Level(class), since, wave);
        }
    }

    /// A server was withdrawn or came back: wherever the proxy holds it.
    pub fn withdraw(&mut self, server: Server, since: Duration, wave: u64) {
        if self.held.values().any(|lines| lines.contains_key(&server)) {
            self.mark(Key::Withdrawal(server), since, wave);
        }
    }

    /// The next message, unless one is on its way. Within it what adds comes before what takes, so
    /// that a proxy that stops half way has too much rather than nothing.
    pub fn message(&mut self, desk: &Desk) -> Option<Message> {
        if self.flight.is_some() || self.waits.is_empty() {
            return None;
        }
        let waits = std::mem::take(&mut self.waits);
        let since = waits.values().map(|waits| waits.since).min().unwrap_or_default();
        let wave = waits.values().map(|waits| waits.wave).min().unwrap_or_default();
        let mut steps: Vec<(usize, u64, Vec<Step>)> = Vec::new();
        for (key, waits) in waits {
            let (group, commands) = self.steps(key, desk);
            if !commands.is_empty() {
                steps.push((group, waits.place, commands));
            }
        }
        if steps.is_empty() {
            return None;
        }
        steps.sort_by_key(|(group, place, _)| (*group, *place));
        let lines = steps.len();
        let steps: VecDeque<Step> = steps.into_iter().flat_map(|(_, _, steps)| steps).collect();
        let text = lay(&steps);
        let commands = steps.len();
        self.flight = Some(Flight { steps, lines, since, wave });
        Some(Message { text, commands, lines, wave })
    }

    /// The commands that one line takes, from what is held to what should be, and their turn.
    fn steps(&self, key: Key, desk: &Desk) -> (usize, Vec<Step>) {
        match key {
            Key::Line(table, server) => self.line_steps(table, server, desk),
            Key::Level(class) => (1, self.level_steps(class, desk)),
            Key::Bind(class) => {
                let Some(backend) = self.bound.get(&class).map(|table| backend(*table)) else {
                    return (2, Vec::new());
                };
                if self.maps.get(&class) == Some(&backend) {
                    return (2, Vec::new());
                }
                let text = format!("set map classes {} {backend}", desk.classes[class]);
                (2, vec![Step { text, change: Change::Map(class, backend) }])
            }
            Key::Withdrawal(server) => {
                let barred = desk.published.withdrawn.contains(&server);
                let holding = self.held.iter().filter_map(|(name, lines)| Some((name, lines.get(&server)?)));
                let off = holding.filter(|(_, held)| held.barred != barred);
                (4, off.map(|(name, _)| bar(name, server, barred, desk)).collect())
            }
        }
    }

    fn line_steps(&self, table: TableNumber, server: Server, desk: &Desk) -> (usize, Vec<Step>) {
        let backend = backend(table);
        let name = desk.list.name(server);
        let weight = desk.scale.units(desk.published.weight(table, server));
        let barred = desk.published.withdrawn.contains(&server);
        let held = self.held.get(&backend).and_then(|lines| lines.get(&server));
        let address = desk.list.address(server).map(|address| address.to_string());
        let mut steps = Vec::new();
        let Some(held) = held else {
            let Some(address) = address.filter(|_| weight > 0) else { return (0, steps) };
            let text = format!("add server {backend}/{name} {address} weight {weight}");
            let held = Held { weight, barred: true, address };
            steps.push(Step { text, change: Change::Add(backend.clone(), server, held) });
            steps.extend((!barred).then(|| bar(&backend, server, false, desk)));
            return (0, steps);
        };
        let Some(address) = address.filter(|_| weight > 0 || desk.published.tables.contains_key(&table))
        else {
            // Off the list: the line goes for good.
            steps.push(bar(&backend, server, true, desk));
            let text = format!("del server {backend}/{name}");
            steps.push(Step { text, change: Change::Delete(backend, server) });
            return (3, steps);
        };
        if held.address != address {
            let (ip, port) = address.rsplit_once(':').unwrap_or((&address, "0"));
            let text = format!("set server {backend}/{name} addr {ip} port {port}");
            steps.push(Step { text, change: Change::Moved(backend.clone(), server, address.clone()) });
        }
        if held.weight != weight {
            let text = format!("set server {backend}/{name} weight {weight}");
            steps.push(Step { text, change: Change::Weight(backend.clone(), server, weight) });
        }
        if held.barred != barred {
            steps.push(bar(&backend, server, barred, desk));
        }
        let adds = weight >= held.weight && !barred;
        (if adds { 0 } else { 3 }, steps)
    }

    fn level_steps(&self, class: Class, desk: &Desk) -> Vec<Step> {
        let table = self.bound.get(&class).and_then(|table| desk.published.tables.get(table));
        let Some((share, again)) = table.and_then(|sheet| sheet.levels.get(&class)).copied() else {
            return Vec::new();
        };
        let name = desk.classes[class].replace('-', "_");
        let held = self.levels.get(&class).copied().unwrap_or_default();
        let level = (share * 1000.0).round() as u32;
        let mut steps = Vec::new();
        if held.0 != Some(level) {
            let text = format!("set var proc.level_{name} int({level})");
            steps.push(Step { text, change: Change::Level(class, level) });
        }
        if held.1 != Some(again) {
            let text = format!("set var proc.again_{name} int({})", u8::from(again));
            steps.push(Step { text, change: Change::Again(class, again) });
        }
        steps
    }

    /// The answer to the command that was sent longest ago. Only now what it changes is held.
    ///
    /// # Errors
    /// The proxy did not do it: what it holds has to be asked anew.
    pub fn answered(&mut self, answer: &str) -> Result<Option<Landed>, String> {
        let flight = self.flight.as_mut().ok_or("an answer to nothing")?;
        let step = flight.steps.pop_front().ok_or("an answer too many")?;
        let landed = Landed { since: flight.since, wave: flight.wave, lines: flight.lines };
        let last = flight.steps.is_empty();
        if last {
            self.flight = None;
        }
        let answer = answer.trim();
        let done = match &step.change {
            Change::Add(..) => answer.starts_with("New server registered"),
            Change::Moved(..) => answer.contains("changed"),
            // Visits may still be under way there; barred as it is, the line does no harm.
            Change::Delete(..) => true,
            _ => answer.is_empty(),
        };
        if !done {
            return Err(format!("{:?} was answered with {answer:?}", step.text));
        }
        self.held_now(step.change, answer);
        Ok(last.then_some(landed))
    }

    fn held_now(&mut self, change: Change, answer: &str) {
        let mut at = |name: &str, server: Server, change: &mut dyn FnMut(&mut Held)| {
            self.held.get_mut(name).and_then(|lines| lines.get_mut(&server)).into_iter().for_each(change);
        };
        match change {
            Change::Add(name, server, held) => {
                self.held.entry(name).or_default().insert(server, held);
            }
            Change::Weight(name, server, weight) => at(&name, server, &mut |held| held.weight = weight),
            Change::Barred(name, server, barred) => at(&name, server, &mut |held| held.barred = barred),
            Change::Moved(name, server, to) => at(&name, server, &mut |held| held.address.clone_from(&to)),
            Change::Delete(name, server) if answer.starts_with("Server deleted") => {
                self.held.get_mut(&name).map(|lines| lines.remove(&server));
            }
            Change::Delete(..) => {}
            Change::Map(class, name) => drop(self.maps.insert(class, name)),
            Change::Level(class, level) => self.levels.entry(class).or_default().0 = Some(level),
            Change::Again(class, again) => self.levels.entry(class).or_default().1 = Some(again),
        }
    }
}

/// The backend that a table is at the proxies.
pub fn backend(table: TableNumber) -> String {
    format!("t{table}")
}

/// The table behind a backend's name; none for a standing table.
pub fn table_of(backend: &str) -> Option<TableNumber> {
    backend.strip_prefix('t')?.parse().ok()
}

fn bar(backend: &str, server: Server, barred: bool, desk: &Desk) -> Step {
    let state = if barred { "maint" } else { "ready" };
    let text = format!("set server {backend}/{} state {state}", desk.list.name(server));
    Step { text, change: Change::Barred(backend.into(), server, barred) }
}

fn lay(steps: &VecDeque<Step>) -> String {
    let (mut text, mut begun) = (String::new(), 0);
    for step in steps {
        if text.len() > begun && text.len() - begun + step.text.len() > LINE {
            text.push('\n');
            begun = text.len();
        }
        let between = if text.len() > begun { "; " } else { "" };
        // Writing to a String cannot fail.
        let _ = write!(text, "{between}{}", step.text);
    }
    text.push('\n');
    text
}
