//! Helpers for elements and attributes.

use std::time::Duration;

use roxmltree::Node;

use crate::duration::parse_duration;

/// Returns the child elements of an element; empty if the element is `None`.
#[must_use]
pub fn child_elements<'d, 'i>(parent: Option<Node<'d, 'i>>) -> Vec<Node<'d, 'i>> {
    parent.into_iter().flat_map(|parent| parent.children().filter(Node::is_element)).collect()
}

/// Returns the value of an attribute; empty if the attribute is missing.
#[must_use]
pub fn attribute_text<'d>(node: Node<'d, '_>, name: &str) -> &'d str {
    node.attribute(name).unwrap_or_default()
}

/// Returns the duration in an attribute; `None` if the attribute is missing or not a duration.
pub(crate) fn attribute_duration(node: Node, name: &str) -> Option<Duration> {
    node.attribute(name).and_then(|text| parse_duration(text).ok())
}

/// Returns the names of the elements from the root to this one.
pub(crate) fn element_names(node: Node) -> Vec<String> {
    let elements = node.ancestors().filter(Node::is_element);
    let mut names: Vec<String> = elements.map(|element| element.tag_name().name().to_string()).collect();
    names.reverse();
    names
}
