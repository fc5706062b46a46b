//! The controller: takes inputs in, and gives out the actions that follow.
//!
//! A host makes one [`Controller`] an instance and calls the method named for what happened
//! (`update_endpoints`, `health_check_finished`, `attach_proxy`, ...), which only updates state. It then
//! pulls [`Controller::next_action`] until there is none, and comes back at [`Controller::next_due`]. Once a
//! tick, and at news that cannot wait, a plan of updates is made; updates are sent from its top as far as the
//! rate limit allows, and the next plan replaces what is left. What each mechanism decides stands in its own
//! module.

mod applying;
mod evaluation;
mod inputs;
mod planning;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::health::HealthCheckSchedule;
use crate::load_shedding::ClassAdmission;
use crate::proxies::ProxySet;
use crate::publish::{PendingUpdate, Priority, Update};
use crate::random::Random;
use crate::rate_limit::{NoCapacity, UpdateChannel};
use crate::slow_start::Stability;
use crate::state::{EndpointState, RoutingTable};
use crate::subsets::{Spillover, SubsetLayout};
use crate::thresholds::TICK_INTERVAL;
use crate::{Action, EndpointId, Settings};

/// What the controller believes, wants and has published, to be shown and persisted.
#[derive(Clone, Copy)]
pub struct ControllerState<'a> {
    /// Every endpoint that was ever listed.
    pub endpoints: &'a BTreeMap<EndpointId, EndpointState>,
    /// All tables; a [`crate::TableId`] is an index into them.
    pub tables: &'a [RoutingTable],
    /// What is admitted, by class and table.
    pub admissions: &'a [ClassAdmission],
}

/// One controller instance: all state that decisions rest on.
pub struct Controller {
    settings: Settings,
    random: Random,
    layout: SubsetLayout,
    tables: Vec<RoutingTable>,
    /// Sorted by value density, least first.
    admissions: Vec<ClassAdmission>,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    proxies: ProxySet,
    channel: UpdateChannel,
    health_checks: HealthCheckSchedule,
    stability: Stability,
    /// By subset.
    spillover: Vec<Spillover>,
    /// The endpoint list changed before this start.
    list_is_not_first: bool,
    /// Actions that need no capacity in the channel.
    ready: VecDeque<Action>,
    /// What is still to be sent of the last plan.
    pending: VecDeque<PendingUpdate>,
    /// Whether something happened that asks for another plan.
    plan_is_stale: bool,
    /// Whether the next plan includes common updates.
    publishing: bool,
    next_tick: Duration,
    next_evaluation: Duration,
    /// When common updates may go out again.
    next_publication: Duration,
    /// Admission rates rest until then, for reports to tell what they changed.
    next_admission_change: Duration,
}

impl Controller {
    /// An instance that knows nothing yet. Two with the same settings, seed and inputs act alike.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller {
            settings,
            random: Random::new(seed),
            layout: SubsetLayout::default(),
            tables: Vec::new(),
            admissions: Vec::new(),
            endpoints: BTreeMap::new(),
            proxies: ProxySet::default(),
            channel: UpdateChannel::default(),
            health_checks: HealthCheckSchedule::default(),
            stability: Stability::default(),
            spillover: Vec::new(),
            list_is_not_first: false,
            ready: VecDeque::new(),
            pending: VecDeque::new(),
            plan_is_stale: false,
            publishing: false,
            next_tick: Duration::ZERO,
            next_evaluation: Duration::ZERO,
            next_publication: Duration::ZERO,
            next_admission_change: Duration::ZERO,
        }
    }

    /// What is believed of each endpoint, the tables as desired and published, and what is admitted.
    #[must_use]
    pub fn state(&self) -> ControllerState<'_> {
        ControllerState { endpoints: &self.endpoints, tables: &self.tables, admissions: &self.admissions }
    }
}

/// Outputs.
impl Controller {
    /// When [`Controller::next_action`] has to be called at the latest.
    #[must_use]
    pub fn next_due(&self) -> Duration {
        self.health_checks.next_due().map_or(self.next_tick, |due| self.next_tick.min(due))
    }

    /// The next action that is due, until there is none.
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
                Err(obstacle) => self.keep_pending_behind(pending, obstacle),
            }
        }
        self.ready.pop_front()
    }

    /// All proxies that an ejection is for may have been told since the plan was made.
    fn is_already_ejected(&self, update: Update) -> bool {
        let Update::Eject(endpoint) = update else { return false };
        self.endpoints[&endpoint].ejected_up_to_generation >= self.newest_unassigned()
    }

    /// Updates are sent from the top: what ranks no higher than one that had to wait waits as well, but for
    /// proxies that need a table. A table that is urgent itself keeps only other tables company: what is owed
    /// later would else fill the queue in its place, as it is shorter.
    fn keep_pending_behind(&mut self, waiting: PendingUpdate, obstacle: NoCapacity) {
        let is_assignment = |update: Update| matches!(update, Update::AssignTable(..));
        let queue_is_full = obstacle == NoCapacity::InQueue && waiting.priority == Priority::Drain;
        let one_proxy_waits = is_assignment(waiting.update) && !queue_is_full;
        self.pending.retain(|pending| {
            one_proxy_waits || pending.priority > waiting.priority || is_assignment(pending.update)
        });
    }

    fn advance_time(&mut self, now: Duration) {
        let started = self.health_checks.start_due(now, &mut self.endpoints, &mut self.random);
        self.ready.extend(started.into_iter().map(Action::CheckHealth));
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
        self.ready.push_back(Action::RaiseEvent { endpoint, text });
    }
}
