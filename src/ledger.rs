//! What is known, published and sent, and its sums. Nothing is decided here.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{ClassId, ClassSettings, EndpointId, EndpointRecord, EndpointStatus, ProxyId, TableId, ZoneId};

/// Tries that ended, and how.
#[derive(Clone, Copy, Default)]
pub struct AttemptStats {
    pub tries: f64,
    pub failed: f64,
    /// Seconds spent on tries that were answered.
    pub answered: f64,
}

impl AttemptStats {
    pub fn new(tries: u32, failed: u32, took: Duration) -> Self {
        let (tries, failed) = (f64::from(tries), f64::from(failed.min(tries)));
        AttemptStats { tries, failed, answered: (tries - failed) * took.as_secs_f64() }
    }

    /// This, and `keep` of what was before.
    pub fn over(self, before: AttemptStats, keep: f64) -> AttemptStats {
        let sum = |new: f64, old: f64| new + old * keep;
        let answered = sum(self.answered, before.answered);
        AttemptStats {
            tries: sum(self.tries, before.tries),
            failed: sum(self.failed, before.failed),
            answered,
        }
    }

    pub fn failing(&self) -> f64 {
        if self.tries > 0.0 { self.failed / self.tries } else { 0.0 }
    }

    /// Mean time in units of the contract time, a failure counting as one that was just missed.
    pub fn lateness(&self, contract: f64) -> f64 {
        if self.tries > 0.0 { (self.answered / contract + self.failed) / self.tries } else { 0.0 }
    }
}

/// Recipients an order is for: proxies on fewer tables than this whose joining had a later number, those on a
/// table, or one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    Unbound(usize, u64),
    On(TableId),
    One(ProxyId),
}

/// What is known of a server.
#[derive(Default)]
pub struct EndpointState {
    pub record: EndpointRecord,
    pub subset: usize,
    /// `None` until the first result.
    pub health_counter: Option<u32>,
    pub next_check_at: Duration,
    pub check_started_at: Option<Duration>,
    /// Its process started at the one time, and is warm by the other.
    pub started_at: Duration,
    pub warmed_up_at: Duration,
    pub weight_factor: f64,
    /// Reports before this time tell of the server as it was before it started or came back.
    pub reports_valid_from: Duration,
    /// Condemned by reports: passing probes don't count before this time.
    pub outlier_until: Duration,
    /// What reports told since the last review, and of late.
    pub unevaluated: AttemptStats,
    pub recent: AttemptStats,
    /// Share of its cores in use, where it tells.
    pub load: Option<f64>,
    pub ejected: bool,
    /// The withdrawal reached the proxies whose joining had this number or a lower one.
    pub ejected_up_to_generation: u64,
}

impl EndpointState {
    pub fn is_not_ready(&self) -> bool {
        self.record.status != EndpointStatus::Ready
    }

    pub fn is_warming_up(&self, now: Duration) -> bool {
        now < self.warmed_up_at
    }
}

/// A table that proxies share.
#[derive(Default)]
pub struct RoutingTable {
    pub subset: usize,
    /// Zones and machine types that its classes are bound to.
    pub only: [Option<Vec<usize>>; 2],
    pub released: bool,
    /// Weights as they should be by the last plan, and as they were published.
    pub desired: BTreeMap<EndpointId, f64>,
    pub published: BTreeMap<EndpointId, f64>,
    /// How late its servers are, by their part in it, and which share of their tries fails, where told.
    pub latency_ratio: f64,
    pub failure_ratio: Option<f64>,
    /// What each server has of its listed weight here by a plan made ahead; none: all of its part's.
    pub planned_weights: BTreeMap<EndpointId, f64>,
    /// What it keeps of its part at servers that classes with less choice need.
    pub flexible_fraction: f64,
}

impl RoutingTable {
    pub fn allows(&self, listing: &EndpointRecord) -> bool {
        let place = [listing.zone, listing.machine_type];
        self.only.iter().zip(place).all(|(only, at)| only.as_ref().is_none_or(|only| only.contains(&at)))
    }

    pub fn narrow(&self) -> bool {
        self.only != [None, None]
    }

    pub fn wants(&self, server: EndpointId) -> f64 {
        self.desired.get(&server).copied().unwrap_or(0.0)
    }

    pub fn held(&self, server: EndpointId) -> f64 {
        self.published.get(&server).copied().unwrap_or(0.0)
    }

    /// Lines that a proxy gets with the whole table.
    pub fn laid(&self) -> usize {
        self.published.values().filter(|weight| **weight > 0.0).count()
    }
}

/// What is let in of one class, at one table.
pub struct ClassAdmission {
    pub class: ClassId,
    pub table: TableId,
    pub name: String,
    pub latency_objective: f64,
    pub value: f64,
    /// Visits that came of late, and the share that should be let in.
    pub demand: f64,
    pub rate: f64,
    /// The share that a plan made ahead has room for.
    pub planned_rate: f64,
    /// As it was published.
    pub published: Option<f64>,
}

impl ClassAdmission {
    pub fn new(settings: &ClassSettings, class: ClassId, table: TableId) -> Self {
        ClassAdmission {
            class,
            table,
            name: settings.name.clone().unwrap_or_else(|| "a class without a name".into()),
            latency_objective: settings.latency_objective.as_secs_f64().max(1e-3),
            value: settings.value,
            demand: 0.0,
            rate: 1.0,
            planned_rate: 1.0,
            published: None,
        }
    }
}

/// What the decisions believe, want and have published, to be shown and persisted.
#[derive(Clone, Copy)]
pub struct Snapshot<'a> {
    pub endpoints: &'a BTreeMap<EndpointId, EndpointState>,
    pub tables: &'a [RoutingTable],
    pub admissions: &'a [ClassAdmission],
}

/// A proxy whose stream stands.
#[derive(Default)]
pub struct ProxyState {
    /// Joinings are numbered from 1.
    pub generation: u64,
    pub zone: ZoneId,
    /// Visits a second that it usually has.
    pub request_rate: f64,
    pub has_no_table: bool,
    pub subset: Option<usize>,
    pub tables: Vec<TableId>,
    pub messages: VecDeque<Duration>,
}

impl ProxyState {
    fn meant(&self, whom: Recipients) -> bool {
        match whom {
            Recipients::On(table) => self.tables.contains(&table),
            Recipients::Unbound(tables, number) => self.tables.len() < tables && self.generation > number,
            Recipients::One(_) => true,
        }
    }
}

/// ProxyState proxies, the tables they are on, and the messages that went to them. What goes out at one
/// time travels together, as one message to each.
#[derive(Default)]
pub struct UpdateChannel {
    pub proxies: BTreeMap<ProxyId, ProxyState>,
    /// How many joinings there were.
    pub joinings: u64,
    on: BTreeMap<TableId, usize>,
    /// Lines that wait at a time, as far as that is known, if the channel is slow and if it is less so.
    waiting: [f64; 2],
    /// Lines that wait by the host's word, where it gives one.
    pub queued: Option<f64>,
    /// Lines sent since the start, and those of them that are known to have left the channel.
    sent: f64,
    applied: f64,
    /// Lines of single messages that have left, of times that are not known to have left as a whole.
    single: Vec<(f64, f64)>,
    /// Lines sent up to the last mark.
    marked: f64,
    as_of: Duration,
    /// Recipients the orders of this time went to.
    begun: Vec<Recipients>,
}

impl UpdateChannel {
    pub fn join(&mut self, proxy: ProxyId, joined: ProxyState) {
        self.leave(proxy);
        self.joinings += 1;
        self.proxies.insert(proxy, ProxyState { generation: self.joinings, ..joined });
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        let tables = self.proxies.remove(&proxy).map(|joined| joined.tables).unwrap_or_default();
        for table in tables {
            *self.on.entry(table).or_default() -= 1;
        }
    }

    pub fn bind(&mut self, proxy: ProxyId, table: TableId) {
        if let Some(joined) = self.proxies.get_mut(&proxy) {
            joined.tables.push(table);
            *self.on.entry(table).or_default() += 1;
        }
    }

    /// Visits a second that the proxies of each part usually have.
    pub fn carried(&self, parts: usize) -> Vec<f64> {
        let mut carried = vec![0.0; parts];
        for joined in self.proxies.values() {
            if let Some(part) = joined.subset {
                carried[part] += joined.request_rate;
            }
        }
        carried
    }

    pub fn mean_rate(&self) -> f64 {
        let rates: f64 = self.proxies.values().map(|joined| joined.request_rate).sum();
        rates / self.proxies.len().max(1) as f64
    }

    /// Proxies on fewer tables than this, those with most visits first.
    pub fn unbound(&mut self, tables: usize) -> Vec<(ProxyId, &mut ProxyState)> {
        let proxies = self.proxies.iter_mut().map(|(proxy, joined)| (*proxy, joined));
        let mut unbound: Vec<_> = proxies.filter(|(_, joined)| joined.tables.len() < tables).collect();
        unbound.sort_by(|(_, a), (_, b)| b.request_rate.total_cmp(&a.request_rate));
        unbound
    }

    pub fn count(&self, whom: Recipients) -> usize {
        match whom {
            Recipients::Unbound(..) => self.proxies.values().filter(|joined| joined.meant(whom)).count(),
            Recipients::On(table) => self.on.get(&table).copied().unwrap_or(0),
            Recipients::One(_) => 1,
        }
    }

    /// The number of the newest joining among these; 0 if there is none.
    pub fn newest(&self, whom: Recipients) -> u64 {
        let meant = self.proxies.values().filter(|joined| joined.meant(whom));
        meant.map(|joined| joined.generation).max().unwrap_or(0)
    }

    /// Lines that still wait, where the channel has sent so many a second.
    pub fn waiting(&mut self, now: Duration, paces: [f64; 2]) -> [f64; 2] {
        let span = (now - self.as_of).as_secs_f64();
        if now != self.as_of {
            self.begun.clear();
        }
        for (waiting, pace) in self.waiting.iter_mut().zip(paces) {
            *waiting = (*waiting - span * pace).max(0.0);
        }
        self.as_of = now;
        let [slowest, slow] = self.waiting;
        // What marks tell is true and late. It takes the place of hope, not of care.
        let single: f64 = self.single.iter().map(|(_, lines)| lines).sum();
        let told = (self.sent - self.applied - single).max(0.0);
        let waiting = if self.marked > 0.0 { [slowest.min(told); 2] } else { [slowest, slow] };
        waiting.map(|waiting| waiting.max(self.queued.unwrap_or(0.0)))
    }

    /// So many lines went out since the last mark, whatever they were taken to be. The next mark is what was sent
    /// before them: messages of one time may enter the channel in any order, so a mark says nothing of those.
    pub fn mark(&mut self, lines: f64) -> f64 {
        let before = self.marked;
        self.cost(lines - (self.sent - before));
        self.marked = self.sent;
        before
    }

    /// A mark was applied: what was sent before its time has left the channel, and of those of its time the
    /// message that carried it, with so many lines.
    pub fn applied(&mut self, mark: f64, lines: f64) {
        self.applied = self.applied.max(mark);
        self.single.push((mark, lines));
        self.single.retain(|(mark, _)| *mark >= self.applied);
    }

    fn cost(&mut self, lines: f64) {
        self.sent += lines;
        self.waiting.iter_mut().for_each(|waiting| *waiting += lines);
        self.queued = self.queued.map(|queued| queued + lines);
    }

    /// How many messages an order of this time would begin, and how many the proxy among them with the
    /// most has had within this span.
    pub fn begins(&mut self, whom: Recipients, span: Duration) -> (usize, usize) {
        let now = self.as_of;
        if self.begun.contains(&whom) {
            return (0, 0);
        }
        let new = reached(&mut self.proxies, whom).filter(|joined| joined.messages.back() != Some(&now));
        new.fold((0, 0), |(count, most), joined| {
            joined.messages.retain(|time| *time + span >= now);
            (count + 1, most.max(joined.messages.len()))
        })
    }

    pub fn send(&mut self, whom: Recipients, cost: f64) {
        let now = self.as_of;
        self.cost(cost);
        if !self.begun.contains(&whom) {
            let new = reached(&mut self.proxies, whom).filter(|joined| joined.messages.back() != Some(&now));
            new.for_each(|joined| joined.messages.push_back(now));
            self.begun.extend((!matches!(whom, Recipients::One(_))).then_some(whom));
        }
    }
}

fn reached(
    proxies: &mut BTreeMap<ProxyId, ProxyState>,
    whom: Recipients,
) -> impl Iterator<Item = &mut ProxyState> {
    let (first, last) = if let Recipients::One(proxy) = whom { (proxy, proxy) } else { (0, ProxyId::MAX) };
    proxies.range_mut(first..=last).map(|(_, joined)| joined).filter(move |joined| joined.meant(whom))
}
