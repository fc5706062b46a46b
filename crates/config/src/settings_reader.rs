//! Reads the settings of the decisions: lists of names, classes, and the attributes of `fleet`, `rules`, `allowed` and
//! `solver`.
//!
//! An attribute becomes the setting of its own name with underscores. Its type in the schema states how it is read: times
//! become microseconds, with `_us` at the end of the name.

use std::collections::BTreeSet;

use lockcroft::Settings;
use lockcroft_host::{SettingValue, SettingValues};
use roxmltree::Node;

use crate::document::Document;
use crate::duration::parse_duration;
use crate::error::ConfigError;
use crate::xml::{attribute_duration, attribute_text, child_elements};

/// The settings, and the errors in the elements that they were read from.
pub(crate) struct SettingsOutcome {
    pub settings: Settings,
    pub errors: Vec<ConfigError>,
}

/// Reads the settings in a configuration's root element.
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
    /// Reads a list of zones or machine types, which may state the cores of a machine type.
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

    /// Adds what the configuration leaves out. The fleet has as many proxies as are listed here for each of its
    /// controllers, unless it is stated.
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
                Ok(time) => {
                    let micros = time.as_micros() as f64;
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
                    self.check_listed(node, attribute, name);
                }
            }
            _ => self.set(setting, SettingValue::Text(value.into())),
        }
    }

    /// Checks that `only-zones` and `only-kinds` refer to names in the lists `zones` and `kinds`.
    fn check_listed(&mut self, node: Node, attribute: &str, name: &str) {
        let list = attribute.trim_start_matches("only-");
        let listed = self.values.texts(list);
        if !listed.contains(&name) {
            let message = format!("{attribute}: {name:?} is not listed");
            let expected = listed.join(", ");
            self.errors.push(self.document.error(node, message, Some(&expected)));
        }
    }

    /// Checks that the time in one attribute is not longer than that in the other.
    fn check_order(&mut self, node: Node, shorter: &str, longer: &str) {
        let time = |attribute: &str| attribute_duration(node, attribute).unwrap_or_default();
        if time(shorter) > time(longer) {
            let shorter_text = attribute_text(node, shorter);
            let longer_text = attribute_text(node, longer);
            let message = format!("{shorter} {shorter_text} is longer than {longer} {longer_text}");
            let expected = format!("{shorter} up to {longer}");
            self.errors.push(self.document.error(node, message, Some(&expected)));
        }
    }
}

/// An error for each name that stands in a list again.
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
