//! Drives the decisions: other modules forward inputs to them (`inputs`, `sessions`, `state_recovery`); here their
//! actions are executed until none is left, and the resulting effects are returned.

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

/// The lower limit of the time between two readings of a proxy's counters.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Timers of the fleet controller; the decisions keep their own. Timers of the same time expire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Check that the oldest outstanding command of a connection has not timed out.
    ResponseTimeout { proxy: ProxyId, connection: u64 },
    /// Read the counters of a proxy.
    CollectStatistics { proxy: ProxyId, connection: u64 },
}

/// Attempts at an endpoint that were reported since the start.
#[derive(Clone, Copy, Default)]
pub(crate) struct EndpointCounters {
    pub attempts: u64,
    pub failed: u64,
    /// The sum of the latencies of attempts that did not fail, in milliseconds.
    pub latency_sum_ms: f64,
}

/// Counters for `show info`.
#[derive(Clone, Copy, Default)]
pub(crate) struct Totals {
    pub actions: u64,
    pub messages: u64,
    pub entries: u64,
    pub health_checks: u64,
    /// The maximum number of queued entries since the counters were cleared.
    pub peak_queued_entries: usize,
}

/// The state of a controller around its decisions. Its methods take times of one monotonic clock, which is 0 at the
/// start of the controller. They do not block.
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
    /// The requests of each class since the start.
    pub(crate) request_counts: Vec<u64>,
    pub(crate) totals: Totals,
    /// The time from a decision to the last response to its message, in microseconds.
    pub(crate) acknowledgement_latency: Histogram<u64>,
    pub(crate) max_queued_entries: f64,
    /// The number of the current update batch: the actions of one call of `run_actions`, and the inputs since the
    /// last call that had any.
    pub(crate) batch: u64,
    pub(crate) planner: Option<Planner>,
    pub(crate) files: FileDistribution,
    pub(crate) recorder: Option<StateRecorder>,
    pub(crate) state_store_status: StateStoreStatus,
    /// State from before the start, until it is applied with the first endpoint list.
    pub(crate) recovered_state: Option<RecoveredState>,
    /// Proxies for which there may be a message to send.
    pub(crate) update_queue: BTreeSet<ProxyId>,
    /// The attached proxies to which each table was assigned.
    pub(crate) attached_by_table: BTreeMap<TableId, BTreeSet<ProxyId>>,
    pub(crate) effects: VecDeque<Effect>,
    pub(crate) timers: BTreeSet<(Duration, Timer)>,
    pub(crate) rng: WyRand,
    /// The time between two readings of a proxy's counters.
    pub(crate) report_period: Duration,
    pub(crate) response_timeout: Duration,
    pub(crate) reconnect_backoff: BackoffRange,
    pub(crate) epoch: u64,
}

impl FleetController {
    /// Creates a controller whose first effects connect to each proxy. `epoch` is the wall clock at the start in
    /// milliseconds. It is the fencing token by which proxies refuse earlier controllers and earlier connections of
    /// this one, and the base of the times of saved state.
    ///
    /// # Panics
    /// Does not panic: the bounds of the histogram are valid constants.
    #[must_use]
    pub fn new(config: &DaemonConfig, epoch: u64) -> Self {
        let settings = &config.settings;
        let retained_snapshots = config.table_files.as_ref().map_or(0, |files| files.retained_snapshots);
        let file_readers = config.proxies.iter().enumerate().filter(|(_, proxy)| proxy.reads_files);
        let file_readers = file_readers.map(|(proxy, config)| (proxy, config.name.clone()));
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
            files: FileDistribution::new(retained_snapshots, file_readers),
            recorder: None,
            state_store_status: StateStoreStatus::default(),
            recovered_state: None,
            update_queue: BTreeSet::new(),
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

    /// Returns the latest time for the next call of [`FleetController::run_actions`].
    #[must_use]
    pub fn next_due(&self) -> Duration {
        if !self.update_queue.is_empty() {
            return self.now;
        }
        let timers = self.timers.first().map_or(Duration::MAX, |(time, _)| *time);
        let plan = self.planner.as_ref().map_or(Duration::MAX, Planner::next_due);
        let recording = self.recorder.as_ref().map_or(Duration::MAX, StateRecorder::next_due);
        self.controller.next_due().min(timers).min(plan).min(self.files.next_due()).min(recording)
    }

    /// Returns the number of entries that are pending or in flight, summed over all proxies that take commands, plus
    /// those of the next and the current snapshot of table files.
    #[must_use]
    pub fn queued_entries(&self) -> usize {
        let of_sessions: usize = self.sessions.iter().map(|session| session.ledger.queued_entries()).sum();
        of_sessions + self.files.queued_entries()
    }

    /// Resets the latencies of updates and snapshots and the maximum of queued entries, for `clear counters`.
    pub fn clear_counters(&mut self) {
        self.acknowledgement_latency.reset();
        self.files.apply_latency.reset();
        self.totals.peak_queued_entries = 0;
    }

    /// Expires timers, executes the actions of the decisions until none is left, and returns the effects for the
    /// host. The effects include those of inputs since the last call. Messages to many proxies are spread over
    /// several calls; [`FleetController::next_due`] then returns the current time.
    pub fn run_actions(&mut self, now: Duration) -> Vec<Effect> {
        self.now = now;
        self.expire_timers(now);
        let endpoints = self.controller.state().endpoints;
        let task = self.planner.as_mut().and_then(|planner| planner.next_task(now, endpoints));
        self.effects.extend(task.map(Effect::Solve));
        // The decisions limit updates by the number of queued entries, so it is set before their actions are requested.
        self.controller.set_queued_entries(self.queued_entries());
        let actions_before = self.totals.actions;
        while let Some(action) = self.controller.next_action(now) {
            self.totals.actions += 1;
            self.execute(now, action);
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

    /// Returns the time and the update batch of a decision made now.
    pub(crate) fn decided_at(&self, now: Duration) -> DecidedAt {
        DecidedAt { time: now, batch: self.batch }
    }

    /// Returns the number of attached proxies to which a table was assigned.
    pub(crate) fn attached_count(&self, table: TableId) -> usize {
        self.attached_by_table.get(&table).map_or(0, BTreeSet::len)
    }

    /// Returns the number of attached proxies.
    pub(crate) fn attached_total(&self) -> usize {
        self.sessions.iter().filter(|session| session.is_attached()).count()
    }
}
