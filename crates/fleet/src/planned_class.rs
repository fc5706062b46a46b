//! A class as the solver has it, from the settings and from its demand.

use lockcroft::{ClassSettings, MachineTypeId};
use lockcroft_solver::Class as ProblemClass;

/// Where the work of a request is not stated, it is its latency objective divided by this.
const DEFAULT_WORK_DIVISOR: f64 = 10.0;
/// The least work and the least latency objective of a class, in seconds.
const MIN_SECONDS: f64 = 1e-6;

/// A class as the settings state it, without demand, and the machine types that it is bound to.
pub struct PlannedClass {
    pub class: ProblemClass,
    machine_types: Option<Vec<MachineTypeId>>,
}

impl PlannedClass {
    pub fn new(settings: &ClassSettings) -> Self {
        let latency_objective = settings.latency_objective.as_secs_f64();
        let default_work = latency_objective / DEFAULT_WORK_DIVISOR;
        let class = ProblemClass {
            work: settings.work.map_or(default_work, |work| work.as_secs_f64()).max(MIN_SECONDS),
            latency_objective: latency_objective.max(MIN_SECONDS),
            value: settings.value,
            allowed_zones: settings.only_zones.clone().unwrap_or_default(),
            allowed_endpoints: None,
            demand: Vec::new(),
        };
        PlannedClass { class, machine_types: settings.only_machine_types.clone() }
    }

    /// The class of a problem with these endpoints, given by their machine types.
    pub fn with_demand(&self, demand: &[f64], machine_types: &[MachineTypeId]) -> ProblemClass {
        let allowed = self.machine_types.as_ref().map(|only| {
            (0..machine_types.len()).filter(|position| only.contains(&machine_types[*position])).collect()
        });
        ProblemClass { allowed_endpoints: allowed, demand: demand.to_vec(), ..self.class.clone() }
    }
}
