//! One XML file, read and checked by a schema, with each fault at its line.

use std::fmt;
use std::path::{Path, PathBuf};

use roxmltree::Node;
use xsd_schema::validation::{
    CollectingValidationSink, SchemaValidator, ValidationError, ValidationFlags, drive_quick_xml,
};
use xsd_schema::{SchemaSet, load_and_process_schema};

use crate::schema::Schema;

/// One thing wrong with a file: where, what, and what is allowed there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: PathBuf,
    /// From 1; 0 where the file as a whole is meant.
    pub line: u32,
    /// The element, as `/lockcroft/fleet`.
    pub element: String,
    pub message: String,
    pub expected: Option<String>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{}:{}: ", self.file.display(), self.line)?;
        if !self.element.is_empty() {
            write!(out, "{}: ", self.element)?;
        }
        write!(out, "{}", self.message)?;
        self.expected.as_ref().map_or(Ok(()), |allowed| write!(out, "; allowed: {allowed}"))
    }
}

/// All that is wrong with a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        out.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ConfigErrors {}

/// A file's text together with its name and the schema that it is held against.
pub struct Document {
    file: PathBuf,
    text: String,
    schema: &'static str,
    /// The same, read once for all that is asked of it.
    declared: Schema<'static>,
}

impl Document {
    /// # Errors
    /// The file can't be read, is no XML, or breaks the schema.
    pub fn open(file: &Path, schema: &'static str) -> Result<Self, ConfigErrors> {
        let text = std::fs::read_to_string(file).map_err(|e| {
            let wrong = format!("cannot be read: {e}");
            ConfigErrors(vec![ConfigError {
                file: file.into(),
                line: 0,
                element: String::new(),
                message: wrong,
                expected: None,
            }])
        })?;
        Document::new(file, text, schema)
    }

    /// # Errors
    /// The text is no XML or breaks the schema.
    pub fn new(file: &Path, text: String, schema: &'static str) -> Result<Self, ConfigErrors> {
        let document = Document { file: file.into(), text, schema, declared: Schema::new(schema) };
        document.check().map(|()| document)
    }

    pub fn file(&self) -> &Path {
        &self.file
    }

    pub fn text(&self) -> &str {
        &self.text
    }

    /// The tree of a text that passed the schema.
    ///
    /// # Panics
    /// Never: the text was parsed when it was checked.
    pub fn tree(&self) -> roxmltree::Document<'_> {
        roxmltree::Document::parse(&self.text).expect("checked when it was read")
    }

    /// The type that the schema gives an attribute.
    pub fn attribute_type(&self, node: Node, attribute: &str) -> Option<String> {
        let names = names(node);
        let path: Vec<&str> = names.iter().map(String::as_str).collect();
        self.declared.attribute_type(&path, attribute).map(String::from)
    }

    /// A fault that no schema can see, at this element.
    pub fn error(&self, node: Node, wrong: impl Into<String>, allowed: Option<&str>) -> ConfigError {
        ConfigError {
            file: self.file.clone(),
            line: node.document().text_pos_at(node.range().start).row,
            element: format!("/{}", names(node).join("/")),
            message: wrong.into(),
            expected: allowed.map(String::from),
        }
    }

    fn check(&self) -> Result<(), ConfigErrors> {
        let tree = roxmltree::Document::parse(&self.text).map_err(|e| {
            let (line, wrong) = (e.pos().row, format!("not well-formed: {e}"));
            ConfigErrors(vec![ConfigError {
                file: self.file.clone(),
                line,
                element: String::new(),
                message: wrong,
                expected: None,
            }])
        })?;
        let mut set = SchemaSet::new();
        load_and_process_schema(self.schema.as_bytes(), "schema.xsd", &mut set, None)
            .expect("the schema is sound");
        let (mut errors, mut warnings) = (Vec::new(), Vec::new());
        let validator = SchemaValidator::new(&set, ValidationFlags::default());
        let sink = CollectingValidationSink { errors: &mut errors, warnings: &mut warnings };
        let mut run = validator.start_run(sink);
        let driven = drive_quick_xml(self.text.as_bytes(), &mut run, &set);
        drop(run);
        let mut faults: Vec<ConfigError> = errors.iter().map(|error| self.explain(&tree, error)).collect();
        if let Err(error) = driven {
            faults.push(self.error(tree.root_element(), error.to_string(), None));
        }
        // What stands inside an unknown element is unknown as well; one message is enough.
        faults.dedup_by(|b, a| a.line == b.line && b.message.contains("is not declared"));
        faults.sort_by_key(|fault| fault.line);
        if faults.is_empty() { Ok(()) } else { Err(ConfigErrors(faults)) }
    }

    fn explain(&self, tree: &roxmltree::Document, error: &ValidationError) -> ConfigError {
        let schema = &self.declared;
        let path = error.instance_path().map(ToString::to_string).unwrap_or_default();
        let (node, attribute) = locate(tree, &path);
        let names = names(node);
        let mut path: Vec<&str> = names.iter().map(String::as_str).collect();
        let value = attribute.as_ref().filter(|_| !error.constraint.starts_with("cvc-complex-type"));
        let mut wrong = error.message.clone();
        let allowed = match value {
            Some(name) => {
                let given = node.attribute(name.as_str()).unwrap_or_default();
                wrong = format!("attribute {name}: {given:?} does not fit");
                schema.allowed_value(&path, name)
            }
            None if error.constraint == "cvc-elt.1" => {
                path.pop();
                let roots = || format!("the root elements {}", schema.roots().join(", "));
                Some(if path.is_empty() { roots() } else { schema.allowed_in(&path) })
            }
            None => Some(schema.allowed_in(&path)),
        };
        let element = format!("/{}", names.join("/"));
        let line = tree.text_pos_at(node.range().start).row;
        ConfigError { file: self.file.clone(), line, element, message: wrong, expected: allowed }
    }
}

fn names(node: Node) -> Vec<String> {
    let mut names: Vec<String> =
        node.ancestors().filter(Node::is_element).map(|n| n.tag_name().name().to_string()).collect();
    names.reverse();
    names
}

/// The node of a positional path `/Q{}a[1]/Q{}b[2]/@Q{}c`, and the attribute that it ends in.
fn locate<'d, 'i>(tree: &'d roxmltree::Document<'i>, path: &str) -> (Node<'d, 'i>, Option<String>) {
    let mut node = tree.root();
    for step in path.split("/").filter(|step| !step.is_empty()) {
        let step = step.replace("Q{}", "");
        if let Some(attribute) = step.strip_prefix('@') {
            return (node, Some(attribute.to_string()));
        }
        let (name, place) = step.split_once('[').unwrap_or((&step, "1]"));
        let place: usize = place.trim_end_matches(']').parse().unwrap_or(1);
        let mut alike = node.children().filter(|child| child.has_tag_name(name));
        match alike.nth(place.saturating_sub(1)) {
            Some(child) => node = child,
            None => break,
        }
    }
    (if node.is_element() { node } else { tree.root_element() }, None)
}
