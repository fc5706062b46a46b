//! The front of proxies that read files. What the module decides for them is gathered into one content, which is given
//! out to be written as a generation whenever it differs from the last: one file serves all proxies on a table. What
//! is on its way is one generation; what changes meanwhile goes with the next. No decision is made here on what stands in a table.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use lockcroft::{ClassId, EndpointId, ProxyId, TableId};
use lockcroft_host::Admission;
use lockcroft_table_format::{ProxyAssignment, ProxyGroup, SnapshotContent, Table, TableEntry};
use lockcroft_table_store::{Epoch, RetentionPolicy, Version, WrittenSnapshot};

use crate::book::UpdateContext;

/// After a generation that could not be written the next try waits for so long, and twice as long each time.
const WAIT_LEAST: Duration = Duration::from_millis(200);
const WAIT_MOST: Duration = Duration::from_secs(5);
/// Times of so many generations are kept for proxies that are still to lay them.
const TIMES_MOST: usize = 64;

/// A generation to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Publication {
    pub content: SnapshotContent,
    pub keep: RetentionPolicy,
}

/// A line that differs from what was written last, as far as is known before the content is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Mark {
    Entry(TableId, EndpointId),
    Level(TableId, ClassId),
    Assignment(ProxyId),
    Withdrawal(EndpointId),
}

/// What a proxy told of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedReport {
    pub proxy: String,
    /// The last generation that it has laid, and when.
    pub laid: Option<(Epoch, Version, Duration)>,
    /// The last that it refused: epoch, version, why.
    pub refused: Option<(Epoch, Version, String)>,
}

#[derive(Default)]
struct Follower {
    name: String,
    bound: BTreeMap<ClassId, TableId>,
    report: AppliedReport,
}

/// A generation that is being written.
struct Out {
    publication: Arc<Publication>,
    marks: BTreeSet<Mark>,
    since: Duration,
}

/// Counts for `show info`.
#[derive(Clone, Copy, Default)]
pub(crate) struct FileSums {
    pub generations: u64,
    pub failures: u64,
    pub files: u64,
    pub bytes: u64,
}

pub(crate) struct FileFront {
    followers: BTreeMap<ProxyId, Follower>,
    places: BTreeMap<String, ProxyId>,
    generations: usize,
    marks: BTreeSet<Mark>,
    /// When the oldest of them was decided.
    since: Duration,
    written: Option<SnapshotContent>,
    pub last: Option<WrittenSnapshot>,
    out: Option<Out>,
    wait: Duration,
    not_before: Duration,
    /// Why nothing is written any more, or what went wrong last.
    pub fenced: Option<Epoch>,
    pub trouble: Option<String>,
    /// When what is in a generation was decided.
    times: BTreeMap<Version, Duration>,
    pub sums: FileSums,
    /// Microseconds from a decision to a proxy that has laid it.
    pub laid: Histogram<u64>,
}

impl FileFront {
    /// # Panics
    /// Never: the histogram's bounds are constants.
    pub fn new(generations: usize, proxies: impl Iterator<Item = (ProxyId, String)>) -> Self {
        let follower = |(proxy, name): (ProxyId, String)| (proxy, Follower { name, ..Follower::default() });
        let followers: BTreeMap<ProxyId, Follower> = proxies.map(follower).collect();
        FileFront {
            places: followers.iter().map(|(proxy, follower)| (follower.name.clone(), *proxy)).collect(),
            followers,
            generations,
            marks: BTreeSet::new(),
            since: Duration::ZERO,
            written: None,
            last: None,
            out: None,
            wait: Duration::ZERO,
            not_before: Duration::ZERO,
            fenced: None,
            trouble: None,
            times: BTreeMap::new(),
            sums: FileSums::default(),
            laid: Histogram::new_with_bounds(1, 600_000_000, 2).expect("bounds are in order"),
        }
    }

    /// Whether any proxy reads files.
    pub fn is_used(&self) -> bool {
        !self.followers.is_empty()
    }

    pub fn has(&self, proxy: ProxyId) -> bool {
        self.followers.contains_key(&proxy)
    }

    fn mark(&mut self, now: Duration, mark: Mark) {
        if self.marks.is_empty() {
            self.since = now;
        }
        self.marks.insert(mark);
    }

    fn on(&self, table: TableId) -> bool {
        self.followers.values().any(|follower| follower.bound.values().any(|bound| *bound == table))
    }

    pub fn weigh(&mut self, now: Duration, table: TableId, server: EndpointId) {
        if self.on(table) {
            self.mark(now, Mark::Entry(table, server));
        }
    }

    pub fn admit(&mut self, now: Duration, table: TableId, class: ClassId) {
        if self.on(table) {
            self.mark(now, Mark::Level(table, class));
        }
    }

    /// Withdrawals reach all, whatever tables they hold, and whether their streams stand or not.
    pub fn withdraw(&mut self, now: Duration, server: EndpointId) {
        if !self.followers.is_empty() {
            self.mark(now, Mark::Withdrawal(server));
        }
    }

    /// It stays on a table until it is put on another, also while its stream is broken: the files reach it.
    pub fn bind(&mut self, now: Duration, proxy: ProxyId, table: TableId, classes: &[ClassId]) {
        let Some(follower) = self.followers.get_mut(&proxy) else { return };
        let mut changed = false;
        for class in classes {
            changed |= follower.bound.insert(*class, table) != Some(table);
        }
        if changed {
            self.mark(now, Mark::Assignment(proxy));
        }
    }

    /// Lines that wait to be written.
    pub fn waiting(&self) -> usize {
        self.marks.len() + self.out.as_ref().map_or(0, |out| out.marks.len())
    }

    pub fn next_due(&self) -> Duration {
        let idle = self.marks.is_empty() || self.out.is_some() || self.fenced.is_some();
        if idle { Duration::MAX } else { self.not_before }
    }

    /// The next generation, if anything differs and none is being written.
    pub fn publication(&mut self, now: Duration, desk: &UpdateContext) -> Option<Arc<Publication>> {
        if now < self.next_due() {
            return None;
        }
        let marks = std::mem::take(&mut self.marks);
        let content = self.content(desk);
        if self.written.as_ref() == Some(&content) {
            return None;
        }
        // Whoever is on no table of this epoch has to find those of the one before.
        let earlier_epochs = self.followers.values().any(|follower| follower.bound.is_empty());
        let keep = RetentionPolicy { generations: self.generations, earlier_epochs };
        let publication = Arc::new(Publication { content, keep });
        self.out = Some(Out { publication: publication.clone(), marks, since: self.since });
        Some(publication)
    }

    /// How the writing of the generation went.
    ///
    /// # Errors
    /// What people should know: the generation did not go out, and the last one stands.
    pub fn written(
        &mut self,
        now: Duration,
        done: Result<WrittenSnapshot, PublishError>,
    ) -> Result<WrittenSnapshot, String> {
        let Some(out) = self.out.take() else { return Err("a generation that nobody asked for".into()) };
        match done {
            Ok(written) => {
                self.written = Some(out.publication.content.clone());
                self.times.insert(written.version, out.since);
                while self.times.len() > TIMES_MOST {
                    self.times.pop_first();
                }
                self.sums.generations += 1;
                self.sums.files += written.files as u64;
                self.sums.bytes += written.bytes;
                (self.last, self.wait, self.trouble) = (Some(written), Duration::ZERO, None);
                Ok(written)
            }
            Err(unwritten) => {
                self.sums.failures += 1;
                self.since = if self.marks.is_empty() { out.since } else { self.since.min(out.since) };
                self.marks.extend(out.marks);
                self.wait = (self.wait * 2).clamp(WAIT_LEAST, WAIT_MOST);
                self.not_before = now + self.wait;
                let why = match unwritten {
                    PublishError::Fenced(epoch) => {
                        self.fenced = Some(epoch);
                        format!(
                            "superseded: a pilot of epoch {epoch} has taken over the folder; nothing is written any more"
                        )
                    }
                    PublishError::Failed(why) => {
                        format!("no generation was written, the last one stands: {why}")
                    }
                };
                self.trouble = Some(why.clone());
                Err(why)
            }
        }
    }

    /// What a proxy told. Gives what is to be said to people: a generation that it newly refuses.
    pub fn told(&mut self, report: AppliedReport) -> Option<String> {
        let follower = self.followers.get_mut(self.places.get(&report.proxy)?)?;
        let epoch = self.last.map(|last| last.epoch);
        let of = |report: &AppliedReport| report.laid.filter(|(laid, ..)| Some(*laid) == epoch);
        if let Some((_, version, at)) = of(&report) {
            let before = of(&follower.report).map_or(0, |(_, version, _)| version);
            // One that was started anew may say less than before.
            for (_, since) in self.times.iter().filter(|(of, _)| **of > before && **of <= version) {
                self.laid.saturating_record(at.saturating_sub(*since).as_micros() as u64);
            }
        }
        let news = report.refused.clone().filter(|refused| follower.report.refused.as_ref() != Some(refused));
        follower.report = report;
        news.map(|(epoch, version, why)| format!("{} refuses e{epoch} g{version}: {why}", follower.name))
    }

    /// What a proxy told last, and its tables.
    pub fn report(&self, proxy: ProxyId) -> Option<(&AppliedReport, BTreeSet<TableId>)> {
        let follower = self.followers.get(&proxy)?;
        Some((&follower.report, follower.bound.values().copied().collect()))
    }

    fn content(&self, desk: &UpdateContext) -> SnapshotContent {
        let mut content = SnapshotContent::default();
        let mut groups: BTreeMap<Vec<(ClassId, TableId)>, BTreeSet<String>> = BTreeMap::new();
        for follower in self.followers.values().filter(|follower| !follower.bound.is_empty()) {
            let bound = follower.bound.iter().map(|(class, table)| (*class, *table)).collect();
            groups.entry(bound).or_default().insert(follower.name.clone());
        }
        for (number, (bound, proxies)) in (0..).zip(groups) {
            for (_, table) in &bound {
                content.tables.entry(*table as u32).or_insert_with(|| lines(*table, desk));
            }
            let bound = bound
                .into_iter()
                .map(|(class, table)| (desk.classes[class].clone(), level(class, table, desk)));
            content.groups.insert(number, ProxyGroup { proxies, bound: bound.collect() });
        }
        content.withdrawn =
            desk.published.ejected.iter().map(|server| desk.list.name(*server).into()).collect();
        content
    }
}

/// Why a generation did not go out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishError {
    Fenced(Epoch),
    Failed(String),
}

fn lines(table: TableId, desk: &UpdateContext) -> Table {
    let sheet = desk.published.tables.get(&table);
    let line = |(server, weight): (&EndpointId, &f64)| {
        // Off the list, it has no address any more, and is no line.
        let address = desk.list.address(*server)?;
        Some((desk.list.name(*server).to_string(), TableEntry { address, weight: desk.scale.units(*weight) }))
    };
    Table { lines: sheet.into_iter().flat_map(|sheet| &sheet.entries).filter_map(line).collect() }
}

fn level(class: ClassId, table: TableId, desk: &UpdateContext) -> ProxyAssignment {
    let levels = desk.published.tables.get(&table).and_then(|sheet| sheet.admissions.get(&class));
    let Admission { fraction, retry } = levels.copied().unwrap_or(Admission { fraction: 1.0, retry: false });
    ProxyAssignment { table: table as u32, level: (fraction * 1000.0).round() as u32, again: retry }
}
