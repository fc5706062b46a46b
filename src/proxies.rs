//! The attached proxies, the tables assigned to them, and the messages sent to each. Decisions are made in
//! other modules.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::message_pacing::MessagePacing;
use crate::{ProxyId, TableId, ZoneId};

/// A proxy that is attached to this controller.
pub struct ProxyState {
    /// The number of its attachment, from 1. A proxy that attaches again gets a new number.
    pub generation: u64,
    /// The time at which it attached.
    pub attached_at: Duration,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Its usual request rate, in requests per second.
    pub request_rate: f64,
    /// True if it attached without a table of an earlier controller.
    pub has_no_table: bool,
    /// The subset that it was assigned to.
    pub subset: Option<usize>,
    /// The tables that were assigned to it.
    pub tables: Vec<TableId>,
    /// The times of the recent messages to it.
    messages: VecDeque<Duration>,
}

impl ProxyState {
    /// Returns the state of a proxy that has just attached.
    pub fn new(
        attached_at: Duration,
        zone: ZoneId,
        request_rate: f64,
        has_no_table: bool,
        subset: Option<usize>,
    ) -> Self {
        ProxyState {
            generation: 0,
            attached_at,
            zone,
            request_rate,
            has_no_table,
            subset,
            tables: Vec::new(),
            messages: VecDeque::new(),
        }
    }

    /// Returns the number of messages within the window before `now`, and drops older ones.
    fn recent_messages(&mut self, now: Duration, window: Duration) -> usize {
        self.messages.retain(|time| *time + window >= now);
        self.messages.len()
    }

    /// Returns true if the pacing allows a message to it at `now`. Messages that left the window are dropped before.
    fn sustains_message(&self, now: Duration, pacing: &MessagePacing) -> bool {
        pacing.is_sustainable(now, self.messages.iter().copied())
    }

    /// Returns true if the last message to it belongs to the batch of this time.
    fn was_messaged_at(&self, now: Duration) -> bool {
        self.messages.back() == Some(&now)
    }
}

/// An attachment of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// Its number in the order of all attachments.
    pub generation: u64,
    /// The time at which the proxy attached.
    pub at: Duration,
}

/// The proxies that an update is for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    /// Those with fewer than this number of tables that attached after this generation.
    OnFewerTables { than: usize, attached_after: u64 },
    /// Those that a table is assigned to.
    OnTable(TableId),
    /// One proxy.
    Proxy(ProxyId),
}

impl Recipients {
    /// All attached proxies.
    pub const ALL: Recipients = Recipients::OnFewerTables { than: usize::MAX, attached_after: 0 };

    fn includes(self, proxy: &ProxyState) -> bool {
        match self {
            Recipients::OnFewerTables { than, attached_after } => {
                proxy.tables.len() < than && proxy.generation > attached_after
            }
            Recipients::OnTable(table) => proxy.tables.contains(&table),
            Recipients::Proxy(_) => true,
        }
    }
}

/// The messages that an update would add to the current batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewMessages {
    /// The number of proxies that would get a new message.
    pub count: usize,
    /// The largest number of messages that one of these proxies got within the window.
    pub max_recent: usize,
    /// True if the pacing of messages allows all of them.
    pub sustainable: bool,
}

impl NewMessages {
    /// No new message.
    pub const NONE: NewMessages = NewMessages { count: 0, max_recent: 0, sustainable: true };
}

/// All attached proxies.
#[derive(Default)]
pub struct ProxySet {
    proxies: BTreeMap<ProxyId, ProxyState>,
    /// The number of attachments since the start.
    attachments: u64,
    /// The number of proxies that each table is assigned to.
    proxies_by_table: BTreeMap<TableId, usize>,
}

impl ProxySet {
    /// Adds a proxy, in place of its earlier attachment if there is one.
    pub fn attach(&mut self, proxy: ProxyId, state: ProxyState) {
        self.detach(proxy);
        self.attachments += 1;
        self.proxies.insert(proxy, ProxyState { generation: self.attachments, ..state });
    }

    /// Removes a proxy with its table assignments.
    pub fn detach(&mut self, proxy: ProxyId) {
        let tables = self.proxies.remove(&proxy).map(|state| state.tables).unwrap_or_default();
        for table in tables {
            *self.proxies_by_table.entry(table).or_default() -= 1;
        }
    }

    /// Records that a table was assigned to a proxy.
    pub fn assign(&mut self, proxy: ProxyId, table: TableId) {
        if let Some(state) = self.proxies.get_mut(&proxy) {
            state.tables.push(table);
            *self.proxies_by_table.entry(table).or_default() += 1;
        }
    }

    /// Returns the state of an attached proxy.
    pub fn get(&self, proxy: ProxyId) -> Option<&ProxyState> {
        self.proxies.get(&proxy)
    }

    /// Returns the generation of the newest attachment so far; 0 before the first.
    pub fn latest_generation(&self) -> u64 {
        self.attachments
    }

    /// Returns the sum of the usual request rates of the proxies of each subset, in requests per second.
    pub fn request_rates(&self, subsets: usize) -> Vec<f64> {
        let mut rates = vec![0.0; subsets];
        for state in self.proxies.values() {
            if let Some(subset) = state.subset {
                rates[subset] += state.request_rate;
            }
        }
        rates
    }

    /// Returns the mean of the proxies' usual request rates, in requests per second.
    pub fn mean_request_rate(&self) -> f64 {
        let rates: f64 = self.proxies.values().map(|state| state.request_rate).sum();
        rates / self.proxies.len().max(1) as f64
    }

    /// Returns the proxies with fewer than this number of tables, sorted by request rate, highest first.
    pub fn on_fewer_tables(&mut self, than: usize) -> Vec<(ProxyId, &mut ProxyState)> {
        let proxies = self.proxies.iter_mut().map(|(proxy, state)| (*proxy, state));
        let mut found: Vec<_> = proxies.filter(|(_, state)| state.tables.len() < than).collect();
        found.sort_by(|(_, a), (_, b)| b.request_rate.total_cmp(&a.request_rate));
        found
    }

    /// Returns the number of recipients.
    pub fn count(&self, recipients: Recipients) -> usize {
        match recipients {
            Recipients::OnFewerTables { .. } => {
                self.proxies.values().filter(|proxy| recipients.includes(proxy)).count()
            }
            Recipients::OnTable(table) => self.proxies_by_table.get(&table).copied().unwrap_or(0),
            Recipients::Proxy(_) => 1,
        }
    }

    /// Returns the generation of the newest attachment among the recipients; 0 if there are none.
    pub fn newest_generation(&self, recipients: Recipients) -> u64 {
        let included = self.proxies.values().filter(|proxy| recipients.includes(proxy));
        included.map(|proxy| proxy.generation).max().unwrap_or(0)
    }

    /// Returns the attachments of the recipients.
    pub fn attachments(&self, recipients: Recipients) -> Vec<Attachment> {
        let included = self.proxies.values().filter(|proxy| recipients.includes(proxy));
        included.map(|proxy| Attachment { generation: proxy.generation, at: proxy.attached_at }).collect()
    }

    /// Returns the messages that an update to these recipients would add to the batch of `now`.
    pub fn new_messages(
        &mut self,
        recipients: Recipients,
        now: Duration,
        window: Duration,
        pacing: Option<&MessagePacing>,
    ) -> NewMessages {
        let not_messaged = self.included_mut(recipients).filter(|proxy| !proxy.was_messaged_at(now));
        not_messaged.fold(NewMessages::NONE, |messages, proxy| NewMessages {
            count: messages.count + 1,
            max_recent: messages.max_recent.max(proxy.recent_messages(now, window)),
            sustainable: messages.sustainable
                && pacing.is_none_or(|pacing| proxy.sustains_message(now, pacing)),
        })
    }

    /// Records that the batch of `now` contains a message to each recipient.
    pub fn record_messages(&mut self, recipients: Recipients, now: Duration) {
        let not_messaged = self.included_mut(recipients).filter(|proxy| !proxy.was_messaged_at(now));
        not_messaged.for_each(|proxy| proxy.messages.push_back(now));
    }

    fn included_mut(&mut self, recipients: Recipients) -> impl Iterator<Item = &mut ProxyState> {
        let (first, last) = match recipients {
            Recipients::Proxy(proxy) => (proxy, proxy),
            _ => (0, ProxyId::MAX),
        };
        let range = self.proxies.range_mut(first..=last).map(|(_, proxy)| proxy);
        range.filter(move |proxy| recipients.includes(proxy))
    }
}
