//! What the schema says of an element or attribute, for messages and for the names of terms. The
//! checking itself is the library's; this only reads declarations that stand in the file.

use roxmltree::{Document, Node};

const XS: &str = "http://www.w3.org/2001/XMLSchema";

/// The declarations of one schema file.
pub struct Schema<'a> {
    document: Document<'a>,
}

impl<'a> Schema<'a> {
    /// # Panics
    /// If the text is no XML: schemas are part of the program and covered by its tests.
    pub fn new(text: &'a str) -> Self {
        Schema { document: Document::parse(text).expect("the schema is well-formed") }
    }

    /// The type name of an attribute, such as `time`.
    pub fn attribute_type(&self, path: &[&str], attribute: &str) -> Option<&str> {
        self.attribute(path, attribute)?.attribute("type")
    }

    /// What may stand in an attribute, in words.
    pub fn allowed_value(&self, path: &[&str], attribute: &str) -> Option<String> {
        let declared = self.attribute(path, attribute)?;
        let kind = match declared.attribute("type") {
            Some(name) => self.named("simpleType", name).ok_or(name),
            None => Ok(declared),
        };
        let node = match kind {
            Ok(node) => node,
            Err(built_in) => return Some(format!("a value of type {built_in}")),
        };
        let listed: Vec<&str> =
            within(node, "enumeration").filter_map(|value| value.attribute("value")).collect();
        if !listed.is_empty() {
            return Some(format!("one of {}", listed.join(", ")));
        }
        within(node, "documentation").next().and_then(|node| node.text()).map(|text| text.trim().to_string())
    }

    /// The attributes that an element may have, and the elements that may stand in it.
    pub fn allowed_in(&self, path: &[&str]) -> String {
        let Some(element) = self.element(path) else { return "nothing".into() };
        let names = |kind: &'static str| -> Vec<&str> {
            self.parts(element, kind).iter().filter_map(|node| node.attribute("name")).collect()
        };
        let (attributes, elements) = (names("attribute"), names("element"));
        let mut words = Vec::new();
        if !attributes.is_empty() {
            words.push(format!("attributes {}", attributes.join(", ")));
        }
        if !elements.is_empty() {
            words.push(format!("elements {}", elements.join(", ")));
        }
        if words.is_empty() { "nothing".into() } else { words.join("; ") }
    }

    pub fn roots(&self) -> Vec<&str> {
        let root = self.document.root_element();
        root.children().filter(|n| is(n, "element")).filter_map(|n| n.attribute("name")).collect()
    }

    fn attribute(&self, path: &[&str], name: &str) -> Option<Node<'_, 'a>> {
        let found = self.parts(self.element(path)?, "attribute");
        found.into_iter().find(|node| node.attribute("name") == Some(name))
    }

    fn element(&self, path: &[&str]) -> Option<Node<'_, 'a>> {
        let (root, rest) = path.split_first()?;
        let mut found = self
            .document
            .root_element()
            .children()
            .find(|n| is(n, "element") && n.attribute("name") == Some(root))?;
        for name in rest {
            let parts = self.parts(found, "element");
            found = parts.into_iter().find(|node| node.attribute("name") == Some(name))?;
        }
        Some(found)
    }

    /// Declarations of this kind that belong to the element itself, its named type looked up.
    fn parts(&self, element: Node<'_, 'a>, kind: &str) -> Vec<Node<'_, 'a>> {
        let named = element.attribute("type").and_then(|name| self.named("complexType", name));
        let inline = self.document.get_node(element.id()).into_iter();
        let inline = inline.flat_map(|node| node.children().filter(|n| is(n, "complexType")));
        let mut found = Vec::new();
        for content in named.into_iter().chain(inline) {
            gather(content, kind, &mut found);
        }
        found
    }

    fn named(&self, kind: &str, name: &str) -> Option<Node<'_, 'a>> {
        let root = self.document.root_element();
        root.children().find(|n| is(n, kind) && n.attribute("name") == Some(name))
    }
}

fn is(node: &Node, name: &str) -> bool {
    node.has_tag_name((XS, name))
}

fn within<'d, 'i>(node: Node<'d, 'i>, name: &'static str) -> impl Iterator<Item = Node<'d, 'i>> {
    node.descendants().filter(move |node| is(node, name))
}

/// Does not look into the elements declared inside.
fn gather<'d, 'i>(node: Node<'d, 'i>, kind: &str, found: &mut Vec<Node<'d, 'i>>) {
    for child in node.children().filter(Node::is_element) {
        if is(&child, kind) {
            found.push(child);
        }
        if !is(&child, "element") && !is(&child, "attribute") {
            gather(child, kind, found);
        }
    }
}
