//! The controller: records inputs and returns the actions that follow from them.
//!
//! A host creates one [`Controller`] per instance and calls the method for each input (`update_endpoints`,
//! `health_check_finished`, `attach_proxy`, ...), which only updates state. It then calls
//! [`Controller::next_action`] until that returns `None`, and again at [`Controller::next_due`] at the
//! latest. Once per tick, and after an input that cannot wait, a plan of updates is made. Updates are sent
//! from the top of the plan as far as the rate limit allows; the next plan replaces the rest. The decisions
//! of each mechanism are in its own module.

mod applying;
mod evaluation;
mod inputs;
mod planning;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::earlier_ejections::EarlierEjections;
use crate::health::HealthCheckSchedule;
use crate::load_shedding::ClassAdmission;
use crate::message_pacing::MessagePacing;
use crate::proxies::ProxySet;
use crate::publish::{PendingUpdate, Priority, Update};
use crate::random::Random;
use crate::rate_limit::{NoCapacity, UpdateChannel};
use crate::slow_start::Stability;
use crate::state::{EndpointState, RoutingTable};
use crate::subsets::{Spillover, SubsetLayout};
use crate::thresholds::TICK_INTERVAL;
use crate::{Action, EndpointId, Settings};

/// A view of the controller's state, to be displayed and persisted.
#[derive(Clone, Copy)]
pub struct ControllerState<'a> {
    /// Every endpoint that was listed since the start or recovered from persisted state.
    pub endpoints: &'a BTreeMap<EndpointId, EndpointState>,
    /// All tables; a [`crate::TableId`] is an index into them.
    pub tables: &'a [RoutingTable],
    /// The admission of each class at each table.
    pub admissions: &'a [ClassAdmission],
}

/// A controller instance with all state that its decisions depend on.
pub struct Controller {
    settings: Settings,
    random: Random,
    layout: SubsetLayout,
    tables: Vec<RoutingTable>,
    /// The admission of each class at each table, sorted by value density, lowest first.
    admissions: Vec<ClassAdmission>,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    earlier_ejections: EarlierEjections,
    proxies: ProxySet,
    channel: UpdateChannel,
    health_checks: HealthCheckSchedule,
    stability: Stability,
    /// The spillover of each subset.
    spillover: Vec<Spillover>,
    /// True if the first endpoint list was not version 0, so that the list had changed before this start.
    list_changed_before_start: bool,
    /// Actions that need no capacity in the channel.
    ready_actions: VecDeque<Action>,
    /// The updates of the last plan that are still to be sent.
    pending: VecDeque<PendingUpdate>,
    /// Updates of the last plan that wait to share a message with others.
    deferred: VecDeque<PendingUpdate>,
    /// The time at which the first of these may wait no longer.
    deferred_due: Option<Duration>,
    /// True if a new plan is needed.
    plan_is_stale: bool,
    /// True if the next plan includes common updates.
    publishing: bool,
    next_tick: Duration,
    next_evaluation: Duration,
    /// The time from which common updates may be sent again.
    next_publication: Duration,
    /// The end of the cool-down after a change of admission rates, until which reports may not reflect it yet.
    next_admission_change: Duration,
}

impl Controller {
    /// Returns an instance without endpoints and proxies. Instances with the same settings, seed and inputs
    /// return the same actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller {
            channel: UpdateChannel::new(MessagePacing::new(&settings)),
            settings,
            random: Random::new(seed),
            layout: SubsetLayout::default(),
            tables: Vec::new(),
            admissions: Vec::new(),
            endpoints: BTreeMap::new(),
            earlier_ejections: EarlierEjections::default(),
            proxies: ProxySet::default(),
            health_checks: HealthCheckSchedule::default(),
            stability: Stability::default(),
            spillover: Vec::new(),
            list_changed_before_start: false,
            ready_actions: VecDeque::new(),
            pending: VecDeque::new(),
            deferred: VecDeque::new(),
            deferred_due: None,
            plan_is_stale: false,
            publishing: false,
            next_tick: Duration::ZERO,
            next_evaluation: Duration::ZERO,
            next_publication: Duration::ZERO,
            next_admission_change: Duration::ZERO,
        }
    }

    /// Returns a view of the endpoints, the tables and the admissions.
    #[must_use]
    pub fn state(&self) -> ControllerState<'_> {
        ControllerState { endpoints: &self.endpoints, tables: &self.tables, admissions: &self.admissions }
    }
}

/// Outputs.
impl Controller {
    /// Returns the time at which [`Controller::next_action`] has to be called at the latest.
    #[must_use]
    pub fn next_due(&self) -> Duration {
        let others = [self.health_checks.next_due(), self.deferred_due];
        others.into_iter().flatten().fold(self.next_tick, Duration::min)
    }

    /// Returns true if a proxy may still have ejected this endpoint by order of an earlier controller. If proxies
    /// keep their ejections, the host restores such endpoints once per stream, with their entries.
    #[must_use]
    pub fn may_be_ejected(&self, endpoint: EndpointId) -> bool {
        self.earlier_ejections.contains(endpoint)
    }

    /// Returns the next action that is due at `now`; `None` if there is none left. `now` must not decrease.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        self.advance_time(now);
        if std::mem::take(&mut self.plan_is_stale) {
            self.plan(now);
        }
        while let Some(pending) = self.pending.pop_front() {
            if self.is_already_ejected(pending.update) {
                continue;
            }
            match self.apply(now, pending) {
                Ok(action) => return Some(action),
                Err(NoCapacity::InMessages { due_at }) => self.defer(pending, due_at),
                Err(NoCapacity::InQueue) => self.drop_updates_behind(pending),
                Err(NoCapacity::ForUpdate) => {}
            }
        }
        self.next_deferred(now).or_else(|| self.ready_actions.pop_front())
    }

    /// Keeps an update that waits until `due_at` at most to share a message with others. A common update stays
    /// in all plans until it is sent, so that it can share the message of a drain.
    fn defer(&mut self, pending: PendingUpdate, due_at: Duration) {
        self.deferred.push_back(pending);
        if pending.priority == Priority::Common {
            self.publishing = true;
        } else {
            self.deferred_due = Some(self.deferred_due.map_or(due_at, |due| due.min(due_at)));
        }
    }

    /// Returns the next deferred update whose recipients all get a message in this batch anyway, and drops the
    /// others, as the next plan contains them again.
    fn next_deferred(&mut self, now: Duration) -> Option<Action> {
        while let Some(pending) = self.deferred.pop_front() {
            if !self.is_already_ejected(pending.update)
                && let Ok(action) = self.apply(now, pending)
            {
                return Some(action);
            }
        }
        None
    }

    /// Returns true if the update is an ejection that all proxies concerned have been sent since the plan was
    /// made.
    fn is_already_ejected(&self, update: Update) -> bool {
        let Update::Eject(endpoint) = update else { return false };
        self.endpoints[&endpoint].ejected_up_to_generation >= self.newest_unassigned_generation()
    }

    /// Drops from the plan the updates that must not overtake one for which the queue had no capacity. Updates
    /// of higher priority and assignments always stay. All others stay as well if the waiting update is an
    /// assignment, as only its proxy waits, unless it is urgent: shorter updates that became pending later would
    /// then fill the queue first.
    fn drop_updates_behind(&mut self, waiting: PendingUpdate) {
        let is_assignment = |update: Update| matches!(update, Update::AssignTable(..));
        let only_one_proxy_waits = is_assignment(waiting.update) && waiting.priority != Priority::Drain;
        self.pending.retain(|pending| {
            only_one_proxy_waits || pending.priority > waiting.priority || is_assignment(pending.update)
        });
    }

    /// Starts health checks, evaluates reports and requests plans that are due at `now`.
    fn advance_time(&mut self, now: Duration) {
        if self.deferred_due.is_some_and(|due| due <= now) {
            self.deferred_due = None;
            self.plan_is_stale = true;
        }
        let started = self.health_checks.start_due(now, &mut self.endpoints, &mut self.random);
        self.ready_actions.extend(started.into_iter().map(Action::CheckHealth));
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.plan_is_stale = true;
        if now >= self.next_evaluation {
            self.next_evaluation = now + self.settings.fleet.report_period.max(TICK_INTERVAL);
            self.evaluate_reports(now);
        }
        self.publishing |= now >= self.next_publication;
    }

    fn raise_event(&mut self, endpoint: Option<EndpointId>, text: String) {
        self.ready_actions.push_back(Action::RaiseEvent { endpoint, text });
    }
}
