//! One proxy's stream: what was written on it, what it should hold, and the message between the two. A proxy
//! that is slow to read gets no second message while one is being written, and then the last word only.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lockcroft::{ClassId, EndpointId, TableId};
use lockcroft_host::{Admission, PublishedTable, PublishedTables};

use crate::codec::Part;
use crate::roster::Roster;

/// Names a connection; never given out twice.
pub type ConnectionId = u64;

/// What the decisions call a mark, and the lines of the message that carries it.
pub type Mark = (f64, usize);

/// A table that the proxy is on.
#[derive(Debug)]
struct Laid {
    classes: Vec<ClassId>,
    /// As it was last written on this stream.
    written: Option<PublishedTable>,
}

#[derive(Debug)]
pub struct ProxyStream {
    pub connection: ConnectionId,
    /// It holds nothing that any pilot ordered.
    fresh: bool,
    laid: BTreeMap<TableId, Laid>,
    /// Servers that it is to shut out, and those that it was told on this stream to shut out.
    ejects: BTreeSet<EndpointId>,
    ejected: BTreeSet<EndpointId>,
    /// Servers that it surely does not shut out any more.
    cleared: BTreeSet<EndpointId>,
    /// A message is still being written.
    pub busy: bool,
    /// Marks that went out on this stream and were not answered, by number.
    marks: VecDeque<(u64, Mark)>,
}

/// So many marks of one stream may wait for their answers; a proxy that answers none has its oldest forgotten.
const MARKS_MOST: usize = 64;

/// What an order needs beside the stream.
pub struct Context<'a> {
    pub published: &'a PublishedTables,
    pub roster: &'a Roster,
    pub classes: &'a [String],
}

impl ProxyStream {
    pub fn new(connection: ConnectionId, fresh: bool) -> Self {
        let (laid, cleared) = (BTreeMap::new(), BTreeSet::new());
        let (ejects, ejected, marks) = (BTreeSet::new(), BTreeSet::new(), VecDeque::new());
        ProxyStream { connection, fresh, laid, ejects, ejected, cleared, busy: false, marks }
    }

    pub fn marked(&mut self, number: u64, mark: Mark) {
        self.marks.push_back((number, mark));
        if self.marks.len() > MARKS_MOST {
            self.marks.pop_front();
        }
    }

    /// The proxy says that it has applied the mark of this number; none where it was not asked for it.
    pub fn applied(&mut self, number: u64) -> Option<Mark> {
        let at = self.marks.iter().position(|(asked, _)| *asked == number)?;
        self.marks.drain(..=at).next_back().map(|(_, mark)| mark)
    }

    pub fn bind(&mut self, table: TableId, classes: Vec<ClassId>) {
        self.laid.insert(table, Laid { classes, written: None });
    }

    pub fn on(&self, table: TableId) -> bool {
        self.laid.contains_key(&table)
    }

    /// Keeps it from a server, or ends that. A proxy whose every class is on tables of ours needs no word:
    /// the server's line goes, or went.
    pub fn withdraw(&mut self, server: EndpointId, withdrawn: bool, classes: usize) {
        let bound: usize = self.laid.values().map(|laid| laid.classes.len()).sum();
        if !withdrawn {
            self.ejects.remove(&server);
        } else if bound < classes {
            self.ejects.insert(server);
        }
    }

    /// The message that brings the proxy from what was written to what is published; no part if there is
    /// nothing to say. What is returned counts as written.
    pub fn message<'a>(&mut self, context: &Context<'a>) -> Vec<Part<'a>> {
        let name = |server: &EndpointId| context.roster.name(*server);
        let mut orders = Part {
            eject: self.ejects.difference(&self.ejected).map(name).collect(),
            restore: self.ejected.difference(&self.ejects).map(name).collect(),
            ..Part::default()
        };
        self.cleared.extend(self.ejected.difference(&self.ejects));
        self.ejected.clone_from(&self.ejects);
        let (mut parts, empty) = (Vec::new(), PublishedTable::default());
        for (table, laid) in &mut self.laid {
            let sheet = context.published.tables.get(table).unwrap_or(&empty);
            let before = parts.len();
            laid.changes(sheet, context, &mut parts);
            if parts.len() == before {
                continue;
            }
            // A proxy keeps over a change of streams whom it was told to shut out, and by whom it does not
            // say: lines of servers that moved go with a word that lets them back.
            for server in sheet.entries.keys().filter(|server| context.roster.moved(**server)) {
                if !self.fresh && !self.ejects.contains(server) && self.cleared.insert(*server) {
                    orders.restore.push(name(server));
                }
            }
            laid.written = Some(sheet.clone());
        }
        if !(orders.eject.is_empty() && orders.restore.is_empty()) {
            match parts.first_mut() {
                Some(part) => (part.eject, part.restore) = (orders.eject, orders.restore),
                None => parts.push(orders),
            }
        }
        parts
    }
}

impl Laid {
    /// The parts that bring the table from what was written to this sheet. The first says the lines, and the
    /// level where one holds for all of its classes.
    fn changes<'a>(&self, sheet: &PublishedTable, context: &Context<'a>, parts: &mut Vec<Part<'a>>) {
        let all =
            || (self.classes.len() < context.classes.len()).then(|| self.routes(&self.classes, context));
        let empty = PublishedTable::default();
        let (full, old) = (self.written.is_none(), self.written.as_ref().unwrap_or(&empty));
        let name = |server: &EndpointId| context.roster.name(*server);
        let gone = old.entries.keys().filter(|server| !sheet.entries.contains_key(server));
        let new = sheet.entries.iter().filter(|(server, weight)| old.entries.get(server) != Some(weight));
        let endpoints = new.map(|(server, weight)| (name(server), *weight));
        let endpoints: Vec<(&str, f64)> = endpoints.chain(gone.map(|server| (name(server), 0.0))).collect();
        let mut levels: Vec<(Admission, Vec<ClassId>)> = Vec::new();
        for class in &self.classes {
            let level = sheet.admissions.get(class).filter(|level| old.admissions.get(class) != Some(level));
            let Some(level) = level else { continue };
            match levels.iter_mut().find(|(known, _)| known == level) {
                Some((_, classes)) => classes.push(*class),
                None => levels.push((*level, vec![*class])),
            }
        }
        let common = levels.len() == 1 && levels[0].1.len() == self.classes.len();
        if full || !endpoints.is_empty() {
            parts.push(Part { routes: all(), full, endpoints, ..Part::default() });
        } else if common {
            parts.push(Part { routes: all(), ..Part::default() });
        }
        for (admission, classes) in levels {
            if !common {
                parts.push(Part { routes: Some(self.routes(&classes, context)), ..Part::default() });
            }
            if let Some(part) = parts.last_mut() {
                (part.admit, part.policy) = (Some(admission.fraction), Some(u8::from(admission.retry)));
            }
        }
    }

    fn routes<'a>(&self, classes: &[ClassId], context: &Context<'a>) -> Vec<&'a str> {
        classes.iter().map(|class| context.classes[*class].as_str()).collect()
    }
}
