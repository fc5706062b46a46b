//! Settings as a flat map from dotted names to values, the common form of all settings formats. Only this module
//! maps those names to the typed [`Settings`].

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft::{ClassSettings, FleetSettings, RuleSettings, Settings, SolverSettings};

/// The value of one setting.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    /// A number; NaN if the number in the source can't be represented.
    Number(f64),
    /// A boolean.
    Flag(bool),
    /// A string.
    Text(String),
}

/// Setting values by name. Names are those of the XML form with `_` for `-`. Names of nested values are joined by
/// dots, and members of lists are numbered from 0, as in `classes.0.patience_us`. Settings that the source does not
/// contain are absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingValues(pub BTreeMap<String, SettingValue>);

impl SettingValues {
    /// Returns the typed settings, with the defaults of [`Settings`] for absent values.
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
        let name = |field: &str| format!("classes.{class}.{field}");
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
            acknowledgement_entries: default.acknowledgement_entries,
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

    /// Returns the number with this name, if it is present and finite.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(SettingValue::Number(value)) if value.is_finite() => Some(*value),
            _ => None,
        }
    }

    /// Returns the duration with this name, given in microseconds; `None` if it is absent or negative. Such names end
    /// in `_us`.
    pub fn time(&self, name: &str) -> Option<Duration> {
        let micros = self.number(name).filter(|micros| *micros >= 0.0)?;
        Some(Duration::from_micros(micros as u64))
    }

    /// Returns the duration with this name, or zero if it is absent or negative.
    pub fn duration(&self, name: &str) -> Duration {
        self.time(name).unwrap_or_default()
    }

    /// Returns the limit with this name, or infinity if it is absent or not above 0.
    pub fn limit(&self, name: &str) -> f64 {
        self.number(name).filter(|limit| *limit > 0.0).unwrap_or(f64::INFINITY)
    }

    /// Returns the string with this name.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(SettingValue::Text(value)) => Some(value),
            _ => None,
        }
    }

    /// Returns true if the flag with this name is present and true.
    pub fn flag(&self, name: &str) -> bool {
        self.0.get(name) == Some(&SettingValue::Flag(true))
    }

    /// Returns the number of members of the list with this name.
    pub fn count(&self, name: &str) -> usize {
        (0..).take_while(|index| self.has_nested(&format!("{name}.{index}"))).count()
    }

    /// Returns the strings of the list with this name, up to the first member that is not a string.
    pub fn texts(&self, name: &str) -> Vec<&str> {
        (0..).map_while(|index| self.text(&format!("{name}.{index}"))).collect()
    }

    /// Returns the positions in the list `among` of the strings of `list`, skipping strings that `among` lacks;
    /// `None` if `list` is absent or empty.
    pub fn positions(&self, list: &str, among: &str) -> Option<Vec<usize>> {
        let texts = self.texts(list);
        let all = self.texts(among);
        let positions = texts.iter().filter_map(|text| all.iter().position(|other| other == text)).collect();
        (!texts.is_empty()).then_some(positions)
    }

    /// Returns true if there is a value with this name, or with a name nested below it.
    fn has_nested(&self, prefix: &str) -> bool {
        let next = self.0.range(prefix.to_string()..).next();
        next.is_some_and(|(name, _)| {
            name.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }
}
