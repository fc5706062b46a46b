//! Connects controllers to the simulator's line protocol. Translates events on standard input to calls of
//! [`lockcroft::Controller`], and its actions to lines on standard output. Makes no decisions itself.
//!
//! `batch_input` reads lines, and `event_reader` the fields of a line. `wire` maps the names of the protocol.
//! `instance` has a function for each kind of event, and `adapter` runs batches over all instances.

#![warn(missing_docs)]

mod adapter;
mod batch_input;
mod error;
mod event_reader;
mod instance;
mod wire;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match adapter::serve(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lockcroft-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
