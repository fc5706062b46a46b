//! An answer as text.

use std::fmt::{self, Display, Formatter};

use lockcroft_solver::{LoadDistribution, ShedReason, Solution};

use crate::read::NamedProblem;

/// An answer for people: the objective, what is shed and why, then a line for each endpoint.
pub fn solution_text<'a>(named: &'a NamedProblem, answer: &'a Solution) -> impl Display + 'a {
    AnswerText { named, answer }
}

struct AnswerText<'a> {
    named: &'a NamedProblem,
    answer: &'a Solution,
}

impl Display for AnswerText<'_> {
    fn fmt(&self, out: &mut Formatter) -> fmt::Result {
        self.write_objective(out)?;
        for (class, rate) in self.answer.admission_rates.iter().enumerate() {
            writeln!(out, "class {}: {:.1}% let in", self.named.classes[class], rate * 100.0)?;
        }
        for shed in &self.answer.shed {
            self.write_shed(shed, out)?;
        }
        self.write_endpoints(out)
    }
}

impl AnswerText<'_> {
    fn write_objective(&self, out: &mut Formatter) -> fmt::Result {
        let objective = self.answer.objective;
        writeln!(
            out,
            "{:.2} earnings a second: {:.2} by visits let in, less {:.2} crossing, less {:.2} lateness",
            objective.total(),
            objective.value,
            objective.crossing_cost,
            objective.latency_cost
        )
    }

    fn write_shed(&self, shed: &ShedReason, out: &mut Formatter) -> fmt::Result {
        let ShedReason {
            class,
            request_rate,
            missing_capacity: missing,
            capacity,
            competing_classes: before,
        } = shed;
        let classes = &self.named.classes;
        write!(
            out,
            "dropped {}: {request_rate:.1} visits a second; {missing:.2} cores more than the {capacity:.2} that it may use would take them in",
            classes[*class]
        )?;
        if !before.is_empty() {
            let names: Vec<&str> = before.iter().map(|class| classes[*class].as_str()).collect();
            write!(out, "; there before it: {}", names.join(", "))?;
        }
        writeln!(out)
    }

    /// Each endpoint's weight, load and utilization, beside its utilization with equal weights.
    fn write_endpoints(&self, out: &mut Formatter) -> fmt::Result {
        let AnswerText { named, answer } = self;
        let equal_weights = vec![1; named.endpoints.len()];
        let equal_loads = LoadDistribution::new(&named.problem).loads(&equal_weights, &[]);
        writeln!(
            out,
            "{:24} {:>10} {:>6} {:>6} {:>10} {:>12}",
            "server", "cores now", "weight", "load", "used", "used alike"
        )?;
        for (endpoint, name) in named.endpoints.iter().enumerate() {
            let capacity = named.problem.endpoints[endpoint].available_capacity();
            writeln!(
                out,
                "{name:24} {capacity:>10.2} {:>6} {:>6.2} {:>10} {:>12}",
                answer.weights[endpoint],
                answer.loads[endpoint],
                percentage(answer.loads[endpoint], capacity),
                percentage(equal_loads[endpoint], capacity)
            )?;
        }
        Ok(())
    }
}

/// The utilization in percent, or a dash without capacity.
fn percentage(load: f64, capacity: f64) -> String {
    if capacity > 0.0 { format!("{:.0}%", load / capacity * 100.0) } else { "-".into() }
}
