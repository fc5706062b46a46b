//! Typed settings have the same values as lookups by name, for settings objects of three different shapes.

use std::time::Duration;

use lockcroft::Settings;
use lockcroft_host::{SettingValues, parse_settings, setting_values};
use serde_json::{Value, json};

/// Settings with all keys.
fn full() -> Value {
    json!({
        "zones": ["a", "b", "c"], "kinds": ["small", "large"], "fleet_size": 3, "tick_us": 4000,
        "policy_limits": {"probes": true}, "report": {"how": "on_probe"},
        "classes": [
            {"name": "look", "target_us": 600_000, "deadline_us": 2_000_000, "worth": 3.0, "late_worth": 0.2,
                "effect": "safe", "work_us": 110_000, "only_zones": ["c", "a"]},
            {"name": "book", "target_us": 500_000, "deadline_us": 1_200_000, "worth": 1.5, "effect": "keyed",
                "only_kinds": ["large"]},
            {"name": "pay", "target_us": 900_000, "deadline_us": 2_500_000},
        ],
        "rules": {"cold_from": 0.25, "cold_us": 10_000_000, "drain_grace_us": 1_500_000, "overload_factor": 4,
            "fall_us": 3_000_000, "unserved_most_us": 2_000_000, "drain_binds_alone": true, "fixed_weights": true},
        "specifics": {"agents": 128, "egress_per_s": 5700.0, "queue_cap": 6400.0, "cycle_us": 1_000_000,
            "propagation_us": 200_000, "overhead": 4, "counted_over_us": 10_000_000, "reloads_max": 30,
            "min_conn_cap": 400, "fails_to_eject": 5, "weight_most": 8, "partitions_n": 256,
            "keeps_withdrawals": true},
        "solver": {"every_us": 500_000, "cores": 2, "crossing": 0.1, "by_zone": true, "kind_cores": [4, 8]},
    })
}

/// Settings with few keys, limits of 0 and no health checks.
fn sparse() -> Value {
    json!({
        "zones": ["a"], "kinds": ["std"], "policy_limits": {"probes": false}, "report": {"how": "none"},
        "classes": [{"name": "look", "target_us": 600_000, "only_zones": []}],
        "rules": {"drain_binds_alone": false},
        "specifics": {"egress_per_s": 0, "queue_cap": 0, "reloads_max": 0, "fails_to_eject": 0},
    })
}

/// Settings with values of wrong types and out of range.
fn invalid() -> Value {
    json!({
        "zones": ["a", "b"], "kinds": ["std"], "fleet_size": -2,
        "classes": [
            {"target_us": -1, "deadline_us": "soon", "worth": null, "only_zones": ["b", "nowhere"]},
            {"name": 7, "target_us": 600_000.7, "worth": "much"},
        ],
        "rules": {"cold_from": "low", "cold_us": -5, "drain_grace_us": null},
        "specifics": {"agents": "many", "queue_cap": -6400.0, "cycle_us": true, "min_conn_cap": null},
    })
}

fn assert_equal_to_lookups(values: &SettingValues, settings: &Settings) {
    let (fleet, rules, solver) = (&settings.fleet, &settings.rules, &settings.solver);
    assert_eq!(settings.zones, values.texts("zones"));
    assert_eq!(settings.machine_types, values.texts("kinds"));
    assert_eq!(settings.controllers, values.number("pilots").unwrap_or(0.0).max(1.0));
    assert_eq!(settings.health_checks_allowed, values.flag("allowed.probes"));
    assert_eq!(settings.load_on_health_checks, values.text("report.how") == Some("on_probe"));
    assert_eq!(settings.decision_interval, values.time("tick_us"));
    assert_eq!(fleet.proxies, values.number("fleet.proxies"));
    assert_eq!(fleet.report_period, values.duration("fleet.report_period_us"));
    assert_eq!(fleet.message_delay, values.duration("fleet.message_delay_us"));
    assert_eq!(fleet.message_overhead_entries, values.number("fleet.message_head_lines").unwrap_or(0.0));
    assert_eq!(fleet.max_messages, values.limit("fleet.messages_most"));
    assert_eq!(fleet.message_window, values.duration("fleet.messages_span_us"));
    assert_eq!(fleet.max_entries_per_second, values.limit("fleet.channel_lines_per_s"));
    assert_eq!(fleet.max_queued_entries, values.limit("fleet.queue_most_lines"));
    assert_eq!(fleet.min_endpoint_connections, values.limit("fleet.connections_least"));
    assert_eq!(fleet.proxy_ejection_threshold, values.number("fleet.shuns_after"));
    assert_eq!(fleet.keeps_ejections, values.flag("fleet.keeps_withdrawals"));
    assert_eq!(fleet.max_weight, values.number("fleet.weight_most").unwrap_or(1.0));
    assert_eq!(fleet.key_ranges, values.number("fleet.slices").unwrap_or(0.0));
    assert_eq!(rules.max_time_without_endpoints, values.duration("rules.unserved_most_us"));
    assert_eq!(rules.drain_grace, values.time("rules.drain_grace_us"));
    assert_eq!(rules.ignore_removals, values.flag("rules.only_draining_binds"));
    assert_eq!(rules.initial_weight_fraction, values.number("rules.cold_share").unwrap_or(1.0));
    assert_eq!(rules.slow_start_window, values.duration("rules.warm_within_us"));
    let factor = values.number("rules.cold_multiple").unwrap_or(f64::INFINITY);
    assert_eq!(rules.warming_overload_factor, factor);
    assert_eq!(rules.warming_overload_window, values.duration("rules.cold_span_us"));
    assert_eq!(rules.fixed_weights, values.flag("rules.fixed_weights"));
    assert_eq!(solver.interval, values.time("solver.every_us"));
    assert_eq!(solver.cores, values.number("solver.cores").unwrap_or(1.0));
    assert_eq!(solver.crossing_cost, values.number("solver.crossing").unwrap_or(0.0));
    assert_eq!(solver.by_zone, values.flag("solver.by_zone"));
    for machine_type in 0..settings.machine_types.len() {
        let cores = values.number(&format!("solver.kind_cores.{machine_type}"));
        assert_eq!(solver.cores_by_machine_type.get(&machine_type).copied(), cores);
    }
    assert_eq!(settings.classes.len(), values.count("classes"));
    for (class, read) in settings.classes.iter().enumerate() {
        let name = |field: &str| format!("classes.{class}.{field}");
        assert_eq!(read.name.as_deref(), values.text(&name("name")));
        assert_eq!(read.latency_objective, values.duration(&name("contract_time_us")));
        assert_eq!(read.client_timeout, values.time(&name("patience_us")));
        assert_eq!(read.value, values.number(&name("earnings")).unwrap_or(1.0));
        assert_eq!(read.late_value_fraction, values.number(&name("late_earnings")).unwrap_or(0.0));
        assert_eq!(read.effect.as_deref(), values.text(&name("effect")));
        assert_eq!(read.work, values.time(&name("work_us")));
        assert_eq!(read.only_zones, values.positions(&name("only_zones"), "zones"));
        assert_eq!(read.only_machine_types, values.positions(&name("only_kinds"), "kinds"));
    }
}

#[test]
fn typed_settings_equal_lookups_by_name() {
    for object in [full(), sparse(), invalid(), json!({})] {
        let values = setting_values(&object).expect("settings are an object");
        let settings = parse_settings(&object.to_string()).expect("settings are an object");
        assert_equal_to_lookups(&values, &settings);
    }
}

#[test]
fn keys_of_the_json_form_set_their_fields() {
    let settings = parse_settings(&full().to_string()).expect("settings are an object");
    assert_eq!(settings.controllers, 3.0);
    assert_eq!(settings.decision_interval, Some(Duration::from_millis(4)));
    assert_eq!(settings.fleet.proxies, Some(128.0));
    assert_eq!(settings.fleet.max_queued_entries, 6400.0);
    assert_eq!(settings.fleet.max_messages, 30.0);
    assert_eq!(settings.fleet.proxy_ejection_threshold, Some(5.0));
    assert_eq!(settings.fleet.key_ranges, 256.0);
    assert_eq!(settings.rules.slow_start_window, Duration::from_secs(10));
    assert_eq!(settings.rules.warming_overload_factor, 4.0);
    assert!(settings.rules.ignore_removals && settings.rules.fixed_weights);
    assert_eq!(settings.classes[0].only_zones, Some(vec![2, 0]));
    assert_eq!(settings.classes[1].only_machine_types, Some(vec![1]));
    assert_eq!(settings.classes[0].late_value_fraction, 0.2);
    assert_eq!(settings.solver.cores_by_machine_type.values().sum::<f64>(), 12.0);
}

#[test]
fn absent_settings_have_their_defaults() {
    let settings = parse_settings("{}").expect("settings are an object");
    assert_eq!(settings, Settings::default());
    let error = parse_settings("[]").expect_err("an array is not an object");
    assert_eq!(error.to_string(), "settings: not an object");
}
