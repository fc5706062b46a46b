//! Writes a solution as JSON.

use lockcroft_solver::{ShedReason, Solution};
use serde_json::{Value, json};

use crate::read::NamedProblem;

/// Returns a solution as JSON for programs, with a table for each class and zone of the proxies.
///
/// # Panics
/// Panics if the solution does not belong to the problem.
#[must_use]
pub fn solution_json(named: &NamedProblem, solution: &Solution) -> Value {
    let objective = solution.objective;
    let rates = named.classes.iter().zip(&solution.admission_rates);
    let tables = (0..named.classes.len())
        .flat_map(|class| (0..named.zones.len()).map(move |zone| table_json(named, solution, class, zone)));
    json!({
        "objective": {"total": objective.total(), "earned": objective.value, "crossing": objective.crossing_cost,
            "lateness": objective.latency_cost},
        "classes": rates.map(|(name, rate)| json!({"name": name, "let_in": rate})).collect::<Vec<_>>(),
        "dropped": solution.shed.iter().map(|shed| shed_json(named, shed)).collect::<Vec<_>>(),
        "servers": (0..named.endpoints.len())
            .map(|endpoint| endpoint_json(named, solution, endpoint))
            .collect::<Vec<_>>(),
        "tables": tables.collect::<Vec<_>>(),
    })
}

fn endpoint_json(named: &NamedProblem, solution: &Solution, endpoint: usize) -> Value {
    json!({
        "name": named.endpoints[endpoint],
        "cores": named.problem.endpoints[endpoint].available_capacity(),
        "weight": solution.weights[endpoint],
        "load": solution.loads[endpoint],
    })
}

fn shed_json(named: &NamedProblem, shed: &ShedReason) -> Value {
    let competitors: Vec<&String> =
        shed.competing_classes.iter().map(|class| &named.classes[*class]).collect();
    json!({
        "class": named.classes[shed.class],
        "visits_per_s": shed.request_rate,
        "restored_by_cores": shed.missing_capacity,
        "cores": shed.capacity,
        "before_it": competitors,
    })
}

fn table_json(named: &NamedProblem, solution: &Solution, class: usize, zone: usize) -> Value {
    let entry =
        |(endpoint, weight): (usize, u32)| json!({"server": named.endpoints[endpoint], "weight": weight});
    let entries: Vec<Value> = solution.table_weights(class, zone).into_iter().map(entry).collect();
    json!({"class": named.classes[class], "zone": named.zones[zone], "lines": entries})
}
