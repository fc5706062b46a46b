//! Reads the settings of the decisions: the lists of zones, machine types and classes, and the attributes of `fleet`,
//! `rules`, `allowed` and `solver`.
//!
//! An attribute is stored as the setting of the same name, with underscores for hyphens. The type in the schema
//! determines the form of the value: durations become microseconds, and their names end in `_us`.

use std::collections::BTreeSet;

use lockcroft::Settings;
use lockcroft_host::{SettingValue, SettingValues};
use roxmltree::Node;

use crate::document::Document;
use crate::duration::parse_duration;
use crate::error::ConfigError;
use crate::xml::{attribute_duration, attribute_text, child_elements};

/// The settings, and the errors found while reading them.
pub(crate) struct SettingsOutcome {
    pub settings: Settings,
    pub errors: Vec<ConfigError>,
}

/// Reads the settings from the root element of a configuration.
pub(crate) fn read_settings(document: &Document, root: Node) -> SettingsOutcome {
    let child = |name: &str| root.children().find(|node| node.has_tag_name(name));
    let mut reader = SettingsReader { document, values: SettingValues::default(), errors: Vec::new() };
    for list in ["zones", "kinds"] {
        reader.read_names(list, child(list));
    }
    reader.read_classes(child("classes"));
    for section in ["fleet", "rules", "allowed", "solver"] {
        if let Some(node) = child(section) {
            reader.read_attributes(section, node);
        }
    }
    reader.set_defaults(child_elements(child("proxies")).len());
    SettingsOutcome { settings: reader.values.to_settings(), errors: reader.errors }
}

struct SettingsReader<'a> {
    document: &'a Document,
    values: SettingValues,
    errors: Vec<ConfigError>,
}

impl SettingsReader<'_> {
    /// Reads the names in the list `zones` or `kinds`, and the core counts that machine types may have.
    fn read_names(&mut self, list: &str, element: Option<Node>) {
        for (index, node) in child_elements(element).into_iter().enumerate() {
            self.set(&format!("{list}.{index}"), SettingValue::Text(attribute_text(node, "name").into()));
            if let Some(cores) = node.attribute("cores").and_then(|cores| cores.parse().ok()) {
                self.set(&format!("solver.kind_cores.{index}"), SettingValue::Number(cores));
            }
        }
        self.errors.extend(duplicate_name_errors(self.document, element));
    }

    fn read_classes(&mut self, classes: Option<Node>) {
        self.errors.extend(duplicate_name_errors(self.document, classes));
        for (index, node) in child_elements(classes).into_iter().enumerate() {
            self.read_attributes(&format!("classes.{index}"), node);
            self.check_order(node, "contract-time", "patience");
        }
    }

    /// Sets the settings that the configuration does not state. By default, the fleet has the number of proxies listed
    /// here times the number of controllers.
    fn set_defaults(&mut self, listed_proxies: usize) {
        self.set_if_missing("allowed.probes", SettingValue::Flag(true));
        let controllers = self.values.number("fleet.pilots").unwrap_or(1.0);
        self.set("pilots", SettingValue::Number(controllers));
        let proxies = listed_proxies as f64 * controllers.max(1.0);
        self.set_if_missing("fleet.proxies", SettingValue::Number(proxies));
    }

    fn set(&mut self, name: &str, value: SettingValue) {
        self.values.0.insert(name.into(), value);
    }

    fn set_if_missing(&mut self, name: &str, value: SettingValue) {
        self.values.0.entry(name.into()).or_insert(value);
    }

    fn read_attributes(&mut self, prefix: &str, node: Node) {
        for attribute in node.attributes() {
            let setting = format!("{prefix}.{}", attribute.name().replace('-', "_"));
            self.read_attribute(&setting, node, attribute.name(), attribute.value());
        }
    }

    fn read_attribute(&mut self, setting: &str, node: Node, attribute: &str, value: &str) {
        let value_type = self.document.attribute_type(node, attribute).unwrap_or_default();
        match value_type.as_str() {
            "time" => match parse_duration(value) {
                Ok(duration) => {
                    let micros = duration.as_micros() as f64;
                    self.set(&format!("{setting}_us"), SettingValue::Number(micros));
                }
                Err(error) => self.errors.push(self.document.error(node, error.to_string(), None)),
            },
            "amount" | "positive" | "share" | "count" => {
                self.set(setting, SettingValue::Number(value.parse().unwrap_or(f64::NAN)));
            }
            "xs:boolean" => self.set(setting, SettingValue::Flag(value == "true" || value == "1")),
            "names" => {
                for (index, name) in value.split_whitespace().enumerate() {
                    self.set(&format!("{setting}.{index}"), SettingValue::Text(name.into()));
                    self.check_is_listed(node, attribute, name);
                }
            }
            _ => self.set(setting, SettingValue::Text(value.into())),
        }
    }

    /// Adds an error if `only-zones` or `only-kinds` refers to a name that is not in the list `zones` or `kinds`.
    fn check_is_listed(&mut self, node: Node, attribute: &str, name: &str) {
        let list = attribute.trim_start_matches("only-");
        let listed = self.values.texts(list);
        if !listed.contains(&name) {
            let message = format!("{attribute}: {name:?} is not listed");
            let expected = listed.join(", ");
            self.errors.push(self.document.error(node, message, Some(&expected)));
        }
    }

    /// Adds an error if the duration in the attribute `shorter` is longer than that in `longer`.
    fn check_order(&mut self, node: Node, shorter: &str, longer: &str) {
        let duration = |attribute: &str| attribute_duration(node, attribute).unwrap_or_default();
        if duration(shorter) > duration(longer) {
            let shorter_text = attribute_text(node, shorter);
            let longer_text = attribute_text(node, longer);
            let message = format!("{shorter} {shorter_text} is longer than {longer} {longer_text}");
            let expected = format!("{shorter} up to {longer}");
            self.errors.push(self.document.error(node, message, Some(&expected)));
        }
    }
}

/// Returns an error for each element of a list whose name was used by an earlier element.
pub(crate) fn duplicate_name_errors(document: &Document, list: Option<Node>) -> Vec<ConfigError> {
    let mut names = BTreeSet::new();
    let is_repeated = |node: &Node| !names.insert(attribute_text(*node, "name").to_string());
    let repeated = child_elements(list).into_iter().filter(is_repeated);
    let error = |node: Node| {
        let message = format!("{} is listed twice", attribute_text(node, "name"));
        document.error(node, message, Some("each name once"))
    };
    repeated.map(error).collect()
}
