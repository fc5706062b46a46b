//! TableSet, levels and shunning at one proxy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_runtime_api::tables::{Digest, class_variable};
use nanorand::WyRand;

use crate::choose::{Chooser, LoadBalancingPolicy};
use crate::tries::AttemptOutcome;

/// The backend that holds a proxy's standing table.
pub const STANDING: &str = "standing";

/// The guide's mean runs over so many tries.
const MEAN_OVER: f64 = 1024.0;

/// A line of a backend.
#[derive(Clone, Debug)]
pub struct TableEntry {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub weight: u32,
    pub first_weight: u32,
    /// Takes no visits, whatever its weight: the guide's maintenance and drain.
    pub maint: bool,
    pub drain: bool,
    failed_in_row: u32,
    shunned_until: Duration,
    /// Tries under way.
    pub outstanding: usize,
    pub tries: u64,
    pub connect_failed: u64,
    pub answer_failed: u64,
    pub answered_5xx: u64,
    pub sum_ms: f64,
    pub mean_ms: f64,
}

impl TableEntry {
    pub fn new(name: &str, address: SocketAddr, weight: u32, maint: bool) -> Self {
        TableEntry {
            name: name.into(),
            address,
            weight,
            first_weight: weight,
            maint,
            drain: false,
            failed_in_row: 0,
            shunned_until: Duration::ZERO,
            outstanding: 0,
            tries: 0,
            connect_failed: 0,
            answer_failed: 0,
            answered_5xx: 0,
            sum_ms: 0.0,
            mean_ms: 0.0,
        }
    }

    pub fn open(&self) -> bool {
        self.share() > 0
    }

    /// Takes over what orders say of a line.
    fn ordered_as(&mut self, laid: &TableEntry) {
        let TableEntry { address, weight, first_weight, maint, drain, .. } = *laid;
        (self.address, self.weight, self.first_weight) = (address, weight, first_weight);
        (self.maint, self.drain) = (maint, drain);
    }

    /// The weight that counts: none where it takes no visits.
    fn share(&self) -> u32 {
        if self.maint || self.drain { 0 } else { self.weight }
    }
}

/// The lines of a table, and what chooses among them.
#[derive(Clone, Debug)]
pub struct Backend {
    lines: Vec<TableEntry>,
    /// Where each line stands.
    places: Rc<BTreeMap<Rc<str>, usize>>,
    chooser: Chooser,
    /// Lines came or went since the chooser was laid: it is laid anew before the next choice, once for
    /// a whole set of orders.
    stale: bool,
    way: LoadBalancingPolicy,
    /// Of the set of orders that changed it last.
    pub version: u64,
}

impl Backend {
    pub fn new(way: LoadBalancingPolicy, lines: Vec<TableEntry>) -> Self {
        let weights: Vec<u32> = lines.iter().map(TableEntry::share).collect();
        let places = places(&lines).into();
        Backend { chooser: Chooser::new(way, &weights), stale: false, lines, places, way, version: 0 }
    }

    pub fn lines(&self) -> &[TableEntry] {
        &self.lines
    }

    pub fn line(&self, name: &str) -> Option<&TableEntry> {
        self.places.get(name).map(|place| &self.lines[*place])
    }

    /// Changes a line and with it its turn; `false` if there is none of this name.
    pub fn change(&mut self, name: &str, change: impl FnOnce(&mut TableEntry)) -> bool {
        let Some(place) = self.places.get(name).copied() else { return false };
        change(&mut self.lines[place]);
        if !self.stale {
            self.chooser.set(place, self.lines[place].share());
        }
        true
    }

    pub fn add(&mut self, line: TableEntry) {
        Rc::make_mut(&mut self.places).insert(line.name.clone(), self.lines.len());
        self.lines.push(line);
        self.stale = true;
    }

    pub fn remove(&mut self, name: &str) {
        self.lines.retain(|line| *line.name != *name);
        self.places = places(&self.lines).into();
        self.stale = true;
    }

    /// Takes over the lines that were laid on a copy of it. What visits did in the meantime stays:
    /// counters, tries under way, shunning, and whose turn it is.
    fn follow(&mut self, laid: &Backend) {
        self.version = laid.version;
        if Rc::ptr_eq(&self.places, &laid.places) {
            for (place, (line, laid)) in self.lines.iter_mut().zip(&laid.lines).enumerate() {
                let share = line.share();
                line.ordered_as(laid);
                if line.share() != share && !self.stale {
                    self.chooser.set(place, line.share());
                }
            }
            return;
        }
        let mut lines = laid.lines.clone();
        for line in &mut lines {
            if let Some(place) = self.places.get(&line.name) {
                let own = std::mem::replace(line, self.lines[*place].clone());
                line.ordered_as(&own);
            }
        }
        *self = Backend { lines, ..laid.clone() };
        self.lay();
    }

    /// Lays the chooser anew if lines came or went.
    fn lay(&mut self) {
        if std::mem::take(&mut self.stale) {
            let weights: Vec<u32> = self.lines.iter().map(TableEntry::share).collect();
            self.chooser = Chooser::new(self.way, &weights);
        }
    }

    /// Whether it gives the same choices as another.
    fn same(&self, other: &Backend) -> bool {
        let alike = |(a, b): (&TableEntry, &TableEntry)| {
            a.name == b.name && a.address == b.address && a.share() == b.share()
        };
        self.lines.len() == other.lines.len() && self.lines.iter().zip(&other.lines).all(alike)
    }
}

/// Where each line stands.
fn places(lines: &[TableEntry]) -> BTreeMap<Rc<str>, usize> {
    lines.iter().enumerate().map(|(place, line)| (line.name.clone(), place)).collect()
}

/// What a proxy does of itself.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub way: LoadBalancingPolicy,
    /// Tries that may be under way at one endpoint; 0: any number.
    pub outstanding_most: usize,
    /// It keeps away from a server after so many failures of its own in a row; 0: never.
    pub shuns_after: u32,
    pub shuns_for: Duration,
}

/// A line that was chosen for a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenEndpoint {
    pub backend: String,
    pub server: String,
    pub address: SocketAddr,
}

/// What came of choosing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    Endpoint(ChosenEndpoint),
    /// Lines there are, but each has all that it may have under way.
    Full,
    Bare,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Frontend {
    pub visits: u64,
    pub denied: u64,
}

/// All that a proxy holds.
#[derive(Clone, Debug)]
pub struct RoutingState {
    pub name: String,
    pub limits: Limits,
    pub backends: BTreeMap<String, Rc<Backend>>,
    /// Class to backend; the map `classes`.
    pub map: BTreeMap<String, String>,
    /// Versions of the map that are being prepared.
    pub prepared: BTreeMap<u64, BTreeMap<String, String>>,
    pub versions: u64,
    pub vars: BTreeMap<String, i64>,
    pub fronts: BTreeMap<String, Frontend>,
    chance: WyRand,
    /// Of the sets of orders that took effect.
    pub version: u64,
    /// The last prepared set that was committed, and the greatest epoch that a pilot named.
    pub committed: u64,
    pub epoch: i64,
}

/// What orders change, as it was at a time.
#[derive(Clone, Debug)]
pub struct TableSet {
    backends: BTreeMap<String, Rc<Backend>>,
    map: BTreeMap<String, String>,
    vars: BTreeMap<String, i64>,
}

impl RoutingState {
    /// A proxy as it starts: each class on the standing table.
    pub fn new(
        name: &str,
        classes: &[String],
        standing: &[(String, SocketAddr)],
        limits: Limits,
        seed: u64,
    ) -> Self {
        let lines = standing.iter().map(|(name, address)| TableEntry::new(name, *address, 256, false));
        let backend = Backend::new(limits.way, lines.collect());
        RoutingState {
            name: name.into(),
            limits,
            backends: BTreeMap::from([(STANDING.to_string(), Rc::new(backend))]),
            map: classes.iter().map(|class| (class.clone(), STANDING.to_string())).collect(),
            prepared: BTreeMap::new(),
            versions: 0,
            vars: BTreeMap::new(),
            fronts: classes.iter().map(|class| (class.clone(), Frontend::default())).collect(),
            chance: WyRand::new_seed(seed),
            version: 0,
            committed: 0,
            epoch: i64::MIN,
        }
    }

    pub fn tables(&self) -> TableSet {
        TableSet { backends: self.backends.clone(), map: self.map.clone(), vars: self.vars.clone() }
    }

    /// All as it was; for orders that were carried out in the same moment, so that no visit is lost.
    pub fn restore(&mut self, tables: TableSet) {
        (self.backends, self.map, self.vars) = (tables.backends, tables.map, tables.vars);
    }

    /// A set of orders took effect; tables that it changed carry its version.
    pub fn took_effect(&mut self, before: &TableSet) {
        self.version += 1;
        for (name, backend) in &mut self.backends {
            let was = before.backends.get(name);
            if !was.is_some_and(|was| Rc::ptr_eq(was, backend) || was.same(backend)) {
                Rc::make_mut(backend).version = self.version;
            }
        }
    }

    /// Adopts what was laid on a copy of this, taken when it held `before`. Backends that no order
    /// touched stay as they are by now.
    pub fn adopt(&mut self, laid: RoutingState, before: &TableSet) {
        let mut backends = BTreeMap::new();
        for (name, laid) in laid.backends {
            let untouched = before.backends.get(&name).is_some_and(|was| Rc::ptr_eq(was, &laid));
            let backend = match self.backends.remove(&name) {
                Some(own) if untouched => own,
                Some(mut own) => {
                    Rc::make_mut(&mut own).follow(&laid);
                    own
                }
                None => {
                    let mut laid = laid;
                    Rc::make_mut(&mut laid).lay();
                    laid
                }
            };
            backends.insert(name, backend);
        }
        self.backends = backends;
        (self.map, self.vars, self.prepared) = (laid.map, laid.vars, laid.prepared);
        (self.version, self.versions) = (laid.version, laid.versions);
        (self.committed, self.epoch) = (laid.committed, laid.epoch);
    }

    /// The same for two proxies that hold the same lines and map: what a pilot can compare cheaply.
    pub fn digest(&self) -> i64 {
        let mut digest = Digest::default();
        for (name, backend) in &self.backends {
            // By name, as the places are.
            for place in backend.places.values() {
                let line = &backend.lines[*place];
                digest.line(name, &line.name, line.address, line.weight, line.maint || line.drain);
            }
        }
        self.map.iter().for_each(|(class, backend)| digest.bound(class, backend));
        self.vars.iter().for_each(|(name, value)| digest.variable(name, *value));
        digest.value()
    }

    /// The version of the table that a class is on.
    pub fn table_version(&self, backend: &str) -> u64 {
        self.backends.get(backend).map_or(0, |backend| backend.version)
    }

    /// Counts a visit that came, and says whether the level of its class lets it in. The draw, from 0 up
    /// to 1, stays with the client, so that one who comes again is refused again.
    pub fn lets_in(&mut self, class: &str, draw: f64) -> bool {
        let level = self.var("level", class).unwrap_or(1000);
        let lets_in = draw * 1000.0 < level as f64;
        if let Some(front) = self.fronts.get_mut(class) {
            front.visits += 1;
            front.denied += u64::from(!lets_in);
        }
        lets_in
    }

    /// Whether the class's visits may be tried again after proof.
    pub fn tries_again(&self, class: &str) -> bool {
        self.var("again", class) == Some(1)
    }

    fn var(&self, what: &str, class: &str) -> Option<i64> {
        self.vars.get(&class_variable(what, class)).copied()
    }

    /// The line for the next try: open, not shunned, with room, and not the one that was tried
    /// already. The try counts as under way until it [ends](RoutingState::ended).
    pub fn choose(&mut self, now: Duration, class: &str, not: Option<&str>) -> Choice {
        let most = if self.limits.outstanding_most > 0 { self.limits.outstanding_most } else { usize::MAX };
        let found = self.map.get(class).and_then(|name| Some((name, self.backends.get_mut(name)?)));
        let Some((name, backend)) = found else { return Choice::Bare };
        let backend = Rc::make_mut(backend);
        backend.lay();
        let Backend { lines, chooser, .. } = backend;
        let free = |line: &TableEntry| line.open() && line.shunned_until <= now && Some(&*line.name) != not;
        let open = |place: usize| free(&lines[place]) && lines[place].outstanding < most;
        match chooser.next(&mut self.chance, open, |place| lines[place].outstanding) {
            Some(place) => {
                let line = &mut lines[place];
                line.outstanding += 1;
                let (server, address) = (line.name.to_string(), line.address);
                Choice::Endpoint(ChosenEndpoint { backend: name.clone(), server, address })
            }
            None if lines.iter().any(free) => Choice::Full,
            None => Choice::Bare,
        }
    }

    /// How a try ended; after so many failures in a row the server is shunned.
    pub fn ended(&mut self, now: Duration, chosen: &ChosenEndpoint, ending: AttemptOutcome, took: Duration) {
        let Limits { shuns_after, shuns_for, .. } = self.limits;
        // A line that went while the visit was under way counts nothing any more.
        let Some(backend) = self.backends.get_mut(&chosen.backend).map(Rc::make_mut) else { return };
        let Some(place) = backend.places.get(&*chosen.server).copied() else { return };
        let line = &mut backend.lines[place];
        line.outstanding = line.outstanding.saturating_sub(1);
        line.tries += 1;
        match ending {
            AttemptOutcome::Refused => line.connect_failed += 1,
            AttemptOutcome::Broken | AttemptOutcome::Late => line.answer_failed += 1,
            AttemptOutcome::TurnedAway => line.answered_5xx += 1,
            AttemptOutcome::Answered(status) if status >= 500 => line.answered_5xx += 1,
            AttemptOutcome::Answered(_) => {
                let ms = took.as_secs_f64() * 1e3;
                line.sum_ms += ms;
                line.mean_ms += (ms - line.mean_ms) / (line.tries as f64).min(MEAN_OVER);
            }
        }
        line.failed_in_row = if ending.failed() { line.failed_in_row + 1 } else { 0 };
        if shuns_after > 0 && line.failed_in_row >= shuns_after {
            (line.failed_in_row, line.shunned_until) = (0, now + shuns_for);
        }
    }

    /// Whether a class has a line that is open, shunned or not: what its orders left it.
    pub fn has_line(&self, class: &str) -> bool {
        let backend = self.map.get(class).and_then(|name| self.backends.get(name));
        backend.is_some_and(|backend| backend.lines.iter().any(TableEntry::open))
    }
}
