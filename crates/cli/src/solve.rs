//! `lockcroft solve`: computes weights for a problem in a file.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use lockcroft_solver::{Answer, ProblemError};
use lockcroft_solver_format::{NamedProblem, json, picture, text};

use crate::error::{CliError, report};
use crate::serve::{EXIT_USAGE, config_errors_json};

#[derive(Args)]
pub struct SolveCommand {
    file: PathBuf,
    /// Print the answer as JSON, with the tables of each class and zone.
    #[arg(long)]
    json: bool,
    /// Write a chart of load and capacity, before and after, to this SVG file.
    #[arg(long)]
    picture: Option<PathBuf>,
}

impl SolveCommand {
    pub fn run(self) -> ExitCode {
        let problem = match NamedProblem::open(&self.file) {
            Ok(problem) => problem,
            Err(errors) => {
                if self.json {
                    println!("{}", config_errors_json(&errors));
                } else {
                    eprintln!("{errors}");
                }
                return ExitCode::from(EXIT_USAGE);
            }
        };
        let answer = match lockcroft_solver::solve(&problem.problem) {
            Ok(answer) => answer,
            Err(error) => {
                eprintln!("lockcroft: {}: {}", self.file.display(), describe(&problem, &error));
                return ExitCode::from(EXIT_USAGE);
            }
        };
        if self.json {
            println!("{:#}", json(&problem, &answer));
        } else {
            print!("{}", text(&problem, &answer));
        }
        let Some(path) = self.picture else { return ExitCode::SUCCESS };
        report(write_picture(&path, &problem, &answer).map(|()| ExitCode::SUCCESS))
    }
}

fn write_picture(path: &Path, problem: &NamedProblem, answer: &Answer) -> Result<(), CliError> {
    let svg = picture(problem, answer).map_err(|error| CliError::at(path, error))?;
    std::fs::write(path, svg).map_err(|error| CliError::at(path, error))
}

/// Returns the text of a solver error, with the name of the endpoint or class that it concerns.
fn describe(problem: &NamedProblem, error: &ProblemError) -> String {
    let name = match error {
        ProblemError::Endpoint(index, ..) => problem.endpoints.get(*index),
        ProblemError::Class(index, ..) | ProblemError::Place(index, ..) => problem.classes.get(*index),
        ProblemError::CrossingCost(_) => None,
    };
    name.map_or_else(|| error.to_string(), |name| format!("{name} ({error})"))
}
