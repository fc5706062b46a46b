//! Writes a solution as text.

use std::fmt::{self, Display, Formatter};

use lockcroft_solver::{LoadDistribution, ShedReason, Solution};

use crate::read::NamedProblem;

/// Returns a solution as text: the objective, the admission rates, the shed classes with the reason, and the load of
/// each endpoint.
///
/// # Panics
/// Displaying the result panics if the solution does not belong to the problem.
pub fn solution_text<'a>(named: &'a NamedProblem, solution: &'a Solution) -> impl Display + 'a {
    SolutionText { named, solution }
}

struct SolutionText<'a> {
    named: &'a NamedProblem,
    solution: &'a Solution,
}

impl Display for SolutionText<'_> {
    fn fmt(&self, out: &mut Formatter) -> fmt::Result {
        self.write_objective(out)?;
        for (class, rate) in self.solution.admission_rates.iter().enumerate() {
            writeln!(out, "class {}: {:.1}% admitted", self.named.classes[class], rate * 100.0)?;
        }
        for shed in &self.solution.shed {
            self.write_shed(shed, out)?;
        }
        self.write_endpoints(out)
    }
}

impl SolutionText<'_> {
    fn write_objective(&self, out: &mut Formatter) -> fmt::Result {
        let objective = self.solution.objective;
        writeln!(
            out,
            "objective {:.2} per second: value {:.2}, less crossing cost {:.2}, less latency cost {:.2}",
            objective.total(),
            objective.value,
            objective.crossing_cost,
            objective.latency_cost
        )
    }

    fn write_shed(&self, shed: &ShedReason, out: &mut Formatter) -> fmt::Result {
        let ShedReason { class, request_rate, missing_capacity, capacity, competing_classes } = shed;
        let classes = &self.named.classes;
        write!(
            out,
            "class {}: {request_rate:.1} requests per second shed; needs \
             {missing_capacity:.2} more cores than the {capacity:.2} that it may use",
            classes[*class]
        )?;
        if !competing_classes.is_empty() {
            let names: Vec<&str> = competing_classes.iter().map(|class| classes[*class].as_str()).collect();
            write!(out, "; competing classes: {}", names.join(", "))?;
        }
        writeln!(out)
    }

    /// Writes each endpoint's capacity, weight, load and utilization, and its utilization with equal weights and full
    /// admission.
    fn write_endpoints(&self, out: &mut Formatter) -> fmt::Result {
        let SolutionText { named, solution } = self;
        let equal_weights = vec![1; named.endpoints.len()];
        let equal_loads = LoadDistribution::new(&named.problem).loads(&equal_weights, &[]);
        writeln!(
            out,
            "{:24} {:>10} {:>6} {:>6} {:>10} {:>12}",
            "endpoint", "cores", "weight", "load", "utilized", "equal weight"
        )?;
        for (endpoint, name) in named.endpoints.iter().enumerate() {
            let capacity = named.problem.endpoints[endpoint].available_capacity();
            writeln!(
                out,
                "{name:24} {capacity:>10.2} {:>6} {:>6.2} {:>10} {:>12}",
                solution.weights[endpoint],
                solution.loads[endpoint],
                format_utilization(solution.loads[endpoint], capacity),
                format_utilization(equal_loads[endpoint], capacity)
            )?;
        }
        Ok(())
    }
}

/// Returns the utilization in percent, or a dash if there is no capacity.
fn format_utilization(load: f64, capacity: f64) -> String {
    if capacity > 0.0 { format!("{:.0}%", load / capacity * 100.0) } else { "-".into() }
}
