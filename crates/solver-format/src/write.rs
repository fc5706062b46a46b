//! Writes a problem as an XML file.

use std::fmt::{self, Write};

use lockcroft_solver::Class;

use crate::read::NamedProblem;

/// Returns a problem as XML that [`NamedProblem::read`] accepts. Numbers are written with full precision, but times are
/// rounded to microseconds when they are read.
///
/// # Panics
/// Panics if an index of the problem has no name.
#[must_use]
pub fn problem_xml(named: &NamedProblem) -> String {
    let mut out = String::new();
    write_problem(&mut out, named).expect("writing to a string does not fail");
    out
}

fn write_problem(out: &mut String, named: &NamedProblem) -> fmt::Result {
    write!(out, "<problem crossing=\"{}\">\n  <zones>", named.problem.crossing_cost)?;
    for zone in &named.zones {
        write!(out, "<zone name=\"{zone}\"/>")?;
    }
    out.write_str("</zones>\n  <servers>\n")?;
    write_endpoints(out, named)?;
    out.write_str("  </servers>\n  <classes>\n")?;
    for (name, class) in named.classes.iter().zip(&named.problem.classes) {
        write_class(out, named, name, class)?;
    }
    out.write_str("  </classes>\n</problem>\n")
}

fn write_endpoints(out: &mut String, named: &NamedProblem) -> fmt::Result {
    for (name, endpoint) in named.endpoints.iter().zip(&named.problem.endpoints) {
        let zone = &named.zones[endpoint.zone];
        write!(out, "    <server name=\"{name}\" zone=\"{zone}\" cores=\"{}\"", endpoint.capacity)?;
        if endpoint.slow_start_factor < 1.0 {
            write!(out, " warmth=\"{}\"", endpoint.slow_start_factor)?;
        }
        if endpoint.is_unavailable {
            out.write_str(" withdrawn=\"true\"")?;
        }
        out.write_str("/>\n")?;
    }
    Ok(())
}

fn write_class(out: &mut String, named: &NamedProblem, name: &str, class: &Class) -> fmt::Result {
    write!(
        out,
        "    <class name=\"{name}\" work=\"{}s\" contract-time=\"{}s\" earnings=\"{}\"",
        class.work, class.latency_objective, class.value
    )?;
    if !class.allowed_zones.is_empty() {
        write_names(out, "only-zones", &class.allowed_zones, &named.zones)?;
    }
    if let Some(endpoints) = &class.allowed_endpoints {
        write_names(out, "only-servers", endpoints, &named.endpoints)?;
    }
    out.write_str(">\n")?;
    for (zone, requests) in named.zones.iter().zip(&class.demand).filter(|(_, requests)| **requests > 0.0) {
        writeln!(out, "      <demand zone=\"{zone}\" visits-per-s=\"{requests}\"/>")?;
    }
    out.write_str("    </class>\n")
}

/// Writes an attribute with the names of the given indices, separated by spaces.
fn write_names(out: &mut String, attribute: &str, indices: &[usize], names: &[String]) -> fmt::Result {
    let selected: Vec<&str> = indices.iter().map(|index| names[*index].as_str()).collect();
    write!(out, " {attribute}=\"{}\"", selected.join(" "))
}
