//! Hosts pilots on the simulator's wire: standard input to method calls, decisions to standard
//! output. Nothing is decided here.

mod codec;
mod host;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match host::serve(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("lockcroft-sim-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
