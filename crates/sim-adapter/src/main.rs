//! Runs controllers on the simulator's wire: events on standard input become calls of [`lockcroft::Controller`], and its
//! actions become lines on standard output. Nothing is decided here.
//!
//! `batch_input` reads lines, `event_reader` the fields of one, `wire` has all names of the wire, `instance` handles
//! one kind of event in a function each, and `adapter` runs batches over all instances.

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
