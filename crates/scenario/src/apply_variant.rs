//! Applies a variant to a scenario.

use std::ops::Range;

use roxmltree::{Document, Node};

use crate::error::VariantError;
use crate::scenario::Scenario;
use crate::variants::{MachineTypeWeight, SettingOverride, Variant};

impl Scenario {
    /// Returns a copy of the scenario with the changes of this variant.
    ///
    /// # Errors
    /// The variant names a machine type or an element that the scenario doesn't have, or the settings aren't valid XML.
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

    /// Sets the listed weight of all endpoints of a machine type.
    fn set_weight(&mut self, weight: &MachineTypeWeight, variant: &Variant) -> Result<(), VariantError> {
        let mut groups =
            self.endpoints.iter_mut().filter(|group| group.machine_type == weight.machine_type).peekable();
        groups.peek().ok_or_else(|| VariantError::UnknownMachineType {
            variant: variant.name.clone(),
            machine_type: weight.machine_type.clone(),
        })?;
        groups.for_each(|group| group.weight = weight.weight);
        Ok(())
    }
}

/// A range of the text of the settings and the text that replaces it.
struct Replacement {
    range: Range<usize>,
    text: String,
}

/// Returns the replacement that sets or removes an attribute. A new attribute is inserted before the others.
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
    /// The value of the attribute `name` of the child element to change; empty for the element itself.
    child: &'a str,
}

impl SettingsChange<'_> {
    /// Returns the settings with the change.
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

    /// Returns the element that is changed.
    fn find<'t>(&self, tree: &'t Document<'t>) -> Option<Node<'t, 't>> {
        let mut elements = tree.root_element().children().filter(|node| node.has_tag_name(self.element));
        if self.child.is_empty() {
            return elements.next();
        }
        let mut children = elements.flat_map(|element| element.children());
        children.find(|node| node.is_element() && node.attribute("name") == Some(self.child))
    }
}
