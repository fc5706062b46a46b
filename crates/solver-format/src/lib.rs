//! File formats of solver problems, and output formats of solutions.
//!
//! A problem is an XML file with a schema. A solution is written as text, JSON or an SVG chart. A running controller
//! can write its last problem as an XML file, to be solved again elsewhere. Names of elements, attributes and JSON keys
//! are part of the interface; the modules `read`, `write` and `json` map them to the names of the solver.

#![warn(missing_docs)]

mod json;
mod picture;
mod read;
mod text;
mod write;

pub use json::solution_json;
pub use picture::{DrawingError, solution_svg};
pub use read::{NamedProblem, SCHEMA};
pub use text::solution_text;
pub use write::problem_xml;
