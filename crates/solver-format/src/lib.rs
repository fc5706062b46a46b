//! Solver problems as files, and answers for people and programs.
//!
//! A problem is an XML file with a schema; an answer becomes text, JSON or a picture. A running controller can write its
//! last problem as such a file, which can then be solved again elsewhere. Names of elements, attributes and JSON keys are
//! part of the interface; `read`, `write`, `text` and `json` map them.

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
