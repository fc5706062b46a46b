//! All decisions of lockcroft, with every table and tuned value.
//!
//! How it is called: the host makes one [`Controller`] an instance and calls the method named for what is new
//! (`listed`, `probed`, `joined`, ...), which only updates what is known. It pulls `next_decision(now)` until
//! there is none, and comes back at `next_due`. The types of the interface stand in `lib.rs`, what is read at
//! the start in `terms.rs`, what is known and its sums in `ledger.rs`.
//!
//! The design: probes move a saturating rise/fall counter; a server has its listed weight while it is up, and
//! none otherwise; one shared table for classes with the same servers; only changed lines go out; after a
//! start nothing is pushed until probes converge. Beside it stand six mechanisms:
//! 1. Evidence: what proxies met at a server moves its counter too, up and down.
//! 2. Relief: servers that miss the contract time drop in weight, first for classes with more choice.
//! 3. Return: a started server begins with the stated cold share; in an uneasy part only if it tells room.
//! 4. Pace: one budget for the queue and the message limit, with room kept for drains.
//! 5. Admission: where a class's servers are late as a whole, the least earnings per work stay out.
//! 6. Parts: a fleet too large for one table is cut into parts, each run alone; full ones lean on others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;
use std::time::Duration;

use crate::chance::Chance;
use crate::ledger::{
    AttemptStats, ClassAdmission, EndpointState, ProxyState, Recipients, RoutingTable, Snapshot,
    UpdateChannel,
};
use crate::{
    Action, ClassId, ClassSettings, EndpointId, EndpointRecord, EndpointStatus, HealthCheckOutcome, ProxyId,
    Settings, TableId, ZoneId,
};

// The design's figures, from its page.
const RISE: u32 = 2;
const FALL: u32 = 3;
const TOP: u32 = RISE + FALL - 1;
const PROBE_STEADY: Duration = Duration::from_millis(1000);
const PROBE_BETWEEN: Duration = Duration::from_millis(500);
const PROBE_DOWN: Duration = Duration::from_millis(2000);
pub const PROBE_WAIT: Duration = Duration::from_millis(500);
const GATHER: Duration = Duration::from_millis(200);
const RESEND: Duration = Duration::from_secs(5);
const HOLD_LEAST: Duration = Duration::from_secs(5);
const HOLD_MOST: Duration = Duration::from_secs(10);

/// The part of the grace after which a hold gives way to it.
const GIVE_WAY: f64 = 0.3;
/// A standing table may be drawn from as few servers: with so many kept out, one may have no other.
const POOL: usize = 3;
/// Probes are spread by this share of their interval, so that they don't march in step.
const JITTER: f64 = 0.1;
/// Weights and levels change by one of so many steps.
const GRID: f64 = 20.0;
/// Share of failed tries from which a server is taken to be down, and below which it is well.
const FAILING: f64 = 0.85;
const SOUND: f64 = 0.2;
/// Mean time over contract time from which servers count as late, and below which there is room.
const LATE: f64 = 0.4;
const ROOM: f64 = 0.28;
/// Shares of a server's cores in use: from here on it will be late, and up to this all may come in.
const BUSY: f64 = 0.95;
const COMFORT: f64 = 0.7;
/// For its table a server is at most so late: one slow beyond measure must not close all others.
const LATE_MOST: f64 = 1.1;
/// A server is late on its own only if it is so much worse than the fleet.
const WORSE: f64 = 1.6;
/// One step of relief takes at most this much, one step back gives so much.
const RELIEF_DROP: f64 = 0.7;
const RELIEF_BACK: f64 = 0.04;
const RELIEF_LEAST: f64 = 0.3;
/// What one cut leaves at least of a level, how it grows back in one step, and what is always left.
const SHED_STEP: f64 = 0.6;
const SHED_BACK: f64 = 2.0;
const ALWAYS_LEFT: f64 = 0.4;
/// This share of what reports told of a server is kept each report period, and of what came.
const FADE: f64 = 0.3;
const KEEP: f64 = 0.9;
/// Reports tell of a change after so many report periods and the way of a message.
const SETTLE: f64 = 1.5;
/// The fleet stays uneasy for this part of the time in which a server warms up.
const UNEASY: f64 = 0.5;
/// A cold server that is less than full by its own word has so much of its share while its part is uneasy;
/// where nothing is heard of that part, from this part of its warm-up on.
const GROWN: f64 = 0.5;
const WARY: f64 = 0.5;
/// Shares of the limits on queue and messages that common changes, bindings and drains may fill.
const COMMON: f64 = 0.5;
const BINDING: f64 = 0.75;
const DRAINING: f64 = 0.95;
/// One table for all does not fit a fleet if laying it at every proxy takes more than this share of the
/// queue. Then the proxies of a part may open so much of the connections that a server accepts, and so
/// many share a table at least.
const CROWDED: f64 = 0.2;
const CROWD: f64 = 0.1;
const SHARED: f64 = 5.0;
/// A part takes proxies of its zone up to this multiple of its fair load. It looks to other zones while it
/// is weaker than those beside it by so much, and a table of which so little is left is filled at once.
const SPILL: f64 = 1.1;
const WEAK: f64 = 0.4;
/// The channel is taken to be so much slower than stated, as on bad days it is, and so much for drains: a
/// wave of them would else wait for what may never be true. Where marks are answered, those tell.
const SLOWEST: f64 = 8.0;
const SLOW: f64 = 4.0;

impl EndpointState {
    fn late(&self, contract: f64) -> f64 {
        let busy = self.load.is_some_and(|load| load > BUSY);
        self.recent.lateness(contract).max(if busy { WORSE * LATE } else { 0.0 })
    }

    pub fn is_up(&self) -> bool {
        self.health_counter.is_some_and(|counter| counter >= RISE)
    }

    /// So many results come in at once; the first one decides directly.
    fn moved(&mut self, by: i32) {
        self.health_counter = match self.health_counter {
            None if by == 0 => None,
            None => Some(if by > 0 { TOP } else { 0 }),
            Some(counter) => Some(counter.saturating_add_signed(by).min(TOP)),
        };
    }

    /// Whether proxies must not send to it, whatever tables they hold. While some hold tables of before,
    /// a cold server would get all of its weight there: the hold keeps it out.
    fn kept_out(&self, now: Duration, holding: bool) -> bool {
        self.is_not_ready() || holding && self.is_warming_up(now)
    }

    /// The share of its work that it can surely do, growing evenly from the cold share.
    pub fn slow_start_factor(&self, now: Duration, cold_share: f64) -> f64 {
        let left = self.warmed_up_at.saturating_sub(now).as_secs_f64();
        let all = (self.warmed_up_at - self.started_at).as_secs_f64().max(1e-6);
        1.0 - (1.0 - cold_share) * left / all
    }
}

/// One order of a plan. It is sent if this part of the limits on queue and messages has room for it.
struct Step(f64, Order);

enum Order {
    Withdraw(EndpointId, bool),
    Weigh(TableId, EndpointId),
    Admit(usize, f64),
    Bind(TableId, ProxyId),
}

#[derive(Default)]
pub struct Controller {
    settings: Settings,
    chance: Chance,
    /// One a part and set of classes, part by part.
    tables: Vec<RoutingTable>,
    parts: usize,
    /// So many parts lie beside each other, each in one of `places`; so many tables make a part.
    row: usize,
    each: usize,
    places: usize,
    /// The least earnings per contract time first.
    gates: Vec<ClassAdmission>,
    outdated: bool,
    servers: BTreeMap<EndpointId, EndpointState>,
    channel: UpdateChannel,
    /// Times at which a probe is due or lost; those that others took the place of are passed over.
    due: BTreeSet<(Duration, EndpointId)>,
    ready: VecDeque<Action>,
    /// The last plan, as far as it is still to be sent, and whether there is news that asks for another.
    steps: VecDeque<Step>,
    news: bool,
    /// Levels rest until then, for reports to tell what they changed.
    next_step: Duration,
    /// By part: started servers are not safe before. Proxies that fail elsewhere, shun what they could
    /// not reach, or come back as levels rise bring all to a started server, however small its weight.
    uneasy_until: Vec<Duration>,
    /// By part: the share of its visits that its own servers get, and the part beside it that gets the rest.
    home: Vec<(f64, usize)>,
    /// The one timer, and what hangs on it.
    next_beat: Duration,
    next_review: Duration,
    next_push: Duration,
    /// The next plan takes common changes in.
    pushing: bool,
}

impl Controller {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Controller { chance: Chance::new(seed), settings, ..Controller::default() }
    }

    /// Cuts the fleet into parts if it does not fit one table, and lays out the tables of each part.
    fn lay_out(&mut self, servers: usize) {
        let settings = &self.settings;
        let (proxies, pilots) = (settings.fleet.proxies.unwrap_or(0.0), settings.controllers);
        let crowded = servers as f64 * proxies / pilots / settings.fleet.max_queued_entries;
        let uncrowded = proxies / (CROWD * settings.fleet.min_endpoint_connections);
        let parts = uncrowded.min(proxies / pilots / SHARED) as usize;
        let only = |class: &ClassSettings| [class.only_zones.clone(), class.only_machine_types.clone()];
        let classes: Vec<[Option<Vec<usize>>; 2]> = settings.classes.iter().map(only).collect();
        // Tables of each zone, where plans are made for them, lie as parts do.
        let by_zone = settings.solver.by_zone;
        self.row = if by_zone || crowded > CROWDED { settings.zones.len().max(1) } else { 1 };
        self.places = if by_zone || classes.iter().all(|only| only[0].is_none()) { self.row } else { 1 };
        self.parts = if crowded > CROWDED { parts.max(self.row) } else { self.row };
        (self.uneasy_until, self.home) = (vec![Duration::ZERO; self.parts], vec![(1.0, 0); self.parts]);
        for part in 0..self.parts {
            for (class, only) in classes.iter().enumerate() {
                // Classes that may use the same servers share a table: each line and binding costs once.
                let alike = |table: &RoutingTable| table.subset == part && table.only == *only;
                let table = self.tables.iter().position(alike).unwrap_or(self.tables.len());
                if table == self.tables.len() {
                    self.tables.push(RoutingTable {
                        subset: part,
                        only: only.clone(),
                        flexible_fraction: 1.0,
                        ..RoutingTable::default()
                    });
                }
                self.gates.push(ClassAdmission::new(&settings.classes[class], class, table));
            }
        }
        self.each = self.tables.len() / self.parts;
        self.gates
            .sort_by(|a, b| (a.value / a.latency_objective).total_cmp(&(b.value / b.latency_objective)));
    }

    /// The list of servers is at this version; `full` says that the entries are all of it.
    pub fn update_endpoints(&mut self, now: Duration, full: bool, version: u64, entries: &[EndpointRecord]) {
        self.outdated |= self.servers.is_empty() && version > 0;
        self.news = true;
        // Where only draining binds, a list that calls servers gone takes nothing from them.
        let binds = !self.settings.rules.only_draining_binds;
        let here: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        let gone = |server: &EndpointId| full && binds && !here.contains(server);
        for (_, known) in self.servers.iter_mut().filter(|(server, _)| gone(server)) {
            known.record.status = EndpointStatus::Removed;
        }
        if self.tables.is_empty() && !entries.is_empty() {
            self.lay_out(entries.len());
        }
        // Dealt to the parts of their zone like cards, so that each has its share of every kind.
        let known = |entry: &&EndpointRecord| self.servers.contains_key(&entry.endpoint);
        let unknown = |entry: &&EndpointRecord| entry.status != EndpointStatus::Removed && !known(entry);
        let mut new: Vec<EndpointRecord> = entries.iter().filter(unknown).copied().collect();
        let place = |listing: &EndpointRecord| (listing.machine_type, listing.zone);
        new.sort_by_key(|entry| (place(entry), entry.endpoint));
        for listing in new {
            let mut dealt = vec![(0, 0); self.parts];
            for known in self.servers.values().filter(|known| !known.is_not_ready()) {
                let (alike, all) = &mut dealt[known.subset];
                (*alike, *all) = (*alike + usize::from(place(&known.record) == place(&listing)), *all + 1);
            }
            let near = (0..self.parts).filter(|part| part % self.places == listing.zone % self.places);
            let part = near.min_by_key(|part| dealt[*part]).unwrap_or(0);
            let new = EndpointState {
                subset: part,
                record: listing,
                weight_factor: 1.0,
                next_check_at: Duration::MAX,
                ..EndpointState::default()
            };
            self.servers.insert(listing.endpoint, new);
        }
        let (within, settle, probes) =
            (self.settings.rules.slow_start_window, self.settle(), self.settings.health_checks_allowed);
        for entry in entries {
            let known = self
                .servers
                .get_mut(&entry.endpoint)
                .filter(|_| binds || entry.status != EndpointStatus::Removed);
            let Some(known) = known else { continue };
            let fresh = known.next_check_at == Duration::MAX || known.is_not_ready();
            known.record = *entry;
            let age = entry.age.unwrap_or(within);
            let warm_at = (now + within).saturating_sub(age);
            // Repeated or older news of a start changes nothing.
            let started = warm_at > now && warm_at > known.warmed_up_at;
            if started {
                (known.started_at, known.warmed_up_at) = (now.saturating_sub(age), warm_at);
            }
            // A new process has a health of its own. Where probes are not allowed, all have passed one.
            if started || fresh && !known.is_not_ready() {
                known.health_counter = (!probes).then_some(TOP);
                (known.unevaluated, known.recent) = (AttemptStats::default(), AttemptStats::default());
                (known.reports_valid_from, known.outlier_until) = (now + settle, Duration::ZERO);
                known.next_check_at = now + GATHER.mul_f64(1.0 - self.chance.draw());
                self.due.extend(probes.then_some((known.next_check_at, entry.endpoint)));
            }
        }
    }

    pub fn health_check_finished(
        &mut self,
        now: Duration,
        server: EndpointId,
        finding: HealthCheckOutcome,
        took: Duration,
    ) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        let by = match finding {
            HealthCheckOutcome::Passed(load) => {
                known.load = load;
                i32::from(now >= known.outlier_until)
            }
            // It is too full to tell: what it told before would look like room.
            HealthCheckOutcome::Rejected => {
                known.load = known.load.map(|_| 1.0);
                0
            }
            HealthCheckOutcome::AddressChanged => 0,
            HealthCheckOutcome::Failed | HealthCheckOutcome::Refused => -1,
        };
        // It ends the probe that is out, not one before, within the wait: what comes later was lost then.
        let out = |sent: Duration| sent + took <= now && now < sent + PROBE_WAIT;
        if known.check_started_at.is_some_and(out) {
            self.probe_ended(now, server, by);
        }
    }

    /// What proxies met at a server: `took` is the mean time of the tries that were answered.
    pub fn record_attempts(
        &mut self,
        now: Duration,
        server: EndpointId,
        tries: u32,
        failed: u32,
        took: Duration,
    ) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        if now >= known.reports_valid_from {
            known.unevaluated = AttemptStats::new(tries, failed, took).over(known.unevaluated, 1.0);
        }
    }

    pub fn record_requests(&mut self, proxy: ProxyId, class: ClassId, visits: u32) {
        let part = self.channel.proxies.get(&proxy).and_then(|joined| joined.subset);
        for gate in self.gates.iter_mut().filter(|gate| gate.class == class) {
            gate.demand += if part == Some(self.tables[gate.table].subset) { f64::from(visits) } else { 0.0 };
        }
    }

    /// A proxy's stream stands. Its tables are of before; unless `fresh`, it may shun what failed it.
    pub fn attach_proxy(&mut self, proxy: ProxyId, zone: ZoneId, rate: f64, fresh: bool) {
        let part = (self.parts == 1).then_some(0);
        self.channel.join(
            proxy,
            ProxyState {
                zone,
                request_rate: rate,
                has_no_table: fresh,
                subset: part,
                ..ProxyState::default()
            },
        );
        self.news = true;
    }

    pub fn detach_proxy(&mut self, proxy: ProxyId) {
        self.channel.leave(proxy);
    }

    /// A plan made ahead has room for this share of a class's visits: no more is let in, whatever is late.
    pub fn set_planned_fraction(&mut self, class: ClassId, share: f64) {
        self.gates.iter_mut().filter(|gate| gate.class == class).for_each(|gate| gate.planned_rate = share);
    }

    /// A plan made ahead for one table: what each server has there of its listed weight, none for those not
    /// named. Where too few of them are well, all beside it stand in, as listed.
    pub fn set_planned_weights(&mut self, table: TableId, shares: BTreeMap<EndpointId, f64>) {
        if let Some(table) = self.tables.get_mut(table) {
            table.planned_weights = shares;
        }
    }

    /// What was known of a server before this start and is still good: relief, how long ago it was started,
    /// what is left of its warm-up and of a doubt. One that is gone is named: proxies may still hold it.
    pub fn recover_endpoint(
        &mut self,
        now: Duration,
        listing: EndpointRecord,
        relief: f64,
        warming: Option<(Duration, Duration)>,
        doubted: Duration,
    ) {
        let near = |part: &usize| part % self.places.max(1) == listing.zone % self.places.max(1);
        let part = (0..self.parts).find(near).unwrap_or(0);
        let Some(known) = self.servers.get_mut(&listing.endpoint) else {
            if listing.status == EndpointStatus::Removed && self.parts > 0 {
                let gone = EndpointState {
                    subset: part,
                    record: listing,
                    weight_factor: 1.0,
                    next_check_at: Duration::MAX,
                    ..EndpointState::default()
                };
                self.servers.insert(listing.endpoint, gone);
                self.news = true;
            }
            return;
        };
        known.weight_factor = known.weight_factor.min(relief.max(RELIEF_LEAST));
        known.outlier_until = known.outlier_until.max(now + doubted);
        if let Some((since, left)) = warming.filter(|(_, left)| now + *left > known.warmed_up_at) {
            (known.started_at, known.warmed_up_at) = (now.saturating_sub(since), now + left);
        }
    }

    /// A level of before this start that is still to be believed.
    pub fn recover_admission(&mut self, class: ClassId, table: TableId, level: f64) {
        let meant = |gate: &&mut ClassAdmission| gate.class == class && gate.table == table;
        self.gates
            .iter_mut()
            .filter(meant)
            .for_each(|gate| gate.rate = gate.rate.min(level.max(ALWAYS_LEFT)));
    }

    /// So many lines really wait, where the host can tell: proxies that stall take none.
    pub fn set_queued_entries(&mut self, lines: usize) {
        self.channel.queued = Some(lines as f64);
    }

    /// So many messages with so many lines went out, where the host can tell; marks among them are this one.
    pub fn record_sent(&mut self, messages: usize, lines: usize) -> f64 {
        let head = self.settings.fleet.message_overhead_entries;
        self.channel.mark(lines as f64 + messages as f64 * head)
    }

    pub fn record_acknowledged(&mut self, mark: f64, lines: usize) {
        self.channel.applied(mark, lines as f64);
    }

    /// What is believed of each server, the tables as wanted and published, and what is let in, to be shown.
    pub fn snapshot(&self) -> Snapshot<'_> {
        Snapshot { endpoints: &self.servers, tables: &self.tables, admissions: &self.gates }
    }

    pub fn next_due(&self) -> Duration {
        self.due.first().map_or(self.next_beat, |(time, _)| self.next_beat.min(*time))
    }

    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        self.pass_time(now);
        if std::mem::take(&mut self.news) {
            self.plan(now);
        }
        while let Some(Step(part, order)) = self.steps.pop_front() {
            let heard = |server: &EndpointId| self.servers[server].ejected_up_to_generation >= self.newest();
            if matches!(&order, Order::Withdraw(server, true) if heard(server)) {
                continue;
            }
            let one = matches!(order, Order::Bind(..));
            let taken = self.take(now, part, order);
            if taken.is_some() {
                return taken;
            }
            // Sent from the top: what ranks lower waits as well, but for proxies without a table.
            self.steps.retain(|step| one || step.0 > part || matches!(step.1, Order::Bind(..)));
        }
        self.ready.pop_front()
    }

    fn pass_time(&mut self, now: Duration) {
        while let Some((time, server)) = self.due.first().copied().filter(|(time, _)| *time <= now) {
            self.due.remove(&(time, server));
            let Some(known) = self.servers.get_mut(&server) else { continue };
            if known.check_started_at.is_some_and(|sent| sent + PROBE_WAIT == time) {
                self.probe_ended(now, server, -1);
            } else if known.check_started_at.is_none() && known.next_check_at == time && !known.is_not_ready()
            {
                known.check_started_at = Some(now);
                self.ready.push_back(Action::CheckHealth(server));
                self.due.insert((now + PROBE_WAIT, server));
            }
        }
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + GATHER;
        self.news = true;
        if now >= self.next_review {
            self.next_review = now + self.settings.fleet.report_period.max(GATHER);
            self.review(now);
        }
        self.pushing |= now >= self.next_push;
    }

    /// The result of the probe that is out, if one is, moves the counter and sets the next probe.
    fn probe_ended(&mut self, now: Duration, server: EndpointId, by: i32) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        let Some(sent) = known.check_started_at.take() else { return };
        known.moved(by);
        let interval = match known.health_counter {
            Some(0) => PROBE_DOWN,
            Some(TOP) => PROBE_STEADY,
            _ => PROBE_BETWEEN,
        };
        known.next_check_at = now.max(sent + interval.mul_f64(1.0 - JITTER * self.chance.draw()));
        self.due.insert((known.next_check_at, server));
    }

    /// Once a report period: what proxies met moves counters, relief and levels.
    fn review(&mut self, now: Duration) {
        let (contract, settle, probes) =
            (self.contract(), self.settle(), self.settings.health_checks_allowed);
        let mut all = vec![AttemptStats::default(); self.parts];
        for known in self.servers.values().filter(|known| known.is_up()) {
            all[known.subset] = known.unevaluated.over(all[known.subset], 1.0);
        }
        self.gates.iter_mut().for_each(|gate| gate.demand *= KEEP);
        for (server, known) in &mut self.servers {
            let seen = std::mem::take(&mut known.unevaluated);
            known.recent = seen.over(known.recent, FADE);
            let fresh = all[known.subset];
            let bearable = LATE.max(WORSE * fresh.lateness(contract));
            // Evidence, against the rest of its part: a general slump condemns nobody.
            let others = (fresh.failed - seen.failed) / (fresh.tries - seen.tries).max(1.0);
            let sound = seen.tries >= f64::from(RISE) && seen.failing() < SOUND;
            let fails = seen.failed >= f64::from(FALL) && seen.failing() > FAILING;
            if fails && known.is_up() && !known.is_not_ready() && others < SOUND {
                known.moved(-(FALL as i32));
                known.outlier_until = now + RESEND;
                // It comes back, on passing probes or where none are allowed in a while, with a small part.
                known.weight_factor = RELIEF_LEAST;
                known.reports_valid_from = known.outlier_until + settle;
                let text = format!("fails {:.0} of {:.0} tries", seen.failed, seen.tries);
                self.ready.push_back(Action::RaiseEvent { endpoint: Some(*server), text });
            } else if known.health_counter.is_some() && (sound || !probes && now >= known.outlier_until) {
                known.moved(RISE as i32);
            }
            // Relief: a slow server keeps a part that it can do, and regains the rest bit by bit.
            let (late, was) = (known.late(contract), known.weight_factor);
            let told = known.recent.tries >= f64::from(FALL);
            if told && late > bearable {
                known.weight_factor = (was * (bearable / late).max(RELIEF_DROP)).max(RELIEF_LEAST);
            } else if told && late < ROOM {
                known.weight_factor = (was + RELIEF_BACK).min(1.0);
            }
        }
        let step = now >= self.next_step;
        self.lean(now);
        self.measure();
        for (part, fresh) in all.into_iter().enumerate() {
            if step {
                self.shed(part);
            }
            let shedding = self.gates.iter().any(|g| g.rate < 1.0 && self.tables[g.table].subset == part);
            self.next_step = if shedding && step { now + settle } else { self.next_step };
            let well = fresh.tries >= 1.0 && fresh.failing() <= SOUND;
            if shedding || !well || fresh.lateness(contract) > LATE {
                self.uneasy_until[part] = now + self.settings.rules.slow_start_window.mul_f64(UNEASY);
            }
        }
    }

    /// Admission: classes whose servers are late are let in less, the least earnings per work first,
    /// and come back as their servers find time again.
    fn shed(&mut self, part: usize) {
        let own = self.lanes(part);
        let late = |gate: &&ClassAdmission| {
            own.contains(&gate.table) && self.tables[gate.table].latency_ratio > LATE
        };
        let work = |gate: &ClassAdmission| gate.latency_objective * gate.demand.max(1e-9);
        let let_in: f64 = self.gates.iter().filter(late).map(|gate| work(gate) * gate.rate).sum();
        let worst = self.tables[own.clone()].iter().fold(LATE, |worst, table| worst.max(table.latency_ratio));
        let mut out = let_in * (1.0 - (LATE / worst).max(SHED_STEP));
        // A class that may go elsewhere makes room where one that may not is late.
        let narrow =
            self.tables[own.clone()].iter().filter(|table| table.narrow()).map(|table| table.latency_ratio);
        let pressed = narrow.fold(0.0, f64::max);
        for table in &mut self.tables[own.clone()] {
            let back = if pressed < ROOM { RELIEF_BACK } else { 0.0 };
            let made = pressed > LATE.max(table.latency_ratio);
            table.flexible_fraction =
                if made { ALWAYS_LEFT } else { (table.flexible_fraction + back).min(1.0) };
        }
        for gate in self.gates.iter_mut().filter(|gate| own.contains(&gate.table)) {
            let (late, was, work) = (self.tables[gate.table].latency_ratio, gate.rate, work(gate));
            if late > LATE {
                let cut = out.min(work * (was - ALWAYS_LEFT).max(0.0));
                out -= cut;
                gate.rate = was - cut / work;
            } else if late < LATE {
                gate.rate = (was * (LATE / late.max(1e-9)).min(SHED_BACK)).min(1.0);
            }
        }
    }

    /// Parts: one whose servers are fuller than all of its row together sends a share of its visits to the
    /// emptiest beside it, and takes it back as they find room. Guards against a zone that lost servers, or
    /// to which more comes than was stated, refusing visits while others idle. It acts where servers tell
    /// their load: idle cold ones, or such as nobody reaches, would else look like room.
    fn lean(&mut self, now: Duration) {
        let mut told = vec![(0.0, 1e-9); self.parts];
        let cold_share = self.settings.rules.initial_weight_fraction;
        for known in self.servers.values().filter(|known| known.is_up() && !known.is_not_ready()) {
            let weight = known.record.weight * known.weight_factor * known.slow_start_factor(now, cold_share);
            let (sum, all) = &mut told[known.subset];
            (*sum, *all) = (*sum + weight * known.load.unwrap_or(0.0).min(1.0), *all + weight);
        }
        let full = |(sum, all): (f64, f64)| if all > 1e-6 { sum / all } else { 1.0 };
        for row in 0..self.parts / self.row.max(1) {
            let row = (0..self.parts).filter(|part| self.row_of(*part) == row).collect::<Vec<usize>>();
            let mean = full(row.iter().fold((0.0, 0.0), |a, b| (a.0 + told[*b].0, a.1 + told[*b].1)));
            let emptiest = row.iter().copied().min_by(|a, b| full(told[*a]).total_cmp(&full(told[*b])));
            for part in row {
                let (home, helper) = &mut self.home[part];
                if *home == 1.0 || full(told[*helper]) > full(told[part]) {
                    *helper = emptiest.unwrap_or(part);
                }
                // Half the way at a time, as loads are told late.
                let even = COMFORT.max(mean) / full(told[part]).max(1e-9);
                *home = (*home * even.sqrt()).clamp(WEAK, 1.0);
            }
        }
    }

    /// Whether a server may be used for a table, being in its part or one beside it.
    fn beside(&self, table: &RoutingTable, known: &EndpointState) -> bool {
        self.row_of(known.subset) == self.row_of(table.subset) && table.allows(&known.record)
    }

    /// Parts beyond the last whole row lie in it: alone, one that is lost would have nobody beside it.
    fn row_of(&self, part: usize) -> usize {
        (part / self.row).min(self.parts / self.row - 1)
    }

    fn lanes(&self, part: usize) -> Range<TableId> {
        part * self.each..(part + 1) * self.each
    }

    fn measure(&mut self) {
        let contract = self.contract();
        for table in &mut self.tables {
            let lines = table.published.iter().map(|(server, weight)| (&self.servers[server], weight));
            let told = lines.filter(|(known, _)| known.recent.tries >= 1.0 && !known.ejected);
            // Lateness beyond what a server's own load accounts for is not mended by refusing visits.
            let room =
                |known: &EndpointState| known.load.filter(|load| *load < BUSY).map(|load| load / COMFORT);
            let most = |known: &EndpointState| room(known).map_or(LATE_MOST, |part| part * LATE);
            let late = |known: &EndpointState| known.late(contract).min(most(known));
            let part = |(known, weight): (&EndpointState, &f64)| (weight * late(known), *weight);
            let failing = |(known, weight): (&EndpointState, &f64)| weight * known.recent.failing();
            let failing: f64 = told.clone().map(failing).sum();
            let (sum, all) = told.map(part).fold((0.0, 1e-9), |(a, b), (c, d)| (a + c, b + d));
            table.latency_ratio = sum / all;
            table.failure_ratio = (all > 1e-6).then_some(failing / all);
        }
    }

    /// Works out all that should be sent, the most urgent first: once a beat and at news that can't
    /// wait, so that the work of a decision does not grow with the fleet.
    fn plan(&mut self, now: Duration) {
        self.release(now);
        for index in 0..self.tables.len() {
            self.tables[index].desired = self.desired(now, index);
        }
        let (pushing, mut steps) = (std::mem::take(&mut self.pushing), Vec::new());
        for (index, gate) in self.gates.iter().enumerate().filter(|_| pushing) {
            let level = grid(gate.rate.min(gate.planned_rate));
            if self.tables[gate.table].released && gate.published != Some(level) {
                steps.push(Step(COMMON, Order::Admit(index, level)));
            }
        }
        steps.extend(self.changes(now, pushing));
        steps.extend(self.bindings());
        steps.extend(self.withdrawals(now));
        self.steps = steps.into();
    }

    /// Proxies come onto released tables, those with most visits first, each in the part that has least.
    fn bindings(&mut self) -> Vec<Step> {
        let (mut steps, mut carried) = (Vec::new(), self.channel.carried(self.parts));
        let mut room = vec![1e-9; self.parts];
        self.servers.values().for_each(|known| room[known.subset] += known.record.weight);
        let all = self.channel.mean_rate() * self.settings.fleet.proxies.unwrap_or(0.0);
        let fair = SPILL * all / room.iter().sum::<f64>();
        // What is barred is off a proxy with its first table: due like drains where that is the shorter word.
        // In a release, those who join one by one would else wait while the longer word fills the queue.
        let owed = |number| {
            self.servers
                .values()
                .filter(|of| of.is_not_ready() && of.ejected_up_to_generation < number)
                .count()
        };
        let shorter = |table: TableId, number| (1..owed(number)).contains(&self.tables[table].laid());
        for (proxy, joined) in self.channel.unbound(self.each) {
            let load = |part: usize| (carried[part] + joined.request_rate) / room[part];
            let rank = |part: usize, other: usize| load(part).total_cmp(&load(other));
            let away = |part: usize| part % self.places != joined.zone % self.places;
            let far = |part: &usize| away(*part) || load(*part) >= fair;
            let least = (0..self.parts).min_by(|a, b| far(a).cmp(&far(b)).then(rank(*a, *b)));
            let (new, part) = (joined.subset.is_none(), joined.subset.or(least).unwrap_or(0));
            joined.subset = Some(part);
            carried[part] += if new { joined.request_rate } else { 0.0 };
            let tables = part * self.each..(part + 1) * self.each;
            let free = tables.filter(|table| self.tables[*table].released && !joined.tables.contains(table));
            let due = |table| if shorter(table, joined.generation) { DRAINING } else { BINDING };
            steps.extend(free.map(|table| Step(due(table), Order::Bind(table, proxy))));
        }
        steps
    }

    /// The start hold, for each table.
    fn release(&mut self, now: Duration) {
        // A list that changed before this start has lost servers that proxies may still hold, and that
        // cannot be named: the hold gives way, so that all are on these tables within the grace.
        let grace = self.settings.rules.drain_grace.filter(|_| self.outdated);
        let most = grace.map_or(HOLD_MOST, |grace| HOLD_MOST.min(grace.mul_f64(GIVE_WAY)));
        let kept_out = self.servers.values().filter(|known| known.kept_out(now, true)).count();
        for index in 0..self.tables.len() {
            let table = &self.tables[index];
            let mut serving = self.servers.values().filter(|known| self.beside(table, known));
            let why = match () {
                _ if table.released => continue,
                _ if now >= HOLD_LEAST.min(most) && serving.all(|known| known.health_counter.is_some()) => {
                    "all its servers have a result"
                }
                _ if now >= most => "the hold is over",
                _ if kept_out >= POOL => "standing tables may hold nothing but withdrawn servers",
                _ => continue,
            };
            let names: Vec<&str> = self.gates_of(index).map(|gate| gate.name.as_str()).collect();
            let text = format!("{}: table released, {why}", names.join(", "));
            self.ready.push_back(Action::RaiseEvent { endpoint: None, text });
            (self.tables[index].released, self.pushing) = (true, true);
        }
    }

    fn holding(&self) -> bool {
        self.tables.iter().any(|table| !table.released)
    }

    fn gates_of(&self, table: TableId) -> impl Iterator<Item = &ClassAdmission> {
        self.gates.iter().filter(move |gate| gate.table == table)
    }

    /// The newest joining of a proxy that still holds tables of before; 0 if none does. Only those that have
    /// not heard of a withdrawal count: where many join one by one, each would else be told for all.
    fn newest(&self) -> u64 {
        self.channel.newest(Recipients::Unbound(self.each, 0))
    }

    /// Servers that are kept out leave the tables of before, hold or not: no proxy may send there past
    /// the grace. One that returns comes back at its cold share, never at the weight it left with.
    fn withdrawals(&self, now: Duration) -> Vec<Step> {
        let (holding, newest) = (self.holding(), self.newest());
        let held = |server: &EndpointId| self.tables.iter().any(|t| t.held(*server) > t.wants(*server));
        let due = self.servers.iter().filter(|(server, known)| match known.kept_out(now, holding) {
            true => known.ejected_up_to_generation < newest,
            false => known.ejected && newest == 0 && !held(server),
        });
        let order = |(server, known): (&EndpointId, &EndpointState)| {
            Order::Withdraw(*server, known.kept_out(now, holding))
        };
        due.map(|at| Step(DRAINING, order(at))).collect()
    }

    /// Changed lines, ranked by the traffic that each moves. A server that drains, is gone or was started
    /// anew loses its weight without waiting for the next push: the grace runs.
    fn changes(&mut self, now: Duration, pushing: bool) -> Vec<Step> {
        let (holding, mut ranked) = (self.holding(), Vec::<(f64, Step)>::new());
        for (index, table) in self.tables.iter().enumerate().filter(|(_, table)| table.released) {
            let total: f64 = table.desired.values().sum();
            let demand: f64 = self.gates_of(index).map(|gate| gate.demand).sum();
            // What is left of it must not run out while what takes its place waits in the queue.
            let left: f64 = table.desired.iter().map(|(server, want)| want.min(table.held(*server))).sum();
            let bare = left < WEAK * total;
            for (server, weight) in &table.desired {
                let (held, known) = (table.held(*server), &self.servers[server]);
                let out = known.is_not_ready() && *weight < held
                    || known.is_warming_up(now) && *weight < WARY * held;
                // A withdrawal ends once all are bound, and a table without a line binds nobody: where
                // all were withdrawn, lines of those that are back go first.
                let back = !known.ejected || !known.kept_out(now, holding);
                let fills = bare && *weight > held && back;
                if out || fills || pushing && *weight != held && !known.ejected {
                    // Filling a table takes many lines: the room for drains is not for them.
                    let part = if fills { BINDING } else { COMMON };
                    let part = if out { DRAINING } else { part };
                    let moves = (weight - held).abs() / total.max(1e-9) * (1.0 + demand);
                    ranked.push((moves, Step(part, Order::Weigh(index, *server))));
                }
            }
        }
        if ranked.iter().any(|(_, step)| step.0 == COMMON) {
            // So far apart, common changes leave room within the limit on messages.
            let span = self.settings.fleet.message_window;
            let most = self.settings.fleet.max_messages;
            self.next_push = now + GATHER.max(span.div_f64(most * COMMON));
        }
        ranked.sort_by(|(a, one), (b, other)| other.0.total_cmp(&one.0).then(b.total_cmp(a)));
        ranked.into_iter().map(|(_, step)| step).collect()
    }

    fn take(&mut self, now: Duration, part: f64, order: Order) -> Option<Action> {
        match order {
            Order::Withdraw(server, withdrawn) => {
                let unheard = Recipients::Unbound(self.each, self.servers[&server].ejected_up_to_generation);
                self.spend(
                    now,
                    1,
                    if withdrawn { unheard } else { Recipients::Unbound(usize::MAX, 0) },
                    part,
                )?;
                let (known, all) = (self.servers.get_mut(&server)?, self.channel.joinings);
                (known.ejected, known.ejected_up_to_generation) =
                    (withdrawn, if withdrawn { all } else { 0 });
                Some(if withdrawn {
                    Action::Eject { endpoint: server }
                } else {
                    Action::Restore { endpoint: server }
                })
            }
            Order::Weigh(index, server) => {
                self.spend(now, 1, Recipients::On(index), part)?;
                let weight = self.tables[index].wants(server);
                self.tables[index].published.insert(server, weight);
                Some(Action::SetWeight { table: index, endpoint: server, weight })
            }
            Order::Admit(index, share) => {
                let (table, class) = (self.gates[index].table, self.gates[index].class);
                self.spend(now, 1, Recipients::On(table), part)?;
                let (gate, late) = (&mut self.gates[index], self.tables[table].latency_ratio);
                if gate.published.replace(share).is_some_and(|before| before != share) {
                    let share = share * 100.0;
                    let text = format!("{}: {share:.0}% in, late by {late:.1} contract times", gate.name);
                    self.ready.push_back(Action::RaiseEvent { endpoint: None, text });
                }
                Some(Action::SetAdmission { table, class, fraction: share, retry: share >= 1.0 })
            }
            Order::Bind(index, proxy) => {
                let lines = Some(self.tables[index].laid()).filter(|lines| *lines > 0)?;
                let classes: Vec<ClassId> = self.gates_of(index).map(|gate| gate.class).collect();
                let fresh = self.channel.proxies.get(&proxy).is_some_and(|joined| joined.has_no_table);
                // What others withdrew at it, and it keeps to, goes with a line that lets it back.
                let back = if fresh || !self.settings.fleet.keeps_ejections { 0 } else { lines };
                self.spend(now, 1 + classes.len() + lines + back, Recipients::One(proxy), part)?;
                self.channel.bind(proxy, index);
                if !fresh && self.settings.fleet.proxy_ejection_threshold.is_some_and(|tries| tries > 0.0) {
                    let part = self.tables[index].subset;
                    self.uneasy_until[part] = now + self.settings.rules.slow_start_window.mul_f64(UNEASY);
                }
                Some(Action::AssignTable { table: index, classes, proxy })
            }
        }
    }

    /// The weights that a table should hold: a pure function of list and numbers.
    fn desired(&self, now: Duration, index: TableId) -> BTreeMap<EndpointId, f64> {
        let table = &self.tables[index];
        // A cold server gets nothing while the fleet is uneasy or a probe of its own fails.
        let uneasy = now < self.uneasy_until[table.subset];
        let cold_share = self.settings.rules.initial_weight_fraction;
        let safe = |known: &EndpointState| !uneasy && known.health_counter.unwrap_or(TOP) == TOP;
        let warmth = |known: &EndpointState| known.slow_start_factor(now, cold_share);
        let listed = |known: &EndpointState, part: f64| known.record.weight * grid(warmth(known) * part);
        let carries = |known: &EndpointState| !known.is_warming_up(now) || safe(known);
        let lanes = &self.tables[self.lanes(table.subset)];
        let needed = |known: &EndpointState| lanes.iter().any(|t| t.narrow() && t.allows(&known.record));
        let kept = |known: &EndpointState| {
            if !table.narrow() && needed(known) { table.flexible_fraction } else { 1.0 }
        };
        // Where weights are fixed by the terms, relief only learns what it would do.
        let fixed = self.settings.rules.fixed_weights;
        let eased = |known: &EndpointState| if fixed { 1.0 } else { known.weight_factor * kept(known) };
        // A table that had to be laid early counts on all that are not known to be down.
        let up = |known: &EndpointState| known.is_up() || known.health_counter.is_none() && now < HOLD_LEAST;
        let members: Vec<_> = self.servers.iter().filter(|(_, known)| self.beside(table, known)).collect();
        // Where many tries fail, or nothing is known of them yet, all may come again at once: a cold one
        // would be pushed over before it tells that it is full.
        let calm = table.failure_ratio.is_some_and(|failing| failing <= SOUND);
        // One that tells that it has room takes its share all the same, half where all are late or it is less
        // empty: a part that is uneasy for want of servers would else keep out those that it needs.
        let grown = |known: &EndpointState| {
            table.failure_ratio.is_none() && known.slow_start_factor(now, 0.0) >= GROWN
        };
        let wary = |known: &EndpointState| match known.load.filter(|_| known.health_counter == Some(TOP)) {
            Some(load) if calm && load < COMFORT && table.latency_ratio <= LATE => 1.0,
            Some(load) if (calm || grown(known)) && load < BUSY => WARY,
            _ => 0.0,
        };
        let part = |known: &EndpointState| eased(known) * if carries(known) { 1.0 } else { wary(known) };
        let full = |known: &EndpointState| listed(known, part(known));
        let good = || members.iter().filter(|(_, known)| !known.is_not_ready() && full(known) > 0.0);
        let any_up = good().any(|(_, known)| up(known));
        let laid = self.channel.count(Recipients::On(index)) > 0;
        let any_held = laid && good().any(|(server, _)| table.held(**server) > 0.0);
        let weight = |server: &EndpointId, known: &EndpointState, share: f64| match (any_up, any_held) {
            _ if known.is_not_ready() => 0.0,
            (true, _) if up(known) => listed(known, part(known) * share),
            (true, _) => 0.0,
            // All look down: the last table stays, but for what is cold now.
            (false, true) => table.held(*server).min(full(known)),
            (false, false) => listed(known, share),
        };
        let share = |alone: bool, (server, known): &(&EndpointId, &EndpointState)| match table
            .planned_weights
            .get(*server)
        {
            _ if !alone => 1.0,
            Some(planned) => *planned,
            None => f64::from(table.planned_weights.is_empty() && known.subset == table.subset),
        };
        // A part that is lost, cold or has no server of the kind looks to those beside it. Cold servers of
        // an uneasy part count little: alone they would get the visits of all that it lost.
        let strength = |alone: bool| {
            let of = members.iter().map(|at| (at, share(alone, at))).filter(|(_, share)| *share > 0.0);
            let able = of.clone().filter(|(at, share)| weight(at.0, at.1, *share) > 0.0);
            let counts = |known: &EndpointState| if carries(known) { 1.0 } else { WARY };
            let sum: f64 = able.map(|(at, share)| listed(at.1, counts(at.1)) * share).sum();
            sum / of.map(|(at, share)| at.1.record.weight * share).sum::<f64>().max(1e-9)
        };
        let alone = strength(true) >= WEAK * strength(false);
        // What a full part gives away goes to one beside it.
        let (home, helper) = self.home[table.subset];
        let leans = alone && home < 1.0 && table.planned_weights.is_empty();
        let of = |part: usize| members.iter().filter(move |at| at.1.subset == part);
        let sum = |part: usize| of(part).map(|at| weight(at.0, at.1, 1.0)).sum::<f64>();
        let away = if leans { (1.0 / home - 1.0) * sum(table.subset) / sum(helper).max(1e-9) } else { 0.0 };
        let part = |at: &(&EndpointId, &EndpointState)| match share(alone, at) {
            0.0 if leans && at.1.subset == helper => weight(at.0, at.1, away.min(1.0)),
            0.0 => 0.0,
            share => weight(at.0, at.1, share),
        };
        members.iter().map(|at| (*at.0, part(at))).collect()
    }

    /// Pace: takes lines off the budget for each of these proxies; none if the queue or a proxy's
    /// messages would then fill more than this part of the limits.
    fn spend(&mut self, now: Duration, lines: usize, whom: Recipients, part: f64) -> Option<()> {
        let head = self.settings.fleet.message_overhead_entries;
        // Messages are short of room sooner than the queue: those of urgent changes leave some to all others.
        let most = self.settings.fleet.max_messages * part.max(BINDING);
        let span = self.settings.fleet.message_window;
        let pace = self.settings.fleet.max_entries_per_second;
        let [slowest, slow] = self.channel.waiting(now, [pace / SLOWEST, pace / SLOW]);
        let waiting = if part < DRAINING { slowest } else { slow };
        let (begun, had) = self.channel.begins(whom, span);
        let cost = (lines * self.channel.count(whom)) as f64 + begun as f64 * head;
        let full = waiting + cost > self.settings.fleet.max_queued_entries * part;
        if full || begun > 0 && had as f64 >= most {
            return None;
        }
        self.channel.send(whom, cost);
        Some(())
    }

    fn settle(&self) -> Duration {
        self.settings.fleet.report_period.mul_f64(SETTLE) + self.settings.fleet.message_delay
    }

    /// The mean contract time of what comes, in seconds.
    fn contract(&self) -> f64 {
        let visits = |gate: &ClassAdmission| gate.demand + 1e-3;
        let sum: f64 = self.gates.iter().map(|gate| visits(gate) * gate.latency_objective).sum();
        sum / self.gates.iter().map(visits).sum::<f64>()
    }
}

/// Parts lie on a grid: smaller changes are not worth their lines, and equal numbers stay equal.
fn grid(part: f64) -> f64 {
    (part * GRID).round() / GRID
}
