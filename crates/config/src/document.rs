//! One XML file, checked against its schema.

use std::path::{Path, PathBuf};

use roxmltree::Node;
use xsd_schema::validation::{
    CollectingValidationSink, SchemaValidator, ValidationError, ValidationFlags, drive_quick_xml,
};
use xsd_schema::{SchemaSet, load_and_process_schema};

use crate::error::{ConfigError, ConfigErrors};
use crate::schema::Schema;
use crate::xml::element_names;

/// The constraint of the schema specification that an unknown element breaks.
const UNKNOWN_ELEMENT: &str = "cvc-elt.1";
/// How constraints on the attributes and elements of an element start.
const CONTENT_CONSTRAINT_PREFIX: &str = "cvc-complex-type";

/// A file's text with its name and the schema that it was checked against.
pub struct Document {
    file: PathBuf,
    text: String,
    schema_text: &'static str,
    schema: Schema<'static>,
}

impl Document {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, is no XML, or breaks the schema.
    pub fn open(file: &Path, schema: &'static str) -> Result<Self, ConfigErrors> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| ConfigError::without_element(file, 0, format!("cannot be read: {error}")))?;
        Document::new(file, text, schema)
    }

    /// Checks a text; the file's name is only for errors and as the base of relative paths.
    ///
    /// # Errors
    /// The text is no XML or breaks the schema.
    pub fn new(file: &Path, text: String, schema: &'static str) -> Result<Self, ConfigErrors> {
        let document = Document { file: file.into(), text, schema_text: schema, schema: Schema::new(schema) };
        document.check()?;
        Ok(document)
    }

    /// Name of the file.
    #[must_use]
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// The text of the file.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The tree of the text.
    ///
    /// # Panics
    /// Never: the text was parsed when it was checked.
    #[must_use]
    pub fn tree(&self) -> roxmltree::Document<'_> {
        roxmltree::Document::parse(&self.text).expect("checked when it was read")
    }

    /// The type that the schema gives an attribute.
    #[must_use]
    pub fn attribute_type(&self, node: Node, attribute: &str) -> Option<String> {
        let names = element_names(node);
        let path: Vec<&str> = names.iter().map(String::as_str).collect();
        self.schema.attribute_type(&path, attribute).map(String::from)
    }

    /// An error at this element, of a kind that no schema can express.
    #[must_use]
    pub fn error(&self, node: Node, message: impl Into<String>, expected: Option<&str>) -> ConfigError {
        ConfigError {
            file: self.file.clone(),
            line: line_of(node),
            element: format!("/{}", element_names(node).join("/")),
            message: message.into(),
            expected: expected.map(String::from),
        }
    }

    fn check(&self) -> Result<(), ConfigErrors> {
        let tree = roxmltree::Document::parse(&self.text).map_err(|error| {
            let message = format!("not well-formed: {error}");
            ConfigError::without_element(&self.file, error.pos().row, message)
        })?;
        let mut errors = self.validate(&tree);
        // Everything in an unknown element is unknown as well; one message is enough.
        errors.dedup_by(|next, first| first.line == next.line && next.message.contains("is not declared"));
        errors.sort_by_key(|error| error.line);
        if errors.is_empty() { Ok(()) } else { Err(ConfigErrors(errors)) }
    }

    /// What the schema's validator reports.
    fn validate(&self, tree: &roxmltree::Document) -> Vec<ConfigError> {
        let mut schemas = SchemaSet::new();
        load_and_process_schema(self.schema_text.as_bytes(), "schema.xsd", &mut schemas, None)
            .expect("the schema is sound");
        let mut violations = Vec::new();
        let mut warnings = Vec::new();
        let validator = SchemaValidator::new(&schemas, ValidationFlags::default());
        let sink = CollectingValidationSink { errors: &mut violations, warnings: &mut warnings };
        let mut run = validator.start_run(sink);
        let driven = drive_quick_xml(self.text.as_bytes(), &mut run, &schemas);
        drop(run);
        let mut errors: Vec<ConfigError> =
            violations.iter().map(|violation| self.explain(tree, violation)).collect();
        if let Err(error) = driven {
            errors.push(self.error(tree.root_element(), error.to_string(), None));
        }
        errors
    }

    /// A violation with what the schema allows in its place.
    fn explain(&self, tree: &roxmltree::Document, violation: &ValidationError) -> ConfigError {
        let path = violation.instance_path().map(ToString::to_string).unwrap_or_default();
        let place = locate(tree, &path);
        let names = element_names(place.element);
        let path: Vec<&str> = names.iter().map(String::as_str).collect();
        // A constraint on an element's content is about the element, even where its path ends in an attribute.
        let is_about_content = violation.constraint.starts_with(CONTENT_CONSTRAINT_PREFIX);
        let mut message = violation.message.clone();
        let expected = match place.attribute.filter(|_| !is_about_content) {
            Some(name) => {
                let value = place.element.attribute(name.as_str()).unwrap_or_default();
                message = format!("attribute {name}: {value:?} does not fit");
                self.schema.allowed_value(&path, &name)
            }
            None if violation.constraint == UNKNOWN_ELEMENT => Some(self.allowed_instead_of(&path)),
            None => Some(self.schema.allowed_in(&path)),
        };
        self.error(place.element, message, expected.as_deref())
    }

    /// What may stand in the place of an unknown element.
    fn allowed_instead_of(&self, path: &[&str]) -> String {
        match path.split_last() {
            Some((_, parent)) if !parent.is_empty() => self.schema.allowed_in(parent),
            _ => format!("the root elements {}", self.schema.roots().join(", ")),
        }
    }
}

fn line_of(node: Node) -> u32 {
    node.document().text_pos_at(node.range().start).row
}

/// Where a violation is.
struct Place<'d, 'i> {
    element: Node<'d, 'i>,
    attribute: Option<String>,
}

/// Finds the place of a positional path, as `/Q{}a[1]/Q{}b[2]/@Q{}c`.
fn locate<'d, 'i>(tree: &'d roxmltree::Document<'i>, path: &str) -> Place<'d, 'i> {
    let mut node = tree.root();
    for step in path.split("/").filter(|step| !step.is_empty()) {
        let step = step.replace("Q{}", "");
        if let Some(attribute) = step.strip_prefix('@') {
            return Place { element: node, attribute: Some(attribute.to_string()) };
        }
        let (name, position) = step.split_once('[').unwrap_or((&step, "1]"));
        let position: usize = position.trim_end_matches(']').parse().unwrap_or(1);
        let mut siblings = node.children().filter(|child| child.has_tag_name(name));
        match siblings.nth(position.saturating_sub(1)) {
            Some(child) => node = child,
            None => break,
        }
    }
    let element = if node.is_element() { node } else { tree.root_element() };
    Place { element, attribute: None }
}
