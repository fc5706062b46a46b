//! A solver's problem as a file, and its answer for people: XML by a schema in, text, JSON and a
//! picture out. What a running pilot solved last can be written as such a file and solved again.

mod picture;
mod read;
mod tell;
mod write;

pub use picture::picture;
pub use read::{NamedProblem, SCHEMA};
pub use tell::{json, text};
pub use write::write;
