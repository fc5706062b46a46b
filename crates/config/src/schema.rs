//! Looks up the declarations of elements and attributes in the text of a schema: the types of attributes, and the
//! descriptions of allowed values for errors. The validation itself is done by the library `xsd_schema`.

use roxmltree::{Document, Node};

/// The namespace of schema elements.
const XML_SCHEMA: &str = "http://www.w3.org/2001/XMLSchema";

/// The declarations of one schema file.
pub(crate) struct Schema<'a> {
    document: Document<'a>,
}

impl<'a> Schema<'a> {
    /// Parses the text of a schema.
    ///
    /// # Panics
    /// Panics if the text is not well-formed. Schemas are part of the program and covered by its tests.
    pub fn new(text: &'a str) -> Self {
        Schema { document: Document::parse(text).expect("the schema is well-formed") }
    }

    /// Returns the name of an attribute's type, such as `time`; `None` if the attribute is not declared or its type has
    /// no name. The path lists the names of the elements from the root.
    pub fn attribute_type(&self, path: &[&str], attribute: &str) -> Option<&str> {
        self.attribute(path, attribute)?.attribute("type")
    }

    /// Describes the values that an attribute allows.
    pub fn allowed_value(&self, path: &[&str], attribute: &str) -> Option<String> {
        let declaration = self.attribute(path, attribute)?;
        let value_type = match declaration.attribute("type") {
            Some(name) => match self.named_type("simpleType", name) {
                Some(value_type) => value_type,
                None => return Some(format!("a value of type {name}")),
            },
            None => declaration,
        };
        let enumerated: Vec<&str> = schema_descendants(value_type, "enumeration")
            .filter_map(|value| value.attribute("value"))
            .collect();
        if !enumerated.is_empty() {
            return Some(format!("one of {}", enumerated.join(", ")));
        }
        let documentation = schema_descendants(value_type, "documentation").next()?;
        documentation.text().map(|text| text.trim().to_string())
    }

    /// Describes the attributes and child elements that an element allows.
    pub fn allowed_in(&self, path: &[&str]) -> String {
        let Some(element) = self.element(path) else { return "nothing".into() };
        let mut phrases = Vec::new();
        for (kind, plural) in [("attribute", "attributes"), ("element", "elements")] {
            let declarations = self.declarations(element, kind);
            let names: Vec<&str> = declarations.iter().filter_map(|node| node.attribute("name")).collect();
            if !names.is_empty() {
                phrases.push(format!("{plural} {}", names.join(", ")));
            }
        }
        if phrases.is_empty() { "nothing".into() } else { phrases.join("; ") }
    }

    /// Returns the names of the root elements.
    pub fn roots(&self) -> Vec<&str> {
        self.root_declarations().filter_map(|node| node.attribute("name")).collect()
    }

    fn root_declarations(&self) -> impl Iterator<Item = Node<'_, 'a>> {
        self.document.root_element().children().filter(|node| is_schema_node(node, "element"))
    }

    fn attribute(&self, path: &[&str], name: &str) -> Option<Node<'_, 'a>> {
        let declarations = self.declarations(self.element(path)?, "attribute");
        declarations.into_iter().find(|node| node.attribute("name") == Some(name))
    }

    fn element(&self, path: &[&str]) -> Option<Node<'_, 'a>> {
        let (root, descendants) = path.split_first()?;
        let mut element = self.root_declarations().find(|node| node.attribute("name") == Some(*root))?;
        for name in descendants {
            let declarations = self.declarations(element, "element");
            element = declarations.into_iter().find(|node| node.attribute("name") == Some(*name))?;
        }
        Some(element)
    }

    /// Returns the declarations of this kind, `attribute` or `element`, in an element's type. The type is either named
    /// or declared inside the element.
    fn declarations<'s>(&'s self, element: Node<'s, 'a>, kind: &str) -> Vec<Node<'s, 'a>> {
        let named_type = element.attribute("type").and_then(|name| self.named_type("complexType", name));
        let inline_types = element.children().filter(|node| is_schema_node(node, "complexType"));
        let mut found = Vec::new();
        for content in named_type.into_iter().chain(inline_types) {
            collect_declarations(content, kind, &mut found);
        }
        found
    }

    fn named_type(&self, kind: &str, name: &str) -> Option<Node<'_, 'a>> {
        let mut children = self.document.root_element().children();
        children.find(|node| is_schema_node(node, kind) && node.attribute("name") == Some(name))
    }
}

fn is_schema_node(node: &Node, name: &str) -> bool {
    node.has_tag_name((XML_SCHEMA, name))
}

fn schema_descendants<'d, 'i>(node: Node<'d, 'i>, name: &'static str) -> impl Iterator<Item = Node<'d, 'i>> {
    node.descendants().filter(move |node| is_schema_node(node, name))
}

/// Collects the declarations of this kind, but not those nested in other declarations.
fn collect_declarations<'d, 'i>(node: Node<'d, 'i>, kind: &str, found: &mut Vec<Node<'d, 'i>>) {
    for child in node.children().filter(Node::is_element) {
        if is_schema_node(&child, kind) {
            found.push(child);
        }
        if !is_schema_node(&child, "element") && !is_schema_node(&child, "attribute") {
            collect_declarations(child, kind, found);
        }
    }
}
