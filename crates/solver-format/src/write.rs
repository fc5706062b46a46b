//! A problem as the file that it could be read from.

use std::fmt::Write;

use crate::read::NamedProblem;

/// The file's text. Figures are written so that they are read back as they are.
pub fn write(named: &NamedProblem) -> String {
    let NamedProblem { problem, zones, servers, classes } = named;
    let mut out = format!("<problem crossing=\"{}\">\n  <zones>", problem.crossing);
    // Writing to a String cannot fail.
    for zone in zones {
        let _ = write!(out, "<zone name=\"{zone}\"/>");
    }
    out += "</zones>\n  <servers>\n";
    for (name, server) in servers.iter().zip(&problem.servers) {
        let _ = write!(
            out,
            "    <server name=\"{name}\" zone=\"{}\" cores=\"{}\"",
            zones[server.zone], server.capacity
        );
        if server.warmth < 1.0 {
            let _ = write!(out, " warmth=\"{}\"", server.warmth);
        }
        if server.withdrawn {
            out += " withdrawn=\"true\"";
        }
        out += "/>\n";
    }
    out += "  </servers>\n  <classes>\n";
    for (name, class) in classes.iter().zip(&problem.classes) {
        let _ = write!(
            out,
            "    <class name=\"{name}\" work=\"{}s\" contract-time=\"{}s\" earnings=\"{}\"",
            class.work, class.contract_time, class.earnings
        );
        let mut list = |attribute: &str, places: &[usize], known: &[String]| {
            let names: Vec<&str> = places.iter().map(|place| known[*place].as_str()).collect();
            let _ = write!(out, " {attribute}=\"{}\"", names.join(" "));
        };
        if !class.zones.is_empty() {
            list("only-zones", &class.zones, zones);
        }
        class.servers.iter().for_each(|only| list("only-servers", only, servers));
        out += ">\n";
        for (zone, visits) in zones.iter().zip(&class.demand).filter(|(_, visits)| **visits > 0.0) {
            let _ = writeln!(out, "      <demand zone=\"{zone}\" visits-per-s=\"{visits}\"/>");
        }
        out += "    </class>\n";
    }
    out + "  </classes>\n</problem>\n"
}
