//! `show plan`: the most recent plan of the solver.

use std::fmt::Write;

use lockcroft_host::NameIndex;
use lockcroft_solver::{Objective, Problem, ShedReason};

use crate::fleet_controller::FleetController;
use crate::planner::SolvedPlan;

impl FleetController {
    /// Returns the most recently solved problem, with the names of its endpoints by position.
    #[must_use]
    pub fn last_problem(&self) -> Option<(&Problem, Vec<String>)> {
        let SolvedPlan { task, .. } = self.planner.as_ref()?.last.as_ref()?;
        let names = task.endpoints.iter().map(|endpoint| self.endpoints.name(*endpoint).into()).collect();
        Some((&task.problem, names))
    }

    /// Returns the names of zones, machine types and classes.
    #[must_use]
    pub fn names(&self) -> &NameIndex {
        &self.names
    }

    /// Returns the text of the most recent plan: the value of its objective, the admission rate of each class, the
    /// shed requests with the reason, and the capacity, load and weight of each endpoint.
    #[must_use]
    pub fn show_plan(&self) -> String {
        let Some(planner) = &self.planner else { return "No solver is set.\n".into() };
        let Some(plan) = &planner.last else { return "No plan yet.\n".into() };
        let Objective { value, crossing_cost, latency_cost } = plan.solution.objective;
        let mut text = format!(
            "# earned {value:.2} crossing {crossing_cost:.2} lateness {latency_cost:.2} a second; lines changed {}\n",
            plan.changed_entries
        );
        self.write_classes(plan, &mut text);
        for shed in &plan.solution.shed {
            self.write_shed(shed, &mut text);
        }
        self.write_endpoints(plan, &mut text);
        text
    }

    fn write_classes(&self, SolvedPlan { task, solution, .. }: &SolvedPlan, text: &mut String) {
        for (class, (name, fraction)) in self.names.classes.iter().zip(&solution.admission_rates).enumerate()
        {
            let demand: f64 = task.problem.classes[class].demand.iter().sum();
            let _ = writeln!(text, "class {name} asked_per_s {demand:.1} let_in {fraction:.3}");
        }
    }

    fn write_shed(&self, shed: &ShedReason, text: &mut String) {
        let competing: Vec<&str> =
            shed.competing_classes.iter().map(|class| self.names.classes[*class].as_str()).collect();
        let _ = writeln!(
            text,
            "dropped {} visits_per_s {:.1} restored_by_cores {:.2} of {:.2} before_it {}",
            self.names.classes[shed.class],
            shed.request_rate,
            shed.missing_capacity,
            shed.capacity,
            competing.join(",")
        );
    }

    fn write_endpoints(&self, SolvedPlan { task, solution, .. }: &SolvedPlan, text: &mut String) {
        for (position, endpoint) in task.endpoints.iter().enumerate() {
            let problem_endpoint = &task.problem.endpoints[position];
            let _ = writeln!(
                text,
                "server {} cores {:.2} warmth {:.2} load {:.2} weight {}",
                self.endpoints.name(*endpoint),
                problem_endpoint.capacity,
                problem_endpoint.slow_start_factor,
                solution.loads[position],
                solution.weights[position]
            );
        }
    }
}
