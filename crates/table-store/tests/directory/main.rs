//! Tests of the store in real directories, with real faults: damaged files, file system errors, killed and paused
//! processes.

mod faults;
mod kills;
mod selection;
mod support;
