//! An answer as JSON.

use lockcroft_solver::{Answer, ShedReason};
use serde_json::{Value, json};

use crate::read::NamedProblem;

/// An answer for programs, with a table for each class and zone of the proxies.
#[must_use]
pub fn json(named: &NamedProblem, answer: &Answer) -> Value {
    let objective = answer.objective;
    let rates = named.classes.iter().zip(&answer.let_in);
    let tables = (0..named.classes.len())
        .flat_map(|class| (0..named.zones.len()).map(move |zone| table_json(named, answer, class, zone)));
    json!({
        "objective": {"total": objective.total(), "earned": objective.earned, "crossing": objective.crossing,
            "lateness": objective.lateness},
        "classes": rates.map(|(name, rate)| json!({"name": name, "let_in": rate})).collect::<Vec<_>>(),
        "dropped": answer.dropped.iter().map(|shed| shed_json(named, shed)).collect::<Vec<_>>(),
        "servers": (0..named.servers.len()).map(|endpoint| endpoint_json(named, answer, endpoint)).collect::<Vec<_>>(),
        "tables": tables.collect::<Vec<_>>(),
    })
}

fn endpoint_json(named: &NamedProblem, answer: &Answer, endpoint: usize) -> Value {
    json!({
        "name": named.servers[endpoint],
        "cores": named.problem.servers[endpoint].room(),
        "weight": answer.weights[endpoint],
        "load": answer.loads[endpoint],
    })
}

fn shed_json(named: &NamedProblem, shed: &ShedReason) -> Value {
    let competitors: Vec<&String> = shed.before.iter().map(|class| &named.classes[*class]).collect();
    json!({
        "class": named.classes[shed.class],
        "visits_per_s": shed.visits,
        "restored_by_cores": shed.restored_by,
        "cores": shed.room,
        "before_it": competitors,
    })
}

fn table_json(named: &NamedProblem, answer: &Answer, class: usize, zone: usize) -> Value {
    let entry =
        |(endpoint, weight): (usize, u32)| json!({"server": named.servers[endpoint], "weight": weight});
    let entries: Vec<Value> = answer.table(class, zone).into_iter().map(entry).collect();
    json!({"class": named.classes[class], "zone": named.zones[zone], "lines": entries})
}
