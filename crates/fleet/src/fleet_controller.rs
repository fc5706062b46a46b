//! Hosts the decisions: inputs go in as calls (`inputs`, `sessions`, `state_recovery`), actions are pulled until there
//! is none, and what they ask for comes out as effects. Bookkeeping only.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use lockcroft::{Controller, EndpointId, ProxyId, TableId};
use lockcroft_config::{BackoffRange, DaemonConfig};
use lockcroft_host::{NameIndex, PublishedTables};
use lockcroft_state_store::RecoveredState;
use nanorand::WyRand;

use crate::effect::Effect;
use crate::endpoint_list::EndpointList;
use crate::event_log::EventLog;
use crate::file_distribution::{FileDistribution, MAX_LATENCY_US};
use crate::planner::Planner;
use crate::proxy_ledger::DecidedAt;
use crate::proxy_session::ProxySession;
use crate::state_recorder::StateRecorder;
use crate::state_store_status::StateStoreStatus;
use crate::update_context::UpdateContext;
use crate::weight_scale::WeightScale;

/// The shortest time between two readings of a proxy's counters, whatever the settings state.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(100);

/// What falls due at a time of its own, beside the decisions' own times. Those of one time go by this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Whether the oldest command of a connection was answered.
    ResponseTimeout { proxy: ProxyId, connection: u64 },
    /// The counters of a proxy are read.
    CollectStatistics { proxy: ProxyId, connection: u64 },
}

/// Sums of the attempts that were reported of an endpoint since the start.
#[derive(Clone, Copy, Default)]
pub(crate) struct EndpointCounters {
    pub attempts: u64,
    pub failed: u64,
    /// Of those that did not fail.
    pub latency_sum_ms: f64,
}

/// Counts for `show info`.
#[derive(Clone, Copy, Default)]
pub(crate) struct Totals {
    pub actions: u64,
    pub messages: u64,
    pub entries: u64,
    pub health_checks: u64,
    pub peak_queued_entries: usize,
}

/// The controller's state beside its decisions. All its methods are called from one thread, with times of one
/// monotonic clock that begins at the start.
pub struct FleetController {
    pub(crate) controller: Controller,
    pub(crate) names: NameIndex,
    pub(crate) endpoints: EndpointList,
    pub(crate) published: PublishedTables,
    pub(crate) sessions: Vec<ProxySession>,
    pub(crate) events: EventLog,
    pub(crate) weight_scale: WeightScale,
    pub(crate) name: String,
    pub(crate) now: Duration,
    pub(crate) endpoint_counters: BTreeMap<EndpointId, EndpointCounters>,
    /// Requests since the start, by class.
    pub(crate) request_counts: Vec<u64>,
    pub(crate) totals: Totals,
    /// Microseconds from a decision to the last response to its message.
    pub(crate) acknowledgement_latency: Histogram<u64>,
    pub(crate) max_queued_entries: f64,
    /// The number of the update batch: all that was decided at one time.
    pub(crate) batch: u64,
    pub(crate) planner: Option<Planner>,
    pub(crate) files: FileDistribution,
    pub(crate) recorder: Option<StateRecorder>,
    pub(crate) state_store_status: StateStoreStatus,
    /// What was known before the start, until the first list says which endpoints there are.
    pub(crate) recovered_state: Option<RecoveredState>,
    /// Proxies that a message may have to go to.
    pub(crate) to_update: BTreeSet<ProxyId>,
    /// Attached proxies by the tables that they were assigned.
    pub(crate) attached_by_table: BTreeMap<TableId, BTreeSet<ProxyId>>,
    pub(crate) effects: VecDeque<Effect>,
    pub(crate) timers: BTreeSet<(Duration, Timer)>,
    pub(crate) rng: WyRand,
    pub(crate) report_period: Duration,
    pub(crate) response_timeout: Duration,
    pub(crate) reconnect_backoff: BackoffRange,
    pub(crate) epoch: u64,
}

impl FleetController {
    /// Begins with a connection to each proxy. The epoch fences off controllers that came before, and earlier
    /// connections of this one: milliseconds of the wall clock at the start will do.
    ///
    /// # Panics
    /// Never: the histogram's bounds are constants.
    #[must_use]
    pub fn new(config: &DaemonConfig, epoch: u64) -> Self {
        let settings = &config.settings;
        let retained_snapshots = config.table_files.as_ref().map_or(0, |files| files.retained_snapshots);
        let readers = config.proxies.iter().enumerate().filter(|(_, proxy)| proxy.reads_files);
        let readers = readers.map(|(proxy, config)| (proxy, config.name.clone()));
        let connect = |proxy| Effect::Connect { proxy, connection: 0, after: Duration::ZERO };
        FleetController {
            controller: Controller::new(settings.clone(), config.seed),
            names: config.names.clone(),
            endpoints: EndpointList::default(),
            published: PublishedTables::default(),
            sessions: config.proxies.iter().cloned().map(ProxySession::new).collect(),
            events: EventLog::default(),
            weight_scale: WeightScale { max_weight: config.max_weight() },
            name: config.name.clone(),
            now: Duration::ZERO,
            endpoint_counters: BTreeMap::new(),
            request_counts: vec![0; config.names.classes.len()],
            totals: Totals::default(),
            acknowledgement_latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
                .expect("bounds are in order"),
            max_queued_entries: settings.fleet.max_queued_entries,
            batch: 1,
            planner: Planner::new(settings, config.names.zones.len()),
            files: FileDistribution::new(retained_snapshots, readers),
            recorder: None,
            state_store_status: StateStoreStatus::default(),
            recovered_state: None,
            to_update: BTreeSet::new(),
            attached_by_table: BTreeMap::new(),
            effects: (0..config.proxies.len()).map(connect).collect(),
            timers: BTreeSet::new(),
            rng: WyRand::new_seed(config.seed),
            report_period: settings.fleet.report_period.max(MIN_REPORT_PERIOD),
            response_timeout: config.response_timeout,
            reconnect_backoff: config.reconnect_backoff,
            epoch,
        }
    }

    /// When [`FleetController::run_actions`] has to be called at the latest.
    #[must_use]
    pub fn next_due(&self) -> Duration {
        if !self.to_update.is_empty() {
            return self.now;
        }
        let timers = self.timers.first().map_or(Duration::MAX, |(time, _)| *time);
        let plan = self.planner.as_ref().map_or(Duration::MAX, Planner::next_due);
        let recording = self.recorder.as_ref().map_or(Duration::MAX, StateRecorder::next_due);
        self.controller.next_due().min(timers).min(plan).min(self.files.next_due()).min(recording)
    }

    /// Entries that wait for all proxies, or are on their way to one.
    #[must_use]
    pub fn queued_entries(&self) -> usize {
        let at_proxies: usize = self.sessions.iter().map(|session| session.ledger.queued_entries()).sum();
        at_proxies + self.files.queued_entries()
    }

    /// Forgets the latencies of updates and the most entries that waited; the guide's `clear counters`.
    pub fn clear_counters(&mut self) {
        self.acknowledgement_latency.reset();
        self.files.apply_latency.reset();
        self.totals.peak_queued_entries = 0;
    }

    /// Pulls actions from the decisions until there is none, and gives out what is to be carried out.
    pub fn run_actions(&mut self, now: Duration) -> Vec<Effect> {
        self.now = now;
        self.expire_timers(now);
        let endpoints = self.controller.state().endpoints;
        let task = self.planner.as_mut().and_then(|planner| planner.next_task(now, endpoints));
        self.effects.extend(task.map(Effect::Solve));
        // The decisions hold updates back while too much waits, so they get the true number first.
        self.controller.set_queued_entries(self.queued_entries());
        let actions_before = self.totals.actions;
        while let Some(action) = self.controller.next_action(now) {
            self.totals.actions += 1;
            self.carry_out(now, action);
        }
        self.totals.peak_queued_entries = self.totals.peak_queued_entries.max(self.queued_entries());
        self.publish_snapshot(now);
        self.record_state(now);
        self.send_updates(now);
        if self.totals.actions > actions_before {
            self.batch += 1;
        }
        self.effects.drain(..).collect()
    }

    fn publish_snapshot(&mut self, now: Duration) {
        let context = UpdateContext {
            published: &self.published,
            endpoints: &self.endpoints,
            classes: &self.names.classes,
            weight_scale: self.weight_scale,
        };
        let publication = self.files.next_publication(now, &context);
        self.effects.extend(publication.map(Effect::PublishSnapshot));
    }

    pub(crate) fn add_event(&mut self, text: &str) {
        self.events.add(self.now, self.batch, text);
    }

    /// What is decided now belongs to the current update batch.
    pub(crate) fn decided_at(&self, now: Duration) -> DecidedAt {
        DecidedAt { time: now, batch: self.batch }
    }

    /// Attached proxies that were assigned a table.
    pub(crate) fn attached_count(&self, table: TableId) -> usize {
        self.attached_by_table.get(&table).map_or(0, BTreeSet::len)
    }

    /// All attached proxies.
    pub(crate) fn attached_total(&self) -> usize {
        self.sessions.iter().filter(|session| session.is_attached()).count()
    }
}
