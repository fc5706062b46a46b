//! What proxies met and what was sent to them, added up. Nothing is decided here.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{Proxy, TableNumber};

/// Tries that ended, and how.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    pub tries: f64,
    pub failed: f64,
    /// Seconds spent on tries that were answered.
    pub answered: f64,
}

impl Tally {
    pub fn new(tries: u32, failed: u32, took: Duration) -> Self {
        let (tries, failed) = (f64::from(tries), f64::from(failed.min(tries)));
        Tally { tries, failed, answered: (tries - failed) * took.as_secs_f64() }
    }

    /// This, and `keep` of what was before.
    pub fn over(self, before: Tally, keep: f64) -> Tally {
        let sum = |new: f64, old: f64| new + old * keep;
        let answered = sum(self.answered, before.answered);
        Tally { tries: sum(self.tries, before.tries), failed: sum(self.failed, before.failed), answered }
    }

    pub fn failing(&self) -> f64 {
        if self.tries > 0.0 { self.failed / self.tries } else { 0.0 }
    }

    /// Mean time in units of the contract time, a failure counting as one that was just missed.
    pub fn lateness(&self, contract: f64) -> f64 {
        if self.tries > 0.0 { (self.answered / contract + self.failed) / self.tries } else { 0.0 }
    }
}

/// Whom an order is for: joined proxies on fewer tables than this, those on a table, or one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    Unbound(usize),
    On(TableNumber),
    One(Proxy),
}

#[derive(Default)]
struct Written {
    tables: Vec<TableNumber>,
    messages: VecDeque<Duration>,
}

/// Joined proxies, the tables they are on, and the messages that went to them. What goes out at one
/// time travels together, as one message to each.
#[derive(Default)]
pub struct Channel {
    proxies: BTreeMap<Proxy, Written>,
    on: BTreeMap<TableNumber, usize>,
    /// Lines that wait, as far as that is known, at a time.
    waiting: f64,
    as_of: Duration,
    /// Whom the orders of this time went to.
    begun: Vec<Whom>,
}

impl Channel {
    pub fn join(&mut self, proxy: Proxy) {
        self.leave(proxy);
        self.proxies.insert(proxy, Written::default());
    }

    pub fn leave(&mut self, proxy: Proxy) {
        let tables = self.proxies.remove(&proxy).map(|written| written.tables).unwrap_or_default();
        for table in tables {
            *self.on.entry(table).or_default() -= 1;
        }
    }

    pub fn bind(&mut self, proxy: Proxy, table: TableNumber) {
        if let Some(written) = self.proxies.get_mut(&proxy) {
            written.tables.push(table);
            *self.on.entry(table).or_default() += 1;
        }
    }

    pub fn bound(&self, proxy: Proxy, table: TableNumber) -> bool {
        self.proxies.get(&proxy).is_some_and(|written| written.tables.contains(&table))
    }

    pub fn count(&self, whom: Whom) -> usize {
        match whom {
            Whom::Unbound(most) => {
                self.proxies.values().filter(|written| written.tables.len() < most).count()
            }
            Whom::On(table) => self.on.get(&table).copied().unwrap_or(0),
            Whom::One(_) => 1,
        }
    }

    /// Lines that still wait, where the channel has sent `pace` a second.
    pub fn waiting(&mut self, now: Duration, pace: f64) -> f64 {
        let sent = (now - self.as_of).as_secs_f64() * pace;
        if now != self.as_of {
            self.begun.clear();
        }
        (self.waiting, self.as_of) = ((self.waiting - sent).max(0.0), now);
        self.waiting
    }

    /// How many messages an order of this time would begin, and how many the proxy among them with the
    /// most has had within this span.
    pub fn begins(&mut self, whom: Whom, span: Duration) -> (usize, usize) {
        let now = self.as_of;
        if self.begun.contains(&whom) {
            return (0, 0);
        }
        let new = reached(&mut self.proxies, whom).filter(|written| written.messages.back() != Some(&now));
        new.fold((0, 0), |(count, most), written| {
            written.messages.retain(|time| *time + span >= now);
            (count + 1, most.max(written.messages.len()))
        })
    }

    pub fn send(&mut self, whom: Whom, cost: f64) {
        let now = self.as_of;
        self.waiting += cost;
        if !self.begun.contains(&whom) {
            let new =
                reached(&mut self.proxies, whom).filter(|written| written.messages.back() != Some(&now));
            new.for_each(|written| written.messages.push_back(now));
            self.begun.extend((!matches!(whom, Whom::One(_))).then_some(whom));
        }
    }
}

fn reached(proxies: &mut BTreeMap<Proxy, Written>, whom: Whom) -> impl Iterator<Item = &mut Written> {
    let (first, last) = if let Whom::One(proxy) = whom { (proxy, proxy) } else { (0, Proxy::MAX) };
    let meant = move |written: &Written| match whom {
        Whom::On(table) => written.tables.contains(&table),
        Whom::Unbound(most) => written.tables.len() < most,
        Whom::One(_) => true,
    };
    proxies.range_mut(first..=last).map(|(_, written)| written).filter(move |written| meant(written))
}
