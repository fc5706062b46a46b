//! The attached proxies, the tables they are on, and the messages that each got. Nothing is decided here.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::{ProxyId, TableId, ZoneId};

/// A proxy that is attached to this controller.
pub struct ProxyState {
    /// Attachments are numbered from 1; a proxy that attaches again gets a new number.
    pub generation: u64,
    /// When it attached.
    pub attached_at: Duration,
    /// The zone that it stands in.
    pub zone: ZoneId,
    /// Requests a second that it usually has.
    pub request_rate: f64,
    /// Whether it holds no table that any controller published.
    pub has_no_table: bool,
    /// The subset that it was given.
    pub subset: Option<usize>,
    /// The tables that it was assigned.
    pub tables: Vec<TableId>,
    /// When the last messages to it were begun.
    messages: VecDeque<Duration>,
}

impl ProxyState {
    /// A proxy that has just attached.
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

    /// Messages begun within the window up to now; forgets older ones.
    fn recent_messages(&mut self, now: Duration, window: Duration) -> usize {
        self.messages.retain(|time| *time + window >= now);
        self.messages.len()
    }

    fn was_messaged_at(&self, now: Duration) -> bool {
        self.messages.back() == Some(&now)
    }
}

/// When a proxy attached, and as which attachment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// Counts all attachments, in their order.
    pub generation: u64,
    /// When it was.
    pub at: Duration,
}

/// The proxies that an update is for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Recipients {
    /// Those on fewer tables than this that attached after this generation.
    OnFewerTables { than: usize, attached_after: u64 },
    /// Those on a table.
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

/// The messages that an update would begin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewMessages {
    /// How many proxies would get one.
    pub count: usize,
    /// How many the proxy among them with the most has had within the window.
    pub max_recent: usize,
}

/// All attached proxies.
#[derive(Default)]
pub struct ProxySet {
    proxies: BTreeMap<ProxyId, ProxyState>,
    /// How many attachments there were.
    attachments: u64,
    by_table: BTreeMap<TableId, usize>,
}

impl ProxySet {
    /// Takes a proxy in, in place of its earlier attachment if there is one.
    pub fn attach(&mut self, proxy: ProxyId, state: ProxyState) {
        self.detach(proxy);
        self.attachments += 1;
        self.proxies.insert(proxy, ProxyState { generation: self.attachments, ..state });
    }

    /// Forgets a proxy and its tables.
    pub fn detach(&mut self, proxy: ProxyId) {
        let tables = self.proxies.remove(&proxy).map(|state| state.tables).unwrap_or_default();
        for table in tables {
            *self.by_table.entry(table).or_default() -= 1;
        }
    }

    /// Notes that a proxy was assigned a table.
    pub fn assign(&mut self, proxy: ProxyId, table: TableId) {
        if let Some(state) = self.proxies.get_mut(&proxy) {
            state.tables.push(table);
            *self.by_table.entry(table).or_default() += 1;
        }
    }

    /// An attached proxy.
    pub fn get(&self, proxy: ProxyId) -> Option<&ProxyState> {
        self.proxies.get(&proxy)
    }

    /// The generation of the newest attachment so far.
    pub fn latest_generation(&self) -> u64 {
        self.attachments
    }

    /// Requests a second that the proxies of each subset usually have.
    pub fn request_rates(&self, subsets: usize) -> Vec<f64> {
        let mut rates = vec![0.0; subsets];
        for state in self.proxies.values() {
            if let Some(subset) = state.subset {
                rates[subset] += state.request_rate;
            }
        }
        rates
    }

    /// Requests a second that a proxy usually has, on average.
    pub fn mean_request_rate(&self) -> f64 {
        let rates: f64 = self.proxies.values().map(|state| state.request_rate).sum();
        rates / self.proxies.len().max(1) as f64
    }

    /// Proxies on fewer tables than this, those with most requests first.
    pub fn on_fewer_tables(&mut self, than: usize) -> Vec<(ProxyId, &mut ProxyState)> {
        let proxies = self.proxies.iter_mut().map(|(proxy, state)| (*proxy, state));
        let mut found: Vec<_> = proxies.filter(|(_, state)| state.tables.len() < than).collect();
        found.sort_by(|(_, a), (_, b)| b.request_rate.total_cmp(&a.request_rate));
        found
    }

    /// How many proxies an update is for.
    pub fn count(&self, recipients: Recipients) -> usize {
        match recipients {
            Recipients::OnFewerTables { .. } => {
                self.proxies.values().filter(|proxy| recipients.includes(proxy)).count()
            }
            Recipients::OnTable(table) => self.by_table.get(&table).copied().unwrap_or(0),
            Recipients::Proxy(_) => 1,
        }
    }

    /// The generation of the newest attachment among these; 0 if there is none.
    pub fn newest_generation(&self, recipients: Recipients) -> u64 {
        let included = self.proxies.values().filter(|proxy| recipients.includes(proxy));
        included.map(|proxy| proxy.generation).max().unwrap_or(0)
    }

    /// The attachments of these.
    pub fn attachments(&self, recipients: Recipients) -> Vec<Attachment> {
        let included = self.proxies.values().filter(|proxy| recipients.includes(proxy));
        included.map(|proxy| Attachment { generation: proxy.generation, at: proxy.attached_at }).collect()
    }

    /// The messages that an update at this time would begin.
    pub fn new_messages(&mut self, recipients: Recipients, now: Duration, window: Duration) -> NewMessages {
        let not_messaged = self.included_mut(recipients).filter(|proxy| !proxy.was_messaged_at(now));
        not_messaged.fold(NewMessages::default(), |messages, proxy| NewMessages {
            count: messages.count + 1,
            max_recent: messages.max_recent.max(proxy.recent_messages(now, window)),
        })
    }

    /// Notes that a message to each of these was begun at this time.
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
