//! `lockcroft solve`.

use std::path::Path;
use std::process::ExitCode;

use lockcroft_solver::ProblemError;
use lockcroft_solver_format::{NamedProblem, json, picture, text};

use crate::faults_json;

pub fn solve(file: &Path, as_json: bool, drawn: Option<&Path>) -> ExitCode {
    let named = match NamedProblem::open(file) {
        Ok(named) => named,
        Err(faults) => {
            if as_json {
                println!("{}", faults_json(&faults));
            } else {
                eprintln!("{faults}");
            }
            return ExitCode::from(2);
        }
    };
    let answer = match lockcroft_solver::solve(&named.problem) {
        Ok(answer) => answer,
        Err(fault) => {
            eprintln!("lockcroft: {}: {}", file.display(), named_fault(&named, &fault));
            return ExitCode::from(2);
        }
    };
    if as_json {
        println!("{:#}", json(&named, &answer));
    } else {
        print!("{}", text(&named, &answer));
    }
    let Some(path) = drawn else { return ExitCode::SUCCESS };
    let written = picture(&named, &answer)
        .map_err(|e| e.to_string())
        .and_then(|svg| std::fs::write(path, svg).map_err(|e| e.to_string()));
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("lockcroft: {}: {wrong}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn named_fault(named: &NamedProblem, fault: &ProblemError) -> String {
    let entry = match fault {
        ProblemError::Endpoint(place, ..) => named.servers.get(*place),
        ProblemError::Class(place, ..) | ProblemError::Place(place, ..) => named.classes.get(*place),
        ProblemError::Crossing(_) => None,
    };
    entry.map_or_else(|| fault.to_string(), |entry| format!("{entry} ({fault})"))
}
