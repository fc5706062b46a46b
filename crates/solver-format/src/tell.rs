//! Answers in words and as JSON.

use std::fmt::{self, Display, Formatter};

use lockcroft_solver::{Answer, LoadDistribution, ShedReason};
use serde_json::{Value, json};

use crate::read::NamedProblem;

/// An answer for people: what is dropped and why, then a line for each server.
pub fn text<'a>(named: &'a NamedProblem, answer: &'a Answer) -> impl Display + 'a {
    Text { named, answer }
}

struct Text<'a> {
    named: &'a NamedProblem,
    answer: &'a Answer,
}

impl Display for Text<'_> {
    fn fmt(&self, out: &mut Formatter) -> fmt::Result {
        let Text { named, answer } = self;
        let part = answer.objective;
        writeln!(
            out,
            "{:.2} earnings a second: {:.2} by visits let in, less {:.2} crossing, less {:.2} lateness",
            part.total(),
            part.earned,
            part.crossing,
            part.lateness
        )?;
        for (class, let_in) in answer.let_in.iter().enumerate() {
            writeln!(out, "class {}: {:.1}% let in", named.classes[class], let_in * 100.0)?;
        }
        answer.dropped.iter().try_for_each(|dropped| self.dropped(dropped, out))?;
        let alike = LoadDistribution::new(&named.problem).loads(&vec![1; named.servers.len()], &[]);
        writeln!(
            out,
            "{:24} {:>10} {:>6} {:>6} {:>10} {:>12}",
            "server", "cores now", "weight", "load", "used", "used alike"
        )?;
        for (place, name) in named.servers.iter().enumerate() {
            let room = named.problem.servers[place].room();
            let share =
                |load: f64| if room > 0.0 { format!("{:.0}%", load / room * 100.0) } else { "-".into() };
            writeln!(
                out,
                "{name:24} {room:>10.2} {:>6} {:>6.2} {:>10} {:>12}",
                answer.weights[place],
                answer.loads[place],
                share(answer.loads[place]),
                share(alike[place])
            )?;
        }
        Ok(())
    }
}

impl Text<'_> {
    fn dropped(&self, dropped: &ShedReason, out: &mut Formatter) -> fmt::Result {
        let ShedReason { class, visits, restored_by, room, before } = dropped;
        let classes = &self.named.classes;
        write!(
            out,
            "dropped {}: {visits:.1} visits a second; {restored_by:.2} cores more than the {room:.2} that it may use would take them in",
            classes[*class]
        )?;
        if !before.is_empty() {
            let names: Vec<&str> = before.iter().map(|class| classes[*class].as_str()).collect();
            write!(out, "; there before it: {}", names.join(", "))?;
        }
        writeln!(out)
    }
}

/// The same for programs; tables by class and zone of the proxies.
pub fn json(named: &NamedProblem, answer: &Answer) -> Value {
    let NamedProblem { zones, servers, classes, .. } = named;
    let part = answer.objective;
    let server = |place: usize| {
        json!({"name": servers[place], "cores": named.problem.servers[place].room(), "weight": answer.weights[place],
            "load": answer.loads[place]})
    };
    let dropped = |dropped: &ShedReason| {
        let before: Vec<&String> = dropped.before.iter().map(|class| &classes[*class]).collect();
        json!({"class": classes[dropped.class], "visits_per_s": dropped.visits,
            "restored_by_cores": dropped.restored_by, "cores": dropped.room, "before_it": before})
    };
    let table = |class: usize, zone: usize| {
        let line = |(place, weight): &(usize, u32)| json!({"server": servers[*place], "weight": weight});
        let lines: Vec<Value> = answer.table(class, zone).iter().map(line).collect();
        json!({"class": classes[class], "zone": zones[zone], "lines": lines})
    };
    let tables = (0..classes.len()).flat_map(|class| (0..zones.len()).map(move |zone| (class, zone)));
    let let_in = classes.iter().zip(&answer.let_in);
    json!({
        "objective": {"total": part.total(), "earned": part.earned, "crossing": part.crossing, "lateness": part.lateness},
        "classes": let_in.map(|(name, share)| json!({"name": name, "let_in": share})).collect::<Vec<_>>(),
        "dropped": answer.dropped.iter().map(dropped).collect::<Vec<_>>(),
        "servers": (0..servers.len()).map(server).collect::<Vec<_>>(),
        "tables": tables.map(|(class, zone)| table(class, zone)).collect::<Vec<_>>(),
    })
}
