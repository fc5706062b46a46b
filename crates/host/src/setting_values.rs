//! Settings as a flat map of dotted names to values, as the forms that operators write are read. This is the one
//! place where those names become the typed [`Settings`].

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft::{ClassSettings, FleetSettings, RuleSettings, Settings, SolverSettings};

/// One stated value.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    /// A number; not a number where the stated one can't be held.
    Number(f64),
    /// True or false.
    Flag(bool),
    /// A text.
    Text(String),
}

/// All stated values by name. Names are those of the XML form with `_` for `-`. Names of nested values are joined by dots, and the members
/// of lists are numbered from 0: `classes.0.patience_us`. What was not stated is not there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingValues(pub BTreeMap<String, SettingValue>);

impl SettingValues {
    /// The typed settings, with the defaults of [`Settings`] for what is not stated.
    pub fn to_settings(&self) -> Settings {
        let strings = |list: &str| self.texts(list).into_iter().map(String::from).collect();
        Settings {
            zones: strings("zones"),
            machine_types: strings("kinds"),
            classes: (0..self.count("classes")).map(|class| self.class(class)).collect(),
            controllers: self.number("pilots").unwrap_or(0.0).max(1.0),
            health_checks_allowed: self.flag("allowed.probes"),
            load_on_health_checks: self.text("report.how") == Some("on_probe"),
            decision_interval: self.time("tick_us"),
            fleet: self.fleet(),
            rules: self.rules(),
            solver: self.solver(),
        }
    }

    fn class(&self, class: usize) -> ClassSettings {
        let name = |what: &str| format!("classes.{class}.{what}");
        let default = ClassSettings::default();
        ClassSettings {
            name: self.text(&name("name")).map(String::from),
            latency_objective: self.duration(&name("contract_time_us")),
            client_timeout: self.time(&name("patience_us")),
            value: self.number(&name("earnings")).unwrap_or(default.value),
            late_value_fraction: self.number(&name("late_earnings")).unwrap_or(default.late_value_fraction),
            effect: self.text(&name("effect")).map(String::from),
            work: self.time(&name("work_us")),
            only_zones: self.positions(&name("only_zones"), "zones"),
            only_machine_types: self.positions(&name("only_kinds"), "kinds"),
        }
    }

    fn fleet(&self) -> FleetSettings {
        let default = FleetSettings::default();
        FleetSettings {
            proxies: self.number("fleet.proxies"),
            report_period: self.duration("fleet.report_period_us"),
            message_delay: self.duration("fleet.message_delay_us"),
            message_overhead_entries: self
                .number("fleet.message_head_lines")
                .unwrap_or(default.message_overhead_entries),
            max_messages: self.limit("fleet.messages_most"),
            message_window: self.duration("fleet.messages_span_us"),
            max_entries_per_second: self.limit("fleet.channel_lines_per_s"),
            max_queued_entries: self.limit("fleet.queue_most_lines"),
            min_endpoint_connections: self.limit("fleet.connections_least"),
            proxy_ejection_threshold: self.number("fleet.shuns_after"),
            keeps_ejections: self.flag("fleet.keeps_withdrawals"),
            max_weight: self.number("fleet.weight_most").unwrap_or(default.max_weight),
            key_ranges: self.number("fleet.slices").unwrap_or(default.key_ranges),
        }
    }

    fn rules(&self) -> RuleSettings {
        let default = RuleSettings::default();
        RuleSettings {
            max_time_without_endpoints: self.duration("rules.unserved_most_us"),
            drain_grace: self.time("rules.drain_grace_us"),
            ignore_removals: self.flag("rules.only_draining_binds"),
            initial_weight_fraction: self
                .number("rules.cold_share")
                .unwrap_or(default.initial_weight_fraction),
            slow_start_window: self.duration("rules.warm_within_us"),
            warming_overload_factor: self
                .number("rules.cold_multiple")
                .unwrap_or(default.warming_overload_factor),
            warming_overload_window: self.duration("rules.cold_span_us"),
            fixed_weights: self.flag("rules.fixed_weights"),
        }
    }

    fn solver(&self) -> SolverSettings {
        let default = SolverSettings::default();
        let cores = |index: usize| Some((index, self.number(&format!("solver.kind_cores.{index}"))?));
        SolverSettings {
            interval: self.time("solver.every_us"),
            cores: self.number("solver.cores").unwrap_or(default.cores),
            cores_by_machine_type: (0..self.count("kinds")).filter_map(cores).collect(),
            crossing_cost: self.number("solver.crossing").unwrap_or(default.crossing_cost),
            by_zone: self.flag("solver.by_zone"),
        }
    }

    /// A finite number.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(SettingValue::Number(value)) if value.is_finite() => Some(*value),
            _ => None,
        }
    }

    /// A time, stated in microseconds under a name that ends in `_us`.
    pub fn time(&self, name: &str) -> Option<Duration> {
        let micros = self.number(name).filter(|micros| *micros >= 0.0)?;
        Some(Duration::from_micros(micros as u64))
    }

    /// A time; zero where none is stated.
    pub fn duration(&self, name: &str) -> Duration {
        self.time(name).unwrap_or_default()
    }

    /// A limit; infinite where it is not stated, or stated as 0.
    pub fn limit(&self, name: &str) -> f64 {
        self.number(name).filter(|limit| *limit > 0.0).unwrap_or(f64::INFINITY)
    }

    /// A text.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(SettingValue::Text(value)) => Some(value),
            _ => None,
        }
    }

    /// Whether a flag is stated as true.
    pub fn flag(&self, name: &str) -> bool {
        self.0.get(name) == Some(&SettingValue::Flag(true))
    }

    /// How many members the list of this name has.
    pub fn count(&self, name: &str) -> usize {
        (0..).take_while(|index| self.has_below(&format!("{name}.{index}"))).count()
    }

    /// The texts of a list.
    pub fn texts(&self, name: &str) -> Vec<&str> {
        (0..).map_while(|index| self.text(&format!("{name}.{index}"))).collect()
    }

    /// The positions of the texts of one list in another; `None` if the list is not there.
    pub fn positions(&self, list: &str, among: &str) -> Option<Vec<usize>> {
        let texts = self.texts(list);
        let all = self.texts(among);
        let positions = texts.iter().filter_map(|text| all.iter().position(|other| other == text)).collect();
        (!texts.is_empty()).then_some(positions)
    }

    fn has_below(&self, prefix: &str) -> bool {
        let next = self.0.range(prefix.to_string()..).next();
        next.is_some_and(|(name, _)| {
            name.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }
}
