//! An XML file that is validated against its schema.

use std::path::{Path, PathBuf};

use roxmltree::Node;
use xsd_schema::validation::{
    CollectingValidationSink, SchemaValidator, ValidationError, ValidationFlags, drive_quick_xml,
};
use xsd_schema::{SchemaSet, load_and_process_schema};

use crate::error::{ConfigError, ConfigErrors};
use crate::schema::Schema;
use crate::xml::element_names;

/// The constraint of the XML Schema specification that an undeclared element violates.
const UNDECLARED_ELEMENT_CONSTRAINT: &str = "cvc-elt.1";
/// The prefix of the constraints on the attributes and child elements of an element.
const CONTENT_CONSTRAINT_PREFIX: &str = "cvc-complex-type";

/// The text of a file, its name, and the schema that it was validated against.
pub struct Document {
    file: PathBuf,
    text: String,
    schema_text: &'static str,
    schema: Schema<'static>,
}

impl Document {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or is not well-formed, or else all violations of the schema.
    pub fn open(file: &Path, schema: &'static str) -> Result<Self, ConfigErrors> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| ConfigError::without_element(file, 0, format!("cannot be read: {error}")))?;
        Document::new(file, text, schema)
    }

    /// Validates a text. The file name is used in errors and as the base of relative paths; the file is not read.
    ///
    /// # Errors
    /// Returns an error if the text is not well-formed, or else all violations of the schema.
    pub fn new(file: &Path, text: String, schema: &'static str) -> Result<Self, ConfigErrors> {
        let document = Document { file: file.into(), text, schema_text: schema, schema: Schema::new(schema) };
        document.check()?;
        Ok(document)
    }

    /// Returns the name of the file.
    #[must_use]
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Returns the text of the file.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the text as a parsed tree. Each call parses the text again.
    ///
    /// # Panics
    /// Never: the text was parsed when the document was validated.
    #[must_use]
    pub fn tree(&self) -> roxmltree::Document<'_> {
        roxmltree::Document::parse(&self.text).expect("the text was parsed when it was validated")
    }

    /// Returns the name of the type that the schema declares for an attribute; `None` if the attribute is not declared
    /// or its type has no name.
    #[must_use]
    pub fn attribute_type(&self, node: Node, attribute: &str) -> Option<String> {
        let names = element_names(node);
        let path: Vec<&str> = names.iter().map(String::as_str).collect();
        self.schema.attribute_type(&path, attribute).map(String::from)
    }

    /// Returns an error at this element, for a violation of a constraint that a schema can't express.
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
        // The content of an undeclared element is undeclared as well; one error for each line is enough.
        errors.dedup_by(|next, first| first.line == next.line && next.message.contains("is not declared"));
        errors.sort_by_key(|error| error.line);
        if errors.is_empty() { Ok(()) } else { Err(ConfigErrors(errors)) }
    }

    /// Returns the violations that the schema validator reports.
    fn validate(&self, tree: &roxmltree::Document) -> Vec<ConfigError> {
        let mut schemas = SchemaSet::new();
        load_and_process_schema(self.schema_text.as_bytes(), "schema.xsd", &mut schemas, None)
            .expect("the schema is valid");
        let mut violations = Vec::new();
        let mut warnings = Vec::new();
        let validator = SchemaValidator::new(&schemas, ValidationFlags::default());
        let sink = CollectingValidationSink { errors: &mut violations, warnings: &mut warnings };
        let mut run = validator.start_run(sink);
        let outcome = drive_quick_xml(self.text.as_bytes(), &mut run, &schemas);
        drop(run);
        let mut errors: Vec<ConfigError> =
            violations.iter().map(|violation| self.explain(tree, violation)).collect();
        if let Err(error) = outcome {
            errors.push(self.error(tree.root_element(), error.to_string(), None));
        }
        errors
    }

    /// Converts a violation to an error that states what the schema allows there.
    fn explain(&self, tree: &roxmltree::Document, violation: &ValidationError) -> ConfigError {
        let path = violation.instance_path().map(ToString::to_string).unwrap_or_default();
        let location = locate(tree, &path);
        let names = element_names(location.element);
        let path: Vec<&str> = names.iter().map(String::as_str).collect();
        // A constraint on the content of an element concerns the element, even if the path ends in an attribute.
        let concerns_content = violation.constraint.starts_with(CONTENT_CONSTRAINT_PREFIX);
        let mut message = violation.message.clone();
        let expected = match location.attribute.filter(|_| !concerns_content) {
            Some(name) => {
                let value = location.element.attribute(name.as_str()).unwrap_or_default();
                message = format!("attribute {name}: {value:?} does not fit");
                self.schema.allowed_value(&path, &name)
            }
            None if violation.constraint == UNDECLARED_ELEMENT_CONSTRAINT => {
                Some(self.allowed_instead_of(&path))
            }
            None => Some(self.schema.allowed_in(&path)),
        };
        self.error(location.element, message, expected.as_deref())
    }

    /// Describes the elements that are allowed where an undeclared element was found.
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

/// The location of a violation: an element, and the attribute if the violation concerns one.
struct Location<'d, 'i> {
    element: Node<'d, 'i>,
    attribute: Option<String>,
}

/// Resolves a positional path such as `/Q{}a[1]/Q{}b[2]/@Q{}c`. A step that matches nothing ends the path at its parent.
fn locate<'d, 'i>(tree: &'d roxmltree::Document<'i>, path: &str) -> Location<'d, 'i> {
    let mut node = tree.root();
    for step in path.split("/").filter(|step| !step.is_empty()) {
        let step = step.replace("Q{}", "");
        if let Some(attribute) = step.strip_prefix('@') {
            return Location { element: node, attribute: Some(attribute.to_string()) };
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
    Location { element, attribute: None }
}
