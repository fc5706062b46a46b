//! Access to elements and attributes.

use std::time::Duration;

use roxmltree::Node;

use crate::duration::parse_duration;

/// The elements in a list element; none if there is no list.
#[must_use]
pub fn child_elements<'d, 'i>(list: Option<Node<'d, 'i>>) -> Vec<Node<'d, 'i>> {
    list.into_iter().flat_map(|list| list.children().filter(Node::is_element)).collect()
}

/// The text of an attribute; empty if there is none.
#[must_use]
pub fn attribute_text<'d>(node: Node<'d, '_>, name: &str) -> &'d str {
    node.attribute(name).unwrap_or_default()
}

/// The time in an attribute, if there is one.
pub(crate) fn attribute_duration(node: Node, name: &str) -> Option<Duration> {
    node.attribute(name).and_then(|text| parse_duration(text).ok())
}

/// The names of the elements from the root to this one.
pub(crate) fn element_names(node: Node) -> Vec<String> {
    let elements = node.ancestors().filter(Node::is_element);
    let mut names: Vec<String> = elements.map(|element| element.tag_name().name().to_string()).collect();
    names.reverse();
    names
}
