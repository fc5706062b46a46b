//! A scenario in one of its variants.

use std::ops::Range;

use roxmltree::{Document, Node};

use crate::error::VariantError;
use crate::scenario::Scenario;
use crate::variants::{MachineTypeWeight, SettingOverride, Variant};

impl Scenario {
    /// The scenario in this variant; the scenario itself stays.
    ///
    /// # Errors
    /// The variant names what the scenario does not have.
    pub fn with_variant(&self, variant: &Variant) -> Result<Scenario, VariantError> {
        let mut scenario = self.clone();
        scenario.proxies.table_source = variant.table_source.unwrap_or(scenario.proxies.table_source);
        for weight in &variant.weights {
            scenario.set_weight(weight, variant)?;
        }
        for element in &variant.without {
            let change = SettingsChange { variant: &variant.name, element, child: "" };
            scenario.settings = change.apply(&scenario.settings, |_, node| Replacement {
                range: node.range(),
                text: String::new(),
            })?;
        }
        for setting in &variant.overrides {
            let change =
                SettingsChange { variant: &variant.name, element: &setting.element, child: &setting.child };
            scenario.settings =
                change.apply(&scenario.settings, |text, node| replace_attribute(text, node, setting))?;
        }
        Ok(scenario)
    }

    fn set_weight(&mut self, of: &MachineTypeWeight, variant: &Variant) -> Result<(), VariantError> {
        let mut groups =
            self.endpoints.iter_mut().filter(|group| group.machine_type == of.machine_type).peekable();
        groups.peek().ok_or_else(|| VariantError::UnknownMachineType {
            variant: variant.name.clone(),
            machine_type: of.machine_type.clone(),
        })?;
        groups.for_each(|group| group.weight = of.weight);
        Ok(())
    }
}

/// A piece of the settings' text and what takes its place.
struct Replacement {
    range: Range<usize>,
    text: String,
}

/// The attribute with its new value; a new attribute comes first in its element.
fn replace_attribute(text: &str, node: Node, setting: &SettingOverride) -> Replacement {
    let range = match node.attribute_node(setting.attribute.as_str()) {
        Some(attribute) => attribute.range(),
        None => {
            let after_name = node.range().start + 1 + node.tag_name().name().len();
            after_name..after_name
        }
    };
    let space = if text[..range.start].ends_with(' ') { "" } else { " " };
    let text = match setting.value.as_str() {
        "" => String::new(),
        value => format!("{space}{}=\"{value}\"", setting.attribute),
    };
    Replacement { range, text }
}

/// A change of one element of the settings.
struct SettingsChange<'a> {
    variant: &'a str,
    element: &'a str,
    /// The name of the element's child that is meant; empty for the element itself.
    child: &'a str,
}

impl SettingsChange<'_> {
    /// The settings with the change.
    fn apply(
        &self,
        settings: &str,
        change: impl Fn(&str, Node) -> Replacement,
    ) -> Result<String, VariantError> {
        const OPEN: &str = "<terms>";
        const CLOSE: &str = "</terms>";
        let text = format!("{OPEN}{settings}{CLOSE}");
        let tree = Document::parse(&text)?;
        let node = self.find(&tree).ok_or_else(|| VariantError::UnknownElement {
            variant: self.variant.into(),
            element: self.element.into(),
            child: self.child.into(),
        })?;
        let Replacement { range, text: new } = change(&text, node);
        let changed = format!("{}{new}{}", &text[..range.start], &text[range.end..]);
        Ok(changed[OPEN.len()..changed.len() - CLOSE.len()].into())
    }

    fn find<'t>(&self, tree: &'t Document<'t>) -> Option<Node<'t, 't>> {
        let mut elements = tree.root_element().children().filter(|node| node.has_tag_name(self.element));
        if self.child.is_empty() {
            return elements.next();
        }
        let mut children = elements.flat_map(|element| element.children());
        children.find(|node| node.is_element() && node.attribute("name") == Some(self.child))
    }
}
