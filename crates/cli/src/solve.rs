//! `lockcroft solve`.

use std::path::Path;
use std::process::ExitCode;

use lockcroft_solver::Fault;
use lockcroft_solver_format::{Named, json, picture, text};

use crate::faults_json;

pub fn solve(file: &Path, as_json: bool, drawn: Option<&Path>) -> ExitCode {
    let named = match Named::open(file) {
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
    let written =
        picture(&named, &answer).and_then(|svg| std::fs::write(path, svg).map_err(|e| e.to_string()));
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("lockcroft: {}: {wrong}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn named_fault(named: &Named, fault: &Fault) -> String {
    let entry = match fault {
        Fault::Server(place, ..) => named.servers.get(*place),
        Fault::Class(place, ..) | Fault::Place(place, ..) => named.classes.get(*place),
        Fault::Crossing(_) => None,
    };
    entry.map_or_else(|| fault.to_string(), |entry| format!("{entry} ({fault})"))
}
